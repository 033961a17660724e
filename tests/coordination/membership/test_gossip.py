"""Tests of the gossip of digests."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.gossip import (
    AllToAll,
    BoundedFanOut,
    GossipContext,
    Gossiper,
    choose_neighbours,
)
from camphoryard.coordination.messages import CrashReport, Gossip, GossipAnswer
from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import RefusalError
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import NoPeers, timeline

NODES = 30
ROUNDS = 12


def lease(index, incarnation="i"):
    """Return the lease of a node in one of three zones."""
    node = f"n{index:02}"
    zone = f"zone-{index % 3}"
    return NodeLease(
        node, incarnation, zone, "10.0.0.1", 1, "", NodeState.SERVING, 1e9, ""
    )


class MemoryNode:
    """A node whose messages are delivered to the others by direct calls."""

    def __init__(self, index, by_id, policy):
        self.lease = lease(index)
        self.by_id = by_id
        self.nodes = NodeTable()
        self.holder = ConfigurationHolder(stale_after_s=60.0)
        self.freshness = ConfigurationFreshness(
            self.lease.node, self.holder, lambda: set(by_id), 60.0
        )
        self.suspects = Suspects(self.lease.node, self.nodes, NoPeers(), timeline())
        self.catch_up_peers = []
        self.lease_peers = []
        self.lease_zones = []
        self.beat = 0
        self.sent = 0
        self.is_partitioned = False
        self.gossiper = Gossiper(
            GossipContext(
                self.lease,
                self.nodes,
                self,
                self.freshness,
                self.digest,
                self.catch_up_peers.append,
                self.fetch_leases,
                self.suspects.adopt,
            ),
            policy,
        )

    def digest(self):
        """Return this node's digest with the next beat."""
        self.beat += 1
        generation = self.holder.current.generation
        return NodeDigest(
            self.lease.node,
            "i",
            NodeState.SERVING,
            generation,
            beat=self.beat,
            quarantine_s_by_request=self.suspects.quarantine_s_by_request(),
        )

    def fetch_leases(self, node, zones):
        """Record which peer leases are requested from, and for which zones."""
        self.lease_peers.append(node)
        self.lease_zones.extend(zones)

    def send(self, node, message):
        """Deliver a message at once; one from a partitioned node is lost."""
        self.sent += 1
        if self.is_partitioned:
            return
        other = self.by_id[node]
        match message:
            case Gossip():
                other.gossiper.handle_gossip(message)
            case GossipAnswer():
                other.gossiper.handle_answer(message)


def make_fleet(policy):
    """Return nodes by id that know each other's leases."""
    by_id = {}
    for index in range(NODES):
        node = MemoryNode(index, by_id, policy)
        by_id[node.lease.node] = node
    for node in by_id.values():
        for index in range(NODES):
            node.nodes.observe_forwarded(lease(index))
    return by_id


@pytest.fixture(params=[AllToAll(), BoundedFanOut()], ids=["all", "bounded"])
def fleet(request):
    """Return a fleet under each policy."""
    return make_fleet(request.param)


class TestGossiper:
    """Sending digests to peers and merging theirs."""

    def test_every_node_receives_every_digest(self, fleet):
        """Within a bounded number of rounds each node has the digests of all."""
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.send_round()
        for node in fleet.values():
            received = {item for item in fleet if node.nodes.digest(item) is not None}
            assert len(received | {node.lease.node}) == NODES

    # Guards against: a node that missed the report of a crash, as it was cut off or
    # stood still, let a quarantined request crash one more endpoint.
    def test_every_node_learns_which_requests_are_quarantined(self, fleet):
        """The report itself is sent once, to the nodes that are alive then."""
        for endpoint in ("engine-1", "engine-2"):
            fleet["n00"].suspects.record_crash(
                CrashReport("poison", endpoint, early=True, on_trial=False)
            )
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.send_round()
        for node in fleet.values():
            with pytest.raises(RefusalError):
                node.suspects.check("poison", Verdict.NOT_RUN)

    def test_every_node_confirms_without_the_object_api(self, fleet):
        """Confirmations of a majority reach every node, with their ages."""
        for node in fleet.values():
            node.holder.adopt(Configuration(1))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.send_round()
        assert all(node.holder.is_current() for node in fleet.values())

    def test_newer_generation_is_fetched_from_the_sender(self, fleet):
        """A node that receives a newer generation fetches it from the sender."""
        fleet["n00"].holder.adopt(Configuration(5))
        fleet["n00"].gossiper.send_round()
        behind = [node for node in fleet.values() if "n00" in node.catch_up_peers]
        assert behind

    def test_leases_of_an_unknown_incarnation_are_fetched(self, fleet):
        """A digest of an incarnation without a known lease triggers a fetch."""
        fleet["n00"].nodes.forget("n01")
        fleet["n01"].gossiper.handle_gossip(Gossip(1, fleet["n00"].gossiper._digests()))
        assert "n01" in fleet["n00"].lease_peers

    def test_answer_to_an_unknown_round_confirms_nothing(self, fleet):
        """The ages in it cannot be related to a time of sending."""
        node, other = fleet["n00"], fleet["n01"]
        node.holder.adopt(Configuration(1))
        node.gossiper.handle_answer(GossipAnswer(999, 0.0, other.gossiper._digests()))
        assert node.freshness.node_age_s("n01") is None
        assert not node.holder.is_current()


class TestBoundedFanOut:
    """Bounds on the messages and their sizes."""

    def test_messages_do_not_grow_with_the_fleet(self):
        """A node sends at most ``fan_out`` messages a round."""
        fleet = make_fleet(BoundedFanOut(fan_out=2))
        fleet["n00"].gossiper.send_round()
        assert fleet["n00"].sent == 2

    def test_messages_carry_bounded_digests(self):
        """A message has the sender's digest and at most ``digests`` others."""
        fleet = make_fleet(BoundedFanOut(digests=5))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.send_round()
        assert len(fleet["n00"].gossiper._digests()) == 6

    def test_ages_of_all_nodes_arrive_with_few_digests(self):
        """With one digest a message, every node still receives the ages of all."""
        fleet = make_fleet(BoundedFanOut(digests=1))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.send_round()
        for name, node in fleet.items():
            assert set(node.freshness.ages_s()) | {name} == set(fleet)

    def test_configuration_update_is_sent_to_more_peers_once(self):
        """Only the round after an update is sent to ``news_fan_out`` peers."""
        fleet = make_fleet(BoundedFanOut(fan_out=1, news_fan_out=5))
        fleet["n00"].gossiper.wake()
        fleet["n00"].gossiper.send_round()
        assert fleet["n00"].sent == 5
        fleet["n00"].gossiper.send_round()
        assert fleet["n00"].sent == 6

    def test_ages_of_a_newer_generation_confirm_nothing(self):
        """Ages sent under a newer generation do not confirm this node's."""
        fleet = make_fleet(BoundedFanOut())
        fleet["n01"].holder.adopt(Configuration(7))
        fleet["n00"].holder.adopt(Configuration(6))
        fleet["n01"].freshness.record_confirmation("n02", time.monotonic(), 6)
        fleet["n00"].is_partitioned = True
        fleet["n00"].gossiper.send_round()
        fleet["n01"].gossiper.handle_gossip(Gossip(1, fleet["n00"].gossiper._digests()))
        assert fleet["n00"].catch_up_peers == ["n01"]
        assert "n02" not in fleet["n00"].freshness.ages_s()

    def test_leases_of_a_differing_zone_are_fetched(self):
        """Ages of a zone with other incarnations are ignored, its leases fetched."""
        fleet = make_fleet(BoundedFanOut())
        node, other = fleet["n00"], fleet["n01"]
        node.nodes.observe_forwarded(replace(lease(99), zone="zone-2"))
        other.freshness.record_confirmation("n02", time.monotonic(), 0)
        other.freshness.record_confirmation("n04", time.monotonic(), 0)
        node.is_partitioned = True
        node.gossiper.send_round()
        other.gossiper.handle_gossip(Gossip(1, node.gossiper._digests()))
        assert node.lease_zones == ["zone-2"]
        assert "n02" not in node.freshness.ages_s()
        assert "n04" in node.freshness.ages_s()


class TestChooseNeighbours:
    """The peers that a node sends to."""

    def test_half_are_in_the_own_zone(self):
        """A zone stays connected internally and with the other zones."""
        chosen = choose_neighbours(lease(0), [lease(i) for i in range(1, 30)], 8)
        zones = [int(node[1:]) % 3 for node in chosen]
        assert len(set(chosen)) == 8
        assert zones.count(0) == 4

    def test_choice_is_stable(self):
        """The removal of one node changes at most one neighbour."""
        others = [lease(i) for i in range(1, 30)]
        before = set(choose_neighbours(lease(0), others, 8))
        after = set(choose_neighbours(lease(0), others[1:], 8))
        assert len(before - after) <= 1
