"""Tests of what endpoints say of themselves in their answers."""

import pytest

from camphoryard.coordination.routing.endpoint_notices import (
    MAX_REST_S,
    MAX_RETURN_SPREAD_S,
    EndpointNotices,
    Leaving,
    Resting,
)
from camphoryard.state.directory import Directory
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
