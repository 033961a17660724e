"""Counts of this node's refusals, and whether another node holds them too."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason
from camphoryard.state.ids import Incarnation
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey

SECONDS_PER_MINUTE = 60
KEPT_MINUTES = 120
HANDOVER_LIMIT_S = 1.5


@dataclass(frozen=True, slots=True)
class Unhanded:
    """Counts for another node to hold, up to refusal ``number``."""

    number: int
    sheet: RefusalCounts


class RefusalCounter:
    """Counts every refusal of this node.

    ``count`` blocks until other nodes hold the count, or a limit has passed, so
    that the refused caller hears of it only then.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation
        self._changed = threading.Condition()
        self._count_by_key: Counter[RefusalKey] = Counter()
        self._number_by_key: dict[RefusalKey, int] = {}
        self._unfolded: set[RefusalKey] = set()
        self._number = 0
        self._handed_number = 0
        self._wake: Callable[[], None] | None = None

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Have ``wake`` called after each refusal."""
        self._wake = wake

    def count(self, reason: Reason, label: str, caller: str = "") -> None:
        """Count one refusal now."""
        minute = int(time.time() // SECONDS_PER_MINUTE)
        key = RefusalKey(reason, label, minute, caller)
        with self._changed:
            self._count_by_key[key] += 1
            self._unfolded.add(key)
            self._number += 1
            number = self._number_by_key[key] = self._number
        if self._wake is None:
            return
        self._wake()
        with self._changed:
            self._changed.wait_for(
                lambda: self._handed_number >= number, HANDOVER_LIMIT_S
            )

    @property
    def number(self) -> int:
        """Number of the last refusal."""
        with self._changed:
            return self._number

    def unhanded(self, after: int) -> Unhanded | None:
        """Return the counts that changed after refusal ``after``, if any.

        What the object API has need not be handed over.
        """
        with self._changed:
            keys = [key for key in self._unfolded if self._number_by_key[key] > after]
            return Unhanded(self._number, self._sheet(keys)) if keys else None

    def handed(self, number: int) -> None:
        """Let the callers of refusals up to ``number`` go on."""
        with self._changed:
            self._handed_number = max(self._handed_number, number)
            self._changed.notify_all()

    def unfolded(self) -> RefusalCounts:
        """Return the counts that the object API does not have yet."""
        with self._changed:
            return self._sheet(self._unfolded)

    def folded(self, counts: Iterable[RefusalCount]) -> None:
        """Take note that the object API has ``counts``; forget what is old."""
        with self._changed:
            for item in counts:
                if self._count_by_key[item.key] == item.count:
                    self._unfolded.discard(item.key)
            self._forget_old()

    def sheet(self) -> RefusalCounts:
        """Return all counts kept here."""
        with self._changed:
            return self._sheet(self._count_by_key)

    def by_key(self) -> Mapping[RefusalKey, int]:
        """Return a copy of the counts."""
        with self._changed:
            return dict(self._count_by_key)

    def _sheet(self, keys: Iterable[RefusalKey]) -> RefusalCounts:
        counts = tuple(RefusalCount(key, self._count_by_key[key]) for key in keys)
        return RefusalCounts(self._incarnation, counts)

    def _forget_old(self) -> None:
        oldest = int(time.time() // SECONDS_PER_MINUTE) - KEPT_MINUTES
        old = [key for key in self._count_by_key if key.minute < oldest]
        for key in old:
            if key not in self._unfolded:
                del self._count_by_key[key], self._number_by_key[key]
