"""Tests of spreading digests."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.configuration.currency import Currency
from camphoryard.coordination.membership.gossip import (
    AllToAll,
    BoundedFanOut,
    GossipContext,
    Gossiper,
    choose_neighbours,
)
from camphoryard.coordination.messages import Gossip, GossipAnswer
from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder

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
    """A gossiper whose messages go straight to the others."""

    def __init__(self, index, by_id, policy):
        self.lease = lease(index)
        self.by_id = by_id
        self.nodes = NodeTable()
        self.holder = ConfigurationHolder(stale_after_s=60.0)
        self.currency = Currency(self.lease.node, self.holder, lambda: set(by_id), 60.0)
        self.caught_up_from = []
        self.learned_from = []
        self.learned_zones = []
        self.beat = 0
        self.sent = 0
        self.is_cut_off = False
        self.gossiper = Gossiper(
            GossipContext(
                self.lease,
                self.nodes,
                self,
                self.currency,
                self.digest,
                self.caught_up_from.append,
                self.fetch_leases,
            ),
            policy,
        )

    def digest(self):
        """Return this node's digest, with a new beat."""
        self.beat += 1
        generation = self.holder.current.generation
        return NodeDigest(
            self.lease.node, "i", NodeState.SERVING, generation, beat=self.beat
        )

    def fetch_leases(self, node, zones):
        """Note whom this node asks for leases, and of which zones."""
        self.learned_from.append(node)
        self.learned_zones.extend(zones)

    def tell(self, node, message):
        """Hand a message over at once; a node that is cut off loses it."""
        self.sent += 1
        if self.is_cut_off:
            return
        other = self.by_id[node]
        match message:
            case Gossip():
                other.gossiper.handle_gossip(message)
            case GossipAnswer():
                other.gossiper.handle_answer(message)


def make_fleet(policy):
    """Return nodes that know each other's leases."""
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
    """Telling peers and taking in what they tell."""

    def test_everyone_learns_everyones_digest(self, fleet):
        """Within a bounded number of rounds each node has heard of all."""
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.tell()
        for node in fleet.values():
            heard = {item for item in fleet if node.nodes.digest(item) is not None}
            assert len(heard | {node.lease.node}) == NODES

    def test_everyone_confirms_without_the_store(self, fleet):
        """The word of most nodes reaches every node, with the age it had."""
        for node in fleet.values():
            node.holder.adopt(Configuration(1))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.tell()
        assert all(node.holder.is_current() for node in fleet.values())

    def test_newer_generation_is_fetched_from_the_teller(self, fleet):
        """A node that hears of a newer configuration catches up there."""
        fleet["n00"].holder.adopt(Configuration(5))
        fleet["n00"].gossiper.tell()
        behind = [node for node in fleet.values() if "n00" in node.caught_up_from]
        assert behind

    def test_unknown_start_is_asked_for(self, fleet):
        """A digest of a start with no known lease has its leases asked for."""
        fleet["n00"].nodes.forget("n01")
        fleet["n01"].gossiper.handle_gossip(Gossip(1, fleet["n00"].gossiper._digests()))
        assert "n01" in fleet["n00"].learned_from

    def test_late_answer_confirms_nothing(self, fleet):
        """An answer to no round of ours is not dated."""
        node, other = fleet["n00"], fleet["n01"]
        node.holder.adopt(Configuration(1))
        node.gossiper.handle_answer(GossipAnswer(999, 0.0, other.gossiper._digests()))
        assert node.currency.node_age_s("n01") is None
        assert not node.holder.is_current()


class TestBoundedFanOut:
    """Bounds of the bounded variant."""

    def test_messages_do_not_grow_with_the_fleet(self):
        """A node starts at most fan_out exchanges a round."""
        fleet = make_fleet(BoundedFanOut(fan_out=2))
        fleet["n00"].gossiper.tell()
        assert fleet["n00"].sent == 2

    def test_messages_carry_bounded_digests(self):
        """A message holds the sender's digest and at most so many others."""
        fleet = make_fleet(BoundedFanOut(digests=5))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.tell()
        assert len(fleet["n00"].gossiper._digests()) == 6

    def test_words_of_all_nodes_come_with_few_digests(self):
        """With one digest a message everyone still hears of everyone in time."""
        fleet = make_fleet(BoundedFanOut(digests=1))
        for _ in range(ROUNDS):
            for node in fleet.values():
                node.gossiper.tell()
        for name, node in fleet.items():
            assert set(node.currency.ages_s()) | {name} == set(fleet)

    def test_news_of_a_configuration_goes_to_more_peers_once(self):
        """A round after news has more exchanges than the next."""
        fleet = make_fleet(BoundedFanOut(fan_out=1, news_fan_out=5))
        fleet["n00"].gossiper.wake()
        fleet["n00"].gossiper.tell()
        assert fleet["n00"].sent == 5
        fleet["n00"].gossiper.tell()
        assert fleet["n00"].sent == 6

    def test_words_of_a_newer_generation_confirm_nothing(self):
        """What a node says that is ahead speaks for its generation, not ours."""
        fleet = make_fleet(BoundedFanOut())
        fleet["n01"].holder.adopt(Configuration(7))
        fleet["n00"].holder.adopt(Configuration(6))
        fleet["n01"].currency.heard("n02", time.monotonic(), 6)
        fleet["n00"].is_cut_off = True
        fleet["n00"].gossiper.tell()
        fleet["n01"].gossiper.handle_gossip(Gossip(1, fleet["n00"].gossiper._digests()))
        assert fleet["n00"].caught_up_from == ["n01"]
        assert "n02" not in fleet["n00"].currency.ages_s()

    def test_zone_known_otherwise_is_asked_for(self):
        """Words of a zone whose starts differ count for nothing; it is asked for."""
        fleet = make_fleet(BoundedFanOut())
        node, other = fleet["n00"], fleet["n01"]
        node.nodes.observe_forwarded(replace(lease(99), zone="zone-2"))
        other.currency.heard("n02", time.monotonic(), 0)
        other.currency.heard("n04", time.monotonic(), 0)
        node.is_cut_off = True
        node.gossiper.tell()
        other.gossiper.handle_gossip(Gossip(1, node.gossiper._digests()))
        assert node.learned_zones == ["zone-2"]
        assert "n02" not in node.currency.ages_s()
        assert "n04" in node.currency.ages_s()


class TestChooseNeighbours:
    """Whom a node talks to."""

    def test_half_are_in_the_own_zone(self):
        """A zone stays connected within itself and with others."""
        chosen = choose_neighbours(lease(0), [lease(i) for i in range(1, 30)], 8)
        zones = [int(node[1:]) % 3 for node in chosen]
        assert len(set(chosen)) == 8
        assert zones.count(0) == 4

    def test_choice_moves_little(self):
        """One node's going changes at most one neighbour."""
        others = [lease(i) for i in range(1, 30)]
        before = set(choose_neighbours(lease(0), others, 8))
        after = set(choose_neighbours(lease(0), others[1:], 8))
        assert len(before - after) <= 1
