"""Queue of the requests that wait for an engine, and the decisions about them.

Not thread-safe: used under the lock of the dispatcher.
"""

import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from camphoryard.coordination.dispatch.dispatch_rates import DispatchRates
from camphoryard.coordination.dispatch.engine_ledger import EngineLedger
from camphoryard.coordination.dispatch.order import (
    UrgentFirst,
    UsualDemand,
    Waiting,
    sort_key,
    work_shares,
)
from camphoryard.coordination.dispatch.placing import (
    Candidate,
    RoomPolicy,
    choose_room,
    min_first_event_s,
)
from camphoryard.state.directory import Directory
from camphoryard.state.dispatch import (
    DispatchAnswer,
    Dispatched,
    DispatchRequest,
    NotDispatched,
    Rejected,
)
from camphoryard.state.ids import EndpointId, TicketId
from camphoryard.state.serving_endpoints import EndpointState, ServingEndpoint
from camphoryard.state.traffic import EngineSpec

TICKET_LIFETIME_S = 1.0
"""How long a request keeps its place after its node has asked last."""
MIN_QUEUED_REQUESTS = 4
"""Fewer waiting requests do not show how long the wait will be."""
MIN_RATE_PER_S = 0.25
"""Rate at which places are assumed to become free if none has been seen to."""
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
"""Upper bound of Retry-After; the backlog of a longer time changes meanwhile."""
RETRY_AFTER_SPREAD = 0.5
"""Refused clients come back over this share of the wait, not all at once."""
UNKNOWN_KV_TOKENS = 1 << 40
"""Memory of engines whose service tells none: only their places are counted."""
TAKEOVER_S = 10.0
"""How long a dispatcher that begins also counts what nodes have in flight."""
RETURNED_PATIENCE = 1.3
"""Factor by which the expected wait of a request that was refused before may be longer,
as a second refusal costs its client more."""


@dataclass(slots=True, eq=False)
class QueuedRequest(Waiting):
    """A request that waits; decisions about it are made while its node asks.

    ``expires_s`` is when its place lapses unless its node asks again. ``endpoints`` are
    those that could run it, as last seen. Its expected wait ``is_due`` to be estimated
    each time that its node asks.
    """

    expires_s: float = 0.0
    is_asking: bool = True
    answer: DispatchAnswer | None = None
    endpoints: tuple[EndpointId, ...] = ()
    is_due: bool = True


@dataclass(frozen=True, slots=True)
class Decision:
    """An answer to a waiting request, with what a log line tells of it.

    ``candidate`` is the endpoint that it goes to, ``queued`` the number of requests
    that waited, this one included.
    """

    request: DispatchRequest
    answer: DispatchAnswer
    waited_s: float
    queued: int
    candidate: Candidate | None = None


@dataclass(slots=True)
class _Step:
    """What one step of decisions knows at ``now_s``.

    ``waited_for`` are the endpoints that a request waits for, as it saw them.
    ``ahead_by_rank`` counts the requests that wait, by endpoint; one that could
    go to several counts for each of them in part.
    """

    now_s: float
    endpoint_by_id: Mapping[EndpointId, ServingEndpoint]
    waited_for: dict[EndpointId, Candidate] = field(default_factory=dict)
    ahead_by_rank: defaultdict[int, defaultdict[EndpointId, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )

    def ahead(self, endpoints: Sequence[EndpointId], rank: int) -> float:
        """Return how many requests of a rank wait for some endpoints."""
        ahead = self.ahead_by_rank[rank]
        return sum(ahead[item] for item in endpoints)

    def add(self, queued: QueuedRequest) -> None:
        """Count one more request that waits for one of its endpoints."""
        ahead = self.ahead_by_rank[queued.request.rank]
        part = 1 / max(1, len(queued.endpoints))
        for item in queued.endpoints:
            ahead[item] += part

    def has_no_news(self, queued: QueuedRequest) -> bool:
        """Return whether others wait for all that the request could go to."""
        if queued.is_due or not queued.endpoints or queued.leaves_s <= self.now_s:
            return False
        return all(item in self.waited_for for item in queued.endpoints)


class DispatchQueue:
    """The requests that wait, and the steps that decide which of them go.

    Parameters
    ----------
    ledger : EngineLedger
        What the engines have in hand.
    directory : Directory
        Endpoints, and the engines of each service.
    in_flight : callable
        Return the number of requests at an endpoint according to the nodes, which is
        late by some tenths of a second.
    """

    def __init__(
        self,
        ledger: EngineLedger,
        directory: Directory,
        in_flight: Callable[[EndpointId], float],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        order: UrgentFirst | None = None,
        room: RoomPolicy | None = None,
    ) -> None:
        self._ledger = ledger
        self._directory = directory
        self._in_flight = in_flight
        self._clock = clock
        self._rng = rng or random.Random()
        self._order = order or UrgentFirst()
        self._room = room or RoomPolicy()
        self._usual = UsualDemand(clock)
        self._rates = DispatchRates()
        self._queued_by_ticket: dict[TicketId, QueuedRequest] = {}
        self._takeover_until_s = 0.0
        self._last_asked_s = -TAKEOVER_S

    def __len__(self) -> int:
        return len(self._queued_by_ticket)

    def count_by_rank(self) -> Counter[int]:
        """Return the number of waiting requests by rank."""
        return Counter(item.request.rank for item in self._queued_by_ticket.values())

    def enter(self, request: DispatchRequest) -> QueuedRequest:
        """Queue a request, or renew the place that it has; its node asks now."""
        now_s = self._clock()
        if now_s - self._last_asked_s >= TAKEOVER_S:
            self._takeover_until_s = now_s + TAKEOVER_S
        self._last_asked_s = now_s
        queued = self._queued_by_ticket.get(request.ticket)
        if queued is None:
            self._usual.record(request)
            queued = QueuedRequest(
                request,
                now_s,
                now_s + request.objective_left_s,
                now_s + request.leave_left_s,
            )
            self._queued_by_ticket[request.ticket] = queued
        queued.request = request
        queued.is_asking = True
        queued.answer = None
        queued.is_due = True
        return queued

    def stop_asking(self, queued: QueuedRequest) -> None:
        """Record that the node has its answer, and may ask again."""
        queued.is_asking = False
        queued.expires_s = self._clock() + TICKET_LIFETIME_S

    def end(self, ticket: TicketId) -> None:
        """Record that a dispatched request no longer occupies its endpoint."""
        self._rates.end(ticket, self._clock())

    def withdraw(self, ticket: TicketId) -> QueuedRequest | None:
        """Remove a request; return it if it waited."""
        return self._queued_by_ticket.pop(ticket, None)

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests, which choose their endpoint themselves."""
        queued = list(self._queued_by_ticket.values())
        self._queued_by_ticket.clear()
        for item in queued:
            item.answer = NotDispatched()
        return queued

    def last_asking(self) -> QueuedRequest | None:
        """Return the last in order of the requests whose nodes ask now."""
        asking = [item for item in self._sorted(self._clock()) if item.is_asking]
        return asking[-1] if asking else None

    def next_change_s(self) -> float:
        """Return in how many seconds an engine has read the next prompt, 0 if none."""
        asked = {
            endpoint
            for item in self._queued_by_ticket.values()
            for endpoint in item.request.candidates
        }
        changes = (self._ledger.earliest_change_s(item) for item in asked)
        return min((item for item in changes if item > 0), default=0.0)

    def decide(self) -> list[Decision]:
        """Decide which requests go now, and which cannot begin in time.

        In their order, requests go where there is room. One that waits keeps its
        endpoints from those behind it, so that large requests find room too.
        """
        now_s = self._clock()
        self._drop_expired(now_s)
        step = _Step(now_s, self._directory.endpoints_by_id())
        decisions: list[Decision] = []
        for queued in self._sorted(now_s):
            decision = self._decide(queued, step)
            if decision is not None:
                queued.answer = decision.answer
                del self._queued_by_ticket[queued.request.ticket]
                decisions.append(decision)
        return decisions

    def _decide(self, queued: QueuedRequest, step: _Step) -> Decision | None:
        """Return the decision about one request, or None if it waits on."""
        if not queued.is_asking or step.has_no_news(queued):
            step.add(queued)
            return None
        request = queued.request
        endpoints = self._endpoints(request, step)
        queued.endpoints = tuple(item.id for item in endpoints)
        engine = self._engine(request)
        if engine is None or not endpoints:
            return self._decision(queued, NotDispatched(), step)
        free = [
            self._candidate(item, engine, request, step.now_s)
            for item in endpoints
            if item.id not in step.waited_for
        ]
        chosen = choose_room(queued, free, step.now_s, self._room)
        if chosen is not None:
            endpoint = step.endpoint_by_id[chosen.outlook.endpoint]
            self._ledger.dispatched(endpoint, engine, request)
            self._rates.begin(request.ticket, endpoint.id, request.rank, step.now_s)
            return self._decision(queued, Dispatched(endpoint.id), step, chosen)
        step.waited_for.update((item.outlook.endpoint, item) for item in free)
        candidates = [step.waited_for[item] for item in queued.endpoints]
        queued.first_event_s = min_first_event_s(candidates)
        queued.is_due = False
        wait_s = self._expected_wait_s(queued, step)
        step.add(queued)
        if self._is_too_late(queued, candidates, wait_s, step.now_s):
            return self._decision(queued, self._rejection(wait_s), step)
        return None

    def _decision(
        self,
        queued: QueuedRequest,
        answer: DispatchAnswer,
        step: _Step,
        candidate: Candidate | None = None,
    ) -> Decision:
        waited_s = step.now_s - queued.since_s
        return Decision(queued.request, answer, waited_s, len(self), candidate)

    def _expected_wait_s(self, queued: QueuedRequest, step: _Step) -> float:
        """Return the expected wait by Little's law, 0 with too few ahead to tell."""
        rank = queued.request.rank
        ahead = step.ahead(queued.endpoints, rank)
        if ahead < MIN_QUEUED_REQUESTS:
            return 0.0
        rate_per_s = sum(
            self._rates.per_s(item, rank, step.now_s) for item in queued.endpoints
        )
        return ahead / max(MIN_RATE_PER_S, rate_per_s)

    def _is_too_late(
        self,
        queued: QueuedRequest,
        candidates: Sequence[Candidate],
        wait_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the request cannot begin before its client leaves."""
        left_s = queued.leaves_s - now_s
        if left_s <= 0:
            return True
        if queued.request.has_begun:
            return False
        begins_in_s = wait_s + queued.first_event_s
        patience = RETURNED_PATIENCE if queued.request.has_returned else 1.0
        if any(item.outlook.load < self._room.room_load for item in candidates):
            return False
        return begins_in_s > left_s * self._room.leave_share * patience

    def _rejection(self, wait_s: float) -> Rejected:
        spread = 1 + RETRY_AFTER_SPREAD * (2 * self._rng.random() - 1)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Rejected(
            retry_after_s * spread,
            f"an engine is expected to be free in {wait_s:.1f} s",
        )

    def _candidate(
        self,
        endpoint: ServingEndpoint,
        engine: EngineSpec,
        request: DispatchRequest,
        now_s: float,
    ) -> Candidate:
        outlook = self._ledger.outlook(endpoint, engine, request)
        if now_s < self._takeover_until_s:
            used = self._in_flight(endpoint.id) / max(1, endpoint.slots)
            has_place = outlook.has_place and used < 1
            outlook = replace(
                outlook, has_place=has_place, load=max(outlook.load, used)
            )
        return Candidate(
            outlook,
            endpoint.zone == request.zone,
            self._ledger.earliest_change_s(endpoint.id),
        )

    def _engine(self, request: DispatchRequest) -> EngineSpec | None:
        rules = self._directory.rules
        service = rules.services_by_id.get(request.service) if rules else None
        engine = service.engine if service is not None else None
        if engine is not None and not engine.kv_tokens:
            return replace(engine, kv_tokens=UNKNOWN_KV_TOKENS)
        return engine

    def _endpoints(
        self, request: DispatchRequest, step: _Step
    ) -> list[ServingEndpoint]:
        """Return the ready endpoints that may run the request."""
        endpoints: Iterable[ServingEndpoint]
        if request.candidates:
            known = step.endpoint_by_id
            endpoints = [known[item] for item in request.candidates if item in known]
        else:
            endpoints = self._directory.loaded_endpoints(request.service, request.item)
        return [
            item
            for item in endpoints
            if item.state is EndpointState.READY and item.id not in request.excluded
        ]

    def _sorted(self, now_s: float) -> list[QueuedRequest]:
        queued = self._queued_by_ticket.values()
        if len(queued) == 1:
            return list(queued)
        shares = work_shares(self._ledger.in_hand(), queued, self._usual, self._order)
        return sorted(
            queued, key=lambda item: sort_key(item, now_s, self._order, shares)
        )

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            ticket
            for ticket, item in self._queued_by_ticket.items()
            if not item.is_asking and item.expires_s <= now_s
        ]
        for ticket in expired:
            del self._queued_by_ticket[ticket]
