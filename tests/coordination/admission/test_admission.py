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
    """Return an admission before one endpoint."""
    in_flight = InFlightTable()
    estimates = LoadEstimates(NODE, NodeTable(), in_flight)
    router = Router(LeastInFlight(), estimates.load)
    return Admission(policy, slots, router, estimates, in_flight)


def ticket(
    priority=Priority.STANDARD,
    due_s=LATER_S,
    model="a",
    usable=(ENGINE,),
    is_resumed=False,
):
    """Return a ticket due in ``due_s`` seconds."""
    lane = Lane(GROUP, (ItemId(model),), priority, is_resumed=is_resumed)
    deadline_s = time.monotonic() + due_s
    return Ticket(lane, (ENGINE,), deadline_s, "", lambda: usable)


def entered(given, *tickets):
    """Enter tickets in turn and return them."""
    for item in tickets:
        given.enter(item)
    return tickets


def order(given, tickets):
    """Return indexes of tickets in the order in which they get the slot."""
    indexes = []
    while granted := [item for item in tickets if item.endpoint is not None]:
        (holder,) = granted
        indexes.append(tickets.index(holder))
        given.release(holder)
    return indexes


class TestDeadlineFirst:
    """Classes, then deadlines."""

    def test_urgent_goes_before_standard_before_deferrable(self):
        """The class rules, whatever the order of arrival."""
        given = admission(DeadlineFirst())
        classes = (Priority.STANDARD, Priority.DEFERRABLE, Priority.STANDARD)
        tickets = entered(given, *map(ticket, classes), ticket(Priority.URGENT))
        assert order(given, tickets) == [0, 3, 2, 1]

    def test_earliest_deadline_goes_first_inside_a_class(self):
        """Within a lane, and over lanes of different models."""
        given = admission(DeadlineFirst())
        tickets = entered(
            given,
            ticket(),
            ticket(due_s=LATER_S),
            ticket(due_s=SOON_S, model="b"),
            ticket(due_s=SOON_S / 2),
        )
        assert order(given, tickets) == [0, 3, 2, 1]

    def test_deferrable_work_rises_with_age(self):
        """It does not wait behind newer work for ever."""
        given = admission(DeadlineFirst(aging_s=1.0))
        old = ticket(Priority.DEFERRABLE, due_s=SOON_S)
        old.arrived_s -= 2.0
        holder, *rest = entered(given, ticket(), old, ticket(Priority.URGENT))
        assert order(given, (holder, *rest)) == [0, 1, 2]

    def test_deferrable_work_leaves_slots_free(self):
        """It fills three quarters; the rest is there for others at once."""
        given = admission(DeadlineFirst(), slots=4)
        low = entered(given, *(ticket(Priority.DEFERRABLE) for _ in range(4)))
        (urgent,) = entered(given, ticket(Priority.URGENT))
        assert [item.endpoint for item in low] == [ENGINE, ENGINE, ENGINE, None]
        assert urgent.endpoint == ENGINE

    def test_refuses_early_what_cannot_be_in_time(self):
        """A request whose wait would outlast its deadline is not queued."""
        given = admission(DeadlineFirst())
        (slow,) = entered(given, ticket())
        slow.granted_s -= 10.0
        given.release(slow)
        entered(given, ticket(), ticket())
        with pytest.raises(RefusalError) as refused:
            given.enter(ticket(due_s=1.0))
        assert refused.value.reason is Reason.OVERLOADED
        assert refused.value.verdict is Verdict.NOT_RUN
        assert refused.value.retry_after_s >= 10

    def test_cold_model_holds_no_slot(self):
        """Requests whose model is loaded pass those that wait for a load."""
        given = admission(DeadlineFirst())
        cold = ticket(Priority.URGENT, SOON_S, "cold", usable=())
        warm = ticket(Priority.DEFERRABLE)
        entered(given, cold, warm)
        assert (cold.endpoint, warm.endpoint) == (None, ENGINE)

    def test_full_queue_sheds_the_least_urgent(self):
        """An urgent request takes the place of a deferrable one."""
        given = admission(DeadlineFirst(queue_limit=1))
        _, low = entered(given, ticket(), ticket(Priority.DEFERRABLE))
        (urgent,) = entered(given, ticket(Priority.URGENT))
        assert low.refusal.reason is Reason.OVERLOADED
        assert urgent.refusal is None

    def test_resumed_stream_goes_first_and_is_never_shed(self):
        """Whatever its class: half of its answer is out."""
        given = admission(DeadlineFirst(queue_limit=0))
        resumed = ticket(Priority.DEFERRABLE, is_resumed=True)
        tickets = entered(given, ticket(), resumed)
        assert order(given, tickets) == [0, 1]
        assert resumed.refusal is None

    def test_withdrawn_ticket_gets_no_slot(self):
        """A request that left the queue is passed over."""
        given = admission(DeadlineFirst())
        holder, gone, waiting = entered(given, ticket(), ticket(), ticket())
        given.withdraw(gone)
        given.release(holder)
        assert (gone.endpoint, waiting.endpoint) == (None, ENGINE)


class TestFirstCome:
    """Order of arrival."""

    def test_ignores_class_and_deadline(self):
        """The baseline serves who came first."""
        given = admission(FirstCome())
        tickets = entered(
            given, ticket(), ticket(Priority.DEFERRABLE), ticket(Priority.URGENT)
        )
        assert order(given, tickets) == [0, 1, 2]


class TestUnlimited:
    """No queue."""

    def test_sends_at_once(self):
        """The engines queue whatever comes."""
        tickets = entered(admission(Unlimited()), *(ticket() for _ in range(9)))
        assert all(item.endpoint == ENGINE for item in tickets)
