"""Tests of the dispatch of messages from peers."""

from dataclasses import replace
from unittest.mock import Mock

import pytest

from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.membership.peer_messages import PeerMessageContext, handle
from camphoryard.coordination.messages import (
    ConfigurationRequest,
    CrashReport,
    Declined,
    DigestRequest,
    Done,
    EventsReply,
    EventsRequest,
    Gossip,
    GossipAnswer,
    ItemsUsed,
    JoinRequest,
    LoadGrant,
    LoadGrantRequest,
    LoadItemsRequest,
    MoveItemsRequest,
    RecordsRequest,
    RefusalCountsCopy,
    RelinquishRequest,
    TrialEnded,
    TrialRequest,
)
from camphoryard.coordination.placement.placement import Move
from camphoryard.state.errors import ConflictError
from camphoryard.state.nodes import NodeTable
from camphoryard.state.timeline import Event, Stamp
from tests.fakes.serving import NODE, NoPeers, timeline


@pytest.fixture
def context():
    """Return a context whose components record their calls."""
    return PeerMessageContext(*(Mock() for _ in PeerMessageContext.__slots__))


class TestHandle:
    """Dispatching messages to the component that handles them."""

    @pytest.mark.parametrize(
        ("message", "handler"),
        [
            (Gossip(1, ()), lambda context: context.gossiper.handle_gossip),
            (GossipAnswer(1, None, ()), lambda context: context.gossiper.handle_answer),
            (
                CrashReport("f", "e", True, False),
                lambda context: context.suspects.record_crash,
            ),
            (TrialEnded("f", "n", True), lambda context: context.suspects.end_trial),
        ],
        ids=["gossip", "answer", "crash", "trial-ended"],
    )
    def test_update_is_passed_on(self, context, message, handler):
        """An update is passed to its component unchanged and answered with Done."""
        assert handle(context, message) == Done()
        handler(context).assert_called_once_with(message)

    @pytest.mark.parametrize(
        ("message", "handler"),
        [
            (JoinRequest(Mock()), lambda context: context.joiner.handle_join),
            (LoadItemsRequest("e", ("m",), 0.0), lambda context: context.residency),
            (ItemsUsed(("m",)), lambda context: context.residency),
            (RelinquishRequest("e", "i", 2), lambda context: context.residency),
        ],
        ids=["join", "load", "used", "give-up"],
    )
    def test_component_replies(self, context, message, handler):
        """The reply is the one that the component returns."""
        reply = handle(context, message)
        assert reply is handler(context).return_value
        handler(context).assert_called_once_with(message)

    def test_records_and_digest(self, context):
        """Requests without fields are answered from this node's state."""
        assert handle(context, RecordsRequest()) is context.joiner.records.return_value
        assert handle(context, DigestRequest()) is context.digest.return_value

    def test_events_are_filtered_by_the_responder(self, context):
        """Only events with the requested fields are sent."""
        wanted = Event(Stamp(1, 0), "n", "loaded", {"model": "m"})
        context.timeline.events.return_value = (
            wanted,
            Event(Stamp(2, 0), "n", "loaded", {"model": "other"}),
        )
        assert handle(context, EventsRequest({"model": "m"})) == EventsReply((wanted,))

    def test_no_configuration_to_offer(self, context):
        """A node without a configuration declines."""
        context.configurator.offer.return_value = None
        assert isinstance(handle(context, ConfigurationRequest(())), Declined)

    def test_move_is_started(self, context):
        """The planner's move is passed to the endpoint's owner."""
        assert handle(context, MoveItemsRequest("e", ("m",), ("old",))) == Done()
        context.start_move.assert_called_once_with(Move("e", ("m",), ("old",)))

    def test_move_at_an_endpoint_of_another_owner(self, context):
        """A node that does not own the endpoint declines."""
        context.start_move.side_effect = ConflictError("not owned here")
        reply = handle(context, MoveItemsRequest("e", ("m",), ()))
        assert reply == Declined("not owned here")

    def test_grant(self, context):
        """The holder of the weight budget answers the request."""
        context.grant_load.return_value = LoadGrant(0.5)
        assert handle(context, LoadGrantRequest(True)) == LoadGrant(0.5)
        context.grant_load.assert_called_once_with(True)

    @pytest.mark.parametrize(
        ("may_start", "kind"), [(True, Done), (False, Declined)], ids=["yes", "no"]
    )
    def test_trial(self, context, may_start, kind):
        """A trial starts only if the coordinator of trials allows it."""
        context.suspects.start_trial.return_value = may_start
        assert isinstance(handle(context, TrialRequest("f", "e", "n")), kind)

    def test_refusal_counts_are_stored(self, context):
        """A peer's counts are stored before they are acknowledged."""
        counts = Mock()
        assert handle(context, RefusalCountsCopy(counts)) == Done()
        context.store_refusals.assert_called_once_with(counts)

    def test_suspect_has_one_trial_at_a_time(self, context):
        """A second trial is declined until the first has ended."""
        suspects = Suspects(NODE, NodeTable(), NoPeers(), timeline())
        context = replace(context, suspects=suspects)
        handle(context, CrashReport("poison", "engine-1", True, False))
        request = TrialRequest("poison", "engine-2", NODE)
        assert handle(context, request) == Done()
        assert isinstance(handle(context, request), Declined)
        assert handle(context, TrialEnded("poison", NODE, False)) == Done()
        assert handle(context, request) == Done()
