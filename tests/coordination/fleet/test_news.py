"""Tests of how nodes tell each other their load, in small and large fleets."""

import pytest

from camphoryard.coordination.fleet.news import (
    MESH_NODES,
    PEERS_PER_PERIOD,
    STANDBYS,
    STAR_PERIODS,
    NewsTeller,
)
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import EndpointId, FencingNumber, NodeId
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import InFlightTable
from tests.fakes.engines import Clock

E1 = EndpointId("e1")
SMALL, LARGE = MESH_NODES, 87
LARGEST = 330


class Fleet:
    """Nodes whose messages arrive at once."""

    def __init__(self, size):
        self.clock = Clock()
        self.told = []
        self.node_by_id = {}
        for number in range(size):
            name = NodeId(f"n{number}")
            self.node_by_id[name] = FleetNode(self, name)
        for node in self.node_by_id.values():
            for name in self.node_by_id:
                node.nodes.observe(make_lease(name), 1)

    def tell(self, node, message):
        """Hand a message on."""
        self.told.append((message.digests[0].digest.node, node))
        self.node_by_id[node].news.heard(message)

    def turn(self, periods=STAR_PERIODS):
        """Let all nodes tell, for as many periods as every message needs."""
        for _ in range(periods):
            for node in self.node_by_id.values():
                node.news.tell()


class FleetNode:
    """One node: its load, its peers, and its term if it has the duty."""

    def __init__(self, fleet, name):
        self.term = FencingNumber(0)
        self.nodes, self.in_flight = NodeTable(), InFlightTable()
        self.estimates = LoadEstimates(name, self.nodes, self.in_flight)
        self.demand = DemandMeter()
        self.news = NewsTeller(
            name,
            f"i-{name}",
            self.nodes,
            fleet,
            self.in_flight,
            self.demand,
            self.estimates,
            lambda: self.term,
            fleet.clock,
        )


def make_lease(name):
    """Return a node's lease, not silent within a test."""
    return NodeLease(
        name, f"i-{name}", "a", "127.0.0.1", 1, "", NodeState.SERVING, 60.0, name
    )


@pytest.fixture
def large():
    """Return a large fleet in which n0 has the duty."""
    fleet = Fleet(LARGE)
    fleet.node_by_id["n0"].term = FencingNumber(3)
    fleet.turn()
    return fleet


class TestNewsTeller:
    """Who hears of whose load."""

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_every_node_knows_the_load_of_all(self, size):
        """Each counts its own requests once and those of all others."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        for node in fleet.node_by_id.values():
            node.in_flight.begin(E1)
        fleet.turn(3 * STAR_PERIODS)
        loads = {node.estimates.load(E1) for node in fleet.node_by_id.values()}
        assert loads == {size}

    def test_messages_grow_with_the_nodes_not_with_their_square(self, large):
        """In each turn a node tells one, and the holder tells all."""
        large.told.clear()
        large.turn(STAR_PERIODS)
        to_holder = [node for _, node in large.told if node == "n0"]
        assert len(to_holder) == LARGE - 1
        assert len(large.told) <= (LARGE - 1) + STAR_PERIODS * PEERS_PER_PERIOD

    def test_all_know_the_holder(self, large):
        """Requests for models that are held nowhere go to it."""
        assert {node.news.holder() for node in large.node_by_id.values()} == {"n0"}

    def test_a_new_holder_is_known_at_once(self, large):
        """It tells all, though they told the one before."""
        large.node_by_id["n0"].term = FencingNumber(0)
        large.node_by_id["n5"].term = FencingNumber(4)
        large.turn(2 * STAR_PERIODS)
        assert {node.news.holder() for node in large.node_by_id.values()} == {"n5"}

    def test_few_nodes_watch_a_holder_that_is_heard(self, large):
        """Reads of the duty do not grow with the fleet."""
        watching = [x for x in large.node_by_id.values() if x.news.stands_by()]
        assert len(watching) == STANDBYS

    def test_more_nodes_watch_the_longer_no_holder_is_heard(self, large):
        """The standbys may be gone with it."""
        large.clock.advance(60.0)
        watching = [x for x in large.node_by_id.values() if x.news.stands_by()]
        assert len(watching) > LARGE / 2

    def test_the_largest_fleet_hears_its_holder_in_time(self):
        """Each node is told before it takes the holder for silent."""
        assert LARGEST / PEERS_PER_PERIOD * 0.25 < 1.5
