"""Tests of admission."""

import time

import pytest

from camphoryard.coordination.admission.admission import (
    Admission,
    DeadlineFirst,
    FirstCome,
    Lane,
    Ticket,
    Unlimited,
)
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.routing import LeastInFlight, Router
from camphoryard.state.enums import Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import EndpointId, ItemId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import InFlightTable
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import GROUP, NODE

ENGINE = EndpointId("engine-1")
SOON_S, LATER_S = 50.0, 100.0


def admission(policy, slots=1):
    """Return an admission queue for one endpoint."""
    in_flight = InFlightTable()
    estimates = LoadEstimates(NODE, NodeTable(), in_flight)
    router = Router(LeastInFlight(), estimates.load)
    return Admission(policy, slots, router, estimates, in_flight)


def ticket(
    priority=Priority.STANDARD,
    left_s=LATER_S,
    model="a",
    usable=(ENGINE,),
    is_resumed=False,
):
    """Return a ticket whose deadline is in ``left_s`` seconds."""
    lane = Lane(GROUP, (ItemId(model),), priority, is_resumed=is_resumed)
    deadline_s = time.monotonic() + left_s
    return Ticket(lane, (ENGINE,), deadline_s, "", lambda: usable)


def entered(queues, *tickets):
    """Enter tickets one after another and return them."""
    for item in tickets:
        queues.enter(item)
    return tickets


def grant_order(queues, tickets):
    """Return the indexes of tickets in the order in which they get the slot."""
    indexes = []
    while granted := [item for item in tickets if item.endpoint is not None]:
        (holder,) = granted
        indexes.append(tickets.index(holder))
        queues.release(holder)
    return indexes


class TestDeadlineFirst:
    """Order by priority, then by deadline."""

    def test_urgent_precedes_standard_precedes_deferrable(self):
        """Priority takes precedence over the order of arrival."""
        queues = admission(DeadlineFirst())
        priorities = (Priority.STANDARD, Priority.DEFERRABLE, Priority.STANDARD)
        tickets = entered(queues, *map(ticket, priorities), ticket(Priority.URGENT))
        assert grant_order(queues, tickets) == [0, 3, 2, 1]

    def test_earliest_deadline_is_first_within_a_priority(self):
        """It applies within a lane and across lanes of different models."""
        queues = admission(DeadlineFirst())
        tickets = entered(
            queues,
            ticket(),
            ticket(left_s=LATER_S),
            ticket(left_s=SOON_S, model="b"),
            ticket(left_s=SOON_S / 2),
        )
        assert grant_order(queues, tickets) == [0, 3, 2, 1]

    def test_deferrable_request_is_raised_with_age(self):
        """Newer requests cannot starve it."""
        queues = admission(DeadlineFirst(aging_s=1.0))
        old = ticket(Priority.DEFERRABLE, left_s=SOON_S)
        old.arrived_s -= 2.0
        holder, *rest = entered(queues, ticket(), old, ticket(Priority.URGENT))
        assert grant_order(queues, (holder, *rest)) == [0, 1, 2]

    def test_deferrable_requests_leave_slots_free(self):
        """They use at most three quarters of the slots."""
        queues = admission(DeadlineFirst(), slots=4)
        low = entered(queues, *(ticket(Priority.DEFERRABLE) for _ in range(4)))
        (urgent,) = entered(queues, ticket(Priority.URGENT))
        assert [item.endpoint for item in low] == [ENGINE, ENGINE, ENGINE, None]
        assert urgent.endpoint == ENGINE

    def test_refuses_requests_that_cannot_meet_their_deadline(self):
        """A request is not queued if its expected wait exceeds its deadline."""
        queues = admission(DeadlineFirst())
        (slow,) = entered(queues, ticket())
        slow.granted_s -= 10.0
        queues.release(slow)
        entered(queues, ticket(), ticket())
        with pytest.raises(RefusalError) as refused:
            queues.enter(ticket(left_s=1.0))
        assert refused.value.reason is Reason.OVERLOADED
        assert refused.value.verdict is Verdict.NOT_RUN
        assert refused.value.retry_after_s >= 10

    def test_request_for_a_cold_model_occupies_no_slot(self):
        """Requests whose model is loaded overtake those that wait for a load."""
        queues = admission(DeadlineFirst())
        cold = ticket(Priority.URGENT, SOON_S, "cold", usable=())
        warm = ticket(Priority.DEFERRABLE)
        entered(queues, cold, warm)
        assert (cold.endpoint, warm.endpoint) == (None, ENGINE)

    def test_full_queue_sheds_the_least_urgent(self):
        """An urgent request replaces a deferrable one in the queue."""
        queues = admission(DeadlineFirst(queue_limit=1))
        _, low = entered(queues, ticket(), ticket(Priority.DEFERRABLE))
        (urgent,) = entered(queues, ticket(Priority.URGENT))
        assert low.refusal.reason is Reason.OVERLOADED
        assert urgent.refusal is None

    def test_resumed_stream_is_first_and_is_never_shed(self):
        """Part of its answer has already been sent, so its priority is ignored."""
        queues = admission(DeadlineFirst(queue_limit=0))
        resumed = ticket(Priority.DEFERRABLE, is_resumed=True)
        tickets = entered(queues, ticket(), resumed)
        assert grant_order(queues, tickets) == [0, 1]
        assert resumed.refusal is None

    def test_withdrawn_ticket_gets_no_slot(self):
        """A withdrawn request is skipped."""
        queues = admission(DeadlineFirst())
        holder, without_intent, waiting = entered(queues, ticket(), ticket(), ticket())
        queues.withdraw(without_intent)
        queues.release(holder)
        assert (without_intent.endpoint, waiting.endpoint) == (None, ENGINE)


class TestFirstCome:
    """Order by arrival."""

    def test_ignores_priority_and_deadline(self):
        """The baseline serves requests in order of arrival."""
        queues = admission(FirstCome())
        tickets = entered(
            queues, ticket(), ticket(Priority.DEFERRABLE), ticket(Priority.URGENT)
        )
        assert grant_order(queues, tickets) == [0, 1, 2]


class TestUnlimited:
    """No queue at the node."""

    def test_sends_at_once(self):
        """All requests queue at the engines."""
        tickets = entered(admission(Unlimited()), *(ticket() for _ in range(9)))
        assert all(item.endpoint == ENGINE for item in tickets)
