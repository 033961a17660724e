"""Jobs that this node accepted recently, to record them again if they are lost."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records
from camphoryard.state.errors import ConflictError
from camphoryard.state.ids import ABSENT, JobId
from camphoryard.state.jobs import CallWork, CompletionWork, Job, record_key

KEPT_S = 60.0
"""Time for which an accepted job is kept; a copy of the store is younger."""
MAX_KEPT_BYTES = 64 << 20
"""Limit on the work of all kept jobs; the oldest are dropped above it."""


@dataclass(frozen=True, slots=True)
class _Accepted:
    """A job as it was accepted, and when."""

    job: Job
    at_s: float


class RecentJobs:
    """The jobs that this node accepted in the last minute."""

    def __init__(
        self,
        open_jobs: Records[Job],
        finished_jobs: Records[Job],
        timeline: Timeline,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._open_jobs = open_jobs
        self._finished_jobs = finished_jobs
        self._timeline = timeline
        self._clock = clock
        self._lock = threading.Lock()
        self._accepted_by_id: dict[JobId, _Accepted] = {}
        self._kept_bytes = 0

    def remember(self, job: Job) -> None:
        """Keep an accepted job for a while."""
        with self._lock:
            if job.id in self._accepted_by_id:
                return
            self._accepted_by_id[job.id] = _Accepted(job, self._clock())
            self._kept_bytes += _size_bytes(job)
            self._drop_old()

    def write_again(self) -> None:
        """Record the jobs again of which the store has neither work nor result.

        A job that had finished runs again, as any job may.

        Raises
        ------
        StoreUnavailableError
            If the object API does not answer.
        """
        with self._lock:
            jobs = [accepted.job for accepted in self._accepted_by_id.values()]
        for job in jobs:
            key = record_key(job.id)
            # The open record is deleted after the finished one is created.
            if self._open_jobs.get(key) or self._finished_jobs.get(key):
                continue
            try:
                write_resolved(self._open_jobs, key, job, ABSENT)
            except ConflictError:
                continue
            self._timeline.record("job_restored", job=job.id)

    def _drop_old(self) -> None:
        oldest_s = self._clock() - KEPT_S
        while self._accepted_by_id:
            job_id, accepted = next(iter(self._accepted_by_id.items()))
            if accepted.at_s >= oldest_s and self._kept_bytes <= MAX_KEPT_BYTES:
                return
            del self._accepted_by_id[job_id]
            self._kept_bytes -= _size_bytes(accepted.job)


def _size_bytes(job: Job) -> int:
    match job.work:
        case CompletionWork(prompt=prompt):
            return len(prompt.encode())
        case CallWork(body=body):
            return len(body)
