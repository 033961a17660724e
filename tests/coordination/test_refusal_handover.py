"""Tests of handing counts of refusals to a peer."""

import pytest

from camphoryard.coordination.messages import Done
from camphoryard.coordination.refusal_handover import RefusalHandover
from camphoryard.coordination.refusals import RefusalCounter
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.nodes import NodeLease, NodeTable


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


def make_handover(counter, peers, names=("n1", "n2", "n3")):
    """Return node n1's handover among live nodes."""
    nodes = NodeTable()
    for name in names:
        lease = NodeLease(
            name, name, "a", "127.0.0.1", 1, "", NodeState.SERVING, 60.0, name
        )
        nodes.saw(lease, 1)
    return RefusalHandover("n1", counter, nodes, peers)


class TestRefusalHandover:
    """Choosing a holder and handing over."""

    def test_nothing_is_sent_without_refusals(self, counter, peers):
        """A node that refuses nothing sends nothing."""
        assert not make_handover(counter, peers).hand_over()
        assert peers.asked == []

    def test_silent_peer_is_passed_over(self, counter, peers):
        """The next peer gets all that the object API does not have."""
        handover = make_handover(counter, peers)
        counter.count(Reason.OVERLOADED, "")
        handover.hand_over()
        first = peers.asked[-1][0]
        peers.silent.add(first)
        counter.count(Reason.DEADLINE, "")
        handover.hand_over()
        last, counts = peers.asked[-1]
        assert last not in ("n1", first)
        assert {item.key.reason for item in counts} == {
            Reason.OVERLOADED,
            Reason.DEADLINE,
        }
        assert counter.unhanded() is None

    def test_holder_started_anew_gets_all_again(self, counter, peers):
        """Its copy went with its memory, though no refusal came since."""
        nodes = NodeTable()
        handover = RefusalHandover("n1", counter, nodes, peers)
        for number, incarnation in enumerate(("old", "new"), 1):
            lease = NodeLease(
                "n2", incarnation, "a", "h", 1, "", NodeState.SERVING, 60.0, "w"
            )
            nodes.saw(lease, number)
            if number == 1:
                counter.count(Reason.OVERLOADED, "")
            assert handover.hand_over()
        assert len(peers.asked) == 2
        assert peers.asked[0] == peers.asked[1]

    def test_lone_node_keeps_its_counts(self, counter, peers):
        """Without a peer the counts stay to be handed over later."""
        handover = make_handover(counter, peers, ("n1",))
        counter.subscribe(handover.hand_over)
        counter.count(Reason.OVERLOADED, "")
        assert peers.asked == []
        assert counter.unhanded() is not None
