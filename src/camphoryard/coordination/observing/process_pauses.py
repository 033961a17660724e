"""Detection of pauses of this process: suspended, or without processor time."""

from collections.abc import Callable

from camphoryard.coordination.leadership.leader_lease import boot_clock_s
from camphoryard.coordination.ports import DecisionLog, Timer

TICK_PERIOD_S = 0.5
MIN_LOGGED_PAUSE_S = 1.5
"""Shorter pauses are common on a busy VM; after this time peers treat a node as
unresponsive."""


def log_process_pauses(
    log: DecisionLog, timer: Timer, clock: Callable[[], float] = boot_clock_s
) -> None:
    """Log each pause of the process until the timer service closes.

    Without these lines the log of a suspended node looks like that of an idle one.
    """
    last_s = clock()
    for _ in timer.every(TICK_PERIOD_S):
        now_s = clock()
        if now_s - last_s >= MIN_LOGGED_PAUSE_S:
            log("stood_still", for_ms=round((now_s - last_s) * 1000))
        last_s = now_s
