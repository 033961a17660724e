"""Ends claims: writes what came of an action, now or as soon as it can be.

A claim ends DONE, UNKNOWN or RELEASED. Only the node that wrote the claim ends
it, and one that it releases was refused before: it is never dispatched.
"""

import threading
from dataclasses import dataclass

from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records, Timer
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Version, WriteId

SETTLE_PERIOD_S = 1.0
MAX_PENDING_SETTLEMENTS = 10_000


@dataclass(frozen=True, slots=True)
class Settlement:
    """How a claim of this node ends.

    ``claim_write`` is the write that made the claim and ``ending`` the record
    to take its place.
    """

    key: str
    claim_write: WriteId
    ending: Claim


class ClaimFinalizer:
    """Ends claims; those that cannot be ended now are tried again."""

    def __init__(self, claims: Records[Claim], timeline: Timeline) -> None:
        self._claims = claims
        self._timeline = timeline
        self._lock = threading.Lock()
        self._pending_by_write: dict[WriteId, Settlement] = {}

    def run(self, timer: Timer) -> None:
        """Try the pending ones each second until the timer service closes."""
        for _ in timer.every(SETTLE_PERIOD_S):
            self.finalize_pending()
        self.finalize_pending()

    @property
    def pending(self) -> int:
        """How many claims are still to be ended."""
        with self._lock:
            return len(self._pending_by_write)

    def settle(self, settlement: Settlement, version: Version) -> None:
        """End a claim that stands at ``version``, later if not at the first try."""
        try:
            self._claims.put(settlement.key, settlement.ending, version)
        except (StoreUnavailableError, ConflictError):
            self.settle_later(settlement)

    def settle_later(self, settlement: Settlement) -> None:
        """End a claim whose own write may or may not have taken effect."""
        with self._lock:
            if len(self._pending_by_write) >= MAX_PENDING_SETTLEMENTS:
                lost = next(iter(self._pending_by_write))
                del self._pending_by_write[lost]
                self._timeline.record("claim_left_open", write=lost)
            self._pending_by_write[settlement.claim_write] = settlement

    def finalize_pending(self) -> None:
        """Try each pending one once, until the object API does not answer."""
        with self._lock:
            pending = tuple(self._pending_by_write.values())
        for settlement in pending:
            try:
                self._end(settlement)
            except ConflictError:
                continue
            except StoreUnavailableError:
                return
            with self._lock:
                self._pending_by_write.pop(settlement.claim_write, None)
            self._timeline.record(
                "claim_ended",
                request=settlement.ending.request,
                state=settlement.ending.state.value,
            )

    def _end(self, settlement: Settlement) -> None:
        """Put the ending in the claim's place.

        Where the key is free the ending is written all the same: a write of
        the claim that is still under way expects what is there now, so it then
        loses. Where another claim stands it has lost already.
        """
        ending = settlement.ending
        stored = self._claims.get(settlement.key)
        if stored is None or stored.record is None:
            self._claims.put(settlement.key, ending, ABSENT)
            return
        if stored.record.write_id == ending.write_id:
            return
        is_ours = stored.record.write_id == settlement.claim_write
        if is_ours or stored.record.state is ClaimState.RELEASED:
            self._claims.put(settlement.key, ending, stored.version)
