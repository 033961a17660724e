"""Tests of logging pauses of the process."""

from camphoryard.coordination.observing.process_pauses import (
    MIN_LOGGED_PAUSE_S,
    TICK_PERIOD_S,
    log_process_pauses,
)
from tests.fakes.engines import Clock, RecordedLog


class PausingTimer:
    """Timer that ticks after the given pauses, in seconds."""

    def __init__(self, clock, pauses):
        self.clock, self.pauses = clock, pauses

    def every(self, period_s):
        """Return the ticks."""
        for pause_s in self.pauses:
            self.clock.advance(pause_s)
            yield


class TestLogProcessPauses:
    """Late ticks."""

    def test_pause_is_logged_with_its_duration(self):
        """No other line of the log shows that a process was suspended."""
        clock, log = Clock(), RecordedLog()
        log_process_pauses(
            log, PausingTimer(clock, [TICK_PERIOD_S, 7.3, TICK_PERIOD_S]), clock
        )
        assert log.lines == [("stood_still", {"for_ms": 7300})]

    def test_short_delay_is_not_logged(self):
        """Late ticks of a busy VM already show in the times of its requests."""
        clock, log = Clock(), RecordedLog()
        pauses = [TICK_PERIOD_S, MIN_LOGGED_PAUSE_S / 2]
        log_process_pauses(log, PausingTimer(clock, pauses), clock)
        assert log.lines == []
