"""Tests of who goes first; the pattern is a crowd that an engine cannot serve in time.

The model engine admits the most urgent request that waits, the oldest of equals, and
takes a fixed time for each first event.
"""

import heapq
from dataclasses import replace
from itertools import count

from camphoryard.coordination.forwarding.exchange import begin
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.state.ids import EndpointId
from camphoryard.state.traffic import Repeatability
from tests.coordination.forwarding.test_exchange import Site

E1 = EndpointId("e1")
OBJECTIVE_S = 0.5
ADMISSION_S = 0.1
CROWD_S = 0.07
"""Between two arrivals; 1.4 times as many as the engine admits."""


def make_site(rank=1):
    """Return a site with one engine and a stream of ``OBJECTIVE_S``."""
    return Site(
        repeatability=Repeatability.STREAM,
        endpoints=("e1",),
        rule={"objective_s": OBJECTIVE_S, "rank": rank},
    )


def arrive(site, left_s=20.0):
    """Return a request that arrives now, with its client's time left."""
    now_s = site.clock.now_s
    request = replace(site.request, arrived_s=now_s, deadline_s=now_s + left_s)
    return begin(site.parts, request)


def serve_crowd(site, requests, uses_urgency):
    """Return how many of a crowd get their first event in time, and how many late."""
    clock, order = site.clock, count()
    waiting, came_in_time, came_late = [], 0, 0
    free_s = clock.now_s
    arrivals_s = [clock.now_s + n * CROWD_S for n in range(requests)]
    while arrivals_s or waiting:
        if arrivals_s and (not waiting or arrivals_s[0] <= free_s):
            clock.now_s = arrivals_s.pop(0)
            urgency = urgency_at(site.parts, arrive(site), E1)
            item = site.first_events.sent(E1, urgency)
            heapq.heappush(waiting, (urgency * uses_urgency, next(order), item))
            free_s = max(free_s, clock.now_s)
            continue
        _, _, item = heapq.heappop(waiting)
        free_s += ADMISSION_S
        clock.now_s = free_s
        site.first_events.received(item)
        if free_s - item.sent_s <= OBJECTIVE_S:
            came_in_time += 1
        else:
            came_late += 1
    return came_in_time, came_late


class TestCrowd:
    """More streams than an engine can begin in time."""

    def test_most_that_the_engine_can_begin_in_time_are_in_time(self):
        """Those that come too late wait behind them and are served after the crowd."""
        requests = 100
        possible = round(requests * CROWD_S / ADMISSION_S)
        in_time, late = serve_crowd(make_site(), requests, uses_urgency=True)
        assert in_time + late == requests
        assert in_time >= 0.75 * possible

    def test_first_come_first_served_has_almost_all_late(self):
        """It is what the order by urgency answers."""
        in_time, _ = serve_crowd(make_site(), 100, uses_urgency=False)
        assert in_time < 25


class TestUrgencyAt:
    """The urgency of one request."""

    def test_the_rank_goes_first(self):
        """A late request of a more urgent route goes before one of the next."""
        urgencies = []
        for rank in (0, 1):
            site = make_site(rank)
            site.first_events.sent(E1, 0)
            site.clock.advance(2.0)
            urgencies.append(urgency_at(site.parts, arrive(site), E1))
        assert urgencies == [1, 3]

    def test_a_client_that_comes_back_is_late_already(self):
        """It has less time left than its route allows."""
        site = make_site()
        assert urgency_at(site.parts, arrive(site, left_s=10.0), E1) == 2
        assert urgency_at(site.parts, arrive(site, left_s=9.0), E1) == 3

    def test_a_stream_that_is_resumed_is_in_time(self):
        """Its client waits for the next event."""
        site = make_site()
        forwarded = arrive(site)
        forwarded.progress.take(b"id: 1\ndata: x\n\n")
        site.clock.advance(2.0)
        assert urgency_at(site.parts, forwarded, E1) == 2
