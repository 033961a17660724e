"""What engines have in hand, and what a further request would meet there.

An engine reads prompts in pieces, one between two steps of its batch; each step makes
one token of every running stream. A stream pauses for as long as the engine reads
within one of its events. The ledger knows which requests were dispatched to an engine,
and expects when each of them is read; the speeds are learned from first events.

Not thread-safe: used under the lock of the dispatcher.
"""

import heapq
import itertools
import math
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeAlias

from camphoryard.coordination.dispatch.kept_prompts import KeptPrompts
from camphoryard.coordination.dispatch.reading_speed import ReadingSpeeds, Slowness
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    Progress,
    RunEnded,
)
from camphoryard.state.ids import AccountId, EndpointId, ServiceId, TicketId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import EngineSpec

PIECE_TOKENS = 2048
"""Tokens that an engine reads between two steps, about."""
STEPS_PER_EVENT = 4
"""Steps of a batch in which an event of a stream is made, about."""
LAPSE_S = 20.0
LAPSE_S_PER_OUTPUT_TOKEN = 0.05
"""Runs whose end nobody reports lapse after ``LAPSE_S`` and this much a token."""
STALL_S = 0.3
STALL_FACTOR = 2.0
"""An engine stalls if a first event is later than ``STALL_FACTOR`` times its expected
time, ``STALL_S``, and the time that notes of first events take."""
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


@dataclass(slots=True, eq=False)
class _Run:
    """A request at an engine, which is expected to have read it at ``read_s``.

    Its first event was expected ``event_s`` after that, ``expected_s`` after it was
    sent. It ``was_alone`` if no other waited to be read then, and ``had_place`` in the
    batch.
    """

    request: DispatchRequest
    endpoint: EndpointId
    sent_s: float
    lapses_s: float
    slowness: Slowness
    reading_s: float
    unread_tokens: int
    event_s: float
    expected_s: float
    was_alone: bool
    had_place: bool
    read_s: float = 0.0

    @property
    def begin_s(self) -> float:
        """When the engine is expected to begin reading."""
        return self.read_s - self.reading_s

    @property
    def owner(self) -> Owner:
        """Whose work it is."""
        return self.request.rank, self.request.account

    @property
    def tokens(self) -> int:
        """Memory that it takes, in tokens."""
        return _tokens(self.request)


@dataclass(slots=True)
class _Engine:
    """What one start of an engine has in hand.

    ``waiting_by_ticket`` are the runs without a first event, in the order in which
    they were sent; ``recent`` are runs that were read last. Runs sent after
    ``seen_sent_s`` have no first event yet.
    """

    id: EndpointId
    service: ServiceId
    started_ms: int
    kv_tokens: int = 0
    kept: KeptPrompts = field(default_factory=KeptPrompts)
    run_by_ticket: dict[TicketId, _Run] = field(default_factory=dict)
    waiting_by_ticket: dict[TicketId, _Run] = field(default_factory=dict)
    recent: deque[_Run] = field(
        default_factory=lambda: deque(maxlen=2 * STEPS_PER_EVENT)
    )
    tokens: int = 0
    output_tokens: int = 0
    read_s: float = 0.0
    seen_sent_s: float = 0.0

    def line_s(self, now_s: float) -> float:
        """Return how long the engine has yet to read what was sent to it."""
        return max(0.0, self.read_s - now_s)

    def has_streams(self, now_s: float) -> bool:
        """Return whether it runs a request that has been read."""
        if len(self.run_by_ticket) > len(self.waiting_by_ticket):
            return True
        return any(run.read_s <= now_s for run in self.waiting_by_ticket.values())

    def stalled_s(self, now_s: float, note_lag_s: float) -> float:
        """Return for how long the oldest first event is awaited, if it is overdue.

        Notes of first events take up to ``note_lag_s``.
        """
        oldest = next(iter(self.waiting_by_ticket.values()), None)
        if oldest is None or oldest.sent_s <= self.seen_sent_s:
            return 0.0
        waited_s = now_s - oldest.sent_s - note_lag_s
        is_overdue = waited_s > STALL_FACTOR * oldest.expected_s + STALL_S
        return waited_s if is_overdue else 0.0

    def reads_backwards(self) -> Iterable[_Run]:
        """Return the runs that were read or wait to be, the last one first."""
        return itertools.chain(
            reversed(self.waiting_by_ticket.values()), reversed(self.recent)
        )

    def change_s(self, now_s: float) -> float:
        """Return in how many seconds it has read a prompt, or made an event since."""
        waiting = self.waiting_by_ticket.values()
        left_s = [run.read_s - now_s for run in waiting if run.read_s > now_s]
        if left_s:
            return min(left_s)
        last = next(iter(self.reads_backwards()), None)
        return max(0.0, self.read_s + last.event_s - now_s) if last else 0.0

    def has_room(self, engine: EngineSpec, slots: int, tokens: int) -> bool:
        """Return whether a place and memory for ``tokens`` are free."""
        has_slot = len(self.run_by_ticket) < slots
        return has_slot and self.tokens + tokens <= engine.kv_tokens

    def add(self, run: _Run, now_s: float) -> None:
        """Add a run behind those that wait to be read."""
        ticket = run.request.ticket
        run.read_s = max(now_s, self.read_s) + run.reading_s
        self.read_s = run.read_s
        self.run_by_ticket[ticket] = run
        self.waiting_by_ticket[ticket] = run
        self.tokens += run.tokens
        self.output_tokens += run.request.work.output_tokens

    def has_read(self, run: _Run, read_s: float) -> None:
        """Record that ``run``, which has its first event, was read at ``read_s``.

        So were those that were sent before it.
        """
        later = self.waiting_after(run)
        del self.waiting_by_ticket[run.request.ticket]
        run.read_s = read_s
        self.recent.append(run)
        self.seen_sent_s = max(self.seen_sent_s, run.sent_s)
        for earlier in self.waiting_by_ticket.values():
            if earlier not in later:
                earlier.read_s = min(earlier.read_s, read_s)
        self._expect(later, read_s)

    def remove(self, run: _Run, now_s: float) -> None:
        """Remove a run that has ended."""
        ticket = run.request.ticket
        del self.run_by_ticket[ticket]
        self.tokens -= run.tokens
        self.output_tokens -= run.request.work.output_tokens
        if ticket not in self.waiting_by_ticket:
            return
        later = self.waiting_after(run)
        del self.waiting_by_ticket[ticket]
        if run.read_s > now_s:
            self._expect(later, max(now_s, run.begin_s))

    def waiting_after(self, run: _Run) -> Sequence[_Run]:
        """Return the runs without a first event that were sent after ``run``."""
        waiting = list(self.waiting_by_ticket.values())
        return waiting[waiting.index(run) + 1 :]

    def _expect(self, runs: Sequence[_Run], free_s: float) -> None:
        """Expect anew when ``runs``, the last in line, are read, from ``free_s`` on."""
        self.read_s = free_s
        for run in runs:
            self.read_s = max(self.read_s, run.sent_s) + run.reading_s
            run.read_s = self.read_s


class EngineLedger:
    """Keeps account of the requests that were dispatched to engines.

    Parameters
    ----------
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._engine_by_id: dict[EndpointId, _Engine] = {}
        self._speeds_by_service: dict[ServiceId, ReadingSpeeds] = {}
        self._run_by_ticket: dict[TicketId, _Run] = {}
        self._lapses: list[tuple[float, TicketId]] = []
        self._note_lag_s = 0.0
        self._tokens_by_owner: Counter[Owner] = Counter()

    def outlook(
        self, endpoint: ServingEndpoint, engine: EngineSpec, request: DispatchRequest
    ) -> Outlook:
        """Return what ``request`` would meet at ``endpoint`` now."""
        now_s = self._advance()
        state = self._engine(endpoint)
        speeds = self._speeds(endpoint.service)
        factor = speeds.slowness(endpoint.id, request.item.model, now_s).factor
        unread = _unread_tokens(state, request)
        reading_s = factor * unread * speeds.token_s
        event_s = factor * speeds.fixed_s
        line_s = state.line_s(now_s)
        stalled_s = state.stalled_s(now_s, self._note_lag_s)
        pause_s = 0.0
        if state.has_streams(now_s):
            pause_s = event_s + _reading_in_event_s(
                state, unread, reading_s, event_s, now_s
            )
        slots = endpoint.slots or engine.slots
        return Outlook(
            endpoint.id,
            max(stalled_s, line_s + reading_s + event_s),
            max(stalled_s, pause_s),
            state.has_room(engine, slots, _tokens(request)),
            unread,
            max(
                len(state.run_by_ticket) / max(1, slots),
                state.tokens / max(1, engine.kv_tokens),
                max(stalled_s, line_s) / READING_LOAD_S,
            ),
        )

    def dispatched(
        self, endpoint: ServingEndpoint, engine: EngineSpec, request: DispatchRequest
    ) -> None:
        """Record that ``request`` is sent to ``endpoint`` now."""
        now_s = self._advance()
        self._end(request.ticket, now_s)
        state = self._engine(endpoint)
        speeds = self._speeds(endpoint.service)
        slowness = speeds.slowness(endpoint.id, request.item.model, now_s)
        state.kv_tokens = engine.kv_tokens
        unread = _unread_tokens(state, request)
        reading_s = slowness.factor * unread * speeds.token_s
        event_s = slowness.factor * speeds.fixed_s
        line_s = state.line_s(now_s)
        slots = endpoint.slots or engine.slots
        output_tokens = request.work.output_tokens
        run = _Run(
            request,
            endpoint.id,
            now_s,
            now_s + LAPSE_S + LAPSE_S_PER_OUTPUT_TOKEN * output_tokens,
            slowness,
            reading_s,
            unread,
            event_s,
            line_s + reading_s + event_s,
            was_alone=line_s <= 0.0,
            had_place=state.has_room(engine, slots, _tokens(request)),
        )
        state.add(run, now_s)
        self._run_by_ticket[request.ticket] = run
        heapq.heappush(self._lapses, (run.lapses_s, request.ticket))
        self._tokens_by_owner[run.owner] += run.tokens
        if run.was_alone:
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

    def _has_begun(self, run: _Run, after_s: float, now_s: float) -> None:
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
        later_s = _later_reading_s(state, run, seen_s)
        ratio = _ratio(after_s, run.expected_s, run.expected_s + later_s)
        if run.had_place:
            if run.was_alone and not later_s:
                speeds.record_alone(run.slowness, run.unread_tokens, after_s)
            model = run.request.item.model
            speeds.record(run.endpoint, model, run.slowness, ratio, now_s)
        is_as_expected = ratio == 1.0
        read_s = run.read_s if is_as_expected else seen_s - run.event_s
        state.has_read(run, max(run.sent_s, min(seen_s, read_s)))
        _keep_parts(state, run.request)

    def _end(self, ticket: TicketId, now_s: float) -> None:
        """Remove a run, if it is in hand."""
        run = self._run_by_ticket.pop(ticket, None)
        if run is None:
            return
        self._engine_by_id[run.endpoint].remove(run, now_s)
        self._tokens_by_owner[run.owner] -= run.tokens
        if not self._tokens_by_owner[run.owner]:
            del self._tokens_by_owner[run.owner]

    def _advance(self) -> float:
        """Remove runs that have lapsed; return the time of the clock."""
        now_s = self._clock()
        while self._lapses and self._lapses[0][0] <= now_s:
            lapses_s, ticket = heapq.heappop(self._lapses)
            run = self._run_by_ticket.get(ticket)
            if run is not None and run.lapses_s <= lapses_s:
                self._end(ticket, now_s)
        return now_s

    def _engine(self, endpoint: ServingEndpoint) -> _Engine:
        """Return what is known of this start of ``endpoint``."""
        state = self._engine_by_id.get(endpoint.id)
        if state is not None and state.started_ms == endpoint.started_ms:
            return state
        if state is not None:
            self._forget(state)
        state = _Engine(endpoint.id, endpoint.service, endpoint.started_ms)
        self._engine_by_id[endpoint.id] = state
        return state

    def _forget(self, state: _Engine) -> None:
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


def _tokens(request: DispatchRequest) -> int:
    """Return the memory that a request takes, in tokens."""
    return request.work.prompt_tokens + request.work.output_tokens


def _unread_tokens(state: _Engine, request: DispatchRequest) -> int:
    """Return the tokens of a prompt that the engine does not keep, one at least."""
    kept = state.kept.kept_tokens(request.item, request.work.parts)
    return max(1, request.work.prompt_tokens - kept)


def _keep_parts(state: _Engine, request: DispatchRequest) -> None:
    """Record that the engine keeps a prompt, beside the output of what runs."""
    capacity_tokens = state.kv_tokens - state.output_tokens
    state.kept.add(request.item, request.work.parts, capacity_tokens)


def _reading_in_event_s(
    state: _Engine, unread: int, reading_s: float, event_s: float, now_s: float
) -> float:
    """Return how long an engine reads within one event, if one more prompt is added.

    The event ends with the reading of that prompt. Prompts that wait together are read
    in the same steps, others in steps of their own.
    """
    steps = unread / PIECE_TOKENS
    if steps >= STEPS_PER_EVENT:
        return reading_s * STEPS_PER_EVENT / steps
    total_s = reading_s
    steps_left = STEPS_PER_EVENT - steps
    next_sent_s, next_begin_s = now_s, max(now_s, state.read_s)
    for run in state.reads_backwards():
        if next_sent_s > run.begin_s:
            idle_s = max(0.0, next_begin_s - run.read_s)
            steps_left = math.floor(steps_left) - idle_s * STEPS_PER_EVENT / event_s
        if steps_left <= 0:
            break
        steps = run.unread_tokens / PIECE_TOKENS
        total_s += run.reading_s * min(1.0, steps_left / steps)
        steps_left -= steps
        next_sent_s, next_begin_s = run.sent_s, run.begin_s
    return total_s


def _later_reading_s(state: _Engine, run: _Run, seen_s: float) -> float:
    """Return the reading of runs sent after ``run`` and before its first event."""
    later = state.waiting_after(run)
    return sum(item.reading_s for item in later if item.sent_s < seen_s)


def _ratio(time_s: float, least_s: float, most_s: float) -> float:
    """Return ``time_s`` relative to the nearest of the expected times."""
    if time_s > most_s:
        return time_s / most_s
    return min(1.0, time_s / least_s)
