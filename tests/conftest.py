"""Settings for all tests."""

import pytest
from hypothesis import HealthCheck, settings

from standins.known_red import known_red_ids

# No deadline: the duration of an example depends mostly on the machine's load.
settings.register_profile(
    "camphoryard", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("camphoryard")


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures that may pass."""
    listed = known_red_ids()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
