"""Recent claims of this node, which it writes again if the store loses them."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from camphoryard.coordination.actions.claim_finalizer import Finalization
from camphoryard.state.enums import ClaimState
from camphoryard.state.ids import WriteId

KEPT_S = 60.0
"""Time for which an answered claim is kept; a copy of the store is younger."""
MAX_ANSWERED = 10_000
MAX_KEPT_BODY_BYTES = 4 << 10


@dataclass(frozen=True, slots=True)
class _Answered:
    """The last record of an answered claim, and when it was answered."""

    finalization: Finalization
    at_s: float


class RecentClaims:
    """The last record of each claim of this node that is running or just answered.

    Of a long answer only the fact that the action ran is kept.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._running_by_write: dict[WriteId, Finalization] = {}
        self._answered_by_write: dict[WriteId, _Answered] = {}

    def remember(self, finalization: Finalization) -> None:
        """Keep the last record of a claim; a released one is no longer kept."""
        write = finalization.claim_write
        with self._lock:
            self._running_by_write.pop(write, None)
            match finalization.final_claim.state:
                case ClaimState.CLAIMED:
                    self._running_by_write[write] = finalization
                case ClaimState.DONE | ClaimState.UNKNOWN:
                    self._answered_by_write[write] = _Answered(
                        _without_long_body(finalization), self._clock()
                    )
                    self._drop_old()
                case ClaimState.RELEASED:
                    self._answered_by_write.pop(write, None)

    def all(self) -> tuple[Finalization, ...]:
        """Return the last records of all kept claims."""
        with self._lock:
            answered = [item.finalization for item in self._answered_by_write.values()]
            return (*self._running_by_write.values(), *answered)

    def _drop_old(self) -> None:
        oldest_s = self._clock() - KEPT_S
        while self._answered_by_write:
            write, answered = next(iter(self._answered_by_write.items()))
            is_excess = len(self._answered_by_write) > MAX_ANSWERED
            if answered.at_s >= oldest_s and not is_excess:
                return
            del self._answered_by_write[write]


def _without_long_body(finalization: Finalization) -> Finalization:
    claim = finalization.final_claim
    if len(claim.body) <= MAX_KEPT_BODY_BYTES:
        return finalization
    return replace(finalization, final_claim=replace(claim, body=b"", kept=False))
