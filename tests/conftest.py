"""Shared fixtures and settings."""

from hypothesis import HealthCheck, settings

# How long an example takes says more about the machine than about the code.
settings.register_profile(
    "camphoryard", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("camphoryard")
