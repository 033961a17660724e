"""Tests of circuit breakers."""

from camphoryard.coordination.routing.breakers import (
    EJECTION_S,
    MAX_EJECTION_S,
    PROBE_LIMIT_S,
    Breakers,
)
from camphoryard.state.ids import EndpointId

ENGINE = EndpointId("engine-1")


class Clock:
    """A monotonic clock that stands until it is moved."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


class TestBreakers:
    """Ejection and probing."""

    def test_failed_endpoint_is_ejected(self):
        """It gets nothing until the ejection has lapsed."""
        clock = Clock()
        breakers = Breakers(clock)
        breakers.failed(ENGINE)
        assert not breakers.allows(ENGINE)
        clock.now_s += EJECTION_S
        assert breakers.allows(ENGINE)

    def test_one_probe_at_a_time(self):
        """A probe under way keeps others off until it takes too long."""
        clock = Clock()
        breakers = Breakers(clock)
        breakers.failed(ENGINE)
        clock.now_s += EJECTION_S
        breakers.started(ENGINE)
        assert not breakers.allows(ENGINE)
        clock.now_s += PROBE_LIMIT_S
        assert breakers.allows(ENGINE)

    def test_ejections_grow_to_a_bound(self):
        """Each failure doubles the ejection, up to its longest."""
        clock = Clock()
        breakers = Breakers(clock)
        for _ in range(10):
            breakers.failed(ENGINE)
        clock.now_s += MAX_EJECTION_S
        assert breakers.allows(ENGINE)

    def test_success_ends_it(self):
        """An endpoint that answers is used like any other again."""
        breakers = Breakers(Clock())
        breakers.failed(ENGINE)
        breakers.succeeded(ENGINE)
        assert breakers.allows(ENGINE)
