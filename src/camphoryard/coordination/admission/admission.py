"""Admission: which waiting request takes the next free engine slot.

Requests wait in lanes; those of one lane may all run at the same endpoints, so
only the head of each lane is looked at when a slot falls free. A request whose
model is still being loaded waits in a lane without endpoints and holds no slot.
"""

import bisect
import itertools
import math
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.coordination.ports import Timer
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.routing import Router
from camphoryard.state.enums import Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import EndpointId, GroupId, ItemId
from camphoryard.state.tables import InFlightTable

AGING_S = 5.0
MAX_PATIENCE_S = 60.0
DEFERRABLE_SLOT_SHARE = 0.75
HOLD_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 1.0
CHECK_PERIOD_S = 0.25
CHECKS_PER_REFRESH = 2
TOP_RANK = Priority.URGENT.rank
RESUMED_RANK = TOP_RANK - 1


@dataclass(frozen=True, slots=True)
class Unlimited:
    """Send at once, whatever the load; the engines queue."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Wait for a slot in order of arrival; ``queue_limit`` for each group."""

    queue_limit: int = 256


@dataclass(frozen=True, slots=True)
class DeadlineFirst:
    """Wait by class, then by deadline; refuse early what cannot be in time.

    A request rises one class for each ``aging_s`` it has waited, so that
    deferrable work is never starved for ever.
    """

    queue_limit: int = 256
    aging_s: float = AGING_S


AdmissionPolicy: TypeAlias = Unlimited | FirstCome | DeadlineFirst


@dataclass(frozen=True, slots=True)
class Lane:
    """What requests must have in common to be served by the same endpoints.

    Streams that are resumed go before all others and are never shed: half of
    their answer is already out.
    """

    group: GroupId
    items: tuple[ItemId, ...]
    priority: Priority
    excluded: frozenset[EndpointId] = frozenset()
    is_resumed: bool = False


@dataclass(slots=True, eq=False)
class Ticket:
    """One request that waits for a slot or holds one.

    ``usable`` returns those of ``candidates`` that could run it now, were they
    free. ``deadline_s`` is its deadline on the monotonic clock.
    """

    lane: Lane
    candidates: tuple[EndpointId, ...]
    deadline_s: float
    affinity: str
    usable: Callable[[], Sequence[EndpointId]]
    arrived_s: float = field(default_factory=time.monotonic)
    endpoint: EndpointId | None = None
    granted_s: float = 0.0
    refusal: RefusalError | None = None
    changed: threading.Event = field(default_factory=threading.Event)
    turn: int = 0


class Admission:
    """The queues of one node before its share of the engines' slots."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        slots_per_endpoint: int,
        router: Router,
        estimates: LoadEstimates,
        in_flight: InFlightTable,
    ) -> None:
        self._policy = policy
        self._slots_per_endpoint = slots_per_endpoint
        self._router = router
        self._estimates = estimates
        self._in_flight = in_flight
        self._lock = threading.Lock()
        self._lane_by_key: defaultdict[Lane, list[Ticket]] = defaultdict(list)
        self._turns = itertools.count()
        self._held_by_group: Counter[GroupId] = Counter()
        self._hold_s_by_group: dict[GroupId, float] = {}

    def enter(self, ticket: Ticket) -> None:
        """Queue a ticket; its event is set once it is granted or refused.

        Raises
        ------
        RefusalError
            If the queue is full or the deadline cannot be met.
        """
        with self._lock:
            self._refuse_if_late(ticket)
            ticket.turn = next(self._turns)
            lane = self._lane_by_key[ticket.lane]
            bisect.insort(lane, ticket, key=_order_in_lane(self._policy))
            self._dispatch()
            if ticket.endpoint is None:
                self._shed(ticket.lane.group)
        if ticket.refusal is not None:
            raise ticket.refusal

    def withdraw(self, ticket: Ticket) -> None:
        """Take out a ticket that waits no more; a slot it got meanwhile is freed."""
        with self._lock:
            self._remove(ticket)
        if ticket.endpoint is not None:
            self.release(ticket)

    def release(self, ticket: Ticket) -> None:
        """Give the slot back."""
        if ticket.endpoint is None:
            return
        self._in_flight.end(ticket.endpoint)
        group = ticket.lane.group
        held_s = time.monotonic() - ticket.granted_s
        with self._lock:
            ticket.endpoint = None
            self._held_by_group[group] -= 1
            known_s = self._hold_s_by_group.get(group, held_s)
            self._hold_s_by_group[group] = known_s + HOLD_WEIGHT * (held_s - known_s)
            self._dispatch()

    def wake(self) -> None:
        """Look again at who may go: an endpoint, a load or a resident changed."""
        with self._lock:
            self._dispatch()

    def run(self, timer: Timer) -> None:
        """Take in peers' loads until the timer service closes."""
        for turn, _ in enumerate(timer.every(CHECK_PERIOD_S)):
            if turn % CHECKS_PER_REFRESH == 0:
                self._estimates.refresh()
            self.wake()

    def waiting(self) -> int:
        """Return how many tickets wait."""
        with self._lock:
            return sum(len(lane) for lane in self._lane_by_key.values())

    def _dispatch(self) -> None:
        """Grant slots until no head of a lane can be placed."""
        while self._grant_one():
            pass

    def _grant_one(self) -> bool:
        now_s = time.monotonic()
        heads = [lane[0] for lane in self._lane_by_key.values()]
        for ticket in sorted(heads, key=lambda item: self._order(item, now_s)):
            endpoint = self._place(ticket, now_s)
            if endpoint is not None:
                self._grant(ticket, endpoint, now_s)
                return True
        return False

    def _grant(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        self._remove(ticket)
        self._in_flight.begin(endpoint)
        self._held_by_group[ticket.lane.group] += 1
        ticket.endpoint = endpoint
        ticket.granted_s = now_s
        ticket.changed.set()

    def _remove(self, ticket: Ticket) -> None:
        lane = self._lane_by_key.get(ticket.lane)
        if lane is None or ticket not in lane:
            return
        lane.remove(ticket)
        if not lane:
            del self._lane_by_key[ticket.lane]

    def _place(self, ticket: Ticket, now_s: float) -> EndpointId | None:
        usable = ticket.usable()
        match self._policy:
            case Unlimited():
                free = list(usable)
            case FirstCome() | DeadlineFirst():
                rank = self._rank(ticket, now_s)
                free = [item for item in usable if self._has_room(item, rank)]
        return self._router.choose(free, ticket.affinity) if free else None

    def _finds_room(self, ticket: Ticket) -> bool:
        rank = self._rank(ticket, time.monotonic())
        return any(self._has_room(item, rank) for item in ticket.usable())

    def _has_room(self, endpoint: EndpointId, rank: int) -> bool:
        slots: float = self._slots(endpoint)
        if rank >= Priority.DEFERRABLE.rank:
            slots = max(1.0, slots * DEFERRABLE_SLOT_SHARE)
        return self._estimates.load(endpoint) + 1 <= slots

    def _slots(self, endpoint: EndpointId) -> int:
        report = self._estimates.report(endpoint)
        if report is None or not report.slots:
            return self._slots_per_endpoint
        return report.slots

    def _order(self, ticket: Ticket, now_s: float) -> tuple[float, float, int]:
        """Return the sort key among heads of lanes; the smallest goes first."""
        match self._policy:
            case DeadlineFirst():
                return (
                    self._rank(ticket, now_s),
                    _sort_deadline_s(ticket),
                    ticket.turn,
                )
            case Unlimited() | FirstCome():
                return (not ticket.lane.is_resumed, 0, ticket.turn)

    def _rank(self, ticket: Ticket, now_s: float) -> int:
        if ticket.lane.is_resumed:
            return RESUMED_RANK
        rank = ticket.lane.priority.rank
        match self._policy:
            case DeadlineFirst(aging_s=aging_s):
                risen = int((now_s - ticket.arrived_s) / aging_s)
                return max(TOP_RANK, rank - risen)
            case Unlimited() | FirstCome():
                return rank

    def _refuse_if_late(self, ticket: Ticket) -> None:
        match self._policy:
            case DeadlineFirst() if ticket.usable() and not ticket.lane.is_resumed:
                wait_s = self._expected_wait_s(ticket)
                if time.monotonic() + wait_s > ticket.deadline_s:
                    raise overloaded("the deadline cannot be met", wait_s)
            case _:
                return

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Return the time to a slot, from how long slots were held lately."""
        lane = ticket.lane
        ahead = sum(
            bisect.bisect(
                tickets,
                (ticket.deadline_s, ticket.turn),
                key=lambda item: (item.deadline_s, item.turn),
            )
            if key.priority is lane.priority
            else len(tickets)
            for key, tickets in self._lane_by_key.items()
            if key.group == lane.group and key.priority.rank <= lane.priority.rank
        )
        if not ahead and self._finds_room(ticket):
            return 0.0
        hold_s = self._hold_s_by_group.get(lane.group, 0.0)
        return (ahead + 1) * hold_s / max(1, self._held_by_group[lane.group])

    def _shed(self, group: GroupId) -> None:
        """Refuse the least urgent ticket of a group whose queue is too long."""
        limit = self._queue_limit()
        lanes = [
            lane
            for key, lane in self._lane_by_key.items()
            if key.group == group and not key.is_resumed
        ]
        if limit is None or sum(len(lane) for lane in lanes) <= limit:
            return
        now_s = time.monotonic()
        last = max(
            (lane[-1] for lane in lanes), key=lambda item: self._order(item, now_s)
        )
        self._remove(last)
        last.refusal = overloaded("too many requests wait", self._drain_s(group))
        last.changed.set()

    def _queue_limit(self) -> int | None:
        match self._policy:
            case Unlimited():
                return None
            case FirstCome(queue_limit) | DeadlineFirst(queue_limit):
                return queue_limit

    def _drain_s(self, group: GroupId) -> float:
        hold_s = self._hold_s_by_group.get(group, MIN_RETRY_AFTER_S)
        return hold_s / max(1, self._held_by_group[group])


def overloaded(detail: str, wait_s: float) -> RefusalError:
    """Return the refusal of a request that did not get a slot."""
    retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(wait_s))
    return RefusalError(Reason.OVERLOADED, detail, retry_after_s=retry_after_s)


def _sort_deadline_s(ticket: Ticket) -> float:
    """Return the deadline, or an earlier time for one that is far away."""
    return min(ticket.deadline_s, ticket.arrived_s + MAX_PATIENCE_S)


def _order_in_lane(
    policy: AdmissionPolicy,
) -> Callable[[Ticket], tuple[float, int]]:
    match policy:
        case DeadlineFirst():
            return lambda item: (_sort_deadline_s(item), item.turn)
        case Unlimited() | FirstCome():
            return lambda item: (0, item.turn)
