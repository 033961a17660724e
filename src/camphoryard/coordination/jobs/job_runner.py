"""Runs open jobs, each claimed under this node's lease.

A job whose holder's lease has expired is claimed by another node. Both nodes may
then run it, but only one record of its result is created.
"""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from uuid import uuid4

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.jobs.jobs import JobContext
from camphoryard.coordination.ports import Records, Stored, Timer
from camphoryard.coordination.residency.ownership import rendezvous_owner
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.state.enums import JobState, NodeState, Priority, Reason
from camphoryard.state.errors import (
    ConflictError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, JobId, RequestId, Version, WriteId
from camphoryard.state.jobs import (
    SHARDS,
    CallWork,
    CompletionWork,
    Job,
    JobResult,
    record_key,
)
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer, ActionRequest, InferenceRequest
from camphoryard.state.verdict import Verdict

MAX_CONCURRENT_JOBS = 4
POLL_PERIOD_S = 2.0
WRITE_RETRY_PERIOD_S = 1.0
RUN_TIMEOUT_S = 60.0
RESULT_LIFETIME_S = 7 * 24 * 3600.0
FIRST_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 60.0
MAX_DOUBLINGS = 6
MAX_RESULT_BYTES = 256 << 10
NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.BAD_FIELD,
        Reason.FORBIDDEN,
        Reason.UNKNOWN_MODEL,
        Reason.UNKNOWN_SERVICE,
        Reason.NO_GROUP,
        Reason.QUARANTINED,
        Reason.ANSWER_TOO_LARGE,
    }
)


@dataclass(frozen=True, slots=True)
class JobRunnerContext:
    """The collaborators of the job runner.

    The request gateway admits the requests of ``infer`` and ``act``.
    """

    identity: Identity
    nodes: NodeTable
    jobs: JobContext
    timer: Timer
    executor: Executor
    is_serving: Callable[[], bool]
    infer: Callable[[InferenceRequest], str]
    act: Callable[[ActionRequest], ActionAnswer]


class JobRunner:
    """Runs the jobs of this node's shards, up to ``MAX_CONCURRENT_JOBS`` at once."""

    def __init__(self, context: JobRunnerContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._running: set[JobId] = set()

    def run(self, timer: Timer) -> None:
        """Claim and run jobs until the timer service closes."""
        for _ in timer.every(POLL_PERIOD_S):
            try:
                self.claim_due()
            except StoreUnavailableError:
                continue

    def claim_due(self) -> None:
        """Claim as many due jobs as there are free slots.

        Raises
        ------
        StoreUnavailableError
            If the object API does not answer.
        """
        for stored in self._due_jobs():
            if self._free_slots() == 0:
                return
            self._claim(stored)

    def _due_jobs(self) -> Iterator[Stored[Job]]:
        alive = {lease.incarnation for lease in self._context.nodes.alive()}
        now_s = time.time()
        for shard in self._own_shards():
            if self._free_slots() == 0:
                return
            for stored in self._context.jobs.open_jobs.list(f"{shard}/").items:
                job = stored.record
                if job is None or job.id in self._running or job.due_s > now_s:
                    continue
                is_own = job.holder == self._context.identity.incarnation
                if job.state is JobState.QUEUED or is_own or job.holder not in alive:
                    yield stored

    def _own_shards(self) -> Iterator[str]:
        if not self._context.is_serving():
            return
        serving = [
            lease.node
            for lease in self._context.nodes.alive()
            if lease.state is NodeState.SERVING
        ]
        for shard in SHARDS:
            if serving and (
                rendezvous_owner(f"jobs/{shard}", serving)
                == self._context.identity.node
            ):
                yield shard

    def _free_slots(self) -> int:
        with self._lock:
            return MAX_CONCURRENT_JOBS - len(self._running)

    def _claim(self, stored: Stored[Job]) -> None:
        """Claim a job by conditional update and run it in a new task."""
        assert stored.record is not None
        job = replace(
            stored.record,
            state=JobState.RUNNING,
            holder=self._context.identity.incarnation,
            attempts=stored.record.attempts + 1,
            write_id=WriteId(uuid4().hex),
        )
        try:
            version = self._context.jobs.open_jobs.put(
                record_key(job.id), job, stored.version
            )
        except ConflictError:
            return
        with self._lock:
            self._running.add(job.id)
        self._context.jobs.timeline.record(
            "job_taken", job=job.id, attempt=job.attempts
        )
        self._context.executor.submit(self._run_claimed, job, version)

    def _run_claimed(self, job: Job, version: Version) -> None:
        try:
            self._run_once(job, version)
        except (ConflictError, StoreUnavailableError) as error:
            self._context.jobs.timeline.record("job_left", job=job.id, error=error)
        finally:
            with self._lock:
                self._running.discard(job.id)

    def _run_once(self, job: Job, version: Version) -> None:
        """Run the job and record the outcome.

        Raises
        ------
        ConflictError
            If another node claimed the job before it could be queued again.
        StoreUnavailableError
            If the object API does not answer before the job is run.
        """
        if self._context.jobs.finished_jobs.get(record_key(job.id)) is not None:
            self._close(job, version)
            return
        if time.time() >= job.expires_s:
            result = JobResult(
                reason=Reason.DEADLINE,
                detail="the job expired before it could run",
                verdict=Verdict.MAY_HAVE_RUN,
            )
            self._finish(job, version, JobState.FAILED, result)
            return
        try:
            result = self._run_work(job)
        except RefusalError as refusal:
            if refusal.reason not in NON_RETRYABLE_REASONS:
                self._requeue(job, version, refusal)
                return
            result = JobResult(
                reason=refusal.reason, detail=refusal.detail, verdict=refusal.verdict
            )
            self._finish(job, version, JobState.FAILED, result)
        else:
            self._finish(job, version, JobState.DONE, result)

    def _run_work(self, job: Job) -> JobResult:
        request = RequestId(uuid4().hex)
        deadline_s = time.monotonic() + RUN_TIMEOUT_S
        match job.work:
            case CompletionWork(model, adapter, prompt, max_tokens):
                text = self._context.infer(
                    InferenceRequest(
                        request,
                        job.caller,
                        model,
                        adapter,
                        prompt,
                        max_tokens,
                        deadline_s,
                        Priority.DEFERRABLE,
                    )
                )
                return JobResult(text.encode(), 200)
            case CallWork(service, operation, body):
                answer = self._context.act(
                    ActionRequest(
                        request,
                        job.caller,
                        service,
                        operation,
                        body,
                        deadline_s,
                        Priority.DEFERRABLE,
                        None,
                    )
                )
                if len(answer.body) > MAX_RESULT_BYTES:
                    raise RefusalError(
                        Reason.ANSWER_TOO_LARGE,
                        f"the result is larger than {MAX_RESULT_BYTES} bytes",
                        answer.verdict,
                    )
                return JobResult(answer.body, answer.status, verdict=answer.verdict)

    def _requeue(self, job: Job, version: Version, refusal: RefusalError) -> None:
        """Queue the job again with exponential backoff."""
        delay_s = FIRST_RETRY_DELAY_S * 2 ** min(job.attempts - 1, MAX_DOUBLINGS)
        queued = replace(
            job,
            state=JobState.QUEUED,
            due_s=time.time() + min(delay_s, MAX_RETRY_DELAY_S),
            write_id=WriteId(uuid4().hex),
        )
        self._write_with_retry(self._context.jobs.open_jobs, queued, version)
        self._context.jobs.timeline.record(
            "job_put_back", job=job.id, reason=refusal.reason.value
        )

    def _finish(
        self, job: Job, version: Version, state: JobState, result: JobResult
    ) -> None:
        """Create the finished record, then delete the open one."""
        now_s = time.time()
        finished = replace(
            job,
            state=state,
            result=result,
            expires_s=now_s + RESULT_LIFETIME_S,
            write_id=WriteId(uuid4().hex),
        )
        try:
            self._write_with_retry(self._context.jobs.finished_jobs, finished, ABSENT)
        except ConflictError:
            pass  # A result is already recorded, by this or another holder.
        self._context.jobs.timeline.record(
            "job_finished", job=job.id, state=state.value
        )
        self._close(job, version)

    def _close(self, job: Job, version: Version) -> None:
        """Delete the open record; if that fails, the next holder deletes it."""
        try:
            self._context.jobs.open_jobs.delete(record_key(job.id), version)
        except (ConflictError, StoreUnavailableError):
            return

    def _write_with_retry(
        self, records: Records[Job], job: Job, version: Version
    ) -> None:
        """Retry the write until the object API answers.

        Raises
        ------
        ConflictError
            If the record has another version.
        """
        for _ in self._context.timer.every(WRITE_RETRY_PERIOD_S):
            try:
                write_resolved(records, record_key(job.id), job, version)
            except StoreUnavailableError:
                continue
            return
