"""Tests of accepting and finding jobs."""

import pytest

from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.coordination.jobs.jobs import JobContext, accept, find
from camphoryard.coordination.observing.timeline import Timeline
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
from camphoryard.state.jobs import CallWork, CompletionWork, record_key
from camphoryard.state.labels import Equals, Selector
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.state.verdict import Verdict
from tests.fakes.object_api import MemoryRecords

WORK = CompletionWork("lease-13b", None, "summarise", 8)
BATCH = Selector((Equals("desk", "batch"),))


def make_configuration():
    """Return callers of a deferrable and of an urgent group."""
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
def parts():
    """Return the parts of one node over an in-memory object API."""
    configuration = ConfigurationHolder()
    configuration.adopt(make_configuration())
    timeline = Timeline("n1", HybridClock(), lambda event: None)
    open_jobs = MemoryRecords()
    counter = OpenJobCounter(open_jobs, JobLimits(total=3, per_caller=2))
    return JobContext(configuration, open_jobs, MemoryRecords(), counter, timeline)


def refusal_of(parts, caller="overnight", work=WORK, key=None):
    """Return the refusal of a job that must not be accepted."""
    with pytest.raises(RefusalError) as caught:
        accept(parts, caller, work, key)
    return caught.value.reason, caught.value.verdict


class TestAccept:
    """Recording a job before saying that it is accepted."""

    def test_accepted_job_is_recorded(self, parts):
        """It can be found through any node."""
        job = accept(parts, "overnight", WORK, None)
        assert find(parts, "overnight", job.id) == job
        assert job.state is JobState.QUEUED

    def test_resend_with_a_key_is_the_same_job(self, parts):
        """A key names one job of its caller."""
        first = accept(parts, "overnight", WORK, "k")
        assert accept(parts, "overnight", WORK, "k") == first
        other = CompletionWork("lease-13b", None, "another", 8)
        refused = refusal_of(parts, work=other, key="k")
        assert refused == (Reason.KEY_REUSED, Verdict.NOT_RUN)

    def test_outage_is_refused_as_not_run(self, parts):
        """Nothing is written that could be run later."""
        parts.open_jobs.outage = True
        refused = refusal_of(parts)
        assert refused == (Reason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
        assert not parts.open_jobs.stored_by_key

    def test_lost_answer_of_the_record_is_resolved(self, parts):
        """The job was recorded though the answer was lost: accepted."""
        parts.open_jobs.lose_answers = 1
        job = accept(parts, "overnight", WORK, None)
        assert find(parts, "overnight", job.id) == job

    def test_unknown_fate_may_have_run(self, parts):
        """A write without an answer may have recorded the job."""

        def go_out():
            parts.open_jobs.outage = True
            parts.open_jobs.lose_answers = 1

        parts.open_jobs.after_put = go_out
        parts.open_jobs.lose_answers = 1
        refused = refusal_of(parts)
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
    def test_what_may_not_be_deferred_is_refused(self, parts, caller, work, reason):
        """Urgent callers, unknown targets and non-idempotent operations."""
        assert refusal_of(parts, caller, work) == (reason, Verdict.NOT_RUN)

    def test_too_many_open_jobs_are_refused(self, parts):
        """Nothing is recorded; a resend of a known job still finds it."""
        first = accept(parts, "overnight", WORK, "k")
        accept(parts, "overnight", WORK, None)
        refused = refusal_of(parts)
        assert refused == (Reason.TOO_MANY_JOBS, Verdict.NOT_RUN)
        assert len(parts.open_jobs.stored_by_key) == 2
        assert accept(parts, "overnight", WORK, "k") == first

    def test_resend_in_a_race_takes_no_place(self, parts):
        """Of two equal sends at once one is recorded and one counted."""
        parts.open_jobs.before_put = lambda: accept(parts, "overnight", WORK, "k")
        accept(parts, "overnight", WORK, "k")
        accept(parts, "overnight", WORK, None)
        assert refusal_of(parts)[0] is Reason.TOO_MANY_JOBS

    def test_idempotent_call_is_accepted(self, parts):
        """A call that may run again can be a job."""
        work = CallWork("bookings", "availability", b"{}")
        assert accept(parts, "overnight", work, None).work == work


class TestFind:
    """Reading a job back."""

    @pytest.mark.parametrize("job", ["", "../x", "0" * 32])
    def test_unknown_job_is_not_found(self, parts, job):
        """An id of no job, or no id at all."""
        with pytest.raises(RefusalError) as caught:
            find(parts, "overnight", job)
        assert caught.value.reason is Reason.NOT_FOUND

    def test_job_of_another_caller_is_not_found(self, parts):
        """A caller reads its own jobs only."""
        job = accept(parts, "overnight", WORK, None)
        with pytest.raises(RefusalError) as caught:
            find(parts, "front-desk", job.id)
        assert caught.value.reason is Reason.NOT_FOUND
        assert parts.open_jobs.get(record_key(job.id)) is not None
