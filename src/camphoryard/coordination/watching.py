"""One task that follows a prefix of the object API."""

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from camphoryard.coordination.ports import Records, Snapshot, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError

RecordT = TypeVar("RecordT")

WATCH_WAIT_S = 20.0
RETRY_PERIOD_S = 0.25
RETRY_SPREAD_S = 0.25


class Follower(Generic[RecordT]):
    """Hands every change below a prefix to ``take``, listing first."""

    def __init__(
        self,
        records: Records[RecordT],
        take: Callable[[Stored[RecordT]], None],
    ) -> None:
        self._records = records
        self._take = take

    def run(self, timer: Timer) -> None:
        """Follow until the timer service closes; each tick is a new attempt."""
        period_s = RETRY_PERIOD_S + random.random() * RETRY_SPREAD_S
        for _ in timer.every(period_s):
            try:
                self._follow()
            except (StoreUnavailableError, ConflictError):
                continue

    def list_once(self) -> Snapshot[RecordT]:
        """Take in all records; raises StoreUnavailableError."""
        snapshot = self._records.list()
        for item in snapshot.items:
            self._take(item)
        return snapshot

    def _follow(self) -> None:
        revision = self.list_once().revision
        while True:
            changes = self._records.watch(revision, WATCH_WAIT_S)
            for item in changes.items:
                self._take(item)
            revision = changes.revision
