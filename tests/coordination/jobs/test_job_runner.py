"""Tests of running jobs."""

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
from tests.fakes.object_api import MemoryRecords

LIFE_S = 3600.0


class DeferringExecutor(Executor):
    """Keeps tasks until they are run by hand."""

    def __init__(self):
        self.tasks = []

    def submit(self, fn, /, *args, **kwargs):
        """Keep a task."""
        self.tasks.append(lambda: fn(*args, **kwargs))
        return Future()

    def run_all(self):
        """Run the tasks kept so far."""
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task()


class Bench:
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
        open_jobs = MemoryRecords()
        self.jobs = JobContext(
            ConfigurationHolder(),
            open_jobs,
            MemoryRecords(),
            OpenJobCounter(open_jobs, JobLimits(100, 100)),
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
        """Have a live node that owns no shard."""
        state = NodeState.SERVING if node == "n1" else NodeState.DRAINING
        lease = NodeLease(node, incarnation, "a", "h", 1, "", state, 60.0, "w")
        self.nodes.observe(lease, 1)

    def infer(self, request):
        """Answer, or refuse if a refusal is scripted."""
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
            now_s + LIFE_S,
            f"w{number}",
            CompletionWork("m", None, f"prompt {number}", 8),
        )
        job = replace(job, **fields)
        self.jobs.open_jobs.put(record_key(job.id), job, ABSENT)
        return job

    def work(self):
        """Take what is due and run it."""
        self.runner.take_due()
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
def bench():
    """Return a runner's bench."""
    bench = Bench()
    yield bench
    bench.timer.close()


class TestJobRunner:
    """Taking, running, finishing and putting back."""

    def test_queued_job_is_run_and_closed(self, bench):
        """Its result is recorded and it is open no longer."""
        job = bench.add()
        bench.work()
        finished = bench.finished_job(job)
        assert (finished.state, finished.result.body) == (JobState.DONE, b"answer")
        assert bench.open_job(job) is None

    def test_only_a_few_run_at_once(self, bench):
        """The rest is taken when there is room again."""
        for number in range(MAX_CONCURRENT_JOBS + 1):
            bench.add(number)
        bench.runner.take_due()
        assert len(bench.executor.tasks) == MAX_CONCURRENT_JOBS
        bench.executor.run_all()
        bench.work()
        assert len(set(bench.prompts)) == MAX_CONCURRENT_JOBS + 1

    def test_job_of_a_live_holder_is_left(self, bench):
        """Another node's lease is alive: the job is its."""
        bench.join("n2", "i2")
        bench.add(state=JobState.RUNNING, holder="i2")
        bench.work()
        assert bench.prompts == []

    def test_job_of_a_gone_holder_is_taken_over(self, bench):
        """Its lease has lapsed."""
        job = bench.add(state=JobState.RUNNING, holder="i9")
        bench.work()
        assert bench.finished_job(job).state is JobState.DONE

    def test_result_is_recorded_once(self, bench):
        """A job that another holder finished is closed and not run again."""
        job = bench.add()
        bench.runner.take_due()
        result = JobResult(b"the other's", 200)
        finished = replace(job, state=JobState.DONE, result=result)
        bench.jobs.finished_jobs.put(record_key(job.id), finished, ABSENT)
        bench.executor.run_all()
        assert bench.prompts == []
        assert bench.finished_job(job).result == result
        assert bench.open_job(job) is None

    def test_passing_refusal_puts_it_back(self, bench):
        """It is tried again, not at once and not less often than for ever."""
        job = bench.add()
        bench.refusals = [RefusalError(Reason.OVERLOADED, "busy")]
        bench.work()
        queued = bench.open_job(job)
        assert (queued.state, queued.attempts) == (JobState.QUEUED, 1)
        assert queued.due_s > queued.accepted_s
        bench.work()
        assert len(bench.prompts) == 1

    def test_final_refusal_fails_it(self, bench):
        """What can never run is not tried for ever."""
        job = bench.add()
        bench.refusals = [RefusalError(Reason.UNKNOWN_MODEL, "gone")]
        bench.work()
        finished = bench.finished_job(job)
        assert finished.state is JobState.FAILED
        assert finished.result.reason is Reason.UNKNOWN_MODEL

    def test_answer_that_cannot_be_kept_fails_it(self, bench):
        """A result too large for its record does not hold a place for ever."""
        bench.answer = ActionAnswer(200, b"x" * (MAX_RESULT_BYTES + 1))
        job = bench.add(completion=None, call=CallWork("s", "report", b""))
        bench.work()
        result = bench.finished_job(job).result
        assert (result.reason, result.verdict) == (
            Reason.ANSWER_TOO_LARGE,
            Verdict.RAN,
        )
        assert bench.open_job(job) is None

    def test_expired_job_fails_unrun(self, bench):
        """Nobody waits for it any longer."""
        job = bench.add(expires_s=0.0)
        bench.work()
        assert bench.finished_job(job).result.reason is Reason.DEADLINE
        assert bench.prompts == []
