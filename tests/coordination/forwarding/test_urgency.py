"""Tests of urgency under an overload that an engine cannot serve before the deadline.

The simulated engine admits the most urgent waiting request, the oldest of those
equally urgent, and takes a fixed time for each first event.
"""

import heapq
from dataclasses import replace
from itertools import count

from camphoryard.coordination.forwarding.exchange import create_forwarded
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.state.ids import EndpointId
from camphoryard.state.traffic import Repeatability
from tests.coordination.forwarding.test_exchange import Site

E1 = EndpointId("e1")
OBJECTIVE_S = 0.5
ADMISSION_S = 0.1
ARRIVAL_INTERVAL_S = 0.07
"""1.4 times as many requests arrive as the engine admits."""


def make_site(rank=1):
    """Return a site with one engine and a stream route with ``OBJECTIVE_S``."""
    return Site(
        repeatability=Repeatability.STREAM,
        endpoints=("e1",),
        rule={"objective_s": OBJECTIVE_S, "rank": rank},
    )


def arrive(site, left_s=20.0):
    """Return a request that arrives now and whose client has ``left_s`` left."""
    now_s = site.clock.now_s
    request = replace(site.request, arrived_s=now_s, deadline_s=now_s + left_s)
    return create_forwarded(site.context, request)


def serve_overload(site, requests, uses_urgency):
    """Return how many requests meet the objective, and how many miss it."""
    clock, order = site.clock, count()
    waiting, on_time, late = [], 0, 0
    free_s = clock.now_s
    arrivals_s = [clock.now_s + n * ARRIVAL_INTERVAL_S for n in range(requests)]
    while arrivals_s or waiting:
        if arrivals_s and (not waiting or arrivals_s[0] <= free_s):
            clock.now_s = arrivals_s.pop(0)
            urgency = urgency_at(site.context, arrive(site), E1)
            item = site.first_events.sent(E1, urgency)
            heapq.heappush(waiting, (urgency * uses_urgency, next(order), item))
            free_s = max(free_s, clock.now_s)
            continue
        _, _, item = heapq.heappop(waiting)
        free_s += ADMISSION_S
        clock.now_s = free_s
        site.first_events.received(item)
        if free_s - item.sent_s <= OBJECTIVE_S:
            on_time += 1
        else:
            late += 1
    return on_time, late


class TestOverload:
    """More streams than an engine can begin within the objective."""

    def test_most_streams_the_engine_can_begin_meet_the_objective(self):
        """Streams that would miss it are queued behind the others."""
        requests = 100
        servable = round(requests * ARRIVAL_INTERVAL_S / ADMISSION_S)
        on_time, late = serve_overload(make_site(), requests, uses_urgency=True)
        assert on_time + late == requests
        assert on_time >= 0.75 * servable

    def test_order_of_arrival_makes_nearly_all_streams_late(self):
        """The failure that ordering by urgency prevents."""
        on_time, _ = serve_overload(make_site(), 100, uses_urgency=False)
        assert on_time < 25


class TestUrgencyAt:
    """The urgency of one request."""

    def test_rank_takes_precedence(self):
        """A late request of a more urgent route precedes any of the next rank."""
        urgencies = []
        for rank in (0, 1):
            site = make_site(rank)
            site.first_events.sent(E1, 0)
            site.clock.advance(2.0)
            urgencies.append(urgency_at(site.context, arrive(site), E1))
        assert urgencies == [1, 3]

    def test_retried_request_counts_from_its_first_send(self):
        """It has far less time left than its route allows.

        Deadlines of clients that send for the first time differ by some tenths.
        """
        site = make_site()
        assert urgency_at(site.context, arrive(site, left_s=10.0), E1) == 2
        assert urgency_at(site.context, arrive(site, left_s=8.5), E1) == 2
        assert urgency_at(site.context, arrive(site, left_s=7.0), E1) == 3

    def test_resumed_stream_counts_as_on_time(self):
        """Its client waits for the next event."""
        site = make_site()
        forwarded = arrive(site)
        forwarded.progress.add(b"id: 1\ndata: x\n\n")
        site.clock.advance(2.0)
        assert urgency_at(site.context, forwarded, E1) == 2
