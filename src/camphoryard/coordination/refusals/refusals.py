"""Counts of this node's refusals, and which of them are replicated and persisted."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason
from camphoryard.state.ids import Incarnation
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey

SECONDS_PER_MINUTE = 60
RETENTION_MINUTES = 120
REPLICATION_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class UnreplicatedCounts:
    """Counts to replicate to another node, up to refusal ``number``."""

    number: int
    refusal_counts: RefusalCounts


class RefusalCounter:
    """Counts the refusals of this node.

    ``count`` blocks until other nodes have the count, or for at most
    ``REPLICATION_TIMEOUT_S``, so that the refusal is answered only then.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation
        self._changed = threading.Condition()
        self._count_by_key: Counter[RefusalKey] = Counter()
        self._number_by_key: dict[RefusalKey, int] = {}
        self._unpersisted: set[RefusalKey] = set()
        self._number = 0
        self._replicated_number = 0
        self._wake_replication: Callable[[], None] | None = None

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` after each refusal."""
        self._wake_replication = wake

    def count(self, reason: Reason, label: str, caller: str = "") -> None:
        """Count one refusal and wait until it is replicated."""
        minute = int(time.time() // SECONDS_PER_MINUTE)
        key = RefusalKey(reason, label, minute, caller)
        with self._changed:
            self._count_by_key[key] += 1
            self._unpersisted.add(key)
            self._number += 1
            number = self._number_by_key[key] = self._number
        if self._wake_replication is None:
            return
        self._wake_replication()
        with self._changed:
            self._changed.wait_for(
                lambda: self._replicated_number >= number, REPLICATION_TIMEOUT_S
            )

    @property
    def number(self) -> int:
        """Number of the last refusal."""
        with self._changed:
            return self._number

    def unreplicated(self, after: int) -> UnreplicatedCounts | None:
        """Return the counts that changed after refusal ``after``, if any.

        Counts that are persisted in the object API are left out.
        """
        with self._changed:
            keys = [
                key for key in self._unpersisted if self._number_by_key[key] > after
            ]
            return (
                UnreplicatedCounts(self._number, self._counts_of(keys))
                if keys
                else None
            )

    def mark_replicated(self, number: int) -> None:
        """Unblock ``count`` for the refusals up to ``number``."""
        with self._changed:
            self._replicated_number = max(self._replicated_number, number)
            self._changed.notify_all()

    def unpersisted(self) -> RefusalCounts:
        """Return the counts that are not persisted in the object API yet."""
        with self._changed:
            return self._counts_of(self._unpersisted)

    def mark_persisted(self, counts: Iterable[RefusalCount]) -> None:
        """Record that ``counts`` are persisted, and remove old persisted counts."""
        with self._changed:
            for item in counts:
                if self._count_by_key[item.key] == item.count:
                    self._unpersisted.discard(item.key)
            self._remove_expired()

    def mark_unpersisted(self) -> None:
        """Persist all counts in memory again; the store may have lost them."""
        with self._changed:
            self._unpersisted.update(self._count_by_key)

    def all_counts(self) -> RefusalCounts:
        """Return all counts in memory."""
        with self._changed:
            return self._counts_of(self._count_by_key)

    def by_key(self) -> Mapping[RefusalKey, int]:
        """Return a copy of the counts."""
        with self._changed:
            return dict(self._count_by_key)

    def _counts_of(self, keys: Iterable[RefusalKey]) -> RefusalCounts:
        counts = tuple(RefusalCount(key, self._count_by_key[key]) for key in keys)
        return RefusalCounts(self._incarnation, counts)

    def _remove_expired(self) -> None:
        oldest_minute = int(time.time() // SECONDS_PER_MINUTE) - RETENTION_MINUTES
        expired = [key for key in self._count_by_key if key.minute < oldest_minute]
        for key in expired:
            if key not in self._unpersisted:
                del self._count_by_key[key], self._number_by_key[key]
