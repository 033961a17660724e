"""Tests of the wait for a first event; the pattern is a crowd at one engine."""

import pytest

from camphoryard.coordination.routing.first_events import (
    WINDOW_S,
    FirstEventTracker,
)
from camphoryard.state.ids import EndpointId, Urgency
from tests.fakes.engines import Clock

E1 = EndpointId("e1")
FIRST, SECOND = Urgency(0), Urgency(1)


@pytest.fixture
def clock():
    """Return a clock that tests move."""
    return Clock()


@pytest.fixture
def first_events(clock):
    """Return the waits at all engines."""
    return FirstEventTracker(clock)


def crowd(first_events, waiting, received=0, urgency=FIRST):
    """Have ``received`` requests get their first event; return ``waiting`` more."""
    for _ in range(received):
        first_events.received(first_events.sent(E1, urgency))
    return [first_events.sent(E1, urgency) for _ in range(waiting)]


class TestWait:
    """The wait of one more request."""

    def test_an_engine_at_which_nobody_waits_has_no_wait(self, first_events):
        """Its next request goes first."""
        crowd(first_events, waiting=0, received=3)
        assert first_events.wait_s(E1, FIRST) == 0.0

    def test_a_crowd_waits_for_those_before_it(self, first_events):
        """Twenty that wait while five come in a second are four seconds."""
        crowd(first_events, waiting=20, received=10)
        assert first_events.wait_s(E1, FIRST) == 4.0

    def test_an_engine_from_which_nothing_came_is_a_long_wait(
        self, first_events, clock
    ):
        """What came long ago tells nothing."""
        crowd(first_events, waiting=5, received=10)
        clock.advance(WINDOW_S + 0.1)
        assert first_events.wait_s(E1, FIRST) == 5 * WINDOW_S

    def test_requests_that_end_wait_no_more(self, first_events):
        """Clients that left are not before anybody."""
        for item in crowd(first_events, waiting=5):
            first_events.ended(item)
        assert first_events.wait_s(E1, FIRST) == 0.0

    def test_a_crowd_of_less_urgent_requests_keeps_no_urgent_one_waiting(
        self, first_events
    ):
        """Engines admit the more urgent request first."""
        crowd(first_events, waiting=20, received=10, urgency=SECOND)
        assert first_events.wait_s(E1, FIRST) == 0.0
        assert first_events.wait_s(E1, SECOND) == 4.0

    def test_the_oldest_that_waits_tells(self, first_events, clock):
        """One more waits no less, however fast first events came before."""
        crowd(first_events, waiting=1, received=100)
        clock.advance(0.4)
        assert first_events.wait_s(E1, FIRST) == pytest.approx(0.4)

    def test_a_few_requests_are_no_crowd(self, first_events):
        """Their wait may be chance."""
        crowd(first_events, waiting=3)
        assert not first_events.has_queue(E1, FIRST)
        crowd(first_events, waiting=1)
        assert first_events.has_queue(E1, FIRST)
