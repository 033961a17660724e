"""Tests of the wait for a first event; the pattern is a crowd at one engine."""

from camphoryard.coordination.routing.first_events import WINDOW_S, FirstEvents
from tests.fakes.engines import Clock


def crowd(first_events, clock, waiting, came):
    """Have ``came`` requests get their first event, and ``waiting`` more wait."""
    for _ in range(came):
        first_events.sent("e1")
        first_events.came("e1")
    for _ in range(waiting):
        first_events.sent("e1")


class TestFirstEvents:
    """The wait of one more request."""

    def test_an_engine_that_keeps_up_has_no_wait(self):
        """A few requests on their way are no queue."""
        clock = Clock()
        first_events = FirstEvents(clock)
        crowd(first_events, clock, waiting=3, came=0)
        assert first_events.wait_s("e1") == 0.0

    def test_a_crowd_waits_for_those_before_it(self):
        """Twenty that wait while five come in a second are four seconds."""
        clock = Clock()
        first_events = FirstEvents(clock)
        crowd(first_events, clock, waiting=20, came=10)
        assert first_events.wait_s("e1") == 4.0

    def test_an_engine_from_which_nothing_came_is_a_long_wait(self):
        """What came long ago tells nothing."""
        clock = Clock()
        first_events = FirstEvents(clock)
        crowd(first_events, clock, waiting=5, came=10)
        clock.advance(WINDOW_S + 0.1)
        assert first_events.wait_s("e1") == 5 * WINDOW_S

    def test_requests_that_end_wait_no_more(self):
        """Clients that left are not before anybody."""
        clock = Clock()
        first_events = FirstEvents(clock)
        crowd(first_events, clock, waiting=5, came=0)
        for _ in range(5):
            first_events.ended("e1")
        assert first_events.wait_s("e1") == 0.0
