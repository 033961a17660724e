"""Tests of noticing that the process stood still."""

from camphoryard.coordination.observing.process_pauses import (
    LEAST_STANDSTILL_S,
    TICK_S,
    log_process_pauses,
)
from tests.fakes.engines import Clock, RecordedLog


class PausingTimer:
    """Ticks that come after the pauses given, in seconds."""

    def __init__(self, clock, pauses):
        self.clock, self.pauses = clock, pauses

    def every(self, period_s):
        """Return the ticks."""
        for pause_s in self.pauses:
            self.clock.advance(pause_s)
            yield


class TestStandstill:
    """Ticks that did not come."""

    def test_a_suspended_process_says_for_how_long(self):
        """Its own lines show nothing else of it."""
        clock, log = Clock(), RecordedLog()
        log_process_pauses(log, PausingTimer(clock, [TICK_S, 7.3, TICK_S]), clock)
        assert log.lines == [("stood_still", {"for_ms": 7300})]

    def test_late_ticks_of_a_busy_vm_are_no_standstill(self):
        """They say nothing that the times of requests do not."""
        clock, log = Clock(), RecordedLog()
        pauses = [TICK_S, LEAST_STANDSTILL_S / 2]
        log_process_pauses(log, PausingTimer(clock, pauses), clock)
        assert log.lines == []
