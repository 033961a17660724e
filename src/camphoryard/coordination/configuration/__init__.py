"""Configuration changes: validation, acceptance, adoption and freshness."""
