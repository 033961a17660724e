"""Sends actions repeatedly under random faults and checks the history.

Run as ``python -m bench.action_faults --seed 1 --seconds 60``. It prints the injected
faults, the sends by verdict, the refusals that callers received, the refusals that
nodes counted, and all violations. It exits with 1 if there are any violations.
"""

import random
import sys
import threading
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from typing import Annotated, TypeAlias

import typer

from camphoryard.state.verdict import Verdict
from standins.fleet import Fleet
from standins.history import Violation, check_actions, service_runs
from standins.recording import Action, RecordedSend, send_action
from standins.refusal_counts import check_refusals, refusal_reason, wait_for_counts
from standins.site import Site, SiteSpec, start_site

NODES = 4
CALLERS = 6
FAULT_TASKS = 2
MAX_SENDS = 4
DEADLINE_MS = 6000
MAX_PAUSE_S = 1.5
DUPLICATE_SHARE = 0.2
CALLER = "front-desk"
NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class KillNode:
    """Kill a node and restart it without state."""

    node: str


@dataclass(frozen=True, slots=True)
class FreezeNode:
    """Suspend a node for ``duration_s``, which may outlast its lease."""

    node: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """The object API answers 503 for ``duration_s``."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class HoldClaims:
    """Calls on claims take effect, but are answered only after ``duration_s``."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class LoseClaimAnswers:
    """The next ``writes`` writes of claims take effect, but their answers are lost."""

    writes: int


@dataclass(frozen=True, slots=True)
class BreakCalls:
    """The service runs the next ``calls`` actions and closes the connection."""

    calls: int


@dataclass(frozen=True, slots=True)
class HoldCalls:
    """The service runs actions, but withholds the answers for ``duration_s``."""

    duration_s: float


Fault: TypeAlias = (
    KillNode
    | FreezeNode
    | Outage
    | HoldClaims
    | LoseClaimAnswers
    | BreakCalls
    | HoldCalls
)


@dataclass(slots=True)
class History:
    """Injected faults and recorded sends of one run."""

    recorded_sends: list[RecordedSend] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))
    lock: threading.Lock = field(default_factory=threading.Lock)
    stop: threading.Event = field(default_factory=threading.Event)


def draw_fault(rng: random.Random, nodes: list[str]) -> Fault:
    """Return a random fault."""
    node = rng.choice(nodes)
    duration_s = rng.uniform(0.5, 5.0)
    faults: list[Fault] = [
        KillNode(node),
        FreezeNode(node, duration_s),
        Outage(duration_s),
        HoldClaims(duration_s),
        LoseClaimAnswers(rng.randint(1, 5)),
        BreakCalls(rng.randint(1, 3)),
        HoldCalls(duration_s),
    ]
    return rng.choice(faults)


def inject(site: Site, fault: Fault, pause: threading.Event) -> None:
    """Inject a fault and, if it has a duration, remove it at the end."""
    match fault:
        case KillNode(node):
            site.fleet.process_by_name[node].kill()
            site.fleet.restart(node)
            pause.wait(MAX_PAUSE_S)
        case FreezeNode(node, duration_s):
            process = site.fleet.process_by_name[node]
            process.pause()
            pause.wait(duration_s)
            process.resume()
        case Outage(duration_s):
            site.control("object-api", outage=True)
            pause.wait(duration_s)
            site.control("object-api", outage=False)
        case HoldClaims(duration_s):
            site.control("object-api", hold_prefix="claims/")
            pause.wait(duration_s)
            site.control("object-api", hold_prefix="")
        case LoseClaimAnswers(writes):
            site.control("object-api", lose_answers=writes, lose_prefix="claims/")
        case BreakCalls(calls):
            site.control("bookings-1", lose_answers=calls)
        case HoldCalls(duration_s):
            site.control("bookings-1", hold=True)
            pause.wait(duration_s)
            site.control("bookings-1", hold=False)


def inject_faults(
    site: Site, history: History, rng: random.Random, nodes: list[str]
) -> None:
    """Inject one fault after another until the run stops."""
    while not history.stop.wait(rng.uniform(0.0, MAX_PAUSE_S)):
        fault = draw_fault(rng, nodes)
        with history.lock:
            history.faults.append(fault)
        inject(site, fault, history.stop)


def call_until_stopped(site: Site, history: History, rng: random.Random) -> None:
    """Send one action after another; resend each until its answer is replayed."""
    with ThreadPoolExecutor(2) as executor:
        while not history.stop.is_set():
            number = next(history.numbers)
            action = Action(
                f"key-{number}", f'{{"space": {number}}}', deadline_ms=DEADLINE_MS
            )
            for _ in range(MAX_SENDS):
                copies = 2 if rng.random() < DUPLICATE_SHARE else 1
                nodes = [rng.choice(site.nodes) for _ in range(copies)]
                sends = [
                    executor.submit(send_action, site.fleet.port(node), action)
                    for node in nodes
                ]
                results = [item.result() for item in sends]
                with history.lock:
                    history.recorded_sends.extend(results)
                if any(item.replayed for item in results):
                    break


def run(site: Site, seed: int, seconds: float) -> History:
    """Run callers and faults for ``seconds`` and return the history."""
    history = History()
    rng = random.Random(seed)
    half = len(site.nodes) // FAULT_TASKS
    with ThreadPoolExecutor(CALLERS + FAULT_TASKS) as executor:
        tasks = [
            executor.submit(
                call_until_stopped, site, history, random.Random(rng.random())
            )
            for _ in range(CALLERS)
        ]
        for index in range(FAULT_TASKS):
            nodes = site.nodes[index * half : (index + 1) * half]
            fault_rng = random.Random(rng.random())
            tasks.append(
                executor.submit(inject_faults, site, history, fault_rng, nodes)
            )
        history.stop.wait(seconds)
        history.stop.set()
    for task in tasks:
        task.result()
    return history


def violations(site: Site, history: History) -> tuple[Violation, ...]:
    """Return the verdicts that contradict the service's log."""
    runs = service_runs(site.control("bookings-1"))
    return check_actions([item.send for item in history.recorded_sends], runs)


def verdict_counts(history: History) -> Counter[str]:
    """Return the number of sends by verdict."""
    return Counter(_verdict_label(item.send.verdict) for item in history.recorded_sends)


def refusals_received(history: History) -> Counter[str]:
    """Return the refusals that callers received, by reason."""
    reasons = Counter(
        refusal_reason(item.text.encode()) for item in history.recorded_sends
    )
    del reasons[""]
    return reasons


def _verdict_label(verdict: Verdict | None) -> str:
    return verdict.value if verdict else NO_ANSWER


def main(
    seed: Annotated[int, typer.Option(help="Seed of faults and callers.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the run.")] = 60.0,
) -> None:
    """Run the actions under faults, check the history and print the result."""
    with Fleet() as fleet:
        site = start_site(fleet, SiteSpec(nodes=NODES, fence_ignoring_engines=0))
        history = run(site, seed, seconds)
        found = violations(site, history)
        site.fleet.wait_ready(site.nodes, "/readyz")
        received = refusals_received(history)
        counted = wait_for_counts(site, CALLER, received)
    sends_by_verdict = verdict_counts(history)
    found += check_refusals(received, counted, sends_by_verdict[NO_ANSWER])
    faults = Counter(type(item).__name__ for item in history.faults)
    actions = len({item.send.body for item in history.recorded_sends})
    print(f"seed {seed}, {seconds:.0f} s, {NODES} nodes")
    print(f"faults: {dict(faults)}")
    print(f"actions: {actions}, sends: {dict(sends_by_verdict)}")
    print(f"replayed: {sum(item.replayed for item in history.recorded_sends)}")
    print(f"refusals received: {received.total()}, counted: {counted.total()}")
    print(f"received by reason: {dict(received)}")
    print(f"violations: {len(found)}")
    for item in found:
        print(f"  {item.kind.value}: {item.subject} {item.detail}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    typer.run(main)
