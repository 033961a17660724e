"""Tests of the gossip of load in small and large fleets."""

from dataclasses import replace

import pytest

from camphoryard.coordination.fleet.fleet_gossip import (
    MAX_MESH_NODES,
    PEERS_PER_PERIOD,
    STANDBY_NODES,
    STAR_REPORT_PERIODS,
    FleetGossip,
)
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.coordination.routing.endpoint_limits import EndpointLimits
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_relay import EndpointRelay
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import EndpointId, FencingNumber, NodeId, Version
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.quotas import QuotaKind, QuotaRenewal, QuotaReport
from camphoryard.state.tables import InFlightTable
from tests.fakes.engines import SERVICE, Clock, RecordedLog, make_endpoint

E1 = EndpointId("e1")
SMALL, LARGE = MAX_MESH_NODES, 87
LARGEST = 330


class Fleet:
    """Nodes whose messages are delivered at once."""

    def __init__(self, size, make_relaying=lambda: None, make_rules=lambda: None):
        self.clock = Clock()
        self.make_rules = make_rules
        self.make_relaying = make_relaying
        self.sent = []
        self.node_by_id = {}
        for number in range(size):
            name = NodeId(f"n{number}")
            self.node_by_id[name] = FleetNode(self, name)
        for node in self.node_by_id.values():
            for name in self.node_by_id:
                node.nodes.observe(make_lease(name), 1)

    def start_again(self, name):
        """Replace a node by a new start of it, which all nodes list at once."""
        before = self.node_by_id[name]
        started = FleetNode(self, name, f"j-{name}")
        started.term = before.term
        self.node_by_id[name] = started
        for lease in before.nodes.all():
            started.nodes.observe(lease, 1)
        for node in self.node_by_id.values():
            node.nodes.observe(make_lease(name, f"j-{name}"), 2)

    def send(self, node, message):
        """Deliver a message."""
        self.sent.append((message.digests[0].digest.node, node))
        self.node_by_id[node].gossip.receive(message)

    def run_periods(self, periods=STAR_REPORT_PERIODS):
        """Have all nodes send, for as many periods as every message needs."""
        for _ in range(periods):
            for node in self.node_by_id.values():
                node.gossip.send_round()


class FleetNode:
    """One node: its load, its peers, and its term if it is the leader."""

    def __init__(self, fleet, name, incarnation=""):
        self.term = FencingNumber(0)
        self.unloads, self.told_unloads = {}, []
        self.nodes, self.in_flight = NodeTable(), InFlightTable()
        self.estimates = LoadEstimates(name, self.nodes, self.in_flight)
        self.demand = DemandMeter()
        self.crashed_parts = CrashedParts(RecordedLog())
        self.crashes = CrashCounter(fleet.clock)
        self.directory = Directory()
        self.quotas = Quotas(name)
        self.limits = EndpointLimits(self.directory, RecordedLog())
        self.relaying = fleet.make_relaying()
        self.rules = fleet.make_rules()
        self.gossip = FleetGossip(
            name,
            incarnation or f"i-{name}",
            self.nodes,
            fleet,
            self.in_flight,
            self.demand,
            self.estimates,
            lambda: self.term,
            lambda: self.unloads,
            self.told_unloads.append,
            self.crashed_parts,
            self.crashes,
            self.directory,
            fleet.clock,
            (self.quotas,),
            self.relaying,
            self.rules,
            limits=self.limits,
        )


class Quotas:
    """Quotas of a node that records what it is told."""

    kind = QuotaKind.ACCOUNT

    def __init__(self, name):
        self.name, self.reports, self.renewed = name, {}, False

    def report_to_self(self, beat):
        """Record the report of the leader."""
        self.reports[self.name] = beat

    def report(self, leader, term, beat):
        """Return a report to a leader."""
        return QuotaReport(term, beat)

    def renewal(self, node, incarnation):
        """Return the answer to a node that has reported, or None."""
        return QuotaRenewal(self.reports[node]) if node in self.reports else None

    def receive(self, digest):
        """Record what a digest tells."""
        report = digest.quota_report_by_kind.get(self.kind)
        if report is not None:
            self.reports[digest.node] = report.settled
        if self.kind in digest.quota_renewal_by_kind:
            self.renewed = True


def make_lease(name, incarnation=""):
    """Return a node's lease that does not expire within a test."""
    return NodeLease(
        name,
        incarnation or f"i-{name}",
        "a",
        "127.0.0.1",
        1,
        "",
        NodeState.SERVING,
        60.0,
        name,
    )


@pytest.fixture
def large():
    """Return a large fleet in which n0 is the leader."""
    fleet = Fleet(LARGE)
    fleet.node_by_id["n0"].term = FencingNumber(3)
    fleet.run_periods()
    return fleet


class Relaying:
    """Records what a node's gossip asks of the relays of endpoints."""

    def __init__(self):
        self.position, self.sent, self.received = 7, [], []

    def record_sent(self, beat):
        """Record a report to the leader."""
        self.sent.append(beat)

    def relay_for(self, node, digest):
        """Return what a node lacks by its last digest."""
        position = digest.endpoints_revision if digest else 0
        return EndpointRelay(position, 9, (), f"i-{node}", 1)

    def receive(self, digest):
        """Record a digest."""
        self.received.append(digest.relay)


class Rules:
    """Records which versions of the configuration a node hears of."""

    def __init__(self):
        self.position, self.heard = 5, []

    def hear(self, announced):
        """Record the version that a peer has read, if it tells one."""
        if announced:
            self.heard.append(announced)


class TestRules:
    """The leader of a star announces the newest configuration that it has read."""

    @pytest.mark.parametrize(("size", "heard"), [(SMALL, set()), (LARGE, {5})])
    def test_only_the_leader_of_a_star_announces(self, size, heard):
        """Other nodes might have read a newer one, but reach only the leader."""
        fleet = Fleet(size, make_rules=Rules)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        assert set(fleet.node_by_id["n5"].rules.heard) == heard
        assert fleet.node_by_id["n0"].rules.heard == []


class TestRelays:
    """Changes of endpoints travel with the digests of the leader of a star."""

    @pytest.mark.parametrize(("size", "position"), [(SMALL, None), (LARGE, 7)])
    def test_only_a_star_relays(self, size, position):
        """Each node is told what it lacks by its last report."""
        fleet = Fleet(size, Relaying)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        follower = fleet.node_by_id["n5"].relaying
        relays = [relay for relay in follower.received if relay]
        assert [relay.since for relay in relays[-1:]] == (
            [position] if position else []
        )
        assert bool(follower.sent) == bool(position)
        assert fleet.node_by_id["n0"].relaying.sent == []


class TestFleetGossip:
    """Spread of load and leadership."""

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_every_node_receives_the_load_of_all(self, size):
        """Each node counts its own requests once and those of all others."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        for node in fleet.node_by_id.values():
            node.in_flight.begin(E1)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        loads = {node.estimates.load(E1) for node in fleet.node_by_id.values()}
        assert loads == {size}

    def test_messages_grow_linearly_with_the_nodes(self, large):
        """Each node sends to the leader only, and the leader sends to all."""
        large.sent.clear()
        large.run_periods(STAR_REPORT_PERIODS)
        to_leader = [node for _, node in large.sent if node == "n0"]
        assert len(to_leader) == LARGE - 1
        assert len(large.sent) <= (LARGE - 1) + STAR_REPORT_PERIODS * PEERS_PER_PERIOD

    def test_all_nodes_know_the_leader(self, large):
        """Load requests for models that are loaded nowhere are sent to it."""
        assert {node.gossip.leader() for node in large.node_by_id.values()} == {"n0"}

    def test_a_new_leader_is_known_at_once(self, large):
        """It sends to all nodes, although they still sent to its predecessor."""
        large.node_by_id["n0"].term = FencingNumber(0)
        large.node_by_id["n5"].term = FencingNumber(4)
        large.run_periods(2 * STAR_REPORT_PERIODS)
        assert {node.gossip.leader() for node in large.node_by_id.values()} == {"n5"}

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_nodes_that_start_learn_of_quarantined_parts(self, size):
        """They would otherwise let a part crash endpoints once more."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        fleet.node_by_id["n0"].crashed_parts.adopt({frozenset({"deadly"}): 60.0})
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        parts = [node.crashed_parts for node in fleet.node_by_id.values()]
        assert {item.find(["deadly"]) for item in parts} == {"deadly"}

    # Guards against BUDGET: each node that was started again sent a quarantined request
    # on, until it had crashed as many endpoints at that node alone.
    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_nodes_that_start_learn_of_quarantined_requests(self, size):
        """Each was told of the crashes once, to the nodes of that moment."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        for endpoint in ("e1", "e2", "e3"):
            fleet.node_by_id["n1"].crashes.observe("deadly", endpoint)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        for name in ("n1", "n0", "n2"):
            fleet.start_again(name)
            fleet.run_periods(3 * STAR_REPORT_PERIODS)
        counters = [node.crashes for node in fleet.node_by_id.values()]
        assert all(item.is_quarantined("deadly") for item in counters)

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_all_nodes_are_told_of_endpoints_that_say_they_leave(self, size):
        """Only one of them has got the answer that says so."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        directories = [node.directory for node in fleet.node_by_id.values()]
        for directory in directories:
            directory.observe(make_endpoint("e1"))
        directories[-1].record_leaving("e1", 1)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        assert [item.ready(SERVICE) for item in directories] == [[]] * size

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_all_nodes_are_told_of_unloads(self, size):
        """They send requests for these models elsewhere before being declined."""
        fleet = Fleet(size)
        leader = fleet.node_by_id["n0"]
        leader.term = FencingNumber(3)
        leader.unloads = {E1: ("m1",)}
        fleet.node_by_id["n5"].unloads = {E1: ("m2",)}
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        for node in fleet.node_by_id.values():
            if node is not leader:
                assert leader.unloads in node.told_unloads
                assert {E1: ("m2",)} not in node.told_unloads

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_the_leader_is_told_what_nodes_hold_of_quotas_and_answers(self, size):
        """Other nodes are told nothing."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        leader, *others = (node.quotas for node in fleet.node_by_id.values())
        assert leader.reports.keys() == fleet.node_by_id.keys()
        assert all(node.renewed and not node.reports for node in others)

    @pytest.mark.parametrize("size", [SMALL, LARGE])
    def test_a_limit_that_one_node_was_told_reaches_all(self, size):
        """In a large fleet by way of the leader."""
        fleet = Fleet(size)
        fleet.node_by_id["n0"].term = FencingNumber(3)
        endpoint = make_endpoint(E1)
        for node in fleet.node_by_id.values():
            node.directory.observe(endpoint)
        fleet.node_by_id["n5"].limits.name(endpoint, 1.8)
        fleet.run_periods(3 * STAR_REPORT_PERIODS)
        known = [node.limits.in_force(endpoint) for node in fleet.node_by_id.values()]
        assert [limit.per_s for limit in known] == [1.8] * size

    def test_few_nodes_watch_a_responsive_leader(self, large):
        """Reads of the leader's lease do not grow with the fleet."""
        watching = [x for x in large.node_by_id.values() if x.gossip.is_standby()]
        assert len(watching) == STANDBY_NODES

    def test_the_nodes_with_the_fastest_links_watch(self, large):
        """Load: the leader sends to all others, which fills the link of a small VM."""
        fast = sorted(large.node_by_id)[-STANDBY_NODES:]
        for node in large.node_by_id.values():
            for name in fast:
                lease = replace(make_lease(name), link_mbps=100.0)
                node.nodes.observe(lease, Version(9))
        watching = [n for n, x in large.node_by_id.items() if x.gossip.is_standby()]
        assert sorted(watching) == fast

    def test_more_nodes_watch_the_longer_no_leader_is_observed(self, large):
        """The standby nodes may have failed with it."""
        large.clock.advance(60.0)
        watching = [x for x in large.node_by_id.values() if x.gossip.is_standby()]
        assert len(watching) > LARGE / 2

    def test_the_leader_reaches_the_largest_fleet_before_the_timeout(self):
        """Each node hears from the leader before taking it for unresponsive."""
        assert LARGEST / PEERS_PER_PERIOD * 0.25 < 1.5
