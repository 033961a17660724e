"""Tests of circuit breakers."""

from camphoryard.coordination.routing.breakers import (
    EJECTION_S,
    MAX_EJECTION_S,
    PROBE_TIMEOUT_S,
    Breakers,
)
from camphoryard.state.ids import EndpointId

ENGINE = EndpointId("engine-1")


class Clock:
    """A monotonic clock that advances only when a test sets it."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the current time, in seconds."""
        return self.now_s


class TestBreakers:
    """Ejecting and probing endpoints."""

    def test_failed_endpoint_is_ejected(self):
        """It gets no request until the ejection has expired."""
        clock = Clock()
        breakers = Breakers(clock)
        breakers.failed(ENGINE)
        assert not breakers.allows(ENGINE)
        clock.now_s += EJECTION_S
        assert breakers.allows(ENGINE)

    def test_one_probe_at_a_time(self):
        """A probe in flight blocks further requests until it times out."""
        clock = Clock()
        breakers = Breakers(clock)
        breakers.failed(ENGINE)
        clock.now_s += EJECTION_S
        breakers.started(ENGINE)
        assert not breakers.allows(ENGINE)
        clock.now_s += PROBE_TIMEOUT_S
        assert breakers.allows(ENGINE)

    def test_ejection_length_is_bounded(self):
        """Each failure doubles the ejection, up to the maximum."""
        clock = Clock()
        breakers = Breakers(clock)
        for _ in range(10):
            breakers.failed(ENGINE)
        clock.now_s += MAX_EJECTION_S
        assert breakers.allows(ENGINE)

    def test_success_ends_the_ejection(self):
        """An endpoint that answers is allowed again at once."""
        breakers = Breakers(Clock())
        breakers.failed(ENGINE)
        breakers.succeeded(ENGINE)
        assert breakers.allows(ENGINE)
