"""Shared fixtures and settings."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ID_MARK = "Id:"

# How long an example takes says more about the machine than about the code.
settings.register_profile(
    "camphoryard", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("camphoryard")


def known_red_ids(text):
    """Return the ids of the tests that a list of known faults names."""
    lines = (line.strip() for line in text.splitlines())
    return {
        line.removeprefix(ID_MARK).strip() for line in lines if line.startswith(ID_MARK)
    }


def pytest_collection_modifyitems(items):
    """Run the tests of KNOWN-RED.txt too, without their outcome counting."""
    listed = known_red_ids(KNOWN_RED.read_text()) if KNOWN_RED.exists() else set()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
