"""Fixtures that run real processes."""

import pytest

from standins.fleet import Fleet
from standins.site import start_site


@pytest.fixture
def start():
    """Return a function that starts a site, which stops after the test."""
    with Fleet() as fleet:
        yield lambda spec=None: start_site(fleet, spec)
