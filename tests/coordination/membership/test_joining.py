"""Tests of fetching leases, suspects and the configuration from peers."""

from dataclasses import replace

import pytest

from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.joining import Joiner, JoiningContext
from camphoryard.coordination.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    CrashReport,
    Declined,
    JoinReply,
    JoinRequest,
    RecordsReply,
    RecordsRequest,
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
    """Runs each task synchronously when it is submitted."""

    def submit(self, task, *arguments):
        """Run a task."""
        task(*arguments)


class ScriptedPeers:
    """Replies to requests by type; a type without a reply is unreachable."""

    def __init__(self, *replies):
        self.reply_by_type = dict(replies)
        self.requests = []

    def request(self, node, message, timeout_s):
        """Return the scripted reply."""
        self.requests.append((node, message))
        if type(message) not in self.reply_by_type:
            raise PeerUnreachableError(node)
        return self.reply_by_type[type(message)]


class FakeConfigurator:
    """Adopts the generation of each offer."""

    def __init__(self, holder):
        self.holder = holder

    def known_keys(self):
        """Return the keys of the configuration parts that this node has."""
        return ("k",)

    def apply_offer(self, offer):
        """Adopt the offer's generation."""
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
    """A joiner and its collaborators."""

    def __init__(self, peers, seeds=(), list_heads=lambda: None):
        self.nodes, self.table = NodeTable(), EndpointTable()
        self.holder = ConfigurationHolder()
        self.added = []
        self.peers = peers
        self.joiner = Joiner(
            JoiningContext(
                lease("own"),
                seeds,
                self.nodes,
                peers,
                self.added.append,
                FakeConfigurator(self.holder),
                self.holder,
                self.table,
                list_heads,
                Suspects("own", self.nodes, peers, timeline()),
                InlineExecutor(),
            )
        )


class TestRun:
    """Joining through seeds, also while the object API is unavailable."""

    def test_fetches_everything_from_a_seed(self):
        """The first seed that answers returns leases, records and configuration."""
        record = VersionedRecord(EndpointRecord("e", 100, "own", "i", 1, "w"), 3)
        peers = ScriptedPeers(
            (JoinRequest, JoinReply((lease("seed"), lease("other")))),
            (RecordsRequest, RecordsReply((record,))),
            (ConfigurationRequest, OFFER),
        )
        node = Node(peers, [lease("seed")])
        node.joiner.run(CountingTimer(5))
        assert node.holder.current.generation == 4
        assert {item.node for item in node.nodes.all()} == {"seed", "other"}
        assert node.table.version("e") == 3

    def test_retries_until_it_has_a_configuration(self):
        """An unresponsive seed is tried at each tick, the node itself never."""
        peers = ScriptedPeers()
        node = Node(peers, [lease("own"), lease("seed")])
        timer = CountingTimer(3)
        node.joiner.run(timer)
        assert timer.left == 0
        assert {node for node, _ in peers.requests} == {"seed"}

    def test_sends_no_request_with_a_configuration(self):
        """A node that has a configuration does not contact the seeds."""
        peers = ScriptedPeers()
        node = Node(peers, [lease("seed")])
        node.holder.adopt(Configuration(1))
        node.joiner.run(CountingTimer(3))
        assert peers.requests == []


class TestCatchUp:
    """Fetching a newer configuration."""

    def test_request_lists_the_parts_it_has(self):
        """Configuration parts that this node has need not be sent again."""
        node = Node(ScriptedPeers((ConfigurationRequest, OFFER)))
        node.joiner.catch_up("peer")
        assert node.peers.requests == [("peer", ConfigurationRequest(("k",)))]
        assert node.holder.current.generation == 4

    @pytest.mark.parametrize(
        "replies", [(), ((ConfigurationRequest, Declined("none")),)]
    )
    def test_falls_back_to_the_object_api_without_an_offer(self, replies):
        """The peer is unreachable or has no configuration."""
        listed = []
        node = Node(ScriptedPeers(*replies), list_heads=lambda: listed.append(1))
        node.joiner.catch_up("peer")
        assert listed == [1]

    def test_can_be_tried_again_after_an_outage(self):
        """A failure of both peer and object API does not block later attempts."""

        def list_heads():
            raise StoreUnavailableError("out")

        node = Node(ScriptedPeers(), list_heads=list_heads)
        node.joiner.catch_up("peer")
        node.peers.reply_by_type[ConfigurationRequest] = OFFER
        node.joiner.catch_up("peer")
        assert node.holder.current.generation == 4


class TestHandleJoin:
    """Answering a node that announces itself."""

    def test_adds_the_node_and_returns_all_leases(self):
        """The requesting node is known afterwards and receives every lease."""
        node = Node(ScriptedPeers())
        node.nodes.observe_forwarded(lease("other"))
        reply = node.joiner.handle_join(JoinRequest(lease("new")))
        assert node.added == [lease("new")]
        assert {item.node for item in reply.leases} == {"own", "other", "new"}

    def test_returns_leases_of_the_requested_zones(self):
        """Leases of other zones are omitted, which saves most of the bytes."""
        node = Node(ScriptedPeers())
        for name, zone in (("a", "y"), ("b", "x"), ("c", "y")):
            node.nodes.observe_forwarded(lease(name, zone))
        reply = node.joiner.handle_join(JoinRequest(lease("new"), ("y",)))
        assert [item.node for item in reply.leases] == ["own", "a", "c"]


class TestFetchLeases:
    """Fetching the leases that a peer knows."""

    def test_known_leases_are_not_added_again(self):
        """The address of a known incarnation is not registered twice."""
        leases = (lease("a"), lease("b"))
        node = Node(ScriptedPeers((JoinRequest, JoinReply(leases))))
        node.joiner.fetch_leases("a", ("z",))
        node.joiner.fetch_leases("a", ("z",))
        assert node.added == list(leases)
        assert node.peers.requests[0] == ("a", JoinRequest(lease("own"), ("z",)))

    def test_forwarded_lease_does_not_replace_a_live_one(self):
        """A lease read from the object API takes precedence while it is alive."""
        later = replace(lease("a"), incarnation="j")
        node = Node(ScriptedPeers((JoinRequest, JoinReply((later,)))))
        node.nodes.observe(lease("a"), 5)
        node.joiner.fetch_leases("b")
        assert node.nodes.find("a").incarnation == "i"


class Network:
    """Joiners by node; a node without a joiner does not answer."""

    def __init__(self):
        self.joiner_by_id = {}
        self.suspects_by_id = {}

    def add(self, name):
        """Add a node that knows no other nodes."""
        nodes = NodeTable()
        nodes.observe(lease(name), 1)
        suspects = Suspects(name, nodes, self, timeline())
        context = JoiningContext(
            lease(name),
            [],
            nodes,
            self,
            lambda lease: None,
            None,
            ConfigurationHolder(60.0),
            EndpointTable(),
            lambda: None,
            suspects,
            None,
        )
        self.joiner_by_id[name] = Joiner(context)
        self.suspects_by_id[name] = suspects
        return nodes

    def request(self, node, message, timeout_s):
        """Return the reply of a node at once."""
        if node not in self.joiner_by_id:
            raise PeerUnreachableError(node)
        assert isinstance(message, JoinRequest)
        reply = self.joiner_by_id[node].handle_join(message)
        assert isinstance(reply, JoinReply)
        return reply


@pytest.fixture
def network():
    """Return a network without nodes."""
    return Network()


class TestAnnounce:
    """The state of both nodes after an announcement."""

    def test_both_know_each_other(self, network):
        """Each node has the lease of the other."""
        first, second = network.add("n1"), network.add("n2")
        assert network.joiner_by_id["n2"].announce("n1")
        for nodes in (first, second):
            assert [lease.node for lease in nodes.alive()] == ["n1", "n2"]

    def test_new_node_refuses_quarantined_requests(self, network):
        """A node that starts after the crashes receives their suspects."""
        network.add("n1")
        for endpoint in ("engine-1", "engine-2"):
            crash = CrashReport("poison", endpoint, early=True, on_trial=False)
            network.suspects_by_id["n1"].record_crash(crash)
        network.add("n2")
        network.joiner_by_id["n2"].announce("n1")
        with pytest.raises(RefusalError, match="crashed"):
            network.suspects_by_id["n2"].check("poison", Verdict.NOT_RUN)

    def test_unresponsive_peer_is_reported(self, network):
        """``announce`` returns that the peer did not answer."""
        network.add("n1")
        assert not network.joiner_by_id["n1"].announce("n9")
