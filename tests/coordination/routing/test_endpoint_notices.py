"""Tests of what endpoints say of themselves in their answers."""

from dataclasses import replace

import pytest

from camphoryard.coordination.routing.endpoint_notices import (
    MAX_REST_S,
    MAX_RETURN_SPREAD_S,
    EndpointNotices,
    Leaving,
    Limited,
    Resting,
    Unlimited,
)
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_limits import EndpointLimit
from tests.fakes.engines import SERVICE, Clock, RecordedLog, make_endpoint

E1 = make_endpoint("e1")


@pytest.fixture
def notices():
    """Return the notices of endpoints in a directory that has ``e1``."""
    clock = Clock()
    directory = Directory(clock)
    directory.observe(E1)
    return EndpointNotices(directory, RecordedLog(), clock)


class TestLeaving:
    """Endpoints that leave."""

    def test_endpoint_that_leaves_is_not_ready(self, notices):
        """It is logged once, however many answers say so."""
        for _ in range(3):
            notices.heed(E1, [Leaving()])
        assert notices.directory.ready(SERVICE) == []
        assert notices.log.events() == ["endpoint_leaving"]


class TestResting:
    """Endpoints that want nothing for some time."""

    def test_rest_ends_after_its_time_and_a_spread(self, notices):
        """The nodes of a fleet do not all return at the same moment."""
        notices.heed(E1, [Resting(2.0)])
        assert 2.0 <= notices.rest_left_s("e1") <= 2.5
        notices.clock.advance(1.0)
        assert 1.0 <= notices.rest_left_s("e1") <= 1.5
        notices.clock.advance(1.5)
        assert notices.rest_left_s("e1") == 0.0

    def test_shorter_rest_does_not_end_a_longer_one(self, notices):
        """Answers of several connections may come in any order."""
        notices.heed(E1, [Resting(9.0)])
        notices.heed(E1, [Resting(1.0)])
        assert notices.rest_left_s("e1") >= 9.0

    def test_rest_of_hours_is_bounded(self, notices):
        """An endpoint that still wants a rest then says so again."""
        notices.heed(E1, [Resting(86_400.0)])
        assert notices.rest_left_s("e1") <= MAX_REST_S + MAX_RETURN_SPREAD_S

    def test_other_endpoints_do_not_rest(self, notices):
        """The word is that of one endpoint."""
        notices.heed(E1, [Resting(2.0)])
        assert notices.rest_left_s("e2") == 0.0


class TestLimited:
    """Endpoints that name a limit."""

    def test_a_limit_is_logged_when_it_changes(self, notices):
        """Not with each answer that names it again."""
        for per_s in (2.0, 2.0, 1.0):
            notices.heed(E1, [Limited(per_s)])
        named = [fields["per_s"] for _, fields in notices.log.lines]
        assert named == [2.0, 1.0]

    def test_an_answer_without_a_limit_ends_it(self, notices):
        """Not that to a request which was sent before the limit was last named."""
        notices.heed(E1, [Limited(2.0)])
        notices.heed(E1, [Unlimited()], notices.clock.now_s - 0.1)
        assert notices.log.events() == ["endpoint_limited"]
        notices.heed(E1, [Unlimited()], notices.clock.now_s + 0.1)
        assert notices.log.events() == ["endpoint_limited", "endpoint_limit_ended"]

    def test_an_answer_without_a_limit_says_nothing_of_an_endpoint_that_had_none(
        self, notices
    ):
        """Nothing is remembered of such endpoints."""
        notices.heed(E1, [Unlimited()], notices.clock.now_s)
        assert not notices.log.events()
        assert not notices.limits.by_endpoint()

    def test_a_peer_s_word_counts_if_it_is_newer(self, notices):
        """Of two that are as new, the stricter one counts."""
        notices.heed(E1, [Limited(2.0)])
        start = E1.started_ms
        for limit in (
            EndpointLimit(start, 1, 3.0),
            EndpointLimit(start, 1, 1.0),
            EndpointLimit(start, 2, None),
            EndpointLimit(start, 1, 0.5),
        ):
            notices.limits.adopt({E1.id: limit})
        assert notices.log.events() == [
            "endpoint_limited",
            "endpoint_limited",
            "endpoint_limit_ended",
        ]
        assert notices.limits.by_endpoint() == {E1.id: EndpointLimit(start, 2, None)}

    def test_a_restart_ends_a_limit(self, notices):
        """A late answer of the process before does not bring it back."""
        notices.heed(E1, [Limited(2.0)])
        restarted = replace(E1, started_ms=E1.started_ms + 1)
        notices.heed(restarted, [Limited(1.0)])
        notices.heed(E1, [Limited(2.0)])
        known = notices.limits.by_endpoint()[E1.id]
        assert known == EndpointLimit(E1.started_ms + 1, 1, 1.0)

    # Guards against LIMIT: a head that was on its way when a peer told of the limit
    # ended it at all nodes.
    def test_an_answer_from_before_a_peer_s_word_does_not_end_a_limit(self, notices):
        """Its request was sent before this node knew of the limit."""
        sent_s = notices.clock.now_s
        notices.clock.advance(0.2)
        notices.limits.adopt({E1.id: EndpointLimit(E1.started_ms, 1, 2.0)})
        notices.heed(E1, [Unlimited()], sent_s)
        assert notices.limits.in_force(E1) is not None

    # Guards against LIMIT: a late answer brought back the larger limit from before.
    def test_a_late_answer_does_not_raise_a_limit(self, notices):
        """Its request was sent before the answer that named the smaller one."""
        first_sent_s = notices.clock.now_s
        notices.clock.advance(0.1)
        notices.heed(E1, [Limited(1.0)], notices.clock.now_s)
        notices.clock.advance(0.1)
        notices.heed(E1, [Limited(8.0)], first_sent_s)
        assert notices.limits.in_force(E1).per_s == 1.0

    # Guards against LIMIT: a node whose view was older than a restart sent at will.
    def test_a_peer_s_word_of_a_newer_start_binds_a_node_that_has_not_seen_it(
        self, notices
    ):
        """What it sends to the endpoint reaches the process that named the limit."""
        limit = EndpointLimit(E1.started_ms + 1, 1, 2.0)
        notices.limits.adopt({E1.id: limit})
        notices.heed(E1, [Limited(2.0)], notices.clock.now_s)
        assert notices.limits.in_force(E1) is not None

    def test_the_limit_of_an_earlier_start_is_forgotten(self, notices):
        """Nodes go on sharing nothing for it."""
        notices.heed(E1, [Limited(2.0)])
        notices.directory.observe(replace(E1, started_ms=E1.started_ms + 1))
        assert not notices.limits.by_endpoint()
        assert not notices.limits.ids()
