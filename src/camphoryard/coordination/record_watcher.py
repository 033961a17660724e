"""One task that follows a prefix of the object API."""

import random
import time
from collections.abc import Callable, Iterable, Sequence
from itertools import repeat
from typing import Generic, TypeVar

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.ports import Records, Snapshot, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease

RecordT = TypeVar("RecordT")

WATCH_WAIT_S = 20.0
RETRY_PERIOD_S = 0.25
RETRY_SPREAD_S = 0.25


class RecordWatcher(Generic[RecordT]):
    """Hands every change below a prefix to ``take``, listing first.

    ``answered`` is given the monotonic time before each call that brought all
    changes, ``answering`` is told when the object API begins or ceases to
    answer; while ``elected`` does not hold, another node follows for this one.
    With a ``batch_s``, changes that come within it are fetched by one call.
    ``on_listing`` is given each whole listing in place of ``take``.
    """

    def __init__(
        self,
        records: Records[RecordT],
        take: Callable[[Stored[RecordT]], None],
        answered: Callable[[float], None] = lambda asked_s: None,
        elected: Callable[[], bool] = lambda: True,
        wait_s: float = WATCH_WAIT_S,
        answering: Callable[[bool], None] = lambda answers: None,
        batch_s: float = 0.0,
        on_listing: Callable[[Snapshot[RecordT]], None] | None = None,
    ) -> None:
        self._records = records
        self._take = take
        self._answered = answered
        self._elected = elected
        self._wait_s = wait_s
        self._answering = answering
        self._batch_s = batch_s
        self._listed = on_listing
        self._answers: bool | None = None

    def run(self, timer: Timer) -> None:
        """Follow until the timer service closes; each tick is a new attempt."""
        period_s = RETRY_PERIOD_S + random.random() * RETRY_SPREAD_S
        for _ in timer.every(period_s):
            if not self._elected():
                continue
            try:
                self._follow(timer)
            except ConflictError:
                continue
            except StoreUnavailableError:
                self._note(False)

    def list_once(self) -> Snapshot[RecordT]:
        """Take in all records; raises StoreUnavailableError."""
        asked_s = time.monotonic()
        snapshot = self._records.list()
        if self._listed is not None:
            self._listed(snapshot)
        else:
            for item in snapshot.items:
                self._take(item)
        self._note(True)
        self._answered(asked_s)
        return snapshot

    def _note(self, answers: bool) -> None:
        if answers is not self._answers:
            self._answers = answers
            self._answering(answers)

    def _follow(self, timer: Timer) -> None:
        revision = self.list_once().revision
        for _ in self._turns(timer):
            if not self._elected():
                return
            asked_s = time.monotonic()
            changes = self._records.watch(revision, self._wait_s)
            for item in changes.items:
                self._take(item)
            self._answered(asked_s)
            revision = changes.revision

    def _turns(self, timer: Timer) -> Iterable[None]:
        """Return when to watch again: at once, or no sooner than each batch."""
        return timer.every(self._batch_s) if self._batch_s else repeat(None)


def elected_watchers(
    zone: Zone, alive: Sequence[NodeLease], count: int
) -> tuple[NodeId, ...]:
    """Return the ``count`` nodes of a zone that follow the object API for it."""
    ranked = sorted(
        (lease.node for lease in alive if lease.zone == zone),
        key=lambda node: xxh3_64_intdigest(f"watcher/{node}".encode()),
    )
    return tuple(ranked[:count])
