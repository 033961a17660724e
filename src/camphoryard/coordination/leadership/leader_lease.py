"""Leader lease: acquisition, renewal and resignation by one node."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.ports import DecisionLog, Records, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import (
    ABSENT,
    FencingNumber,
    Incarnation,
    NodeId,
    ObjectKey,
    Version,
)
from camphoryard.state.leadership import LeadershipRecord
from camphoryard.state.store_eras import FIRST_ERA, NewestEra, era_of, version_in

RENEWAL_PERIOD_S = 0.75
LEASE_S = 3.0
"""Time after which a lease expires without renewal: four renewal periods."""
LEASE_MARGIN_S = 0.5
"""The leader stops this long before its lease expires, which covers a call in
progress."""
HANDOVER_MARGIN_S = 0.3
UNANSWERED_RENEWAL_GRACE_S = 2.5
"""How long a fenced leader goes on after a renewal attempt without an answer: one
renewal period plus the longest duration of a store call."""
NO_TERM = FencingNumber(0)


def boot_clock_s() -> float:
    """Return the seconds since boot, including time that the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class _ObservedRecord:
    """A lease record, and since when it is known to have this version."""

    record: LeadershipRecord | None
    version: Version
    unchanged_since_s: float


class LeaderLease:
    """Renews the lease of this node, or watches for the leader's lease to expire.

    Safety depends on the store alone. A leader acts for ``LEASE_S`` less a margin
    after the start of its last successful renewal. Another node takes over by a
    conditional write once it has observed an unchanged record for ``LEASE_S``, and
    acts after a further ``handover_s``.

    A term is the version of the write that began it, which the store gives out once,
    also if it is restored from an older copy. After a restore the leader may be one
    that the record no longer names, so a leader goes on in a new term only, and waits
    until others have stopped unless engines check fencing tokens.

    Where engines check fencing tokens, the leader goes on while the store is
    unavailable: until another node takes over, its term is the newest that any engine
    has recorded, and after that the engines reject its orders. It stops soon after
    being suspended, because it may act only shortly after each renewal attempt.

    Parameters
    ----------
    key : ObjectKey
        Key of the lease record.
    handover_s : float
        Time in seconds between the last act of one leader and the first of the next.
    is_fenced : bool
        Whether everything that the leader acts on rejects older terms.
    newest_era : NewestEra
        The newest era of the store.
    newest_term : callable
        Returns the newest term that peers have reported.
    is_standby : callable
        Returns whether this node is one of those that watch the leader.
    clock : callable
        Returns seconds, including time during which the VM is suspended.
    """

    def __init__(
        self,
        records: Records[LeadershipRecord],
        key: ObjectKey,
        node: NodeId,
        incarnation: Incarnation,
        handover_s: float,
        is_fenced: bool,
        newest_era: NewestEra,
        newest_term: Callable[[], FencingNumber],
        is_standby: Callable[[], bool],
        log: DecisionLog,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._records = records
        self._key = key
        self._node = node
        self._incarnation = incarnation
        self._handover_s = handover_s
        self._is_fenced = is_fenced
        self._newest_era = newest_era
        self._newest_term = newest_term
        self._last_unanswered_s = float("-inf")
        self._is_standby = is_standby
        self._log = log
        self._clock = clock
        self._observed: _ObservedRecord | None = None
        self._term = NO_TERM
        self._acts_from_s = 0.0
        self._acts_until_s = 0.0
        self._is_resigned = False
        self._is_first_term = False

    @property
    def term(self) -> FencingNumber:
        """The term in which this node may act now, or ``NO_TERM``."""
        if self._acts_from_s <= self._clock():
            return self.claimed_term
        return NO_TERM

    @property
    def claimed_term(self) -> FencingNumber:
        """The term of this node, even if it still has to wait before acting."""
        now_s = self._clock()
        if now_s < self._acts_until_s:
            return self._term
        is_trying = now_s - self._last_unanswered_s < UNANSWERED_RENEWAL_GRACE_S
        if self._is_fenced and is_trying and self._newest_term() <= self._term:
            return self._term
        return NO_TERM

    @property
    def is_renewed(self) -> bool:
        """Whether the lease is certain not to be another node's yet."""
        return bool(self._term) and self._clock() < self._acts_until_s

    @property
    def is_first_term(self) -> bool:
        """Whether the store has shown no leader before the term of this node.

        The store may have had one that was lost before this process started.
        """
        return self._is_first_term

    def run(self, timer: Timer) -> None:
        """Renew or try to acquire the lease until the timer service closes."""
        for _ in timer.every(RENEWAL_PERIOD_S):
            if self._is_resigned:
                continue
            try:
                self.renew_or_acquire()
            except ConflictError:
                # Another node wrote first, or an earlier write of this node took
                # effect although its answer was lost.
                self._observed = None
            except StoreUnavailableError as error:
                self._observed = None
                self._last_unanswered_s = self._clock()
                if self._term:
                    self._log("duty_unrenewed", duty=self._key, error=str(error))

    def renew_or_acquire(self) -> None:
        """Renew this node's lease, or acquire the lease if the leader's has expired."""
        if self._term:
            self._renew()
        elif self._is_standby():
            self._try_acquire()
        else:
            self._observed = None

    def reject_term(self, term: FencingNumber) -> None:
        """End a term that an engine rejected because it has recorded a newer one."""
        if term == self._term:
            self._end_term("fenced")

    def resign(self) -> None:
        """Release the lease for good."""
        self._is_resigned = True
        term, observed = self._term, self._observed
        has_acted = self._acts_from_s <= self._clock()
        self._end_term("resigned")
        if not term or observed is None:
            return
        record = LeadershipRecord(None, self._incarnation, term, 0, has_acted)
        try:
            self._records.put(self._key, record, observed.version)
        except (ConflictError, StoreUnavailableError) as error:
            # The lease expires by itself a few seconds later.
            self._log("duty_not_resigned", duty=self._key, error=str(error))

    def _renew(self) -> None:
        observed = self._observed
        if observed is None or era_of(observed.version) < self._newest_era.current:
            observed = self._read()
        is_restored = self._is_restored_since(self._term)
        if is_restored and not self._has_successor(observed.record):
            # Should the write fail, this term goes on as if a renewal had failed.
            self._acquire(observed)
            return
        if not self._is_own(observed.record):
            self._end_term("taken")
            return
        assert observed.record is not None
        # A lease that has expired is renewed too: the write succeeds only if no other
        # node has taken over.
        began_s = self._clock()
        record = LeadershipRecord(
            self._node,
            self._incarnation,
            self._term,
            observed.record.renewal + 1,
            has_acted=self._acts_from_s <= began_s,
        )
        version = self._records.put(self._key, record, observed.version)
        self._observed = _ObservedRecord(record, version, began_s)
        self._acts_until_s = began_s + LEASE_S - LEASE_MARGIN_S

    def _try_acquire(self) -> None:
        """Acquire the lease if its record has not changed for ``LEASE_S``."""
        before = self._observed
        observed = self._read()
        now_s = self._clock()
        if before is not None and before.version == observed.version:
            observed = before
        self._observed = observed
        record = observed.record
        is_free = record is None or record.holder in (None, self._node)
        if is_free or now_s - observed.unchanged_since_s >= LEASE_S:
            self._acquire(observed)

    def _acquire(self, observed: _ObservedRecord) -> None:
        """Write a lease of this node; its version is the new term."""
        began_s = self._clock()
        wait_s = self._wait_s(observed.record)
        before, renewal = NO_TERM, 0
        if observed.record is not None:
            before, renewal = observed.record.term, observed.record.renewal + 1
        # The term is known once the record is written; the first renewal adds it.
        era_start = FencingNumber(version_in(self._newest_era.current, 0))
        record = LeadershipRecord(
            self._node,
            self._incarnation,
            max(before, era_start),
            renewal,
            has_acted=not wait_s,
        )
        written = self._records.put(self._key, record, observed.version)
        self._observed = _ObservedRecord(record, written, began_s)
        is_restored = self._newest_era.has_changed
        self._is_first_term = observed.record is None and not is_restored
        self._term = FencingNumber(written)
        margin_s = HANDOVER_MARGIN_S if wait_s else 0.0
        self._acts_from_s = self._clock() + wait_s + margin_s
        self._acts_until_s = began_s + LEASE_S - LEASE_MARGIN_S
        self._log(
            "duty_taken",
            duty=self._key,
            term=self._term,
            era=era_of(written),
            after_term=before,
            acts_in_s=round(self._acts_from_s - self._clock(), 3),
        )

    def _wait_s(self, record: LeadershipRecord | None) -> float:
        """Return how long a node that takes over from a record waits before it acts."""
        if self._is_fenced:
            return 0.0
        lost_leader_wait_s = LEASE_S + self._handover_s
        if record is None:
            is_first = self._newest_era.current == FIRST_ERA
            return 0.0 if is_first else lost_leader_wait_s
        if self._is_restored_since(record.term) or not record.has_acted:
            # An earlier leader may still act, one that the record does not name.
            return lost_leader_wait_s
        # An earlier process of this node has ended, or this process lost the lease.
        return 0.0 if record.holder == self._node else self._handover_s

    def _has_successor(self, record: LeadershipRecord | None) -> bool:
        """Return whether a record of another node is not older than this term."""
        if record is None or self._is_own(record):
            return False
        return record.term > self._term

    def _is_restored_since(self, term: FencingNumber) -> bool:
        return era_of(Version(term)) < self._newest_era.current

    def _end_term(self, cause: str) -> None:
        if self._term:
            self._log("duty_lost", duty=self._key, term=self._term, cause=cause)
        self._term = NO_TERM
        self._acts_until_s = 0.0
        self._observed = None

    def _read(self) -> _ObservedRecord:
        asked_s = self._clock()
        stored = self._records.get(self._key)
        if stored is None:
            return _ObservedRecord(None, ABSENT, asked_s)
        # The version is only known to be current from when the answer arrived.
        return _ObservedRecord(stored.record, stored.version, self._clock())

    def _is_own(self, record: LeadershipRecord | None) -> bool:
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation == self._incarnation
        )
