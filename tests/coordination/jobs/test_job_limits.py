"""Tests of the limits on open jobs."""

import pytest

from camphoryard.coordination.jobs import job_limits
from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.state.enums import JobState, Reason
from camphoryard.state.errors import RefusalError, StoreUnavailableError
from camphoryard.state.ids import ABSENT
from camphoryard.state.jobs import Job, record_key
from camphoryard.state.verdict import Verdict
from tests.fakes.object_api import InMemoryRecords


@pytest.fixture
def records():
    """Return three open jobs, two of one caller, in different shards."""
    stored_jobs = InMemoryRecords()
    for caller, job in (("a", "0" * 32), ("a", "f" * 32), ("b", "7" * 32)):
        record = Job(job, caller, JobState.QUEUED, 0.0, 9.0, f"w{job}")
        stored_jobs.put(record_key(job), record, ABSENT)
    return stored_jobs


def refusal_of(counter, caller):
    """Return the refusal of a caller's next job."""
    with pytest.raises(RefusalError) as caught:
        counter.reserve(caller)
    return caught.value


class TestOpenJobCounter:
    """Counting open jobs over all shards and nodes."""

    def test_counts_jobs_accepted_by_all_nodes(self, records):
        """Jobs in the object API and those reserved by this node are counted."""
        counter = OpenJobCounter(records, JobLimits(100, 3))
        counter.reserve("a")
        refusal = refusal_of(counter, "a")
        assert (refusal.reason, refusal.verdict) == (
            Reason.TOO_MANY_JOBS,
            Verdict.NOT_RUN,
        )
        assert refusal.retry_after_s > 0
        counter.reserve("b")

    def test_limits_the_total_of_all_callers(self, records):
        """A caller without any job is refused once the total limit is reached."""
        counter = OpenJobCounter(records, JobLimits(4, 4))
        counter.reserve("a")
        assert "all callers" in refusal_of(counter, "c").detail

    def test_released_place_is_free(self, records):
        """A job that was not recorded does not count."""
        counter = OpenJobCounter(records, JobLimits(4, 4))
        counter.reserve("c")
        counter.release("c")
        counter.reserve("c")

    def test_recount_replaces_the_counts(self, records, monkeypatch):
        """A job deleted since the last listing no longer counts."""
        monkeypatch.setattr(job_limits, "RECOUNT_PERIOD_S", 0.0)
        counter = OpenJobCounter(records, JobLimits(3, 3))
        refusal_of(counter, "a")
        records.stored_by_key.popitem()
        counter.reserve("a")

    def test_outage_is_raised(self, records):
        """No job is accepted if the open jobs cannot be counted."""
        records.outage = True
        with pytest.raises(StoreUnavailableError):
            OpenJobCounter(records, JobLimits(9, 9)).reserve("a")
