"""A task that watches the records under one key prefix of the object API."""

import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from itertools import repeat
from typing import Generic, TypeVar

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.ports import DecisionLog, Records, Snapshot, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease

RecordT = TypeVar("RecordT")

WATCH_WAIT_S = 20.0
RETRY_PERIOD_S = 0.25
RETRY_JITTER_S = 0.25


def _ignore(event: str, **fields: object) -> None:
    """Write nothing."""


class RecordWatcher(Generic[RecordT]):
    """Lists the records under a prefix, then watches them for changes.

    Parameters
    ----------
    records : Records
        The records to watch.
    on_record : callable
        Called with each listed or changed record.
    on_confirmed : callable
        Called after each listing or watch that succeeded, with the monotonic
        time from before the call: all changes up to then have been passed on.
    is_elected : callable
        Returns whether this node watches; if not, another node does it for the
        zone.
    wait_s : float
        How long one watch may block, in seconds. A watch that is never answered leaves
        the view stale for that long.
    on_availability_change : callable
        Called with True when the object API starts to answer, with False when
        it stops.
    batch_s : float
        Period of the watches in seconds, so that one call fetches the changes of
        a whole period; with 0 the next watch starts at once.
    is_due : callable
        Returns whether the watch of a period is made, by the number of periods since
        the last listing; if not, a later one fetches the changes.
    on_listing : callable or None
        Called with each complete listing; its records are then not passed to
        ``on_record``.
    on_changes : callable or None
        Called with the changes of each watch; they are then not passed to
        ``on_record``.
    max_wait_s : callable
        Returns a further limit of ``wait_s``, asked before each watch.
    name : str
        What is watched, for the log and the metrics.
    log : callable
        Called with each call that fails after one that was answered, and with each
        watch that cannot go on from its revision.
    """

    def __init__(
        self,
        records: Records[RecordT],
        on_record: Callable[[Stored[RecordT]], None],
        on_confirmed: Callable[[float], None] = lambda sent_s: None,
        is_elected: Callable[[], bool] = lambda: True,
        wait_s: float = WATCH_WAIT_S,
        on_availability_change: Callable[[bool], None] = lambda is_answering: None,
        batch_s: float = 0.0,
        is_due: Callable[[int], bool] = lambda period: True,
        on_listing: Callable[[Snapshot[RecordT]], None] | None = None,
        on_changes: Callable[[Snapshot[RecordT]], None] | None = None,
        max_wait_s: Callable[[], float] = lambda: math.inf,
        name: str = "",
        log: DecisionLog = _ignore,
    ) -> None:
        self._records = records
        self._on_record = on_record
        self._on_confirmed = on_confirmed
        self._is_elected = is_elected
        self._wait_s = wait_s
        self._on_availability_change = on_availability_change
        self._batch_s = batch_s
        self._is_due = is_due
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._max_wait_s = max_wait_s
        self.name = name
        self._log = log
        self._is_answering: bool | None = None
        self._sent_s = -math.inf
        self._confirmed_s = -math.inf

    def age_s(self) -> float:
        """Return how old the view may be in seconds; infinite before a listing."""
        return time.monotonic() - self._confirmed_s

    def run(self, timer: Timer) -> None:
        """Watch until the timer service closes; each tick is a new attempt."""
        period_s = RETRY_PERIOD_S + random.random() * RETRY_JITTER_S
        for _ in timer.every(period_s):
            if not self._is_elected():
                continue
            try:
                self._watch(timer)
            except ConflictError as error:
                self._log("watch_restarted", of=self.name, error=str(error))
            except StoreUnavailableError as error:
                self._log_failure(error)
                self._record_availability(False)

    def list_once(self) -> Snapshot[RecordT]:
        """List all records and pass them on.

        Raises
        ------
        ConflictError
            If the store was restored between two pages of the listing.
        StoreUnavailableError
            If the object API did not answer.
        """
        self._sent_s = time.monotonic()
        snapshot = self._records.list()
        self._pass_on(snapshot, self._on_listing)
        self._record_availability(True)
        self._confirm()
        return snapshot

    def _pass_on(
        self,
        snapshot: Snapshot[RecordT],
        on_all: Callable[[Snapshot[RecordT]], None] | None,
    ) -> None:
        if on_all is not None:
            on_all(snapshot)
            return
        for item in snapshot.items:
            self._on_record(item)

    def _confirm(self) -> None:
        """Record that the changes up to the sending of the last call are passed on."""
        self._confirmed_s = self._sent_s
        self._on_confirmed(self._sent_s)

    def _log_failure(self, error: StoreUnavailableError) -> None:
        if self._is_answering:
            self._log(
                "watch_failed",
                of=self.name,
                waited_s=round(time.monotonic() - self._sent_s, 2),
                age_s=round(self.age_s(), 2),
                error=str(error),
            )

    def _record_availability(self, is_answering: bool) -> None:
        if is_answering is not self._is_answering:
            self._is_answering = is_answering
            self._on_availability_change(is_answering)

    def _watch(self, timer: Timer) -> None:
        revision = self.list_once().revision
        for period, _ in enumerate(self._watch_ticks(timer)):
            if not self._is_elected():
                return
            if not self._is_due(period):
                continue
            self._sent_s = time.monotonic()
            wait_s = min(self._wait_s, self._max_wait_s())
            changes = self._records.watch(revision, wait_s)
            self._pass_on(changes, self._on_changes)
            self._confirm()
            revision = changes.revision

    def _watch_ticks(self, timer: Timer) -> Iterable[None]:
        """Yield when the next watch may start: at once, or once per batch period."""
        return timer.every(self._batch_s) if self._batch_s else repeat(None)


def elected_watchers(
    zone: Zone, alive: Sequence[NodeLease], count: int
) -> tuple[NodeId, ...]:
    """Return the ``count`` nodes that watch the object API for their zone."""
    ranked = sorted(
        (lease.node for lease in alive if lease.zone == zone),
        key=lambda node: xxh3_64_intdigest(f"watcher/{node}".encode()),
    )
    return tuple(ranked[:count])
