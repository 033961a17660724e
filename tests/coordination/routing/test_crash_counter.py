"""Tests of the quarantine of requests that crash endpoints."""

from camphoryard.coordination.routing.crash_counter import QUARANTINE_S, CrashCounter
from tests.fakes.engines import Clock


class TestCrashCounter:
    """Which requests are quarantined."""

    def test_two_crashes_do_not_quarantine(self):
        """A harmless request may twice have run beside one that crashes endpoints."""
        counter = CrashCounter(Clock())
        counter.observe("f", "e1")
        counter.observe("f", "e2")
        assert not counter.is_quarantined("f")

    def test_endpoint_is_counted_once(self):
        """Several nodes may report the same crash."""
        counter = CrashCounter(Clock())
        for _ in range(5):
            counter.observe("f", "e1")
        assert not counter.is_quarantined("f")

    def test_three_crashed_endpoints_quarantine_until_expiry(self):
        """The quarantine expires a fixed time after the last crash."""
        clock = Clock()
        counter = CrashCounter(clock)
        for endpoint in ("e1", "e2", "e3"):
            counter.observe("f", endpoint)
        assert counter.is_quarantined("f")
        clock.advance(QUARANTINE_S)
        assert not counter.is_quarantined("f")
