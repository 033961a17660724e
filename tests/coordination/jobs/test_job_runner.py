"""Tests of claiming and running jobs."""

import time
from concurrent.futures import Executor, Future
from dataclasses import replace

import pytest

from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.coordination.jobs.job_runner import (
    MAX_CONCURRENT_JOBS,
    MAX_RESULT_BYTES,
    JobRunner,
    JobRunnerContext,
)
from camphoryard.coordination.jobs.jobs import JobContext
from camphoryard.coordination.jobs.recent_jobs import RecentJobs
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.state.enums import JobState, NodeState, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import ABSENT
from camphoryard.state.jobs import (
    CallWork,
    CompletionWork,
    Job,
    JobResult,
    record_key,
)
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.requests import ActionAnswer
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from camphoryard.transport.timer import TimerService
from tests.fakes.object_api import InMemoryRecords

LIFETIME_S = 3600.0


class DeferringExecutor(Executor):
    """Stores tasks until ``run_all`` is called."""

    def __init__(self):
        self.tasks = []

    def submit(self, fn, /, *args, **kwargs):
        """Store a task."""
        self.tasks.append(lambda: fn(*args, **kwargs))
        return Future()

    def run_all(self):
        """Run the stored tasks."""
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task()


class RunnerFixture:
    """One node's runner over an in-memory object API."""

    def __init__(self):
        self.timer = TimerService()
        self.executor = DeferringExecutor()
        self.prompts = []
        self.refusals = []
        self.answer = None
        self.nodes = NodeTable()
        self.join("n1", "i1")
        timeline = Timeline("n1", HybridClock(), lambda event: None)
        open_jobs, finished_jobs = InMemoryRecords(), InMemoryRecords()
        self.jobs = JobContext(
            ConfigurationHolder(),
            open_jobs,
            finished_jobs,
            OpenJobCounter(open_jobs, JobLimits(100, 100)),
            RecentJobs(open_jobs, finished_jobs, timeline),
            timeline,
        )
        self.runner = JobRunner(
            JobRunnerContext(
                Identity("n1", "i1"),
                self.nodes,
                self.jobs,
                self.timer,
                self.executor,
                lambda: True,
                self.infer,
                lambda request: self.answer,
            )
        )

    def join(self, node, incarnation):
        """Add a live node; any but n1 is draining and owns no shard."""
        state = NodeState.SERVING if node == "n1" else NodeState.DRAINING
        lease = NodeLease(node, incarnation, "a", "h", 1, "", state, 60.0, "w")
        self.nodes.observe(lease, 1)

    def infer(self, request):
        """Return an answer, or raise the next scripted refusal."""
        self.prompts.append(request.prompt)
        if self.refusals:
            raise self.refusals.pop(0)
        return "answer"

    def add(self, number=0, **fields):
        """Record an open job and return it."""
        now_s = time.time()
        job = Job(
            f"{number:032x}",
            "overnight",
            JobState.QUEUED,
            now_s,
            now_s + LIFETIME_S,
            f"w{number}",
            CompletionWork("m", None, f"prompt {number}", 8),
        )
        job = replace(job, **fields)
        self.jobs.open_jobs.put(record_key(job.id), job, ABSENT)
        return job

    def claim_and_run(self):
        """Claim the due jobs and run them."""
        self.runner.claim_due()
        self.executor.run_all()

    def open_job(self, job):
        """Return the open record of a job."""
        stored = self.jobs.open_jobs.get(record_key(job.id))
        return stored.record if stored else None

    def finished_job(self, job):
        """Return the finished record of a job."""
        stored = self.jobs.finished_jobs.get(record_key(job.id))
        return stored.record if stored else None


@pytest.fixture
def node():
    """Return the runner of one node."""
    node = RunnerFixture()
    yield node
    node.timer.close()


class TestJobRunner:
    """Claiming, running, finishing and requeuing."""

    def test_queued_job_is_run_and_closed(self, node):
        """The result is recorded and the open record is deleted."""
        job = node.add()
        node.claim_and_run()
        finished = node.finished_job(job)
        assert (finished.state, finished.result.body) == (JobState.DONE, b"answer")
        assert node.open_job(job) is None

    def test_concurrent_jobs_are_limited(self, node):
        """The remaining job is claimed once a slot is free."""
        for number in range(MAX_CONCURRENT_JOBS + 1):
            node.add(number)
        node.runner.claim_due()
        assert len(node.executor.tasks) == MAX_CONCURRENT_JOBS
        node.executor.run_all()
        node.claim_and_run()
        assert len(set(node.prompts)) == MAX_CONCURRENT_JOBS + 1

    def test_job_of_a_live_holder_is_not_claimed(self, node):
        """A running job stays with its holder while the holder's lease is alive."""
        node.join("n2", "i2")
        node.add(state=JobState.RUNNING, holder="i2")
        node.claim_and_run()
        assert node.prompts == []

    def test_job_of_an_expired_holder_is_claimed(self, node):
        """A job whose holder has no live lease is run again."""
        job = node.add(state=JobState.RUNNING, holder="i9")
        node.claim_and_run()
        assert node.finished_job(job).state is JobState.DONE

    def test_result_is_recorded_once(self, node):
        """A job that another holder has finished is closed without being run."""
        job = node.add()
        node.runner.claim_due()
        result = JobResult(b"the other's", 200)
        finished = replace(job, state=JobState.DONE, result=result)
        node.jobs.finished_jobs.put(record_key(job.id), finished, ABSENT)
        node.executor.run_all()
        assert node.prompts == []
        assert node.finished_job(job).result == result
        assert node.open_job(job) is None

    def test_retryable_refusal_requeues_the_job(self, node):
        """A requeued job keeps its attempts and is not due at once."""
        job = node.add()
        node.refusals = [RefusalError(Reason.OVERLOADED, "busy")]
        node.claim_and_run()
        queued = node.open_job(job)
        assert (queued.state, queued.attempts) == (JobState.QUEUED, 1)
        assert queued.due_s > queued.accepted_s
        node.claim_and_run()
        assert len(node.prompts) == 1

    def test_final_refusal_fails_the_job(self, node):
        """A job whose refusal is final is not retried."""
        job = node.add()
        node.refusals = [RefusalError(Reason.UNKNOWN_MODEL, "gone")]
        node.claim_and_run()
        finished = node.finished_job(job)
        assert finished.state is JobState.FAILED
        assert finished.result.reason is Reason.UNKNOWN_MODEL

    def test_too_large_answer_fails_the_job(self, node):
        """A job whose answer is too large for its record fails and is closed."""
        node.answer = ActionAnswer(200, b"x" * (MAX_RESULT_BYTES + 1))
        job = node.add(completion=None, call=CallWork("s", "report", b""))
        node.claim_and_run()
        result = node.finished_job(job).result
        assert (result.reason, result.verdict) == (
            Reason.ANSWER_TOO_LARGE,
            Verdict.RAN,
        )
        assert node.open_job(job) is None

    def test_expired_job_fails_without_running(self, node):
        """A job past its expiry fails with the reason DEADLINE."""
        job = node.add(expires_s=0.0)
        node.claim_and_run()
        assert node.finished_job(job).result.reason is Reason.DEADLINE
        assert node.prompts == []
