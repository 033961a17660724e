"""Bounds on how many jobs are open: one listing can hold only so many."""

import threading
import time
from collections import Counter
from dataclasses import dataclass

from camphoryard.coordination.ports import Records
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.jobs import SHARDS, Job

COUNT_PERIOD_S = 5.0


@dataclass(frozen=True, slots=True)
class JobLimits:
    """How many jobs may be open, in all and of each caller."""

    total: int
    per_caller: int


class OpenJobCounter:
    """Counts open jobs and refuses those above the limits.

    The object API is asked at most once each ``COUNT_PERIOD_S``; between two
    listings this node adds what it accepts itself, and a job that other nodes
    accept meanwhile goes unseen.
    """

    def __init__(self, open_jobs: Records[Job], limits: JobLimits) -> None:
        self._open_jobs = open_jobs
        self._limits = limits
        self._lock = threading.Lock()
        self._count_by_caller: Counter[CallerId] = Counter()
        self._due_s = 0.0

    def take(self, caller: CallerId) -> None:
        """Count one job more.

        Raises
        ------
        RefusalError
            If that is more than may be open.
        StoreUnavailableError
            If the object API does not answer.
        """
        with self._lock:
            if time.monotonic() >= self._due_s:
                self._recount()
            own = self._count_by_caller[caller]
            if own >= self._limits.per_caller:
                raise _too_many(f"{caller} has {own} open jobs")
            total = self._count_by_caller.total()
            if total >= self._limits.total:
                raise _too_many(f"{total} jobs of all callers are open")
            self._count_by_caller[caller] += 1

    def give_back(self, caller: CallerId) -> None:
        """Count one job less: it was not recorded."""
        with self._lock:
            self._count_by_caller[caller] -= 1

    def _recount(self) -> None:
        counts: Counter[CallerId] = Counter()
        # Shard by shard, so that only one shard's jobs are in memory at once.
        for shard in SHARDS:
            counts.update(
                stored.record.caller
                for stored in self._open_jobs.list(f"{shard}/").items
                if stored.record is not None
            )
        self._count_by_caller = counts
        self._due_s = time.monotonic() + COUNT_PERIOD_S


def _too_many(detail: str) -> RefusalError:
    return RefusalError(
        Reason.TOO_MANY_JOBS,
        f"{detail}, as many as may be; send the job again once some are done",
        retry_after_s=COUNT_PERIOD_S,
    )
