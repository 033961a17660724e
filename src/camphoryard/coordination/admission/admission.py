"""Admission: which waiting request gets the next free engine slot.

Requests wait in lanes. All requests of a lane can run at the same endpoints, so only
the head of each lane is considered when a slot becomes free. A request whose model is
still loading waits in a lane without usable endpoints and occupies no slot.
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
DEADLINE_HORIZON_S = 60.0
DEFERRABLE_SLOT_SHARE = 0.75
SLOT_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 1.0
CHECK_PERIOD_S = 0.25
CHECKS_PER_REFRESH = 2
TOP_RANK = Priority.URGENT.rank
RESUMED_RANK = TOP_RANK - 1


@dataclass(frozen=True, slots=True)
class Unlimited:
    """Send each request at once, whatever the load; requests queue at the engines."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Wait for a slot in order of arrival; ``queue_limit`` applies to each group."""

    queue_limit: int = 256


@dataclass(frozen=True, slots=True)
class DeadlineFirst:
    """Order by priority, then by deadline; refuse requests that would be too late.

    A request is raised by one priority for each ``aging_s`` seconds that it has waited,
    so that deferrable requests do not starve.
    """

    queue_limit: int = 256
    aging_s: float = AGING_S


AdmissionPolicy: TypeAlias = Unlimited | FirstCome | DeadlineFirst


@dataclass(frozen=True, slots=True)
class Lane:
    """Properties that requests share if the same endpoints can serve them.

    Resumed streams precede all others and are never shed, because part of their answer
    has already been sent.
    """

    group: GroupId
    items: tuple[ItemId, ...]
    priority: Priority
    excluded: frozenset[EndpointId] = frozenset()
    is_resumed: bool = False


@dataclass(slots=True, eq=False)
class Ticket:
    """One request that waits for a slot or occupies one.

    ``usable`` returns the ``candidates`` that could run the request now if they had a
    free slot. ``deadline_s`` is a time of the monotonic clock. Requests with the same
    ``affinity`` are preferably sent to the same endpoint.
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
    sequence_number: int = 0


class Admission:
    """The queues of one node for the slots of the engines."""

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
        self._sequence = itertools.count()
        self._slots_in_use_by_group: Counter[GroupId] = Counter()
        self._slot_time_s_by_group: dict[GroupId, float] = {}

    def enter(self, ticket: Ticket) -> None:
        """Queue a ticket; ``changed`` is set once it is granted or refused.

        Raises
        ------
        RefusalError
            If the queue is full or the deadline cannot be met.
        """
        with self._lock:
            self._refuse_if_too_late(ticket)
            ticket.sequence_number = next(self._sequence)
            lane = self._lane_by_key[ticket.lane]
            bisect.insort(lane, ticket, key=_lane_sort_key(self._policy))
            self._dispatch()
            if ticket.endpoint is None:
                self._shed(ticket.lane.group)
        if ticket.refusal is not None:
            raise ticket.refusal

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a ticket from its queue; release a slot granted in the meantime."""
        with self._lock:
            self._remove(ticket)
        if ticket.endpoint is not None:
            self.release(ticket)

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a ticket, if it has one."""
        if ticket.endpoint is None:
            return
        self._in_flight.end(ticket.endpoint)
        group = ticket.lane.group
        slot_time_s = time.monotonic() - ticket.granted_s
        with self._lock:
            ticket.endpoint = None
            self._slots_in_use_by_group[group] -= 1
            average_s = self._slot_time_s_by_group.get(group, slot_time_s)
            self._slot_time_s_by_group[group] = average_s + SLOT_TIME_WEIGHT * (
                slot_time_s - average_s
            )
            self._dispatch()

    def wake(self) -> None:
        """Dispatch waiting tickets after an endpoint, load or loaded model changed."""
        with self._lock:
            self._dispatch()

    def run(self, timer: Timer) -> None:
        """Refresh load estimates and dispatch until the timer service closes."""
        for period, _ in enumerate(timer.every(CHECK_PERIOD_S)):
            if period % CHECKS_PER_REFRESH == 0:
                self._estimates.refresh()
            self.wake()

    def waiting(self) -> int:
        """Return how many tickets wait."""
        with self._lock:
            return sum(len(lane) for lane in self._lane_by_key.values())

    def _dispatch(self) -> None:
        """Grant slots until no lane has a head that can be placed."""
        while self._grant_next():
            pass

    def _grant_next(self) -> bool:
        now_s = time.monotonic()
        heads = [lane[0] for lane in self._lane_by_key.values()]
        for ticket in sorted(heads, key=lambda item: self._sort_key(item, now_s)):
            endpoint = self._place(ticket, now_s)
            if endpoint is not None:
                self._grant(ticket, endpoint, now_s)
                return True
        return False

    def _grant(self, ticket: Ticket, endpoint: EndpointId, now_s: float) -> None:
        self._remove(ticket)
        self._in_flight.begin(endpoint)
        self._slots_in_use_by_group[ticket.lane.group] += 1
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
                free = [item for item in usable if self._has_free_slot(item, rank)]
        return self._router.choose(free, ticket.affinity) if free else None

    def _has_usable_slot(self, ticket: Ticket) -> bool:
        rank = self._rank(ticket, time.monotonic())
        return any(self._has_free_slot(item, rank) for item in ticket.usable())

    def _has_free_slot(self, endpoint: EndpointId, rank: int) -> bool:
        slots: float = self._slots(endpoint)
        if rank >= Priority.DEFERRABLE.rank:
            slots = max(1.0, slots * DEFERRABLE_SLOT_SHARE)
        return self._estimates.load(endpoint) + 1 <= slots

    def _slots(self, endpoint: EndpointId) -> int:
        report = self._estimates.report(endpoint)
        if report is None or not report.slots:
            return self._slots_per_endpoint
        return report.slots

    def _sort_key(self, ticket: Ticket, now_s: float) -> tuple[float, float, int]:
        """Return the sort key among heads of lanes; the smallest is granted first."""
        match self._policy:
            case DeadlineFirst():
                return (
                    self._rank(ticket, now_s),
                    _sort_deadline_s(ticket),
                    ticket.sequence_number,
                )
            case Unlimited() | FirstCome():
                return (not ticket.lane.is_resumed, 0, ticket.sequence_number)

    def _rank(self, ticket: Ticket, now_s: float) -> int:
        if ticket.lane.is_resumed:
            return RESUMED_RANK
        rank = ticket.lane.priority.rank
        match self._policy:
            case DeadlineFirst(aging_s=aging_s):
                steps = int((now_s - ticket.arrived_s) / aging_s)
                return max(TOP_RANK, rank - steps)
            case Unlimited() | FirstCome():
                return rank

    def _refuse_if_too_late(self, ticket: Ticket) -> None:
        match self._policy:
            case DeadlineFirst() if ticket.usable() and not ticket.lane.is_resumed:
                wait_s = self._expected_wait_s(ticket)
                if time.monotonic() + wait_s > ticket.deadline_s:
                    raise overloaded("the deadline cannot be met", wait_s)
            case _:
                return

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Estimate the wait for a slot in seconds, from recent slot times."""
        lane = ticket.lane
        ahead = sum(
            bisect.bisect(
                tickets,
                (ticket.deadline_s, ticket.sequence_number),
                key=lambda item: (item.deadline_s, item.sequence_number),
            )
            if key.priority is lane.priority
            else len(tickets)
            for key, tickets in self._lane_by_key.items()
            if key.group == lane.group and key.priority.rank <= lane.priority.rank
        )
        if not ahead and self._has_usable_slot(ticket):
            return 0.0
        slot_time_s = self._slot_time_s_by_group.get(lane.group, 0.0)
        return (
            (ahead + 1) * slot_time_s / max(1, self._slots_in_use_by_group[lane.group])
        )

    def _shed(self, group: GroupId) -> None:
        """Refuse the least urgent ticket of a group whose queue exceeds its limit."""
        limit = self._queue_limit()
        lanes = [
            lane
            for key, lane in self._lane_by_key.items()
            if key.group == group and not key.is_resumed
        ]
        if limit is None or sum(len(lane) for lane in lanes) <= limit:
            return
        now_s = time.monotonic()
        least_urgent = max(
            (lane[-1] for lane in lanes), key=lambda item: self._sort_key(item, now_s)
        )
        self._remove(least_urgent)
        least_urgent.refusal = overloaded(
            "too many requests are queued", self._slot_wait_s(group)
        )
        least_urgent.changed.set()

    def _queue_limit(self) -> int | None:
        match self._policy:
            case Unlimited():
                return None
            case FirstCome(queue_limit) | DeadlineFirst(queue_limit):
                return queue_limit

    def _slot_wait_s(self, group: GroupId) -> float:
        slot_time_s = self._slot_time_s_by_group.get(group, MIN_RETRY_AFTER_S)
        return slot_time_s / max(1, self._slots_in_use_by_group[group])


def overloaded(detail: str, wait_s: float) -> RefusalError:
    """Return the refusal of a request that gets no slot within ``wait_s`` seconds."""
    retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(wait_s))
    return RefusalError(Reason.OVERLOADED, detail, retry_after_s=retry_after_s)


def _sort_deadline_s(ticket: Ticket) -> float:
    """Return the deadline, at most ``DEADLINE_HORIZON_S`` after the arrival."""
    return min(ticket.deadline_s, ticket.arrived_s + DEADLINE_HORIZON_S)


def _lane_sort_key(
    policy: AdmissionPolicy,
) -> Callable[[Ticket], tuple[float, int]]:
    match policy:
        case DeadlineFirst():
            return lambda item: (_sort_deadline_s(item), item.sequence_number)
        case Unlimited() | FirstCome():
            return lambda item: (0, item.sequence_number)
