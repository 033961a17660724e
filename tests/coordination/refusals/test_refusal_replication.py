"""Tests of handing counts of refusals to a peer."""

import pytest

from camphoryard.coordination.messages import Done
from camphoryard.coordination.refusals.refusal_replication import RefusalReplicator
from camphoryard.coordination.refusals.refusals import RefusalCounter
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey


class ScriptedPeers:
    """Peers that reply unless they are in ``silent``."""

    def __init__(self):
        self.silent = set()
        self.asked = []

    def ask(self, node, message, timeout_s):
        """Reply, or raise as for a peer that is gone."""
        self.asked.append((node, message.sheet.counts))
        if node in self.silent:
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


def make_handover(counter, peers, *leases):
    """Return the handover of node n1, in zone a, among nodes with these leases."""
    nodes = NodeTable()
    for lease in leases:
        nodes.observe(lease, 1)
    return RefusalReplicator("n1", "a", counter, nodes, peers)


def make_sheet():
    """Return counts that a node holds of another."""
    key = RefusalKey(Reason.DEADLINE, "", 1)
    return RefusalCounts("i9", (RefusalCount(key, 3),))


class TestRefusalHandover:
    """Choosing holders and handing over."""

    def test_nothing_is_sent_without_refusals(self, counter, peers):
        """A node that refuses nothing sends nothing."""
        handover = make_handover(counter, peers, make_lease("n1"), make_lease("n2"))
        assert not handover.hand_over()
        assert peers.asked == []

    def test_two_peers_hold_each_count(self, counter, peers):
        """A holder that is killed with the node takes no count along."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        handover = make_handover(counter, peers, *leases)
        for _ in range(2):
            counter.count(Reason.OVERLOADED, "")
            assert handover.hand_over()
        first, second, *again = peers.asked
        assert len({"n1", first[0], second[0]}) == 3
        assert [node for node, _ in again] == [first[0], second[0]]
        assert not handover.hand_over()

    def test_holders_are_in_other_zones(self, counter, peers):
        """No zone's failure takes all copies where there are three zones."""
        zones = {"n1": "a", "n2": "a", "n3": "a", "n4": "b", "n5": "b", "n6": "c"}
        leases = [make_lease(name, zone) for name, zone in zones.items()]
        counter.count(Reason.OVERLOADED, "")
        make_handover(counter, peers, *leases).hand_over()
        assert sorted(zones[node] for node, _ in peers.asked) == ["b", "c"]

    def test_silent_peer_is_passed_over(self, counter, peers):
        """The next peer gets all that the object API does not have."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        handover = make_handover(counter, peers, *leases)
        counter.count(Reason.OVERLOADED, "")
        handover.hand_over()
        first, second = (node for node, _ in peers.asked)
        peers.silent.add(first)
        counter.count(Reason.DEADLINE, "")
        handover.hand_over()
        counts_by_node = dict(peers.asked)
        (last,) = counts_by_node.keys() - {first, second}
        assert {item.key.reason for item in counts_by_node[last]} == {
            Reason.OVERLOADED,
            Reason.DEADLINE,
        }
        assert [item.key.reason for item in counts_by_node[second]] == [Reason.DEADLINE]

    def test_holder_started_anew_gets_all_again(self, counter, peers):
        """Its copy went with its memory, though no refusal came since."""
        nodes = NodeTable()
        handover = RefusalReplicator("n1", "a", counter, nodes, peers)
        for number, incarnation in enumerate(("old", "new"), 1):
            nodes.observe(make_lease("n2", incarnation=incarnation), number)
            if number == 1:
                counter.count(Reason.OVERLOADED, "")
            assert handover.hand_over()
        assert len(peers.asked) == 2
        assert peers.asked[0] == peers.asked[1]

    def test_node_that_hears_nobody_asks_those_it_knew(self, counter, peers):
        """A node that was paused hands over before it hears of peers again."""
        lapsed = make_lease("n2", lease_s=0.0)
        handover = make_handover(counter, peers, make_lease("n1"), lapsed)
        counter.count(Reason.OVERLOADED, "")
        assert handover.hand_over()
        assert [node for node, _ in peers.asked] == ["n2"]

    def test_lone_node_keeps_its_counts(self, counter, peers):
        """Without a peer the counts stay to be handed over later."""
        handover = make_handover(counter, peers, make_lease("n1"))
        counter.subscribe(handover.hand_over)
        counter.count(Reason.OVERLOADED, "")
        assert peers.asked == []
        assert counter.unhanded(0) is not None

    def test_a_stopping_node_passes_on_what_it_holds(self, counter, peers):
        """Two peers get its own counts and those that it could not write."""
        leases = [make_lease(name) for name in ("n1", "n2", "n3", "n4")]
        handover = make_handover(counter, peers, *leases)
        counter.count(Reason.DRAINING, "")
        held = RefusalCounts(
            "i9", (RefusalCount(RefusalKey(Reason.DEADLINE, "", 1), 3),)
        )
        assert handover.transfer([held])
        own, others = peers.asked[:2], peers.asked[2:]
        assert {counts[0].key.reason for _, counts in own} == {Reason.DRAINING}
        assert [counts for _, counts in others] == [held.counts, held.counts]
        assert len({node for node, _ in others}) == 2

    def test_a_node_that_reaches_nobody_says_so(self, counter, peers):
        """Neither its own counts nor those that it holds are known elsewhere."""
        handover = make_handover(counter, peers, make_lease("n1"), make_lease("n2"))
        held = RefusalCounts(
            "i9", (RefusalCount(RefusalKey(Reason.DEADLINE, "", 1), 3),)
        )
        peers.silent.add("n2")
        assert not handover.transfer([held])
        counter.count(Reason.DRAINING, "")
        assert not handover.transfer([])
