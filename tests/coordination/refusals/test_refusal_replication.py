"""Tests of replicating refusal counts to peers."""

import pytest

from camphoryard.coordination.messages import Done
from camphoryard.coordination.refusals.refusal_replication import RefusalReplicator
from camphoryard.coordination.refusals.refusals import RefusalCounter
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey


class ScriptedPeers:
    """Peers that reply unless they are in ``unresponsive``."""

    def __init__(self):
        self.unresponsive = set()
        self.sent = []

    def request(self, node, message, timeout_s):
        """Reply, or raise as for an unreachable peer."""
        self.sent.append((node, message.sheet.counts))
        if node in self.unresponsive:
            raise PeerUnreachableError(node)
        return Done()


@pytest.fixture
def peers():
    """Return the peers of node n1."""
    return ScriptedPeers()


@pytest.fixture
def counter():
    """Return the counter of node n1."""
    return RefusalCounter("i1")


def make_lease(name, zone="a", incarnation=None, lease_s=60.0):
    """Return a node's lease."""
    return NodeLease(
        name,
        incarnation or name,
        zone,
        "127.0.0.1",
        1,
        "",
        NodeState.SERVING,
        lease_s,
        name,
    )


def make_replicator(counter, peers, *leases):
    """Return the replicator of node n1 in zone a, given these leases."""
    nodes = NodeTable()
    for lease in leases:
        nodes.observe(lease, 1)
    return RefusalReplicator("n1", "a", counter, nodes, peers)


def make_counts():
    """Return counts of another node."""
    key = RefusalKey(Reason.DEADLINE, "", 1)
    return RefusalCounts("i9", (RefusalCount(key, 3),))


class TestRefusalReplicator:
    """Choosing replicas and sending them counts."""

    def test_nothing_is_sent_without_refusals(self, counter, peers):
        """A node that refuses nothing sends nothing."""
        replicator = make_replicator(counter, peers, make_lease("n1"), make_lease("n2"))
        assert not replicator.replicate()
        assert peers.sent == []

    def test_each_count_has_two_replicas(self, counter, peers):
        """A count survives the loss of its node and of one replica."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        replicator = make_replicator(counter, peers, *leases)
        for _ in range(2):
            counter.count(Reason.OVERLOADED, "")
            assert replicator.replicate()
        first, second, *again = peers.sent
        assert len({"n1", first[0], second[0]}) == 3
        assert [node for node, _ in again] == [first[0], second[0]]
        assert not replicator.replicate()

    def test_replicas_are_in_other_zones(self, counter, peers):
        """With three zones, the failure of one zone loses no count."""
        zones = {"n1": "a", "n2": "a", "n3": "a", "n4": "b", "n5": "b", "n6": "c"}
        leases = [make_lease(name, zone) for name, zone in zones.items()]
        counter.count(Reason.OVERLOADED, "")
        make_replicator(counter, peers, *leases).replicate()
        assert sorted(zones[node] for node, _ in peers.sent) == ["b", "c"]

    def test_unresponsive_peer_is_replaced(self, counter, peers):
        """The next peer is sent all counts that are not persisted."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        replicator = make_replicator(counter, peers, *leases)
        counter.count(Reason.OVERLOADED, "")
        replicator.replicate()
        first, second = (node for node, _ in peers.sent)
        peers.unresponsive.add(first)
        counter.count(Reason.DEADLINE, "")
        replicator.replicate()
        counts_by_node = dict(peers.sent)
        (last,) = counts_by_node.keys() - {first, second}
        assert {item.key.reason for item in counts_by_node[last]} == {
            Reason.OVERLOADED,
            Reason.DEADLINE,
        }
        assert [item.key.reason for item in counts_by_node[second]] == [Reason.DEADLINE]

    def test_restarted_replica_is_sent_all_counts_again(self, counter, peers):
        """A restarted replica has lost its copy, even without new refusals."""
        nodes = NodeTable()
        replicator = RefusalReplicator("n1", "a", counter, nodes, peers)
        for number, incarnation in enumerate(("old", "new"), 1):
            nodes.observe(make_lease("n2", incarnation=incarnation), number)
            if number == 1:
                counter.count(Reason.OVERLOADED, "")
            assert replicator.replicate()
        assert len(peers.sent) == 2
        assert peers.sent[0] == peers.sent[1]

    def test_node_without_live_peers_uses_expired_leases(self, counter, peers):
        """After a process pause a node replicates to peers with expired leases."""
        expired = make_lease("n2", lease_s=0.0)
        replicator = make_replicator(counter, peers, make_lease("n1"), expired)
        counter.count(Reason.OVERLOADED, "")
        assert replicator.replicate()
        assert [node for node, _ in peers.sent] == ["n2"]

    def test_lone_node_retains_its_counts(self, counter, peers):
        """Without a peer the counts stay unreplicated until there is one."""
        replicator = make_replicator(counter, peers, make_lease("n1"))
        counter.subscribe(replicator.replicate)
        counter.count(Reason.OVERLOADED, "")
        assert peers.sent == []
        assert counter.unreplicated(0) is not None

    def test_stopping_node_transfers_its_copies(self, counter, peers):
        """Two peers are sent its own counts and the copies it could not write."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        replicator = make_replicator(counter, peers, *leases)
        counter.count(Reason.DRAINING, "")
        copy = RefusalCounts(
            "i9", (RefusalCount(RefusalKey(Reason.DEADLINE, "", 1), 3),)
        )
        assert replicator.transfer([copy])
        own, others = peers.sent[:2], peers.sent[2:]
        assert {counts[0].key.reason for _, counts in own} == {Reason.DRAINING}
        assert [counts for _, counts in others] == [copy.counts, copy.counts]
        assert len({node for node, _ in others}) == 2

    def test_transfer_without_reachable_peers_fails(self, counter, peers):
        """Neither copies nor own counts count as transferred without a reply."""
        replicator = make_replicator(counter, peers, make_lease("n1"), make_lease("n2"))
        copy = RefusalCounts(
            "i9", (RefusalCount(RefusalKey(Reason.DEADLINE, "", 1), 3),)
        )
        peers.unresponsive.add("n2")
        assert not replicator.transfer([copy])
        counter.count(Reason.DRAINING, "")
        assert not replicator.transfer([])
