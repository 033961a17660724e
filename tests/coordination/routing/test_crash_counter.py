"""Tests of crashes counted by request."""

from camphoryard.coordination.routing.crash_counter import LIFE_S, CrashCounter
from tests.fakes.engines import Clock


class TestCrashTally:
    """Which requests are barred."""

    def test_two_crashes_bar_nobody(self):
        """An innocent request may have run beside a guilty one twice."""
        tally = CrashCounter(Clock())
        tally.observe("f", "e1")
        tally.observe("f", "e2")
        assert not tally.is_quarantined("f")

    def test_one_endpoint_counts_once(self):
        """What several nodes saw of one crash is one crash."""
        tally = CrashCounter(Clock())
        for _ in range(5):
            tally.observe("f", "e1")
        assert not tally.is_quarantined("f")

    def test_three_endpoints_bar_for_a_while(self):
        """A request is not barred for ever."""
        clock = Clock()
        tally = CrashCounter(clock)
        for endpoint in ("e1", "e2", "e3"):
            tally.observe("f", endpoint)
        assert tally.is_quarantined("f")
        clock.advance(LIFE_S)
        assert not tally.is_quarantined("f")
