"""One node's part in a duty: taking it over, renewing it, giving it up."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.ports import Records, Timer
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

RENEWAL_PERIOD_S = 0.75
LEASE_S = 3.0
"""How long a duty lasts without renewal; four periods."""
LEASE_MARGIN_S = 0.5
"""The holder stops this long before others may take over; covers a call under way."""
HANDOVER_MARGIN_S = 0.3
UNANSWERED_LIFE_S = 2.5
"""How long a try to renew that got no answer lets a fenced holder go on: a period,
and the longest time that a call of the store takes."""
NO_TERM = FencingNumber(0)


def boot_clock_s() -> float:
    """Return seconds on a clock that counts the time of a suspended VM too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class _Seen:
    """A record, and since when it is known to be at this version."""

    record: LeadershipRecord | None
    version: Version
    since_s: float


class DutyKeeper:
    """Keeps one duty, or watches for its holder to fall silent.

    Safety rests on the store alone: a holder acts for ``LEASE_S`` less a margin
    after it began its last renewal that succeeded; another node takes over by a
    conditional write, once it has seen the record unchanged for ``LEASE_S``, and
    acts after ``handover_s`` more.

    Where engines check fences, a holder goes on while the store does not answer it:
    its term is the newest that any engine has seen until another node takes over,
    and from then on engines refuse it. It stops within a moment of being suspended,
    as each further moment needs a new try to renew.

    Parameters
    ----------
    key : ObjectKey
        Name of the duty's record.
    handover_s : float
        How long after the last act of a holder the next one may act, in seconds.
    is_fenced : bool
        Whether all that the holder acts on refuses older terms.
    newest_term : callable
        The newest term that peers tell of.
    stands_by : callable
        Whether this node is one of those that watch the holder.
    clock : callable
        Seconds that go on while the VM is suspended.
    """

    def __init__(
        self,
        records: Records[LeadershipRecord],
        key: ObjectKey,
        node: NodeId,
        incarnation: Incarnation,
        handover_s: float,
        is_fenced: bool,
        newest_term: Callable[[], FencingNumber],
        stands_by: Callable[[], bool],
        log: DecisionLog,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._records = records
        self._key = key
        self._node = node
        self._incarnation = incarnation
        self._handover_s = handover_s
        self._is_fenced = is_fenced
        self._newest_term = newest_term
        self._unanswered_s = float("-inf")
        self._stands_by = stands_by
        self._log = log
        self._clock = clock
        self._seen: _Seen | None = None
        self._term = NO_TERM
        self._acts_from_s = 0.0
        self._acts_until_s = 0.0
        self._is_resigned = False

    @property
    def term(self) -> FencingNumber:
        """The term in which this node may act now, or ``NO_TERM``."""
        if self._acts_from_s <= self._clock():
            return self.claimed_term
        return NO_TERM

    @property
    def claimed_term(self) -> FencingNumber:
        """The term that this node holds, though it may have to wait to act."""
        now_s = self._clock()
        if now_s < self._acts_until_s:
            return self._term
        is_trying = now_s - self._unanswered_s < UNANSWERED_LIFE_S
        if self._is_fenced and is_trying and self._newest_term() <= self._term:
            return self._term
        return NO_TERM

    def run(self, timer: Timer) -> None:
        """Keep or seek the duty until the timer service closes."""
        for _ in timer.every(RENEWAL_PERIOD_S):
            if self._is_resigned:
                continue
            try:
                self.turn()
            except ConflictError:
                # Another write was faster, or an earlier one of ours took effect.
                self._seen = None
            except StoreUnavailableError as error:
                self._seen = None
                self._unanswered_s = self._clock()
                if self._term:
                    self._log("duty_unrenewed", duty=self._key, error=str(error))

    def turn(self) -> None:
        """Renew the duty, or take it over if its holder is gone."""
        if self._term:
            self._renew()
        elif self._stands_by():
            self._seek()
        else:
            self._seen = None

    def fenced(self, term: FencingNumber) -> None:
        """Give up a term that an engine refused, as it has seen a newer one."""
        if term == self._term:
            self._lose("fenced")

    def resign(self) -> None:
        """Give the duty up for good."""
        self._is_resigned = True
        term, seen = self._term, self._seen
        self._lose("resigned")
        if not term or seen is None:
            return
        record = LeadershipRecord(None, self._incarnation, term, 0)
        try:
            self._records.put(self._key, record, seen.version)
        except (ConflictError, StoreUnavailableError) as error:
            # The lease ends by itself a few seconds later.
            self._log("duty_not_resigned", duty=self._key, error=str(error))

    def _renew(self) -> None:
        seen = self._seen or self._read()
        if not self._is_own(seen.record):
            self._lose("taken")
            return
        assert seen.record is not None
        # Also after the lease: the write succeeds only if nobody has taken over.
        began_s = self._clock()
        record = LeadershipRecord(
            self._node, self._incarnation, self._term, seen.record.renewal + 1
        )
        version = self._records.put(self._key, record, seen.version)
        self._seen = _Seen(record, version, began_s)
        self._acts_until_s = began_s + LEASE_S - LEASE_MARGIN_S

    def _seek(self) -> None:
        """Take the duty over if its record has not changed for a lease."""
        before = self._seen
        seen = self._read()
        now_s = self._clock()
        if before is not None and before.version == seen.version:
            seen = before
        self._seen = seen
        record = seen.record
        if record is None:
            self._take(NO_TERM, seen.version, 0.0)
        elif record.holder is None:
            self._take(record.term, seen.version, self._handover_s)
        elif record.holder == self._node:
            # An earlier process of this VM has ended, or this one had lost it.
            self._take(record.term, seen.version, 0.0)
        elif now_s - seen.since_s >= LEASE_S:
            self._take(record.term, seen.version, self._handover_s)

    def _take(self, term: FencingNumber, version: Version, wait_s: float) -> None:
        began_s = self._clock()
        record = LeadershipRecord(
            self._node, self._incarnation, FencingNumber(term + 1), 0
        )
        taken = self._records.put(self._key, record, version)
        self._seen = _Seen(record, taken, began_s)
        self._term = record.term
        margin_s = HANDOVER_MARGIN_S if wait_s else 0.0
        self._acts_from_s = self._clock() + wait_s + margin_s
        self._acts_until_s = began_s + LEASE_S - LEASE_MARGIN_S
        self._log(
            "duty_taken",
            duty=self._key,
            term=record.term,
            version=taken,
            acts_in_s=round(self._acts_from_s - self._clock(), 3),
        )

    def _lose(self, cause: str) -> None:
        if self._term:
            self._log("duty_lost", duty=self._key, term=self._term, cause=cause)
        self._term = NO_TERM
        self._acts_until_s = 0.0
        self._seen = None

    def _read(self) -> _Seen:
        asked_s = self._clock()
        stored = self._records.get(self._key)
        if stored is None:
            return _Seen(None, ABSENT, asked_s)
        # Known to be at this version only once the answer has come.
        return _Seen(stored.record, stored.version, self._clock())

    def _is_own(self, record: LeadershipRecord | None) -> bool:
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation == self._incarnation
            and record.term == self._term
        )
