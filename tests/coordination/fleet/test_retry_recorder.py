"""Tests of the record that a node's next process reads."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.fleet.fleet_size import LEFT_NODES_S, FleetSize
from camphoryard.coordination.fleet.retry_recorder import (
    FAILED_PERIOD_S,
    RetryRecorder,
)
from camphoryard.coordination.routing.retry_window import RepeatLimits, RetryWindow
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import ServiceId, StoreEra
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.store_eras import NewestEra
from tests.fakes.engines import Clock, RecordedLog
from tests.fakes.object_api import InMemoryRecords

LIMITS = RepeatLimits(0.2, 60.0, 10.0)
NODES = 5
PART = 10
"""Retries of one node without requests: a fifth of the reserve, less the margin."""
CHAT, DESK = ServiceId("chat"), ServiceId("desk")


def make_lease(name):
    """Return a node's lease."""
    return NodeLease(name, "i", "a", "h", 1, "", NodeState.SERVING, 60.0, "w")


class Fleet:
    """Nodes whose processes end and start again, and what they sent."""

    def __init__(self):
        self.clock, self.records, self.era = Clock(), InMemoryRecords(), NewestEra()
        self.log = RecordedLog()
        self.is_known, self.listed = True, NODES
        self.retries_s, self.requests_s = [], []
        self.processes = [self.start(node) for node in range(NODES)]
        self.check()

    def start(self, node):
        """Return the budget and the recorder of a new process."""
        nodes = NodeTable()
        fleet_size = FleetSize(nodes, self.clock)
        window = RetryWindow(LIMITS, fleet_size.count, self.clock)
        window.hold_reserve()
        for number in range(self.listed):
            nodes.observe(make_lease(f"n{number}"), 1)
        recorder = RetryRecorder(
            f"n{node}",
            self.records,
            window,
            self.era,
            fleet_size,
            lambda: self.is_known,
            self.log,
            self.clock,
        )
        return window, recorder

    def restart(self, node, is_read=True):
        """Replace a process; its successor has read the record unless told not to."""
        self.processes[node] = self.start(node)
        if is_read:
            self.check()

    def check(self):
        """Have all processes keep their records."""
        for _, recorder in self.processes:
            recorder.check()

    def request(self, node):
        """Receive a request at a node."""
        self.processes[node][0].earn(CHAT)
        self.requests_s.append(self.clock.now_s)

    def take(self, node, service=CHAT):
        """Return whether a node may retry."""
        is_taken = self.processes[node][0].take(service)
        if is_taken:
            self.retries_s.append(self.clock.now_s)
        self.check()
        return is_taken

    def take_all(self, node, service=CHAT):
        """Return how many retries a node may send now."""
        count = 0
        while self.take(node, service):
            count += 1
        return count


class TestRestartedNode:
    """A process that follows another one within a window."""

    def test_a_restart_does_not_renew_a_reserve_that_is_used(self):
        """Guards against retries beyond the budget after restarts."""
        fleet = Fleet()
        assert fleet.take_all(0) == PART
        fleet.restart(0)
        assert fleet.take_all(0) == 0
        fleet.clock.advance(LIMITS.window_s)
        assert fleet.take_all(0) == PART

    def test_a_restart_within_the_hold_does_not_renew_it_either(self):
        """The second process has used nothing, but the first one has."""
        fleet = Fleet()
        fleet.take_all(0)
        for _ in range(2):
            fleet.clock.advance(1.0)
            fleet.restart(0)
        assert fleet.take_all(0) == 0

    def test_a_calm_fleet_that_restarts_has_its_whole_reserve_at_once(self):
        """Callers get as many retries as without the restart."""
        fleet = Fleet()
        for node in range(NODES):
            fleet.restart(node)
        assert [fleet.take_all(node) for node in range(NODES)] == [PART] * NODES

    def test_other_services_keep_their_reserve(self):
        """Only that of the service in trouble is held."""
        fleet = Fleet()
        fleet.take_all(0)
        fleet.restart(0)
        assert fleet.take_all(0, DESK) == PART

    def test_retries_earned_by_requests_need_no_reserve(self):
        """They are allowed from the first second of a process."""
        fleet = Fleet()
        fleet.take_all(0)
        fleet.restart(0)
        for _ in range(100):
            fleet.request(0)
        assert fleet.take_all(0) == 17

    def test_a_reserve_that_is_no_longer_used_is_not_held(self):
        """The record is cleared once its window is over."""
        fleet = Fleet()
        fleet.take_all(0)
        fleet.clock.advance(LIMITS.window_s)
        fleet.check()
        fleet.restart(0)
        assert fleet.take_all(0) == PART

    def test_without_the_store_the_reserve_is_held_for_a_window(self):
        """What the earlier process has used is not known."""
        fleet = Fleet()
        fleet.records.outage = True
        fleet.restart(0)
        assert fleet.take_all(0) == 0
        fleet.clock.advance(LIMITS.window_s)
        assert fleet.take_all(0) == PART

    def test_a_node_that_has_not_listed_the_others_holds_its_reserve(self):
        """Guards against a part for too few nodes right after a start."""
        fleet = Fleet()
        fleet.is_known = False
        fleet.restart(0)
        assert fleet.take_all(0) == 0
        fleet.is_known = True
        fleet.check()
        assert fleet.take_all(0) == PART

    # Guards against retries beyond the budget after all nodes have stopped together.
    @pytest.mark.parametrize(("after_s", "part"), [(1.0, PART), (LEFT_NODES_S, 12)])
    def test_nodes_that_the_earlier_process_knew_divide_the_reserve(
        self, after_s, part
    ):
        """The store lists fewer, as those that have stopped are not there."""
        fleet = Fleet()
        fleet.processes[0][1].leave()
        fleet.check()
        fleet.listed = 2
        fleet.restart(0)
        fleet.clock.advance(after_s)
        assert fleet.take_all(0) == part

    def test_a_record_that_a_restore_has_lost_is_written_again(self):
        """The store answers in a new era, without the record."""
        fleet = Fleet()
        fleet.take(0)
        while fleet.processes[0][0].take(CHAT):
            pass
        fleet.records.stored_by_key.clear()
        fleet.era.observe(StoreEra(1))
        fleet.check()
        fleet.restart(0)
        assert fleet.take_all(0) == 0

    def test_use_during_an_outage_of_the_store_is_recorded_after_it(self):
        """Retries go on meanwhile, and one line says that the record is late."""
        fleet = Fleet()
        fleet.records.outage = True
        assert fleet.take_all(0) == PART
        fleet.records.outage = False
        fleet.clock.advance(FAILED_PERIOD_S)
        fleet.check()
        fleet.restart(0)
        assert fleet.take_all(0) == 0
        assert fleet.log.events().count("retry_record_failed") == 1

    def test_a_store_that_does_not_answer_is_called_once_a_second(self):
        """Load: retries at all nodes while the store turns them away."""
        fleet = Fleet()
        fleet.records.outage = True
        calls = []
        put = fleet.records.put
        fleet.records.put = lambda *args: (calls.append(args), put(*args))[1]
        fleet.take_all(0)
        for _ in range(20):
            fleet.clock.advance(0.1)
            fleet.check()
        assert 0 < len(calls) <= 3

    steps = st.tuples(
        st.floats(0.0, 1.0),
        st.integers(0, NODES - 1),
        st.sampled_from(["request", "take_all", "restart"]),
    )

    @given(st.lists(steps, max_size=60))
    def test_no_window_of_the_fleet_exceeds_the_bound(self, steps):
        """Guards against any order of restarts, requests and retries."""
        fleet = Fleet()
        for after_s, node, action in steps:
            fleet.clock.advance(after_s)
            fleet.check()
            getattr(fleet, action)(node)
            since_s = fleet.clock.now_s - LIMITS.window_s
            retries = sum(at_s > since_s for at_s in fleet.retries_s)
            requests = sum(at_s > since_s for at_s in fleet.requests_s)
            assert retries <= LIMITS.share * requests + LIMITS.reserve
