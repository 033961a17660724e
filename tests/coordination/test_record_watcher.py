"""Tests of following the object API, and of who does."""

import pytest

from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.coordination.record_watcher import RecordWatcher, elected_watchers
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.nodes import NodeLease


class ScriptedTimer:
    """Ticks a given number of times for each subscription."""

    def __init__(self, ticks):
        self.ticks = ticks
        self.periods_s = []

    def every(self, period_s):
        """Return the ticks."""
        self.periods_s.append(period_s)
        return iter([None] * self.ticks)


class ScriptedRecords:
    """Answers listings and watches from a script; an error in it is raised."""

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
    """Return an answer that brings records of these keys."""
    return Snapshot(revision, tuple(Stored(key, revision, key) for key in keys))


def lease(node, zone):
    """Return a serving node's lease."""
    return NodeLease(node, "i", zone, "10.0.0.1", 1, "", NodeState.SERVING, 1e9, "")


class TestFollower:
    """Following a prefix."""

    def test_takes_the_listing_and_what_comes_after_it(self):
        """Each watch goes on from the revision of the answer before it."""
        records = ScriptedRecords(snapshot(3, "a"), snapshot(5, "b"), snapshot(9, "c"))
        taken, confirmed = [], []
        RecordWatcher(
            records,
            lambda item: taken.append(item.key),
            confirmed.append,
            wait_s=7.0,
        ).run(ScriptedTimer(1))
        assert taken == ["a", "b", "c"]
        assert records.calls[1:3] == [("watch", 3, 7.0), ("watch", 5, 7.0)]
        assert len(confirmed) == 3

    def test_lists_again_when_the_revision_is_gone(self):
        """A watch that cannot go on is met by a new listing, so nothing is lost."""
        records = ScriptedRecords(
            snapshot(3), ConflictError("gone"), snapshot(8, "late")
        )
        taken = []
        RecordWatcher(records, lambda item: taken.append(item.key)).run(
            ScriptedTimer(2)
        )
        assert taken == ["late"]

    def test_tells_when_the_object_api_ceases_and_begins_to_answer(self):
        """Only changes are told, and each is."""
        out = StoreUnavailableError("out")
        records = ScriptedRecords(out, out, snapshot(1), out)
        told = []
        RecordWatcher(records, lambda item: None, answering=told.append).run(
            ScriptedTimer(3)
        )
        assert told == [False, True, False]

    def test_does_not_confirm_what_was_not_answered(self):
        """An outage confirms nothing."""
        confirmed = []
        records = ScriptedRecords(StoreUnavailableError("out"))
        RecordWatcher(records, lambda item: None, confirmed.append).run(
            ScriptedTimer(1)
        )
        assert confirmed == []

    def test_makes_no_call_unless_elected(self):
        """A node for which another one follows leaves the object API alone."""
        records = ScriptedRecords(snapshot(1))
        RecordWatcher(records, lambda item: None, elected=lambda: False).run(
            ScriptedTimer(5)
        )
        assert records.calls == []

    def test_ceases_when_no_longer_elected(self):
        """A watcher that is replaced makes no further watch."""
        records = ScriptedRecords(snapshot(1), snapshot(2), snapshot(3))
        turns = iter([True, True, False])
        RecordWatcher(records, lambda item: None, elected=lambda: next(turns)).run(
            ScriptedTimer(1)
        )
        assert len(records.calls) == 2

    def test_watches_once_a_batch(self):
        """With a batch there is one watch a tick, however much changes."""
        records = ScriptedRecords(*(snapshot(index) for index in range(1, 20)))
        timer = ScriptedTimer(1)
        RecordWatcher(records, lambda item: None, batch_s=0.5).run(timer)
        assert timer.periods_s[1] == 0.5
        assert [call for call in records.calls if call != "list"] == [
            ("watch", 1, pytest.approx(20.0))
        ]


class TestElectedWatchers:
    """Who watches for a zone."""

    def test_each_zone_has_its_own(self):
        """Only nodes of the zone are chosen, at most so many."""
        alive = [lease(f"n{index}", f"z{index % 2}") for index in range(10)]
        chosen = elected_watchers("z1", alive, 2)
        assert len(chosen) == 2
        assert {int(node[1:]) % 2 for node in chosen} == {1}

    def test_choice_does_not_depend_on_order(self):
        """Nodes that know the same leases name the same watchers."""
        alive = [lease(f"n{index}", "z") for index in range(10)]
        assert elected_watchers("z", alive, 3) == elected_watchers("z", alive[::-1], 3)

    def test_loss_of_one_that_does_not_watch_changes_nothing(self):
        """Watchers stay while they live."""
        alive = [lease(f"n{index}", "z") for index in range(10)]
        before = elected_watchers("z", alive, 2)
        left = [item for item in alive if item.node in before or item.node == "n0"]
        assert elected_watchers("z", left, 2) == before
