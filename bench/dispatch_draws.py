"""Draws of requests for engines of three speeds, under several ways to choose one.

Each request goes to an engine at once: there is no queue and no other part of the
system. ``python -m bench.dispatch_draws`` prints the table of the design page.
"""

import argparse
import heapq
import random
import statistics
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from camphoryard.coordination.dispatch.engine_ledger import EngineLedger, Outlook
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    PromptPart,
    RunEnded,
    Work,
)
from camphoryard.state.ids import (
    EndpointId,
    ModelId,
    PromptPartId,
    ServiceId,
    TicketId,
    Zone,
)
from camphoryard.state.serving_endpoints import EndpointState, HostPort, ServingEndpoint
from camphoryard.state.traffic import EngineSpec, RequestedModel

SPEEDS = (0.6, 1.0, 1.6)
STEP_S, STEP_S_PER_STREAM, TOKEN_S = 0.009, 0.0001, 1 / 19_100
PIECE_TOKENS, STEPS_PER_EVENT = 2048, 4
SHARED_TOKENS, OWN_TOKENS, EVENTS = 350, 1110, 43
OBJECTIVE_S, LONGEST_GAP_S, MARGIN = 0.508, 0.3, 0.8
SPEC = EngineSpec(32, 78_578, 220_000, 8, 9.0, {})
MODELS, COPY_SHARE = 12, 1 / 3
NOTE_S = 0.003
"""Time that a note takes, with a view that is 0 s old."""
SAMPLE_S = 0.1


class Choice(Enum):
    """How an engine is chosen."""

    LEDGER = "ledger"
    LEAST_IN_FLIGHT = "least in flight"
    RANDOM = "random"


@dataclass(slots=True, eq=False)
class Stream:
    """A request at an engine; times in seconds."""

    request: DispatchRequest
    sent_s: float
    unread: int
    events_left: int = EVENTS
    last_event_s: float = 0.0
    is_late: bool = False


@dataclass(slots=True)
class Engine:
    """An engine that makes steps while it has requests."""

    endpoint: ServingEndpoint
    speed: float
    waiting: deque[Stream] = field(default_factory=deque)
    phases: list[list[Stream]] = field(
        default_factory=lambda: [[] for _ in range(STEPS_PER_EVENT)]
    )
    kept: set[PromptPartId] = field(default_factory=set)
    in_flight: int = 0
    running: int = 0
    steps: int = 0
    is_stepping: bool = False

    def step(self) -> tuple[float, list[Stream]]:
        """Read a piece; return how long the step takes and which streams get events."""
        left = PIECE_TOKENS
        phase = self.phases[self.steps % STEPS_PER_EVENT]
        self.steps += 1
        events = list(phase)
        while self.waiting and left and self.running < SPEC.slots:
            stream = self.waiting[0]
            read = min(left, stream.unread)
            stream.unread -= read
            left -= read
            if not stream.unread:
                phase.append(self.waiting.popleft())
                self.running += 1
        step_s = STEP_S + STEP_S_PER_STREAM * self.running
        return (step_s + (PIECE_TOKENS - left) * TOKEN_S) / self.speed, events


@dataclass(slots=True)
class Draw:
    """One draw of arrivals at ``engines`` under one choice."""

    choice: Choice
    view_age_s: float
    engines: int
    seed: int
    rate_per_engine: float
    duration_s: float
    now_s: float = 0.0
    late: int = 0
    ended: int = 0
    ratios: list[float] = field(default_factory=list)

    def run(self) -> "Draw":
        """Play the draw to its end.

        ``ratios`` are then the largest number of requests in flight by speed over the
        mean of the engines, at times ``SAMPLE_S`` apart.
        """
        rng = random.Random(self.seed)
        fleet = [_engine(number) for number in range(self.engines)]
        copies = max(3, round(COPY_SHARE * self.engines))
        engines_by_model = [rng.sample(fleet, copies) for _ in range(MODELS)]
        ledger = EngineLedger(lambda: self.now_s)
        views: deque[tuple[float, list[int]]] = deque()
        view = [0] * self.engines
        numbers = iter(range(1 << 30))
        agenda: list[tuple[float, int, Callable[[], None]]] = []

        def at(time_s: float, act: Callable[[], None]) -> None:
            heapq.heappush(agenda, (time_s, next(numbers), act))

        def step(engine: Engine) -> None:
            step_s, streams = engine.step()
            at(self.now_s + step_s, lambda: finish(engine, streams))

        def finish(engine: Engine, streams: list[Stream]) -> None:
            for stream in streams:
                self._event(engine, stream, ledger, at)
            engine.is_stepping = bool(engine.running or engine.waiting)
            if engine.is_stepping:
                step(engine)

        def arrive() -> None:
            at(
                self.now_s + rng.expovariate(self.rate_per_engine * self.engines),
                arrive,
            )
            model = rng.randrange(MODELS)
            candidates = engines_by_model[model]
            request = _request(next(numbers), model)
            match self.choice:
                case Choice.RANDOM:
                    engine = rng.choice(candidates)
                case Choice.LEAST_IN_FLIGHT:
                    engine = min(
                        candidates,
                        key=lambda item: (view[_number(item)], rng.random()),
                    )
                case Choice.LEDGER:
                    engine = min(
                        candidates,
                        key=lambda item: _cost(
                            ledger.outlook(item.endpoint, SPEC, request)
                        ),
                    )
                    ledger.dispatched(engine.endpoint, SPEC, request)
            self._send(engine, request)
            if not engine.is_stepping:
                engine.is_stepping = True
                step(engine)

        def sample() -> None:
            at(self.now_s + SAMPLE_S, sample)
            counts = [engine.in_flight / engine.speed for engine in fleet]
            mean = statistics.fmean(counts)
            if mean:
                self.ratios.append(max(counts) / mean)

        def look() -> None:
            at(self.now_s + max(NOTE_S, self.view_age_s / 10), look)
            views.append((self.now_s, [engine.in_flight for engine in fleet]))
            while views and views[0][0] <= self.now_s - self.view_age_s:
                view[:] = views.popleft()[1]

        at(0.0, arrive)
        at(0.0, sample)
        if self.choice is Choice.LEAST_IN_FLIGHT:
            at(0.0, look)
        while agenda and agenda[0][0] < self.duration_s:
            self.now_s, _, act = heapq.heappop(agenda)
            act()
        return self

    def _send(self, engine: Engine, request: DispatchRequest) -> None:
        shared, own = request.work.parts
        unread = own.tokens + (0 if shared.id in engine.kept else shared.tokens)
        engine.kept.add(shared.id)
        engine.in_flight += 1
        engine.waiting.append(Stream(request, self.now_s, unread))

    def _event(
        self,
        engine: Engine,
        stream: Stream,
        ledger: EngineLedger,
        at: Callable[[float, Callable[[], None]], None],
    ) -> None:
        first = stream.events_left == EVENTS
        waited_s = self.now_s - (stream.sent_s if first else stream.last_event_s)
        stream.is_late |= waited_s > (OBJECTIVE_S if first else LONGEST_GAP_S)
        stream.last_event_s = self.now_s
        stream.events_left -= 1
        told_s = self.now_s + max(NOTE_S, self.view_age_s)
        ticket, endpoint = stream.request.ticket, engine.endpoint.id
        if first:
            seen = FirstEventSeen(ticket, endpoint, waited_s)
            at(told_s, lambda: ledger.record(seen))
        if not stream.events_left:
            at(told_s, lambda: ledger.record(RunEnded(ticket, endpoint)))
            engine.phases[(engine.steps - 1) % STEPS_PER_EVENT].remove(stream)
            engine.running -= 1
            engine.in_flight -= 1
            self.ended += 1
            self.late += stream.is_late


def _engine(number: int) -> Engine:
    endpoint = ServingEndpoint(
        EndpointId(str(number)),
        ServiceId("chat"),
        HostPort("127.0.0.1", 1),
        Zone("a"),
        SPEC.slots,
        EndpointState.READY,
        1,
    )
    return Engine(endpoint, SPEEDS[number % len(SPEEDS)])


def _number(engine: Engine) -> int:
    return int(engine.endpoint.id)


def _request(number: int, model: int) -> DispatchRequest:
    parts = (
        PromptPart(PromptPartId(f"shared-{model}"), SHARED_TOKENS),
        PromptPart(PromptPartId(str(number)), OWN_TOKENS),
    )
    output = EVENTS * STEPS_PER_EVENT
    return DispatchRequest(
        TicketId(str(number)),
        ServiceId("chat"),
        RequestedModel(ModelId(str(model))),
        Work(SHARED_TOKENS + OWN_TOKENS, output, parts),
        0,
        OBJECTIVE_S,
        15.0,
        LONGEST_GAP_S,
        Zone("a"),
    )


def _cost(outlook: Outlook) -> tuple[bool, bool, float]:
    """Return what a choice costs: limits that it exceeds, then load and pause."""
    is_late = (
        outlook.first_event_s > MARGIN * OBJECTIVE_S
        or outlook.pause_s > MARGIN * LONGEST_GAP_S
    )
    cost = outlook.load + outlook.pause_s / LONGEST_GAP_S
    return not outlook.has_place, is_late, cost


def main(arguments: Sequence[str] | None = None) -> None:
    """Print busiest/mean and the share of late streams by choice and age of views."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", default="8,30,60")
    parser.add_argument("--ages", default="0,0.25,1", help="of views, in seconds")
    choices = ",".join(choice.value for choice in Choice)
    parser.add_argument("--choices", default=choices)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=5.0, help="per engine and second")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    sizes = [int(size) for size in options.engines.split(",")]
    print("| choice | view s |", *(f"{size} engines |" for size in sizes))
    print("|---|---|" + "---|" * len(sizes))
    for choice in map(Choice, options.choices.split(",")):
        for age in options.ages.split(","):
            if choice is Choice.RANDOM and age != options.ages.split(",")[0]:
                continue
            cells = []
            for size in sizes:
                draw = Draw(
                    choice,
                    float(age),
                    size,
                    options.seed,
                    options.rate,
                    60 * options.minutes,
                ).run()
                ratio = statistics.fmean(draw.ratios)
                cells.append(f"{ratio:.2f}, {draw.late / draw.ended:.3f} |")
            print(f"| {choice.value} | {age} |", *cells, flush=True)


if __name__ == "__main__":
    main()
