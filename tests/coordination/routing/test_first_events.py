"""Tests of the estimated wait for a first event at one engine with a queue."""

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
    """Return a clock that tests advance."""
    return Clock()


@pytest.fixture
def first_events(clock):
    """Return the tracker of first events."""
    return FirstEventTracker(clock)


def queue_requests(first_events, pending, received=0, urgency=FIRST):
    """Complete ``received`` waits for a first event; return ``pending`` more."""
    for _ in range(received):
        first_events.received(first_events.sent(E1, urgency))
    return [first_events.sent(E1, urgency) for _ in range(pending)]


class TestWait:
    """The estimated wait of a new request."""

    def test_no_pending_request_means_no_wait(self, first_events):
        """A new request is first in the queue."""
        queue_requests(first_events, pending=0, received=3)
        assert first_events.wait_s(E1, FIRST) == 0.0

    def test_wait_is_queue_length_over_rate(self, first_events):
        """Twenty pending requests at five first events a second take four seconds."""
        queue_requests(first_events, pending=20, received=10)
        assert first_events.wait_s(E1, FIRST) == 4.0

    def test_no_recent_first_event_means_a_long_wait(self, first_events, clock):
        """First events older than the window are not counted."""
        queue_requests(first_events, pending=5, received=10)
        clock.advance(WINDOW_S + 0.1)
        assert first_events.wait_s(E1, FIRST) == 5 * WINDOW_S

    def test_ended_requests_are_not_pending(self, first_events):
        """Requests of clients that disconnected are not ahead of a new one."""
        for request in queue_requests(first_events, pending=5):
            first_events.ended(request)
        assert first_events.wait_s(E1, FIRST) == 0.0

    def test_less_urgent_requests_are_not_ahead(self, first_events):
        """Engines admit the more urgent request first."""
        queue_requests(first_events, pending=20, received=10, urgency=SECOND)
        assert first_events.wait_s(E1, FIRST) == 0.0
        assert first_events.wait_s(E1, SECOND) == 4.0

    def test_wait_is_at_least_that_of_the_oldest_request(self, first_events, clock):
        """A high rate of past first events does not lower the estimate below it."""
        queue_requests(first_events, pending=1, received=100)
        clock.advance(0.4)
        assert first_events.wait_s(E1, FIRST) == pytest.approx(0.4)

    def test_few_pending_requests_are_no_queue(self, first_events):
        """A long wait of a few requests may have other causes than a queue."""
        queue_requests(first_events, pending=3)
        assert not first_events.has_queue(E1, FIRST)
        queue_requests(first_events, pending=1)
        assert first_events.has_queue(E1, FIRST)
