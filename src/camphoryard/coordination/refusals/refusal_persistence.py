"""Folds counts of refusals into the object API, also those of killed nodes.

Each incarnation has one record for each hour. A record is merged, never
overwritten, so that its node and whoever holds a copy may both write it.
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

FOLD_PERIOD_S = 1.0
MAX_FOLDS_A_SECOND = 20.0
HELD_S = 1.0
MINUTES_PER_HOUR = 60
HELD_MINUTES = 24 * MINUTES_PER_HOUR


@dataclass(frozen=True, slots=True)
class _Held:
    """A peer's counts, of which some have been held since ``since_s``."""

    sheet: RefusalCounts
    since_s: float


class RefusalPersister:
    """Holds copies of peers' counts and writes counts to the object API."""

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
        self._held_by_incarnation: dict[Incarnation, _Held] = {}

    def run(self, timer: Timer) -> None:
        """Fold now and then until the timer service closes.

        The more nodes there are, the less often each folds, so that their
        writes stay bounded in all.
        """
        due_s = 0.0
        for _ in timer.every(FOLD_PERIOD_S):
            if time.monotonic() >= due_s:
                self.fold()
                spread_s = len(self._nodes.alive()) / MAX_FOLDS_A_SECOND
                due_s = time.monotonic() + spread_s

    def store_copy(self, sheet: RefusalCounts) -> None:
        """Keep a peer's counts, to fold them should it be gone."""
        oldest = _minute_now() - HELD_MINUTES
        with self._lock:
            known = self._held_by_incarnation.get(sheet.incarnation)
            counts = merge_counts(known.sheet.counts if known else (), sheet.counts)
            kept = tuple(item for item in counts if item.key.minute >= oldest)
            self._held_by_incarnation[sheet.incarnation] = _Held(
                RefusalCounts(sheet.incarnation, kept),
                known.since_s if known else self._clock(),
            )

    def fold(self) -> None:
        """Write this node's new counts and those held of others.

        A live node has a moment to write its own. What is held longer is
        written without asking whether that node is alive, since waiting for
        its lease to lapse would give this one time to be killed as well.
        """
        self._fold_own()
        alive = {lease.incarnation for lease in self._nodes.alive()}
        due_s = self._clock() - HELD_S
        for held in self._held():
            is_due = held.since_s <= due_s or held.sheet.incarnation not in alive
            if is_due and self._write(held.sheet):
                self._drop(held)

    def fold_all(self) -> Sequence[RefusalCounts]:
        """Write all counts of this node and all that it holds, since it stops.

        Returns
        -------
        sheets : sequence of RefusalCounts
            What it holds of others and could not write.
        """
        self._fold_own()
        unwritten = []
        for held in self._held():
            if self._write(held.sheet):
                self._drop(held)
            else:
                unwritten.append(held.sheet)
        return unwritten

    def total(self, hours: int) -> Mapping[RefusalKey, int]:
        """Return the counts of all nodes in the last ``hours``.

        They are what the object API has, this node's and those it holds.

        Raises
        ------
        StoreUnavailableError
            If the object API does not answer.
        """
        last = _minute_now() // MINUTES_PER_HOUR
        sheets = [self._counter.sheet(), *(held.sheet for held in self._held())]
        for hour in range(last - hours + 1, last + 1):
            for item in self._records.list(f"{hour}/").items:
                if item.record is not None:
                    sheets.append(item.record)
        first_minute = (last - hours + 1) * MINUTES_PER_HOUR
        totals = total_by_key(sheets)
        return {key: n for key, n in totals.items() if key.minute >= first_minute}

    def _fold_own(self) -> None:
        own = self._counter.unfolded()
        if self._write(own):
            self._counter.folded(own.counts)

    def _write(self, sheet: RefusalCounts) -> bool:
        """Merge a sheet into its records; return whether all of it is there."""
        counts_by_hour: dict[int, list[RefusalCount]] = {}
        for item in sheet.counts:
            hour = item.key.minute // MINUTES_PER_HOUR
            counts_by_hour.setdefault(hour, []).append(item)
        try:
            for hour, counts in counts_by_hour.items():
                self._merge(f"{hour}/{sheet.incarnation}", sheet.incarnation, counts)
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

    def _held(self) -> tuple[_Held, ...]:
        with self._lock:
            return tuple(self._held_by_incarnation.values())

    def _drop(self, held: _Held) -> None:
        """Forget a sheet unless more was handed over since."""
        incarnation = held.sheet.incarnation
        with self._lock:
            if self._held_by_incarnation.get(incarnation) == held:
                del self._held_by_incarnation[incarnation]


def _minute_now() -> int:
    return int(time.time() // SECONDS_PER_MINUTE)
