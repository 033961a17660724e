"""Tests of what a node does with its peers' messages."""

from dataclasses import replace
from unittest.mock import Mock

import pytest

from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.peer_messages import PeerMessageContext, handle
from camphoryard.coordination.messages import (
    ConfigurationWanted,
    CrashSeen,
    Declined,
    DigestWanted,
    Done,
    EventsFound,
    EventsWanted,
    GiveUp,
    Gossip,
    GossipAnswer,
    Granted,
    GrantWanted,
    ItemsUsed,
    JoinWanted,
    LoadWanted,
    MoveWanted,
    RecordsWanted,
    RefusalsCounted,
    TrialEnded,
    TrialWanted,
)
from camphoryard.coordination.placement.placement import Move
from camphoryard.state.errors import ConflictError
from camphoryard.state.nodes import NodeTable
from camphoryard.state.timeline import Event, Stamp
from tests.fakes.serving import NODE, NoPeers, timeline


@pytest.fixture
def parts():
    """Return parts that note what they are called with."""
    return PeerMessageContext(*(Mock() for _ in PeerMessageContext.__slots__))


class TestHandle:
    """Handing messages to the parts they are for."""

    @pytest.mark.parametrize(
        ("message", "called"),
        [
            (Gossip(1, ()), lambda parts: parts.gossiper.handle_gossip),
            (GossipAnswer(1, None, ()), lambda parts: parts.gossiper.handle_answer),
            (CrashSeen("f", "e", True, False), lambda parts: parts.suspects.observe),
            (TrialEnded("f", "n", True), lambda parts: parts.suspects.ended),
        ],
        ids=["gossip", "answer", "crash", "trial-ended"],
    )
    def test_news_is_taken_in(self, parts, message, called):
        """News goes to its part whole and is answered by no more than Done."""
        assert handle(parts, message) == Done()
        called(parts).assert_called_once_with(message)

    @pytest.mark.parametrize(
        ("message", "called"),
        [
            (JoinWanted(Mock()), lambda parts: parts.joiner.joined),
            (LoadWanted("e", ("m",), 0.0), lambda parts: parts.residency),
            (ItemsUsed(("m",)), lambda parts: parts.residency),
            (GiveUp("e", "i", 2), lambda parts: parts.residency),
        ],
        ids=["join", "load", "used", "give-up"],
    )
    def test_part_answers(self, parts, message, called):
        """The reply is the one of the part that was asked."""
        reply = handle(parts, message)
        assert reply is called(parts).return_value
        called(parts).assert_called_once_with(message)

    def test_records_and_digest(self, parts):
        """Questions without content are answered from this node's state."""
        assert handle(parts, RecordsWanted()) is parts.joiner.records.return_value
        assert handle(parts, DigestWanted()) is parts.digest.return_value

    def test_events_are_chosen_here(self, parts):
        """Only events with the fields asked for are sent."""
        wanted = Event(Stamp(1, 0), "n", "loaded", {"model": "m"})
        parts.timeline.events.return_value = (
            wanted,
            Event(Stamp(2, 0), "n", "loaded", {"model": "other"}),
        )
        assert handle(parts, EventsWanted({"model": "m"})) == EventsFound((wanted,))

    def test_no_configuration_to_offer(self, parts):
        """A node without a configuration says so, and the asker goes elsewhere."""
        parts.configurator.offer.return_value = None
        assert isinstance(handle(parts, ConfigurationWanted(())), Declined)

    def test_move_is_carried_out(self, parts):
        """The planner's move goes to the owner."""
        assert handle(parts, MoveWanted("e", ("m",), ("old",))) == Done()
        parts.carry_out.assert_called_once_with(Move("e", ("m",), ("old",)))

    def test_move_of_an_endpoint_of_another(self, parts):
        """Who does not own the endpoint declines, and nothing breaks."""
        parts.carry_out.side_effect = ConflictError("not owned here")
        got = handle(parts, MoveWanted("e", ("m",), ()))
        assert got == Declined("not owned here")

    def test_grant(self, parts):
        """The keeper of the weight budget answers for itself."""
        parts.grant.return_value = Granted(0.5)
        assert handle(parts, GrantWanted(True)) == Granted(0.5)
        parts.grant.assert_called_once_with(True)

    @pytest.mark.parametrize(
        ("may_start", "kind"), [(True, Done), (False, Declined)], ids=["yes", "no"]
    )
    def test_trial(self, parts, may_start, kind):
        """A suspect starts only when it is its turn."""
        parts.suspects.wanted.return_value = may_start
        assert isinstance(handle(parts, TrialWanted("f", "e", "n")), kind)

    def test_counts_are_held(self, parts):
        """Counts of a peer are kept before it is told so."""
        sheet = Mock()
        assert handle(parts, RefusalsCounted(sheet)) == Done()
        parts.hold_refusals.assert_called_once_with(sheet)

    def test_suspect_runs_once_at_a_time(self, parts):
        """A trial is given to one holder until it has ended."""
        suspects = Suspects(NODE, NodeTable(), NoPeers(), timeline())
        parts = replace(parts, suspects=suspects)
        handle(parts, CrashSeen("poison", "engine-1", True, False))
        wanted = TrialWanted("poison", "engine-2", NODE)
        assert handle(parts, wanted) == Done()
        assert isinstance(handle(parts, wanted), Declined)
        assert handle(parts, TrialEnded("poison", NODE, False)) == Done()
        assert handle(parts, wanted) == Done()
