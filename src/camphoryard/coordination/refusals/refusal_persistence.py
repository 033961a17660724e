"""Persists refusal counts in the object API, also those of killed nodes.

Each incarnation has one record per hour. Counts are merged into a record and never
overwrite it, so that its node and the nodes with a copy can all write it.
"""

import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from camphoryard.coordination.ports import Records, Timer
from camphoryard.coordination.refusals.refusals import (
    SECONDS_PER_MINUTE,
    RefusalCounter,
)
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, Incarnation
from camphoryard.state.nodes import NodeTable
from camphoryard.state.refusals import (
    RefusalCount,
    RefusalCounts,
    RefusalKey,
    merge_counts,
    total_by_key,
)

PERSIST_PERIOD_S = 1.0
MAX_PERSISTS_PER_S = 20.0
OWN_WRITE_GRACE_S = 1.0
MINUTES_PER_HOUR = 60
COPY_RETENTION_MINUTES = 24 * MINUTES_PER_HOUR


@dataclass(frozen=True, slots=True)
class _Copy:
    """A copy of a peer's counts; ``since_s`` is when its oldest part arrived."""

    refusal_counts: RefusalCounts
    since_s: float


class RefusalPersister:
    """Persists this node's counts and the copies that it stores of peers' counts."""

    def __init__(
        self,
        records: Records[RefusalCounts],
        counter: RefusalCounter,
        nodes: NodeTable,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._records = records
        self._counter = counter
        self._nodes = nodes
        self._clock = clock
        self._lock = threading.Lock()
        self._copy_by_incarnation: dict[Incarnation, _Copy] = {}

    def run(self, timer: Timer) -> None:
        """Persist counts periodically until the timer service closes.

        The period grows with the number of nodes, so that all nodes together persist
        at most ``MAX_PERSISTS_PER_S`` times per second.
        """
        next_persist_s = 0.0
        for _ in timer.every(PERSIST_PERIOD_S):
            if time.monotonic() >= next_persist_s:
                self.persist()
                spread_s = len(self._nodes.alive()) / MAX_PERSISTS_PER_S
                next_persist_s = time.monotonic() + spread_s

    def store_copy(self, refusal_counts: RefusalCounts) -> None:
        """Store a copy of a peer's counts, to persist it if the peer does not."""
        oldest_minute = _minute_now() - COPY_RETENTION_MINUTES
        with self._lock:
            known = self._copy_by_incarnation.get(refusal_counts.incarnation)
            counts = merge_counts(
                known.refusal_counts.counts if known else (), refusal_counts.counts
            )
            retained = tuple(
                item for item in counts if item.key.minute >= oldest_minute
            )
            self._copy_by_incarnation[refusal_counts.incarnation] = _Copy(
                RefusalCounts(refusal_counts.incarnation, retained),
                known.since_s if known else self._clock(),
            )

    def persist(self) -> None:
        """Write this node's new counts and the due copies of peers' counts.

        A live peer has ``OWN_WRITE_GRACE_S`` to write its own counts. Older copies
        are written even if the peer is alive: waiting for its lease to expire would
        lose them if this node were killed meanwhile.
        """
        self._persist_own()
        alive = {lease.incarnation for lease in self._nodes.alive()}
        grace_cutoff_s = self._clock() - OWN_WRITE_GRACE_S
        for copy in self._copies():
            is_due = (
                copy.since_s <= grace_cutoff_s
                or copy.refusal_counts.incarnation not in alive
            )
            if is_due and self._write(copy.refusal_counts):
                self._remove(copy)

    def persist_all(self) -> Sequence[RefusalCounts]:
        """Write all counts of this node and all copies before the node stops.

        Returns
        -------
        unwritten : sequence of RefusalCounts
            The copies of peers' counts that could not be written.
        """
        self._persist_own()
        unwritten = []
        for copy in self._copies():
            if self._write(copy.refusal_counts):
                self._remove(copy)
            else:
                unwritten.append(copy.refusal_counts)
        return unwritten

    def total(self, hours: int) -> Mapping[RefusalKey, int]:
        """Return the counts of all nodes in the last ``hours``.

        They include the persisted counts, this node's own and its copies of peers'
        counts.

        Raises
        ------
        StoreUnavailableError
            If the object API does not answer.
        """
        last = _minute_now() // MINUTES_PER_HOUR
        all_counts = [
            self._counter.all_counts(),
            *(copy.refusal_counts for copy in self._copies()),
        ]
        for hour in range(last - hours + 1, last + 1):
            for item in self._records.list(f"{hour}/").items:
                if item.record is not None:
                    all_counts.append(item.record)
        first_minute = (last - hours + 1) * MINUTES_PER_HOUR
        totals = total_by_key(all_counts)
        return {key: n for key, n in totals.items() if key.minute >= first_minute}

    def _persist_own(self) -> None:
        own = self._counter.unpersisted()
        if self._write(own):
            self._counter.mark_persisted(own.counts)

    def _write(self, refusal_counts: RefusalCounts) -> bool:
        """Merge counts into their records; return whether all were written."""
        counts_by_hour: dict[int, list[RefusalCount]] = {}
        for item in refusal_counts.counts:
            hour = item.key.minute // MINUTES_PER_HOUR
            counts_by_hour.setdefault(hour, []).append(item)
        try:
            for hour, counts in counts_by_hour.items():
                self._merge(
                    f"{hour}/{refusal_counts.incarnation}",
                    refusal_counts.incarnation,
                    counts,
                )
        except (StoreUnavailableError, ConflictError):
            return False
        return True

    def _merge(
        self, key: str, incarnation: Incarnation, counts: Iterable[RefusalCount]
    ) -> None:
        stored = self._records.get(key)
        known = stored.record.counts if stored and stored.record else ()
        record = RefusalCounts(incarnation, merge_counts(known, counts))
        if set(record.counts) != set(known):
            self._records.put(key, record, stored.version if stored else ABSENT)

    def _copies(self) -> tuple[_Copy, ...]:
        with self._lock:
            return tuple(self._copy_by_incarnation.values())

    def _remove(self, copy: _Copy) -> None:
        """Remove a copy unless it has changed meanwhile."""
        incarnation = copy.refusal_counts.incarnation
        with self._lock:
            if self._copy_by_incarnation.get(incarnation) == copy:
                del self._copy_by_incarnation[incarnation]


def _minute_now() -> int:
    return int(time.time() // SECONDS_PER_MINUTE)
