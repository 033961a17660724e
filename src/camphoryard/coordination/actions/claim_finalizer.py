"""Finalizes claims: writes the outcome of an action, with retries.

The final state of a claim is DONE, UNKNOWN or RELEASED. Only the node that wrote
the claim finalizes it. An action whose claim is released is never dispatched. After a
restore of the store from an older copy, claims that it lost are written again.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records, Ticks, Timer
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Version, WriteId

RETRY_PERIOD_S = 1.0
MAX_PENDING_FINALIZATIONS = 10_000


@dataclass(frozen=True, slots=True)
class Finalization:
    """The final record of a claim that this node wrote.

    ``claim_write`` identifies the write that created the claim; ``final_claim``
    replaces the claim. ``is_confirmed`` says that the claim was stored, so that only a
    restore of the store can have put another in its place.
    """

    key: str
    claim_write: WriteId
    final_claim: Claim
    is_confirmed: bool = False


class ClaimFinalizer:
    """Writes final claims and retries the writes that fail."""

    def __init__(self, claims: Records[Claim], timeline: Timeline) -> None:
        self._claims = claims
        self._timeline = timeline
        self._lock = threading.Lock()
        self._pending_by_write: dict[WriteId, Finalization] = {}
        self._ticks: Ticks | None = None

    def run(self, timer: Timer) -> None:
        """Retry pending finalizations each second until the timer service closes."""
        self._ticks = timer.every(RETRY_PERIOD_S)
        for _ in self._ticks:
            self.finalize_pending()
        self.finalize_pending()

    @property
    def pending(self) -> int:
        """Number of claims whose finalization is pending."""
        with self._lock:
            return len(self._pending_by_write)

    def finalize(self, finalization: Finalization, version: Version) -> None:
        """Finalize a claim stored at ``version``; retry later if the write fails."""
        try:
            self._claims.put(finalization.key, finalization.final_claim, version)
        except (StoreUnavailableError, ConflictError):
            self.finalize_later(finalization)

    def finalize_later(self, finalization: Finalization) -> None:
        """Finalize a claim later, for instance if its own write is unconfirmed.

        If too many are pending, the oldest one is dropped.
        """
        with self._lock:
            if len(self._pending_by_write) >= MAX_PENDING_FINALIZATIONS:
                dropped_write = next(iter(self._pending_by_write))
                del self._pending_by_write[dropped_write]
                self._timeline.record("claim_left_open", write=dropped_write)
            self._pending_by_write[finalization.claim_write] = finalization

    def write_again(self, finalizations: Iterable[Finalization]) -> None:
        """Write claims again that a restored store may have lost."""
        with self._lock:
            for finalization in finalizations:
                self._pending_by_write.setdefault(
                    finalization.claim_write, finalization
                )
        if self._ticks is not None:
            self._ticks.wake()

    def finalize_pending(self) -> None:
        """Retry each pending finalization once, while the object API answers."""
        with self._lock:
            pending = tuple(self._pending_by_write.values())
        for finalization in pending:
            try:
                self._write_final_claim(finalization)
            except ConflictError:
                continue
            except StoreUnavailableError:
                return
            self._remove(finalization)
            self._timeline.record(
                "claim_ended",
                request=finalization.final_claim.request,
                state=finalization.final_claim.state.value,
            )

    def _remove(self, finalization: Finalization) -> None:
        """Remove a finalization unless a later one of the claim has replaced it."""
        write = finalization.claim_write
        with self._lock:
            if self._pending_by_write.get(write) is finalization:
                del self._pending_by_write[write]

    def _write_final_claim(self, finalization: Finalization) -> None:
        """Replace the claim by its final record.

        If the key has no record, or an earlier released claim, the final claim is
        written nevertheless: a write of the original claim that is still in flight
        expects the current version and then fails. If another claim is stored, that
        write has already failed, or the claim was lost by a restore of the store.

        Raises
        ------
        ConflictError
            If another write came first, or the claim was lost and its key has been
            claimed meanwhile: that claim may yet be released.
        StoreUnavailableError
            If the object API does not answer.
        """
        final_claim = finalization.final_claim
        stored = self._claims.get(finalization.key)
        if stored is None or stored.record is None:
            self._claims.put(finalization.key, final_claim, ABSENT)
            return
        if stored.record.write_id == final_claim.write_id:
            return
        is_original_claim = stored.record.write_id == finalization.claim_write
        if is_original_claim or stored.record.state is ClaimState.RELEASED:
            self._claims.put(finalization.key, final_claim, stored.version)
        elif finalization.is_confirmed and final_claim.state is not ClaimState.RELEASED:
            self._handle_lost_claim(finalization, stored.record)

    def _handle_lost_claim(self, finalization: Finalization, stored: Claim) -> None:
        if stored.state is ClaimState.CLAIMED:
            raise ConflictError(f"{finalization.key} is claimed by another request")
        self._timeline.record(
            "claim_lost",
            request=finalization.final_claim.request,
            other_request=stored.request,
        )
