"""Which nodes there are, and what they tell each other."""
