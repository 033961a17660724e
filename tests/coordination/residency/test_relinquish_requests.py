"""Tests of requests to previous owners to stop sending orders."""

import pytest

from camphoryard.coordination.messages import RelinquishReply
from camphoryard.coordination.residency.relinquish_requests import RelinquishRequester
from camphoryard.coordination.residency.residency_context import (
    Identity,
    ResidencyContext,
)
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.nodes import NodeLease, NodeTable
from tests.fakes.serving import timeline

RECORD = EndpointRecord("e", 100, "n1", "i1", 5, "w")


class World:
    """Peers and unconfirmed loads that record the calls they get."""

    def __init__(self, incarnation="i2", reply=None):
        self.reply, self.requests, self.relinquished_by = reply, [], []
        nodes, state = NodeTable(), NodeState.SERVING
        nodes.observe(
            NodeLease("n2", incarnation, "z", "h", 1, "k", state, 9.0, "w"), 1
        )
        context = ResidencyContext(
            Identity("n1", "i1"),
            None,
            None,
            nodes,
            None,
            None,
            None,
            self,
            timeline(),
            None,
            None,
            60.0,
        )
        self.requester = RelinquishRequester("e", context, self)

    def possible_senders(self, record):
        """Return the previous owner of the unconfirmed loads."""
        return {"n2": "i2"}

    def record_relinquished(self, record, incarnation, unanswered):
        """Record which incarnation relinquished."""
        self.relinquished_by.append(incarnation)

    def request(self, node, message, timeout_s):
        """Return the set reply, or be unreachable."""
        self.requests.append((node, message.fence))
        if self.reply is None:
            raise PeerUnreachableError(node)
        return self.reply


class TestSend:
    """Requests to previous owners."""

    def test_records_who_relinquished(self):
        """One request with the current fencing number is sent per period."""
        world = World(reply=RelinquishReply(()))
        world.requester.send(RECORD)
        world.requester.send(RECORD)
        assert world.requests == [("n2", 5)]
        assert world.relinquished_by == ["i2"]

    @pytest.mark.parametrize("incarnation, requests", [("i2", 1), ("i3", 0)])
    def test_unreachable_or_restarted_owner_proves_nothing(self, incarnation, requests):
        """The load stays unconfirmed if the peer is unreachable or restarted."""
        world = World(incarnation)
        world.requester.send(RECORD)
        assert (len(world.requests), world.relinquished_by) == (requests, [])
