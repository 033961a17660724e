"""Tests of learning of nodes, suspects and the configuration from peers."""

import pytest

from camphoryard.coordination.joining import Joiner, JoiningParts
from camphoryard.coordination.messages import CrashSeen, Joined, JoinWanted
from camphoryard.coordination.suspects import Suspects
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import PeerUnreachableError, RefusalError
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import timeline


def make_lease(name):
    """Return a node's lease."""
    return NodeLease(name, name, "a", "h", 1, "", NodeState.SERVING, 60.0, name)


class Network:
    """Joiners by node; a node that is in none of them does not answer."""

    def __init__(self):
        self.joiner_by_id = {}
        self.suspects_by_id = {}

    def add(self, name):
        """Add a node that knows of nobody."""
        nodes = NodeTable()
        nodes.saw(make_lease(name), 1)
        suspects = Suspects(name, nodes, self, timeline())
        parts = JoiningParts(
            make_lease(name),
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
        assert network.joiner_by_id["n2"].greet("n1")
        for nodes in (first, second):
            assert [lease.node for lease in nodes.alive()] == ["n1", "n2"]

    def test_new_node_refuses_what_is_quarantined(self, network):
        """A node that starts after the crashes knows their cause."""
        network.add("n1")
        for endpoint in ("engine-1", "engine-2"):
            seen = CrashSeen("poison", endpoint, early=True, on_trial=False)
            network.suspects_by_id["n1"].saw(seen)
        network.add("n2")
        network.joiner_by_id["n2"].greet("n1")
        with pytest.raises(RefusalError, match="crashed"):
            network.suspects_by_id["n2"].check("poison", Verdict.NOT_RUN)

    def test_silent_peer_teaches_nothing(self, network):
        """Greeting tells that nobody answered."""
        network.add("n1")
        assert not network.joiner_by_id["n1"].greet("n9")
