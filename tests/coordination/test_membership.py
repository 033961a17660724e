"""Tests of what a node does with the messages of its peers."""

import pytest

from camphoryard.coordination.membership import MembershipParts, handle
from camphoryard.coordination.messages import (
    ConfigurationWanted,
    CrashSeen,
    Declined,
    Done,
    EventsWanted,
    GrantWanted,
    MoveWanted,
    RefusalsCounted,
    TrialEnded,
    TrialWanted,
)
from camphoryard.coordination.suspects import Suspects
from camphoryard.state.errors import StoreUnavailableError
from camphoryard.state.nodes import NodeTable
from camphoryard.state.refusals import RefusalSheet
from tests.fakes.serving import NODE, NoPeers, timeline


class Node:
    """A node's parts, with those that only pass on noted."""

    def __init__(self):
        self.held = []
        self.moves = []
        self.move_error = None
        self.timeline = timeline()
        self.parts = MembershipParts(
            None,
            None,
            self,
            self.timeline,
            None,
            None,
            Suspects(NODE, NodeTable(), NoPeers(), self.timeline),
            self.held.append,
            self.carry_out,
            lambda urgent: Declined(f"urgent={urgent}"),
        )

    def offer(self, known):
        """Have no configuration to offer."""
        return None

    def carry_out(self, move):
        """Note a move, or fail."""
        if self.move_error is not None:
            raise self.move_error
        self.moves.append(move.endpoint)


@pytest.fixture
def node():
    """Return a node without peers."""
    return Node()


class TestHandle:
    """The reply to each kind of message."""

    def test_counts_of_a_peer_are_held_before_the_reply(self, node):
        """``Done`` means that they outlive the peer."""
        sheet = RefusalSheet("i9", ())
        assert handle(node.parts, RefusalsCounted(sheet)) == Done()
        assert node.held == [sheet]

    def test_node_without_configuration_declines(self, node):
        """The asker goes on to another one."""
        reply = handle(node.parts, ConfigurationWanted(()))
        assert isinstance(reply, Declined)

    def test_failed_move_is_declined(self, node):
        """An error goes to the planner and ends no handler."""
        wanted = MoveWanted("engine-1", (), ())
        assert handle(node.parts, wanted) == Done()
        node.move_error = StoreUnavailableError("no answer")
        assert handle(node.parts, wanted) == Declined("no answer")
        assert node.moves == ["engine-1"]

    def test_suspect_runs_once_at_a_time(self, node):
        """A trial is given to one holder until it has ended."""
        handle(node.parts, CrashSeen("poison", "engine-1", True, False))
        wanted = TrialWanted("poison", "engine-2", NODE)
        assert handle(node.parts, wanted) == Done()
        assert isinstance(handle(node.parts, wanted), Declined)
        assert handle(node.parts, TrialEnded("poison", NODE, False)) == Done()
        assert handle(node.parts, wanted) == Done()

    def test_events_are_chosen_here(self, node):
        """Only those asked for travel."""
        node.timeline.record("started", model="a")
        node.timeline.record("started", model="b")
        reply = handle(node.parts, EventsWanted({"model": "b"}))
        assert [event.fields["model"] for event in reply.events] == ["b"]

    def test_urgency_reaches_the_budget(self, node):
        """An urgent load is granted by another rule."""
        assert handle(node.parts, GrantWanted(True)) == Declined("urgent=True")
