"""Shared fixtures and settings."""

import pytest
from hypothesis import HealthCheck, settings

from standins.known_red import known_red_ids

# How long an example takes says more about the machine than about the code.
settings.register_profile(
    "camphoryard", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("camphoryard")


def pytest_collection_modifyitems(items):
    """Run the tests of KNOWN-RED.txt too, without their outcome counting."""
    listed = known_red_ids()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
