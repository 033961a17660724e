"""Tests of asking earlier owners to send nothing more."""

import pytest

from camphoryard.coordination.messages import RelinquishReply
from camphoryard.coordination.residency.relinquish_requests import GiveUpAsker
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
    """Peers and doubts that note what they are asked and told."""

    def __init__(self, incarnation="i2", answer=None):
        self.answer, self.asked, self.given_up_by = answer, [], []
        nodes, state = NodeTable(), NodeState.SERVING
        nodes.observe(
            NodeLease("n2", incarnation, "z", "h", 1, "k", state, 9.0, "w"), 1
        )
        parts = ResidencyContext(
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
        self.asker = GiveUpAsker("e", parts, self)

    def unheard(self, record):
        """Return the earlier owner whose loads are in doubt."""
        return {"n2": "i2"}

    def given_up(self, record, incarnation, unanswered):
        """Note who gave up."""
        self.given_up_by.append(incarnation)

    def ask(self, node, message, timeout_s):
        """Answer as set, or be out of reach."""
        self.asked.append((node, message.fence))
        if self.answer is None:
            raise PeerUnreachableError(node)
        return self.answer


class TestAsk:
    """Asking earlier owners."""

    def test_notes_who_gave_up(self):
        """Asked with the present number, and not again at once."""
        world = World(answer=RelinquishReply(()))
        world.asker.ask(RECORD)
        world.asker.ask(RECORD)
        assert world.asked == [("n2", 5)]
        assert world.given_up_by == ["i2"]

    @pytest.mark.parametrize("incarnation, asked", [("i2", 1), ("i3", 0)])
    def test_silence_and_a_later_start_prove_nothing(self, incarnation, asked):
        """The doubt stays until it is settled otherwise."""
        world = World(incarnation)
        world.asker.ask(RECORD)
        assert (len(world.asked), world.given_up_by) == (asked, [])
