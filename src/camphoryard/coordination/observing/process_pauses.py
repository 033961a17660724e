"""Notices that this process stood still: suspended, or without processor time."""

from collections.abc import Callable

from camphoryard.coordination.forwarding.context import DecisionLog
from camphoryard.coordination.leadership.leader_lease import boot_clock_s
from camphoryard.coordination.ports import Timer

TICK_S = 0.5
LEAST_STANDSTILL_S = 1.5
"""Shorter pauses are ordinary on a busy VM; peers take a node for silent after this."""


def log_process_pauses(
    log: DecisionLog, timer: Timer, clock: Callable[[], float] = boot_clock_s
) -> None:
    """Write a line each time that ticks did not come, until the timer closes.

    Without it the log of a node that was suspended looks like that of an idle one.
    """
    last_s = clock()
    for _ in timer.every(TICK_S):
        now_s = clock()
        if now_s - last_s >= LEAST_STANDSTILL_S:
            log("stood_still", for_ms=round((now_s - last_s) * 1000))
        last_s = now_s
