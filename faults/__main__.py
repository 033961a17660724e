"""Runs the processes under random faults, then checks the recorded history.

The run ends after the given time; it exits with 0 only if there are no violations.
"""

import json
import random
import secrets
import sys
import threading
import time
from collections import Counter
from collections.abc import Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import chain
from typing import Annotated, Any

import typer

from faults.engine_runs import engine_runs, runs_at_once
from faults.injections import (
    KINDS,
    Injection,
    affected_targets,
    draw_injection,
    inject,
)
from faults.lost_counts import InjectionInterval, lost_by_reason
from faults.workload import (
    CALLER,
    RECOVERY_CALLER,
    GenerationRollbacks,
    History,
    apply,
    callers,
    run_caller,
    run_operator,
    watch_generations,
)
from standins.fleet import Fleet
from standins.history import Run, check_actions, check_completions, service_runs
from standins.refusal_counts import check_refusals, wait_for_counts
from standins.site import ModelSpec, Site, SiteSpec, start_site

CALLERS = 12
OPERATORS = 2
INJECTORS = 2
MAX_PAUSE_S = 2.0
STEP_MS = 15.0
"""A run of the longest answers then takes seconds, which two engines can share."""
RECOVERY_TIMEOUT_S = 90.0
MAX_HOURS = 48
SECONDS_PER_MINUTE = 60
MODELS = (
    ModelSpec("permit-8b", 9000),
    ModelSpec("meter-3b", 4000),
    ModelSpec("lease-13b", 14_000),
    ModelSpec("notice-5b", 6000),
)


@dataclass(slots=True)
class InjectionLog:
    """Faults injected so far, and the targets that are under a fault now."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    busy_targets: set[str] = field(default_factory=set)
    count_by_kind: Counter[str] = field(default_factory=Counter)
    count_by_pair: Counter[str] = field(default_factory=Counter)
    active_kinds: list[str] = field(default_factory=list)
    intervals: list[InjectionInterval] = field(default_factory=list)


def run_injector(
    site: Site,
    seed: int,
    number: int,
    injection_log: InjectionLog,
    stop: threading.Event,
    kinds: Collection[str],
) -> None:
    """Inject one fault after another until ``stop`` is set."""
    rng = random.Random(f"{seed}/injector/{number}")
    while not stop.wait(rng.uniform(0, MAX_PAUSE_S)):
        injection = draw_injection(site, rng, kinds)
        busy_targets = affected_targets(injection, site)
        if not _claim_targets(injection_log, injection, busy_targets):
            continue
        started_s = time.time()
        try:
            inject(site, injection, stop)
        finally:
            with injection_log.lock:
                injection_log.intervals.append(
                    InjectionInterval(injection, started_s, time.time())
                )
                injection_log.busy_targets -= busy_targets
                injection_log.active_kinds.remove(type(injection).__name__)


def _claim_targets(
    injection_log: InjectionLog, injection: Injection, busy_targets: frozenset[str]
) -> bool:
    kind = type(injection).__name__
    with injection_log.lock:
        if injection_log.busy_targets & busy_targets:
            return False
        injection_log.busy_targets |= busy_targets
        injection_log.count_by_kind[kind] += 1
        for other in injection_log.active_kinds:
            injection_log.count_by_pair["+".join(sorted((kind, other)))] += 1
        injection_log.active_kinds.append(kind)
        print(f"{time.strftime('%H:%M:%S')} {injection}", flush=True)
        return True


def read_journal(site: Site, engine: str) -> list[dict[str, Any]]:
    """Return the entries in an engine's journal."""
    path = site.fleet.journal(engine)
    lines = path.read_text().splitlines() if path.exists() else []
    return [json.loads(line) for line in lines]


def journal_runs(site: Site) -> tuple[tuple[Run, ...], int]:
    """Return the runs and the number of overcommits in the engines' journals."""
    runs = []
    overcommits = 0
    for name in site.engines:
        for entry in read_journal(site, name):
            if "overcommit_mb" in entry:
                overcommits += 1
            elif "prompt" in entry:
                runs.append(Run(entry["prompt"], entry["at_s"]))
    return tuple(runs), overcommits


def wait_for_recovery(site: Site) -> list[str]:
    """Wait until the site has recovered; return what did not recover."""
    started_s = time.monotonic()
    problems: list[str] = []
    status: int = 0
    answer: Any = None
    while status != 200 and time.monotonic() - started_s < RECOVERY_TIMEOUT_S:
        status, answer = apply(site, site.nodes[0], {"callers": [{"id": "last"}]})
    if status != 200:
        return [f"no change was accepted after the faults: {status} {answer}"]
    try:
        site.wait_in_force(answer["generation"])
    except TimeoutError as error:
        problems.append(str(error))
    for model in site.spec.models:
        problems.extend(_unreachable(site, model.id, started_s))
    print(f"recovered after {time.monotonic() - started_s:.1f} s", flush=True)
    return problems


def _unreachable(site: Site, model: str, started_s: float) -> list[str]:
    while True:
        try:
            site.complete(
                site.nodes[-1], model, f"reach {model}", caller=RECOVERY_CALLER
            )
            return []
        except Exception as error:
            if time.monotonic() - started_s > RECOVERY_TIMEOUT_S:
                return [f"{model} is not reachable: {error}"]


def compare_refusals(
    site: Site, history: History, intervals: Sequence[InjectionInterval]
) -> list[str]:
    """Print and compare received and counted refusals; return the violations."""
    received = history.refusals_by_reason
    lost = lost_by_reason(history.refusals, intervals)
    counted = wait_for_counts(site, CALLER, received, MAX_HOURS, lost)
    print(f"refusals received: {received.total()}, counted: {counted.total()}")
    print(f"  received by reason: {dict(received)}")
    print(f"  of these stored only on killed nodes: {dict(lost)}")
    violations = check_refusals(received, counted, history.unanswered, lost)
    return [str(item) for item in violations]


def report(
    site: Site,
    history: History,
    injection_log: InjectionLog,
    rollbacks: GenerationRollbacks,
) -> list[str]:
    """Print the summary and return the violations."""
    violations = wait_for_recovery(site)
    violations += compare_refusals(site, history, injection_log.intervals)
    service = [
        run for name in site.services for run in service_runs(site.control(name))
    ]
    runs, overcommits = journal_runs(site)
    violations += [str(item) for item in check_actions(history.actions, service)]
    violations += [str(item) for item in check_completions(history.completions, runs)]
    violations += runs_at_once(
        chain.from_iterable(
            engine_runs(name, read_journal(site, name)) for name in site.engines
        ),
        injection_log.intervals,
    )
    violations += [f"generation decreased: {item}" for item in rollbacks.found]
    violations += [f"engines overcommitted {overcommits} times"] * bool(overcommits)
    codes = Counter(site.fleet.exit_codes)
    if any(codes.keys() - {0}):
        violations.append(f"graceful stops exited with {dict(codes)}")
    in_force = {item["id"]: item["labels"].get("count") for item in callers(site)}
    for caller, accepted in history.accepted_by_item.items():
        if int(in_force.get(caller) or 0) < int(accepted):
            violations.append(f"accepted change of {caller} was lost: {accepted}")
    print(f"faults: {sum(injection_log.count_by_kind.values())}")
    for kind, count in sorted(injection_log.count_by_kind.items()):
        print(f"  {kind}: {count}")
    print(f"concurrent pairs: {len(injection_log.count_by_pair)} kinds")
    print(
        f"sends: {len(history.completions)} completions,"
        f" {len(history.actions)} bookings ({len(service)} ran),"
        f" {history.refusals_by_reason.total()} refused,"
        f" {history.unanswered} without an answer"
    )
    print(f"changes: {history.accepted} accepted, {history.conflicts} conflicts")
    print(f"graceful stops: {sum(codes.values())}")
    print(f"violations: {len(violations)}")
    for violation in violations:
        print(f"  {violation}")
    return violations


def main(
    seed: Annotated[int, typer.Option(help="Chosen at random and printed if 0.")] = 0,
    minutes: Annotated[float, typer.Option(help="Duration of fault injection.")] = 1,
    nodes: Annotated[int, typer.Option(help="Number of daemons.")] = 3,
    cuts: Annotated[bool, typer.Option(help="Also cut links.")] = True,
    kind: Annotated[
        list[str], typer.Option(help="Inject only this kind; may be repeated.")
    ] = [],  # noqa: B006
) -> None:
    """Run the processes under random faults and check the history."""
    for name in set(kind) - KINDS:
        raise typer.BadParameter(f"no kind {name!r}; there are {sorted(KINDS)}")
    seed = seed or secrets.randbelow(1_000_000)
    print(f"seed {seed}, {minutes} minutes, {nodes} nodes", flush=True)
    spec = SiteSpec(
        nodes=nodes,
        fence_checking_engines=2,
        fence_ignoring_engines=2,
        step_ms=STEP_MS,
        models=MODELS,
        links=cuts,
    )
    history, injection_log, rollbacks = History(), InjectionLog(), GenerationRollbacks()
    stop_faults, stop = threading.Event(), threading.Event()
    with Fleet() as fleet, ThreadPoolExecutor(32) as tasks:
        site = start_site(fleet, spec)
        work = [
            *(
                tasks.submit(run_caller, site, seed, number, history, stop)
                for number in range(CALLERS)
            ),
            *(
                tasks.submit(run_operator, site, seed, number, history, stop)
                for number in range(OPERATORS)
            ),
            tasks.submit(watch_generations, site, rollbacks, stop),
        ]
        injectors = [
            tasks.submit(
                run_injector, site, seed, number, injection_log, stop_faults, kind
            )
            for number in range(INJECTORS)
        ]
        stop_faults.wait(minutes * SECONDS_PER_MINUTE)
        stop_faults.set()
        for task in injectors:
            task.result()
        stop.set()
        for task in work:
            task.result()
        violations = report(site, history, injection_log, rollbacks)
        print(f"logs: {fleet.folder}" if violations else "no violations")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
