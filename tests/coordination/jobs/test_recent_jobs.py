"""Tests of jobs that are recorded again."""

from dataclasses import replace

import pytest

from camphoryard.coordination.jobs.recent_jobs import (
    KEPT_S,
    MAX_KEPT_BYTES,
    RecentJobs,
)
from camphoryard.state.enums import JobState
from camphoryard.state.errors import StoreUnavailableError
from camphoryard.state.ids import ABSENT
from camphoryard.state.jobs import CompletionWork, Job, record_key
from tests.fakes.object_api import InMemoryRecords
from tests.fakes.serving import timeline


def make_job(job="a1"):
    """Return an accepted job."""
    work = CompletionWork("m", None, "summarise", 8)
    return Job(job, "overnight", JobState.QUEUED, 0.0, 1.0, f"w-{job}", work)


class Site:
    """A node's recent jobs and a store that has lost them."""

    def __init__(self):
        self.now_s = 0.0
        self.open, self.finished = InMemoryRecords(), InMemoryRecords()
        self.recent = RecentJobs(
            self.open, self.finished, timeline(), lambda: self.now_s
        )

    @property
    def recorded(self):
        """The ids of the open jobs in the store."""
        return {item.record.id for item in self.open.list().items}


@pytest.fixture
def site():
    """Return a node that accepted one job, which the store has lost."""
    site = Site()
    site.recent.remember(make_job())
    return site


# Guards against LOST: an accepted job was gone after a restore of the store.
class TestRecentJobs:
    """Accepted jobs that the store has lost."""

    def test_lost_job_is_recorded_again(self, site):
        """As it was accepted."""
        site.recent.write_again()
        assert site.open.get(record_key("a1")).record == make_job()

    @pytest.mark.parametrize("table", ["open", "finished"])
    def test_known_job_is_not_recorded_again(self, site, table):
        """It is open or has a result."""
        getattr(site, table).put(record_key("a1"), make_job(), ABSENT)
        before = dict(site.open.stored_by_key)
        site.recent.write_again()
        assert site.open.stored_by_key == before

    def test_job_is_kept_for_a_while(self, site):
        """An older one is in each copy of the store."""
        site.now_s = KEPT_S + 1.0
        site.recent.remember(make_job("b2"))
        site.recent.write_again()
        assert site.recorded == {"b2"}

    def test_size_of_jobs_is_bounded(self, site):
        """The oldest are not kept."""
        large = CompletionWork("m", None, "x" * (MAX_KEPT_BYTES // 2), 8)
        for job in ("b2", "c3"):
            site.recent.remember(replace(make_job(job), completion=large))
        site.recent.write_again()
        assert site.recorded == {"b2", "c3"}

    def test_outage_is_reported(self, site):
        """It is tried again later."""
        site.open.outage = True
        with pytest.raises(StoreUnavailableError):
            site.recent.write_again()
