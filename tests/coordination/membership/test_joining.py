"""Tests of learning of nodes, suspects and the configuration from peers."""

from dataclasses import replace

import pytest

from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.joining import Joiner, JoiningContext
from camphoryard.coordination.messages import (
    ConfigurationOffer,
    ConfigurationWanted,
    CrashSeen,
    Declined,
    Joined,
    JoinWanted,
    RecordsFound,
    RecordsWanted,
    VersionedRecord,
)
from camphoryard.state.configuration import Configuration
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import (
    PeerUnreachableError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import timeline

OFFER = ConfigurationOffer(ConfigurationHead(4, "w", {}), {})


def lease(node, zone="z"):
    """Return a serving node's lease."""
    return NodeLease(node, "i", zone, "10.0.0.1", 1, "", NodeState.SERVING, 60.0, "")


class InlineExecutor:
    """Runs each task when it is submitted."""

    def submit(self, task, *arguments):
        """Run a task."""
        task(*arguments)


class ScriptedPeers:
    """Answers questions by their type; a type without an answer is unreachable."""

    def __init__(self, *replies):
        self.reply_by_type = dict(replies)
        self.asked = []

    def ask(self, node, message, timeout_s):
        """Return the scripted reply."""
        self.asked.append((node, message))
        if type(message) not in self.reply_by_type:
            raise PeerUnreachableError(node)
        return self.reply_by_type[type(message)]


class FakeConfigurator:
    """Notes offers and puts their generation in force."""

    def __init__(self, holder):
        self.holder = holder

    def known_keys(self):
        """Return the keys of parts that this node has."""
        return ("k",)

    def take_offer(self, offer):
        """Put an offer in force."""
        self.holder.adopt(Configuration(offer.head.generation))


class CountingTimer:
    """Ticks a given number of times."""

    def __init__(self, ticks):
        self.left = ticks

    def every(self, period_s):
        """Yield the ticks."""
        while self.left:
            self.left -= 1
            yield


class Node:
    """A joiner and what it works with."""

    def __init__(self, peers, seeds=(), list_heads=lambda: None):
        self.nodes, self.table = NodeTable(), EndpointTable()
        self.holder = ConfigurationHolder()
        self.known = []
        self.peers = peers
        self.joiner = Joiner(
            JoiningContext(
                lease("own"),
                seeds,
                self.nodes,
                peers,
                self.known.append,
                FakeConfigurator(self.holder),
                self.holder,
                self.table,
                list_heads,
                Suspects("own", self.nodes, peers, timeline()),
                InlineExecutor(),
            )
        )


class TestRun:
    """Starting, perhaps while the object API is out."""

    def test_takes_everything_from_a_seed(self):
        """Leases, records and configuration come from the first seed that answers."""
        record = VersionedRecord(EndpointRecord("e", 100, "own", "i", 1, "w"), 3)
        peers = ScriptedPeers(
            (JoinWanted, Joined((lease("seed"), lease("other")))),
            (RecordsWanted, RecordsFound((record,))),
            (ConfigurationWanted, OFFER),
        )
        node = Node(peers, [lease("seed")])
        node.joiner.run(CountingTimer(5))
        assert node.holder.current.generation == 4
        assert {item.node for item in node.nodes.all()} == {"seed", "other"}
        assert node.table.version("e") == 3

    def test_asks_until_it_has_a_configuration(self):
        """A silent seed is asked again at each tick, and never itself."""
        peers = ScriptedPeers()
        node = Node(peers, [lease("own"), lease("seed")])
        timer = CountingTimer(3)
        node.joiner.run(timer)
        assert timer.left == 0
        assert {asked for asked, _ in peers.asked} == {"seed"}

    def test_stops_asking_with_a_configuration(self):
        """Once it has a configuration a node asks no seed."""
        peers = ScriptedPeers()
        node = Node(peers, [lease("seed")])
        node.holder.adopt(Configuration(1))
        node.joiner.run(CountingTimer(3))
        assert peers.asked == []


class TestCatchUp:
    """Taking a newer configuration."""

    def test_names_the_parts_it_has(self):
        """Parts that this node has are not sent again."""
        node = Node(ScriptedPeers((ConfigurationWanted, OFFER)))
        node.joiner.catch_up("peer")
        assert node.peers.asked == [("peer", ConfigurationWanted(("k",)))]
        assert node.holder.current.generation == 4

    @pytest.mark.parametrize(
        "replies", [(), ((ConfigurationWanted, Declined("none")),)]
    )
    def test_goes_to_the_object_api_without_an_offer(self, replies):
        """A peer that is silent or has nothing is made up for."""
        listed = []
        node = Node(ScriptedPeers(*replies), list_heads=lambda: listed.append(1))
        node.joiner.catch_up("peer")
        assert listed == [1]

    def test_can_be_tried_again_after_an_outage(self):
        """Neither peer nor object API answers; the next news is taken all the same."""

        def list_heads():
            raise StoreUnavailableError("out")

        node = Node(ScriptedPeers(), list_heads=list_heads)
        node.joiner.catch_up("peer")
        node.peers.reply_by_type[ConfigurationWanted] = OFFER
        node.joiner.catch_up("peer")
        assert node.holder.current.generation == 4


class TestJoined:
    """Answering a node that makes itself known."""

    def test_is_taken_in_and_told_of_all(self):
        """The asker is known from then on, and hears of every node."""
        node = Node(ScriptedPeers())
        node.nodes.observe_forwarded(lease("other"))
        told = node.joiner.joined(JoinWanted(lease("new")))
        assert node.known == [lease("new")]
        assert {item.node for item in told.leases} == {"own", "other", "new"}

    def test_tells_of_the_zones_asked_for(self):
        """Leases of other zones are left out, which saves most of the bytes."""
        node = Node(ScriptedPeers())
        for name, zone in (("a", "y"), ("b", "x"), ("c", "y")):
            node.nodes.observe_forwarded(lease(name, zone))
        told = node.joiner.joined(JoinWanted(lease("new"), ("y",)))
        assert [item.node for item in told.leases] == ["own", "a", "c"]


class TestLearnLeases:
    """Asking a peer for the nodes it knows."""

    def test_knows_them_once(self):
        """A start that is known already is not told of again."""
        leases = (lease("a"), lease("b"))
        node = Node(ScriptedPeers((JoinWanted, Joined(leases))))
        node.joiner.fetch_leases("a", ("z",))
        node.joiner.fetch_leases("a", ("z",))
        assert node.known == list(leases)
        assert node.peers.asked[0] == ("a", JoinWanted(lease("own"), ("z",)))

    def test_later_start_of_a_live_node_is_not_believed(self):
        """A passed-on lease stands back behind one that is alive."""
        later = replace(lease("a"), incarnation="j")
        node = Node(ScriptedPeers((JoinWanted, Joined((later,)))))
        node.nodes.observe(lease("a"), 5)
        node.joiner.fetch_leases("b")
        assert node.nodes.find("a").incarnation == "i"


class Network:
    """Joiners by node; a node that is in none of them does not answer."""

    def __init__(self):
        self.joiner_by_id = {}
        self.suspects_by_id = {}

    def add(self, name):
        """Add a node that knows of nobody."""
        nodes = NodeTable()
        nodes.observe(lease(name), 1)
        suspects = Suspects(name, nodes, self, timeline())
        parts = JoiningContext(
            lease(name),
            [],
            nodes,
            self,
            lambda known: None,
            None,
            ConfigurationHolder(60.0),
            EndpointTable(),
            lambda: None,
            suspects,
            None,
        )
        self.joiner_by_id[name] = Joiner(parts)
        self.suspects_by_id[name] = suspects
        return nodes

    def ask(self, node, message, timeout_s):
        """Have a node answer at once."""
        if node not in self.joiner_by_id:
            raise PeerUnreachableError(node)
        assert isinstance(message, JoinWanted)
        reply = self.joiner_by_id[node].joined(message)
        assert isinstance(reply, Joined)
        return reply


@pytest.fixture
def network():
    """Return a network of nodes n1 and n2."""
    return Network()


class TestGreet:
    """What both sides know after a greeting."""

    def test_both_know_each_other(self, network):
        """The greeted node learns of the one that greets, and the other way."""
        first, second = network.add("n1"), network.add("n2")
        assert network.joiner_by_id["n2"].announce("n1")
        for nodes in (first, second):
            assert [lease.node for lease in nodes.alive()] == ["n1", "n2"]

    def test_new_node_refuses_what_is_quarantined(self, network):
        """A node that starts after the crashes knows their cause."""
        network.add("n1")
        for endpoint in ("engine-1", "engine-2"):
            seen = CrashSeen("poison", endpoint, early=True, on_trial=False)
            network.suspects_by_id["n1"].observe(seen)
        network.add("n2")
        network.joiner_by_id["n2"].announce("n1")
        with pytest.raises(RefusalError, match="crashed"):
            network.suspects_by_id["n2"].check("poison", Verdict.NOT_RUN)

    def test_silent_peer_teaches_nothing(self, network):
        """Greeting tells that nobody answered."""
        network.add("n1")
        assert not network.joiner_by_id["n1"].announce("n9")
