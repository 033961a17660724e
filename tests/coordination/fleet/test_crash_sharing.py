"""Tests of sharing crash reports in small and large fleets."""

from dataclasses import replace

import pytest

from camphoryard.coordination.fleet.crash_sharing import CrashSharing
from camphoryard.coordination.fleet.fleet_gossip import MAX_MESH_NODES
from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import EndpointId, Fingerprint, NodeId
from camphoryard.state.nodes import NodeLease, NodeTable
from tests.fakes.engines import RecordedLog

LARGE = 195
LEADER = NodeId("n0")
REQUEST = Fingerprint("f")
REPORT = CrashReport(REQUEST, EndpointId("e1"), early=True, on_trial=False)


class Fleet:
    """Nodes whose messages are delivered at once."""

    def __init__(self, size, leader=LEADER):
        self.leader = leader
        self.connections = set()
        self.sender = None
        self.log = RecordedLog()
        names = [NodeId(f"n{number}") for number in range(size)]
        nodes = NodeTable()
        for name in names:
            lease = NodeLease(
                name, f"i-{name}", "a", "h", 1, "", NodeState.SERVING, 60.0, name
            )
            nodes.observe(lease, 1)
        self.crashes_by_id = {name: CrashCounter() for name in names}
        self.sharing_by_id = {
            name: CrashSharing(
                name,
                nodes,
                FleetPeers(self, name),
                self.crashes_by_id[name],
                CrashedParts(self.log),
                lambda: self.leader,
                self.log,
            )
            for name in names
        }

    def observe_crash(self, name):
        """Have one node observe a crash."""
        self.crashes_by_id[name].observe(REPORT.fingerprint, REPORT.endpoint)
        self.sharing_by_id[name].send(REPORT)

    def informed(self):
        """Return the nodes that know of the crash."""
        return {
            name
            for name, crashes in self.crashes_by_id.items()
            if crashes.has_observed(REPORT.fingerprint, REPORT.endpoint)
        }


class FleetPeers:
    """The connections of one node."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    def send(self, node, message):
        """Deliver a message, and record the connection that it needs."""
        self._fleet.connections.add((self._name, node))
        self._fleet.sharing_by_id[node].receive(message)


@pytest.mark.parametrize("size", [MAX_MESH_NODES, LARGE])
@pytest.mark.parametrize("observer", ["n0", "n5"])
class TestReach:
    """Fleets of any size, with the leader or another node as the observer."""

    def test_every_node_learns_of_a_crash(self, size, observer):
        """Its clients may send the same request to any node."""
        fleet = Fleet(size)
        fleet.observe_crash(NodeId(observer))
        assert len(fleet.informed()) == size

    def test_every_node_learns_of_each_start_that_crashes(self, size, observer):
        """An endpoint may come back under its id and crash again."""
        fleet = Fleet(size)
        for started_ms in (1, 2, 3):
            report = replace(REPORT, started_ms=started_ms)
            fleet.crashes_by_id[NodeId(observer)].observe(REQUEST, "e1", started_ms)
            fleet.sharing_by_id[NodeId(observer)].send(report)
        assert all(
            crashes.is_quarantined(REQUEST) for crashes in fleet.crashes_by_id.values()
        )

    def test_every_node_learns_that_the_request_was_answered(self, size, observer):
        """Few nodes have answered it themselves."""
        fleet = Fleet(size)
        for number in range(5):
            report = replace(REPORT, endpoint=f"e{number}", answered_ms=0)
            fleet.sharing_by_id[NodeId(observer)].send(report)
        assert not any(
            crashes.is_quarantined(REQUEST) for crashes in fleet.crashes_by_id.values()
        )


class TestManyCrashes:
    """Endpoints that crash under the requests of all nodes at once."""

    def test_connections_grow_with_the_nodes_of_a_large_fleet(self):
        """Each node would otherwise need a task for each of the others."""
        fleet = Fleet(LARGE)
        for name in fleet.sharing_by_id:
            fleet.observe_crash(name)
        assert len(fleet.connections) <= 2 * LARGE

    def test_a_crash_without_a_leader_is_counted_by_its_observer(self):
        """The other nodes count the crashes that they observe themselves."""
        fleet = Fleet(LARGE, leader=None)
        fleet.observe_crash(NodeId("n5"))
        assert fleet.informed() == {"n5"}
        assert fleet.connections == set()
        assert fleet.log.events() == ["crash_not_shared"]
