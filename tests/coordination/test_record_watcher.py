"""Tests of watching the object API, and of which nodes do it."""

import math

import pytest

from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.coordination.record_watcher import RecordWatcher, elected_watchers
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.nodes import NodeLease
from tests.fakes.engines import RecordedLog


class ScriptedTimer:
    """Timer that ticks a given number of times for each subscription."""

    def __init__(self, ticks):
        self.ticks = ticks
        self.periods_s = []

    def every(self, period_s):
        """Return the ticks."""
        self.periods_s.append(period_s)
        return iter([None] * self.ticks)


class ScriptedRecords:
    """Records that answer from a script; an error in the script is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def list(self):
        """Return the next answer of the script."""
        return self._next("list")

    def watch(self, since, wait_s):
        """Return the next answer of the script."""
        return self._next(("watch", since, wait_s))

    def _next(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0) if self.answers else StoreUnavailableError("end")
        if isinstance(answer, Exception):
            raise answer
        return answer


def snapshot(revision, *keys):
    """Return an answer with one record for each key."""
    return Snapshot(revision, tuple(Stored(key, revision, key) for key in keys))


def lease(node, zone):
    """Return the lease of a serving node."""
    return NodeLease(node, "i", zone, "10.0.0.1", 1, "", NodeState.SERVING, 1e9, "")


class TestFollower:
    """Listing and watching a prefix."""

    def test_passes_on_the_listing_and_later_changes(self):
        """Each watch starts at the revision of the previous answer."""
        records = ScriptedRecords(snapshot(3, "a"), snapshot(5, "b"), snapshot(9, "c"))
        received, confirmed = [], []
        RecordWatcher(
            records,
            lambda item: received.append(item.key),
            confirmed.append,
            wait_s=7.0,
        ).run(ScriptedTimer(1))
        assert received == ["a", "b", "c"]
        assert records.calls[1:3] == [("watch", 3, 7.0), ("watch", 5, 7.0)]
        assert len(confirmed) == 3

    def test_changes_are_passed_on_whole_if_wanted(self):
        """With their revision, and after a wait that is bounded for the time being."""
        records = ScriptedRecords(snapshot(3, "a"), snapshot(5, "b", "c"))
        received, single = [], []
        RecordWatcher(
            records,
            single.append,
            wait_s=7.0,
            on_listing=received.append,
            on_changes=received.append,
            max_wait_s=lambda: 0.5,
        ).run(ScriptedTimer(1))
        assert received == [snapshot(3, "a"), snapshot(5, "b", "c")]
        assert single == []
        assert records.calls[1] == ("watch", 3, 0.5)

    def test_lists_again_after_a_compacted_revision(self):
        """If the revision is too old to watch from, a new listing misses nothing."""
        records = ScriptedRecords(
            snapshot(3), ConflictError("gone"), snapshot(8, "late")
        )
        received = []
        RecordWatcher(records, lambda item: received.append(item.key)).run(
            ScriptedTimer(2)
        )
        assert received == ["late"]

    def test_reports_when_the_object_api_stops_or_starts_answering(self):
        """Every change of availability is reported once."""
        outage = StoreUnavailableError("out")
        records = ScriptedRecords(outage, outage, snapshot(1), outage)
        reported = []
        RecordWatcher(
            records, lambda item: None, on_availability_change=reported.append
        ).run(ScriptedTimer(3))
        assert reported == [False, True, False]

    def test_first_failure_after_an_answer_is_logged(self):
        """The line tells what is watched, and how old the view of it is."""
        outage = StoreUnavailableError("out")
        log = RecordedLog()
        watcher = RecordWatcher(
            ScriptedRecords(outage, snapshot(1), outage, outage),
            lambda item: None,
            name="endpoints",
            log=log,
        )
        assert watcher.age_s() == math.inf
        watcher.run(ScriptedTimer(3))
        ((event, fields),) = log.lines
        assert (event, fields["of"], fields["error"]) == (
            "watch_failed",
            "endpoints",
            "out",
        )
        assert fields["age_s"] >= fields["waited_s"] >= 0.0
        assert watcher.age_s() < math.inf

    def test_failed_call_confirms_nothing(self):
        """During an outage no confirmation is reported."""
        confirmed = []
        records = ScriptedRecords(StoreUnavailableError("out"))
        RecordWatcher(records, lambda item: None, confirmed.append).run(
            ScriptedTimer(1)
        )
        assert confirmed == []

    def test_makes_no_call_unless_elected(self):
        """A node whose zone is watched by another one does not call the object API."""
        records = ScriptedRecords(snapshot(1))
        RecordWatcher(records, lambda item: None, is_elected=lambda: False).run(
            ScriptedTimer(5)
        )
        assert records.calls == []

    def test_stops_when_no_longer_elected(self):
        """A node that is no longer elected starts no further watch."""
        records = ScriptedRecords(snapshot(1), snapshot(2), snapshot(3))
        elections = iter([True, True, False])
        RecordWatcher(
            records, lambda item: None, is_elected=lambda: next(elections)
        ).run(ScriptedTimer(1))
        assert len(records.calls) == 2

    def test_watches_once_per_batch_period(self):
        """With a batch period there is one watch per tick, however many changes."""
        records = ScriptedRecords(*(snapshot(index) for index in range(1, 20)))
        timer = ScriptedTimer(1)
        RecordWatcher(records, lambda item: None, batch_s=0.5).run(timer)
        assert timer.periods_s[1] == 0.5
        assert [call for call in records.calls if call != "list"] == [
            ("watch", 1, pytest.approx(20.0))
        ]

    def test_a_later_watch_fetches_the_changes_of_periods_that_are_not_due(self):
        """The revision stays that of the last call."""
        records = ScriptedRecords(*(snapshot(index) for index in range(1, 20)))
        RecordWatcher(
            records,
            lambda item: None,
            batch_s=0.5,
            is_due=lambda period: period % 3 == 0,
        ).run(ScriptedTimer(4))
        watches = [call[1] for call in records.calls if call != "list"]
        assert watches[:2] == [1, 2]
        assert len(watches) == 4 * 2


class TestElectedWatchers:
    """Choice of the nodes that watch for a zone."""

    def test_only_nodes_of_the_zone_are_elected(self):
        """At most ``count`` nodes are elected, all of the zone."""
        alive = [lease(f"n{index}", f"z{index % 2}") for index in range(10)]
        elected = elected_watchers("z1", alive, 2)
        assert len(elected) == 2
        assert {int(node[1:]) % 2 for node in elected} == {1}

    def test_election_does_not_depend_on_lease_order(self):
        """Nodes with the same leases elect the same watchers."""
        alive = [lease(f"n{index}", "z") for index in range(10)]
        assert elected_watchers("z", alive, 3) == elected_watchers("z", alive[::-1], 3)

    def test_loss_of_an_unelected_node_changes_nothing(self):
        """Elected nodes stay elected while they are alive."""
        alive = [lease(f"n{index}", "z") for index in range(10)]
        before = elected_watchers("z", alive, 2)
        remaining = [item for item in alive if item.node in before or item.node == "n0"]
        assert elected_watchers("z", remaining, 2) == before
