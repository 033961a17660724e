"""Changes of the configuration, and how they come into force."""
