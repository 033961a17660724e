"""Tests of bounding open jobs."""

import pytest

from camphoryard.coordination.jobs import job_limits
from camphoryard.coordination.jobs.job_limits import JobLimits, OpenJobCounter
from camphoryard.state.enums import JobState, Reason
from camphoryard.state.errors import RefusalError, StoreUnavailableError
from camphoryard.state.ids import ABSENT
from camphoryard.state.jobs import Job, record_key
from camphoryard.state.verdict import Verdict
from tests.fakes.object_api import MemoryRecords


@pytest.fixture
def records():
    """Return three open jobs, two of one caller, in different shards."""
    made = MemoryRecords()
    for caller, job in (("a", "0" * 32), ("a", "f" * 32), ("b", "7" * 32)):
        record = Job(job, caller, JobState.QUEUED, 0.0, 9.0, f"w{job}")
        made.put(record_key(job), record, ABSENT)
    return made


def refusal_of(counter, caller):
    """Return the refusal of a caller's next job."""
    with pytest.raises(RefusalError) as caught:
        counter.take(caller)
    return caught.value


class TestOpenJobCounter:
    """Counts over all shards and nodes."""

    def test_counts_what_all_nodes_accepted(self, records):
        """Jobs in the object API count, and what this node adds."""
        counter = OpenJobCounter(records, JobLimits(100, 3))
        counter.take("a")
        refusal = refusal_of(counter, "a")
        assert (refusal.reason, refusal.verdict) == (
            Reason.TOO_MANY_JOBS,
            Verdict.NOT_RUN,
        )
        assert refusal.retry_after_s > 0
        counter.take("b")

    def test_bounds_all_callers_together(self, records):
        """A caller without any job is refused once all places are taken."""
        counter = OpenJobCounter(records, JobLimits(4, 4))
        counter.take("a")
        assert "all callers" in refusal_of(counter, "c").detail

    def test_place_given_back_is_free(self, records):
        """A job that was not recorded holds no place."""
        counter = OpenJobCounter(records, JobLimits(4, 4))
        counter.take("c")
        counter.give_back("c")
        counter.take("c")

    def test_jobs_done_are_seen_at_the_next_count(self, records, monkeypatch):
        """A new listing replaces the counts."""
        monkeypatch.setattr(job_limits, "COUNT_PERIOD_S", 0.0)
        counter = OpenJobCounter(records, JobLimits(3, 3))
        refusal_of(counter, "a")
        records.stored_by_key.popitem()
        counter.take("a")

    def test_outage_is_told(self, records):
        """Without a count nothing is admitted."""
        records.outage = True
        with pytest.raises(StoreUnavailableError):
            OpenJobCounter(records, JobLimits(9, 9)).take("a")
