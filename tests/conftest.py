"""Shared fixtures and settings."""

from hypothesis import settings

# How long an example takes says more about the machine than about the code.
settings.register_profile("camphoryard", deadline=None)
settings.load_profile("camphoryard")
