"""What engines have in hand, and what a further request would meet there.

An engine reads prompts in pieces, one between two steps of its batch; each step makes
one token of every running stream. A stream pauses for as long as the engine reads
within one of its events. The ledger knows which requests were dispatched to an engine,
and expects when each of them is read; the speeds are learned from first events.

Not thread-safe: used under the lock of the dispatcher.
"""

import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeAlias

from camphoryard.coordination.dispatch.engine_work import (
    EngineWork,
    Expected,
    Run,
    memory_tokens,
    reading_in_event_s,
)
from camphoryard.coordination.dispatch.reading_speed import ReadingSpeeds
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    Progress,
    RunEnded,
)
from camphoryard.state.ids import AccountId, EndpointId, ServiceId, TicketId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import EngineSpec

LAPSE_S = 20.0
LAPSE_S_PER_OUTPUT_TOKEN = 0.05
"""Runs whose end nobody reports lapse after ``LAPSE_S`` and this much a token."""
NOTE_LAG_GAIN = 0.02
"""How much of a shorter time a note changes the estimate; a longer one replaces it."""
READING_LOAD_S = 0.3
"""Reading ahead of a request that counts as a full load."""
MIN_TIME_S = 1e-3

Owner: TypeAlias = tuple[int, AccountId | None]
"""Rank and account of a request."""


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a request would meet at an endpoint now.

    Attributes
    ----------
    endpoint : EndpointId
        The endpoint.
    first_event_s : float
        Expected time to the first event of the request, in seconds.
    pause_s : float
        Longest pause of the streams that run there, in seconds, with the request
        added; 0.0 if none runs.
    has_place : bool
        Whether a place in the batch and memory for its tokens are free.
    unread_tokens : int
        Tokens of its prompt that the endpoint would have to read.
    load : float
        Share of the endpoint in use, 0 to 1 and more.
    """

    endpoint: EndpointId
    first_event_s: float
    pause_s: float
    has_place: bool
    unread_tokens: int
    load: float


class EngineLedger:
    """Keeps account of the requests that were dispatched to engines.

    Parameters
    ----------
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._engine_by_id: dict[EndpointId, EngineWork] = {}
        self._speeds_by_service: dict[ServiceId, ReadingSpeeds] = {}
        self._run_by_ticket: dict[TicketId, Run] = {}
        self._lapses: list[tuple[float, TicketId]] = []
        self._note_lag_s = 0.0
        self._tokens_by_owner: Counter[Owner] = Counter()

    def outlook(
        self, endpoint: ServingEndpoint, engine: EngineSpec, request: DispatchRequest
    ) -> Outlook:
        """Return what ``request`` would meet at ``endpoint`` now."""
        now_s = self._advance()
        state = self._engine(endpoint)
        expected = self._expected(state, endpoint, engine, request, now_s)
        stalled_s = state.stalled_s(now_s, self._note_lag_s)
        line_s = max(stalled_s, expected.line_s)
        pause_s = 0.0
        if state.has_streams(now_s):
            reading_s = reading_in_event_s(state, expected, now_s)
            pause_s = max(stalled_s, expected.event_s + reading_s)
        return Outlook(
            endpoint.id,
            max(stalled_s, expected.first_event_s),
            pause_s,
            expected.has_place,
            expected.unread_tokens,
            max(line_s / READING_LOAD_S, state.used_share(_slots(endpoint, engine))),
        )

    def dispatched(
        self, endpoint: ServingEndpoint, engine: EngineSpec, request: DispatchRequest
    ) -> None:
        """Record that ``request`` is sent to ``endpoint`` now."""
        now_s = self._advance()
        self._end(request.ticket, now_s)
        state = self._engine(endpoint)
        expected = self._expected(state, endpoint, engine, request, now_s)
        lapse_s = LAPSE_S + LAPSE_S_PER_OUTPUT_TOKEN * request.work.output_tokens
        run = Run(request, endpoint.id, now_s, now_s + lapse_s, expected)
        state.add(run, now_s)
        self._run_by_ticket[request.ticket] = run
        heapq.heappush(self._lapses, (run.lapses_s, request.ticket))
        self._tokens_by_owner[_owner(request)] += run.tokens
        if expected.line_s <= 0.0:
            _keep_parts(state, request)

    def record(self, progress: Progress) -> None:
        """Record a first event or an end; those of runs not in hand are ignored.

        The sooner first events are recorded, the sooner an engine that stalls is
        noticed.
        """
        now_s = self._advance()
        run = self._run_by_ticket.get(progress.ticket)
        if run is None or run.endpoint != progress.endpoint:
            return
        match progress:
            case FirstEventSeen(after_s=after_s):
                self._has_begun(run, after_s, now_s)
            case RunEnded():
                self._end(progress.ticket, now_s)

    def in_hand(self) -> Mapping[Owner, int]:
        """Return the tokens of the runs in hand by rank and account."""
        self._advance()
        return MappingProxyType(self._tokens_by_owner)

    def retain(self, endpoints: Iterable[ServingEndpoint]) -> None:
        """Forget all but ``endpoints``, and what restarted or unloaded ones had."""
        endpoint_by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for state in list(self._engine_by_id.values()):
            endpoint = endpoint_by_id.get(state.id)
            if endpoint is None or endpoint.started_ms != state.started_ms:
                self._forget(state)
            else:
                state.kept.retain_models(endpoint.loaded_by_model.keys())

    def speed_by_engine(self) -> Mapping[EndpointId, float]:
        """Return the speeds of engines, relative to the median of their service.

        Slow to change, for the placement of models; unknown engines are left out.
        """
        return {
            endpoint: speed
            for speeds in self._speeds_by_service.values()
            for endpoint, speed in speeds.steady_speed_by_engine().items()
        }

    def earliest_change_s(self, endpoint: EndpointId) -> float:
        """Return in how many seconds there is expected to be more room for reading.

        That is when the next of the prompts in line is read, or the event ends in which
        the last one was. It is 0.0 if that is over: then only an end makes room.
        """
        now_s = self._advance()
        state = self._engine_by_id.get(endpoint)
        return state.change_s(now_s) if state else 0.0

    def _has_begun(self, run: Run, after_s: float, now_s: float) -> None:
        """Learn from a first event ``after_s`` seconds after the run was sent."""
        state = self._engine_by_id[run.endpoint]
        if run.request.ticket not in state.waiting_by_ticket:
            return
        speeds = self._speeds(state.service)
        after_s = max(MIN_TIME_S, after_s)
        seen_s = min(now_s, run.sent_s + after_s)
        lag_s = now_s - seen_s
        self._note_lag_s += (lag_s - self._note_lag_s) * (
            1.0 if lag_s > self._note_lag_s else NOTE_LAG_GAIN
        )
        expected = run.expected
        later_s = _later_reading_s(state, run, seen_s)
        ratio = _ratio(after_s, expected.first_event_s, later_s)
        if expected.has_place:
            if expected.line_s <= 0.0 and later_s <= 0.0:
                tokens = expected.unread_tokens
                speeds.record_alone(expected.slowness, tokens, after_s)
            model = run.request.item.model
            speeds.record(
                run.endpoint,
                model,
                expected.slowness,
                ratio,
                expected.reading_share,
                now_s,
            )
        is_as_expected = ratio == 1.0
        read_s = run.read_s if is_as_expected else seen_s - expected.event_s
        state.has_read(run, max(run.sent_s, min(seen_s, read_s)))
        _keep_parts(state, run.request)

    def _expected(
        self,
        state: EngineWork,
        endpoint: ServingEndpoint,
        engine: EngineSpec,
        request: DispatchRequest,
        now_s: float,
    ) -> Expected:
        """Return what is expected of a request that is sent now."""
        state.kv_tokens = engine.kv_tokens
        speeds = self._speeds(endpoint.service)
        slowness = speeds.slowness(endpoint.id, request.item.model, now_s)
        kept = state.kept.kept_tokens(request.item, request.work.parts)
        unread = max(1, request.work.prompt_tokens - kept)
        return Expected(
            slowness,
            unread,
            state.line_s(now_s),
            slowness.reading_factor * unread * speeds.token_s,
            slowness.engine_factor * speeds.fixed_s,
            state.has_room(_slots(endpoint, engine), memory_tokens(request)),
        )

    def _end(self, ticket: TicketId, now_s: float) -> None:
        """Remove a run, if it is in hand."""
        run = self._run_by_ticket.pop(ticket, None)
        if run is None:
            return
        self._engine_by_id[run.endpoint].remove(run, now_s)
        self._tokens_by_owner[_owner(run.request)] -= run.tokens
        if not self._tokens_by_owner[_owner(run.request)]:
            del self._tokens_by_owner[_owner(run.request)]

    def _advance(self) -> float:
        """Remove runs that have lapsed; return the time of the clock."""
        now_s = self._clock()
        while self._lapses and self._lapses[0][0] <= now_s:
            lapses_s, ticket = heapq.heappop(self._lapses)
            run = self._run_by_ticket.get(ticket)
            if run is not None and run.lapses_s <= lapses_s:
                self._end(ticket, now_s)
        return now_s

    def _engine(self, endpoint: ServingEndpoint) -> EngineWork:
        """Return what is known of this start of ``endpoint``."""
        state = self._engine_by_id.get(endpoint.id)
        if state is not None and state.started_ms == endpoint.started_ms:
            return state
        if state is not None:
            self._forget(state)
        state = EngineWork(endpoint.id, endpoint.service, endpoint.started_ms)
        self._engine_by_id[endpoint.id] = state
        return state

    def _forget(self, state: EngineWork) -> None:
        """Forget an engine, its speed and its runs."""
        now_s = self._clock()
        for ticket in list(state.run_by_ticket):
            self._end(ticket, now_s)
        del self._engine_by_id[state.id]
        self._speeds(state.service).forget(state.id)

    def _speeds(self, service: ServiceId) -> ReadingSpeeds:
        """Return the speeds of a service's engines."""
        speeds = self._speeds_by_service.get(service)
        if speeds is None:
            speeds = self._speeds_by_service[service] = ReadingSpeeds()
        return speeds


def _owner(request: DispatchRequest) -> Owner:
    """Return whose work a request is."""
    return request.rank, request.account


def _slots(endpoint: ServingEndpoint, engine: EngineSpec) -> int:
    """Return the places in the batch of an endpoint."""
    return endpoint.slots or engine.slots


def _keep_parts(state: EngineWork, request: DispatchRequest) -> None:
    """Record that the engine keeps a prompt, beside the output of what runs."""
    capacity_tokens = state.kv_tokens - state.output_tokens
    state.kept.add(request.item, request.work.parts, capacity_tokens)


def _later_reading_s(state: EngineWork, run: Run, seen_s: float) -> float:
    """Return the reading of runs sent after ``run`` and before its first event."""
    later = state.waiting_after(run)
    return sum(item.expected.reading_s for item in later if item.sent_s < seen_s)


def _ratio(time_s: float, expected_s: float, later_s: float) -> float:
    """Return ``time_s`` relative to what is expected, which may be ``later_s`` more."""
    if time_s > expected_s + later_s:
        return time_s / (expected_s + later_s)
    return min(1.0, time_s / expected_s)
