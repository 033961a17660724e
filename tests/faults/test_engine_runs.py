"""Tests of the check for requests that two engines run at once."""

import pytest

from faults.engine_runs import EngineRun, engine_runs, runs_at_once
from faults.injections import FreezeEngine, RepeatAnswers
from faults.lost_counts import InjectionInterval

FIRST = EngineRun("a", "engine-1", 10.0, 12.0)
BEGUN = {"request_id": "a", "prompt": "p", "at_s": 10.0}
ENDED = {"ended": "a", "at_s": 12.0}


class TestEngineRuns:
    """Runs in a journal."""

    def test_ended_run(self):
        """It lasts from its begin to its end."""
        assert engine_runs("engine-1", [BEGUN, ENDED]) == [FIRST]

    def test_run_that_its_engine_did_not_end(self):
        """It ended with its engine, at a time that is not known."""
        journal = [BEGUN, {"overcommit_mb": 1, "at_s": 11.0}]
        assert engine_runs("engine-1", journal) == []


class TestRunsAtOnce:
    """Runs of one request at two engines."""

    @pytest.mark.parametrize(("began_s", "count"), [(11.0, 1), (11.9, 0), (12.5, 0)])
    def test_overlap(self, began_s, count):
        """A short one is allowed, as the end of a run takes a moment."""
        second = EngineRun("a", "engine-2", began_s, 13.0)
        assert len(list(runs_at_once([second, FIRST], ()))) == count

    @pytest.mark.parametrize(
        ("injection", "count"),
        [(FreezeEngine("engine-1", 1.0), 0), (RepeatAnswers("engine-1", 400, 1.0), 1)],
    )
    def test_faults_of_processes_excuse(self, injection, count):
        """An engine that is frozen cannot end its run."""
        second = EngineRun("a", "engine-2", 11.0, 13.0)
        interval = InjectionInterval(injection, 11.5, 12.0)
        assert len(list(runs_at_once([FIRST, second], [interval]))) == count

    def test_other_requests(self):
        """An engine runs many at once."""
        second = EngineRun("b", "engine-2", 11.0, 13.0)
        assert not list(runs_at_once([FIRST, second], ()))
