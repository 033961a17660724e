"""Limits on open jobs, since one listing can return only so many."""

import threading
import time
from collections import Counter
from dataclasses import dataclass

from camphoryard.coordination.ports import Records
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.jobs import SHARDS, Job

RECOUNT_PERIOD_S = 5.0


@dataclass(frozen=True, slots=True)
class JobLimits:
    """Maximum number of open jobs, in total and per caller."""

    total: int
    per_caller: int


class OpenJobCounter:
    """Counts open jobs and refuses new ones above the limits.

    The jobs are listed from the object API at most once per ``RECOUNT_PERIOD_S``.
    Between two listings this node adds the jobs that it accepts itself; those
    accepted by other nodes are not counted until the next listing.
    """

    def __init__(self, open_jobs: Records[Job], limits: JobLimits) -> None:
        self._open_jobs = open_jobs
        self._limits = limits
        self._lock = threading.Lock()
        self._count_by_caller: Counter[CallerId] = Counter()
        self._next_recount_s = 0.0

    def reserve(self, caller: CallerId) -> None:
        """Count one more open job.

        Raises
        ------
        RefusalError
            If a limit is already reached.
        StoreUnavailableError
            If the object API does not answer.
        """
        with self._lock:
            if time.monotonic() >= self._next_recount_s:
                self._recount()
            own = self._count_by_caller[caller]
            if own >= self._limits.per_caller:
                raise _too_many_jobs(f"{caller} has {own} open jobs")
            total = self._count_by_caller.total()
            if total >= self._limits.total:
                raise _too_many_jobs(f"all callers together have {total} open jobs")
            self._count_by_caller[caller] += 1

    def release(self, caller: CallerId) -> None:
        """Count one open job less, since it was not recorded."""
        with self._lock:
            self._count_by_caller[caller] -= 1

    def _recount(self) -> None:
        counts: Counter[CallerId] = Counter()
        # List by shard, so that only one shard's jobs are in memory at a time.
        for shard in SHARDS:
            counts.update(
                stored.record.caller
                for stored in self._open_jobs.list(f"{shard}/").items
                if stored.record is not None
            )
        self._count_by_caller = counts
        self._next_recount_s = time.monotonic() + RECOUNT_PERIOD_S


def _too_many_jobs(detail: str) -> RefusalError:
    return RefusalError(
        Reason.TOO_MANY_JOBS,
        f"{detail}, which is the limit; send the job again once some have finished",
        retry_after_s=RECOUNT_PERIOD_S,
    )
