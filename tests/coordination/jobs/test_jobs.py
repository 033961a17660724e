"""Tests of accepting and finding jobs."""

from dataclasses import replace

import pytest

from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.coordination.jobs.jobs import JobContext, accept, find
from camphoryard.coordination.jobs.recent_jobs import RecentJobs
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.configuration import (
    Caller,
    Configuration,
    Endpoint,
    Model,
    Service,
    ServingGroup,
)
from camphoryard.state.enums import EndpointKind, JobState, Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import StoreEra
from camphoryard.state.jobs import CallWork, CompletionWork, record_key
from camphoryard.state.labels import Equals, Selector
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from tests.fakes.object_api import InMemoryRecords

WORK = CompletionWork("lease-13b", None, "summarise", 8)
BATCH = Selector((Equals("desk", "batch"),))


def make_configuration():
    """Return a configuration with a deferrable and an urgent group."""
    endpoints = {
        "e1": Endpoint("e1", EndpointKind.ENGINE, "127.0.0.1", 1),
        "b1": Endpoint("b1", EndpointKind.SERVICE, "127.0.0.1", 2),
    }
    return Configuration(
        generation=1,
        models_by_id={"lease-13b": Model("lease-13b", 1)},
        endpoints_by_id=endpoints,
        services_by_id={"bookings": Service("bookings", frozenset({"availability"}))},
        callers_by_id={"overnight": Caller("overnight", {"desk": "batch"})},
        groups_by_id={
            "batch": ServingGroup("batch", Priority.DEFERRABLE, BATCH, order=1),
            "rest": ServingGroup("rest", Priority.URGENT, order=2),
        },
    )


@pytest.fixture
def context():
    """Return the job context of one node over an in-memory object API."""
    configuration = ConfigurationHolder()
    configuration.adopt(make_configuration())
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    open_jobs, finished_jobs = InMemoryRecords(), InMemoryRecords()
    recent = RecentJobs(open_jobs, finished_jobs, timeline)
    counter = OpenJobCounter(open_jobs, JobLimits(total=3, per_caller=2))
    return JobContext(
        configuration, open_jobs, finished_jobs, counter, recent, timeline
    )


def refusal_of(context, caller="overnight", work=WORK, key=None):
    """Return the reason and verdict of the refusal of a job."""
    with pytest.raises(RefusalError) as caught:
        accept(context, caller, work, key)
    return caught.value.reason, caught.value.verdict


class TestAccept:
    """Accepting jobs."""

    def test_accepted_job_is_recorded(self, context):
        """An accepted job is stored in the queued state and can be found."""
        job = accept(context, "overnight", WORK, None)
        assert find(context, "overnight", job.id) == job
        assert job.state is JobState.QUEUED

    # Guards against LOST: an accepted job was gone after a restore of the store.
    def test_job_that_the_store_lost_is_recorded_again(self, context):
        """Only an accepted one is."""
        job = accept(context, "overnight", WORK, None)
        context.open_jobs.stored_by_key.clear()
        context.recent.write_again()
        assert find(context, "overnight", job.id) == job

    def test_missing_job_may_be_lost_after_a_restore(self, context):
        """It is not said to be unknown before it could be recorded again."""
        job = accept(context, "overnight", WORK, None)
        context.open_jobs.stored_by_key.clear()
        restores = StoreRestores(60.0)
        restores.observe(StoreEra(2))
        with pytest.raises(RefusalError) as caught:
            find(replace(context, restores=restores), "overnight", job.id)
        assert caught.value.reason is Reason.STORE_UNAVAILABLE
        assert caught.value.retry_after_s > 0

    def test_resend_with_a_key_returns_the_same_job(self, context):
        """A key identifies one job of its caller; other work under it is refused."""
        first = accept(context, "overnight", WORK, "k")
        assert accept(context, "overnight", WORK, "k") == first
        other = CompletionWork("lease-13b", None, "another", 8)
        refused = refusal_of(context, work=other, key="k")
        assert refused == (Reason.KEY_REUSED, Verdict.NOT_RUN)

    def test_outage_has_verdict_not_run(self, context):
        """Nothing is written that could run later."""
        context.open_jobs.outage = True
        refused = refusal_of(context)
        assert refused == (Reason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
        assert not context.open_jobs.stored_by_key

    def test_lost_answer_of_the_write_is_resolved(self, context):
        """A job that was recorded is accepted although the answer was lost."""
        context.open_jobs.lose_answers = 1
        job = accept(context, "overnight", WORK, None)
        assert find(context, "overnight", job.id) == job

    def test_unresolved_write_has_verdict_may_have_run(self, context):
        """A write whose outcome cannot be read back may have recorded the job."""

        def start_outage():
            context.open_jobs.outage = True
            context.open_jobs.lose_answers = 1

        context.open_jobs.after_put = start_outage
        context.open_jobs.lose_answers = 1
        refused = refusal_of(context)
        assert refused == (Reason.STORE_UNAVAILABLE, Verdict.MAY_HAVE_RUN)

    @pytest.mark.parametrize(
        ("caller", "work", "reason"),
        [
            ("front-desk", WORK, Reason.FORBIDDEN),
            ("overnight", CompletionWork("x", None, "p", 8), Reason.UNKNOWN_MODEL),
            ("overnight", CallWork("x", "book", b""), Reason.UNKNOWN_SERVICE),
            ("overnight", CallWork("bookings", "book", b""), Reason.BAD_FIELD),
        ],
    )
    def test_work_that_cannot_be_deferred_is_refused(
        self, context, caller, work, reason
    ):
        """Urgent callers, unknown targets and non-idempotent operations are refused."""
        assert refusal_of(context, caller, work) == (reason, Verdict.NOT_RUN)

    def test_too_many_open_jobs_are_refused(self, context):
        """A refused job is not recorded; a resend of a known job still returns it."""
        first = accept(context, "overnight", WORK, "k")
        accept(context, "overnight", WORK, None)
        refused = refusal_of(context)
        assert refused == (Reason.TOO_MANY_JOBS, Verdict.NOT_RUN)
        assert len(context.open_jobs.stored_by_key) == 2
        assert accept(context, "overnight", WORK, "k") == first

    def test_concurrent_resend_counts_once(self, context):
        """Of two concurrent sends with one key, one job is recorded and counted."""
        context.open_jobs.before_put = lambda: accept(context, "overnight", WORK, "k")
        accept(context, "overnight", WORK, "k")
        accept(context, "overnight", WORK, None)
        assert refusal_of(context)[0] is Reason.TOO_MANY_JOBS

    def test_idempotent_call_is_accepted(self, context):
        """A call of an idempotent operation can be a job."""
        work = CallWork("bookings", "availability", b"{}")
        assert accept(context, "overnight", work, None).work == work


class TestFind:
    """Looking jobs up."""

    @pytest.mark.parametrize("job", ["", "../x", "0" * 32])
    def test_unknown_job_is_not_found(self, context, job):
        """An id without a job and malformed ids are not found."""
        with pytest.raises(RefusalError) as caught:
            find(context, "overnight", job)
        assert caught.value.reason is Reason.NOT_FOUND

    def test_job_of_another_caller_is_not_found(self, context):
        """A caller can read only its own jobs."""
        job = accept(context, "overnight", WORK, None)
        with pytest.raises(RefusalError) as caught:
            find(context, "front-desk", job.id)
        assert caught.value.reason is Reason.NOT_FOUND
        assert context.open_jobs.get(record_key(job.id)) is not None
