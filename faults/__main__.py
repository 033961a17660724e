"""Runs the processes under random faults, then checks the history.

Ends by itself; exit code 0 only without violations.
"""

import json
import random
import secrets
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Annotated, Any

import typer

from faults.injections import Injection, draw, inject, targets
from faults.unheld import Spell, unheld_by_reason
from faults.workload import (
    CALLER,
    SETTLER,
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
from standins.refusal_counts import await_counts, check_refusals
from standins.site import ModelSpec, Site, SiteSpec, start_site

CALLERS = 12
OPERATORS = 2
INJECTORS = 2
MAX_QUIET_S = 2.0
SETTLE_LIMIT_S = 90.0
MAX_HOURS = 48
SECONDS_PER_MINUTE = 60
MODELS = (
    ModelSpec("permit-8b", 9000),
    ModelSpec("meter-3b", 4000),
    ModelSpec("lease-13b", 14_000),
    ModelSpec("notice-5b", 6000),
)


@dataclass(slots=True)
class Injected:
    """Faults so far, and the processes that one is holding now."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    held: set[str] = field(default_factory=set)
    count_by_kind: Counter[str] = field(default_factory=Counter)
    count_by_pair: Counter[str] = field(default_factory=Counter)
    kinds_now: list[str] = field(default_factory=list)
    spells: list[Spell] = field(default_factory=list)


def run_injector(
    site: Site, seed: int, number: int, injected: Injected, stop: threading.Event
) -> None:
    """Inject one fault after the other until told to stop."""
    chance = random.Random(f"{seed}/injector/{number}")
    while not stop.wait(chance.uniform(0, MAX_QUIET_S)):
        injection = draw(site, chance)
        held = targets(injection, site)
        if not _take(injected, injection, held):
            continue
        from_s = time.time()
        try:
            inject(site, injection, stop)
        finally:
            with injected.lock:
                injected.spells.append(Spell(injection, from_s, time.time()))
                injected.held -= held
                injected.kinds_now.remove(type(injection).__name__)


def _take(injected: Injected, injection: Injection, held: frozenset[str]) -> bool:
    kind = type(injection).__name__
    with injected.lock:
        if injected.held & held:
            return False
        injected.held |= held
        injected.count_by_kind[kind] += 1
        for other in injected.kinds_now:
            injected.count_by_pair["+".join(sorted((kind, other)))] += 1
        injected.kinds_now.append(kind)
        print(f"{time.strftime('%H:%M:%S')} {injection}", flush=True)
        return True


def journal_runs(site: Site) -> tuple[tuple[Run, ...], int]:
    """Return what the engines ran, kills included, and how often overcommitted."""
    runs = []
    overcommits = 0
    for name in site.engines:
        path = site.fleet.journal(name)
        lines = path.read_text().splitlines() if path.exists() else []
        for line in lines:
            entry = json.loads(line)
            if "overcommit_mb" in entry:
                overcommits += 1
            else:
                runs.append(Run(entry["prompt"], entry["at_s"]))
    return tuple(runs), overcommits


def settle(site: Site) -> list[str]:
    """Wait until the site is whole again; return what did not come back."""
    started_s = time.monotonic()
    missing: list[str] = []
    status: int = 0
    answer: Any = None
    while status != 200 and time.monotonic() - started_s < SETTLE_LIMIT_S:
        status, answer = apply(site, site.nodes[0], {"callers": [{"id": "last"}]})
    if status != 200:
        return [f"no change was accepted after the faults: {status} {answer}"]
    try:
        site.wait_in_force(answer["generation"])
    except TimeoutError as error:
        missing.append(str(error))
    for model in site.spec.models:
        missing.extend(_unreachable(site, model.id, started_s))
    print(f"whole again after {time.monotonic() - started_s:.1f} s", flush=True)
    return missing


def _unreachable(site: Site, model: str, started_s: float) -> list[str]:
    while True:
        try:
            site.complete(site.nodes[-1], model, f"reach {model}", caller=SETTLER)
            return []
        except Exception as error:
            if time.monotonic() - started_s > SETTLE_LIMIT_S:
                return [f"{model} is not reachable: {error}"]


def compare_refusals(
    site: Site, history: History, spells: Sequence[Spell]
) -> list[str]:
    """Print and compare the refusals seen and counted; return the violations."""
    seen = history.refusals_by_reason
    unheld = unheld_by_reason(history.refusals, spells)
    counted = await_counts(site, CALLER, seen, MAX_HOURS, unheld)
    print(f"refusals seen: {seen.total()}, counted: {counted.total()}")
    print(f"  seen by reason: {dict(seen)}")
    print(f"  of these held by killed nodes alone: {dict(unheld)}")
    found = check_refusals(seen, counted, history.unreachable, unheld)
    return [str(item) for item in found]


def report(
    site: Site, history: History, injected: Injected, reverts: GenerationRollbacks
) -> list[str]:
    """Print the summary and return the violations."""
    violations = settle(site)
    violations += compare_refusals(site, history, injected.spells)
    service = [
        run for name in site.services for run in service_runs(site.control(name))
    ]
    runs, overcommits = journal_runs(site)
    violations += [str(item) for item in check_actions(history.actions, service)]
    violations += [str(item) for item in check_completions(history.completions, runs)]
    violations += [f"generation went back: {item}" for item in reverts.found]
    violations += [f"engines overcommitted {overcommits} times"] * bool(overcommits)
    codes = Counter(site.fleet.exit_codes)
    if any(codes.keys() - {0}):
        violations.append(f"graceful stops exited with {dict(codes)}")
    in_force = {item["id"]: item["labels"].get("count") for item in callers(site)}
    for caller, accepted in history.accepted_by_item.items():
        if int(in_force.get(caller) or 0) < int(accepted):
            violations.append(f"accepted change of {caller} reverted: {accepted}")
    print(f"faults: {sum(injected.count_by_kind.values())}")
    for kind, count in sorted(injected.count_by_kind.items()):
        print(f"  {kind}: {count}")
    print(f"pairs at once: {len(injected.count_by_pair)} kinds")
    print(
        f"sends: {len(history.completions)} completions,"
        f" {len(history.actions)} bookings ({len(service)} ran),"
        f" {history.refusals_by_reason.total()} refused,"
        f" {history.unreachable} without an answer"
    )
    print(f"changes: {history.accepted} accepted, {history.conflicts} conflicts")
    print(f"graceful stops: {sum(codes.values())}")
    print(f"violations: {len(violations)}")
    for violation in violations:
        print(f"  {violation}")
    return violations


def main(
    seed: Annotated[int, typer.Option(help="Drawn and printed when 0.")] = 0,
    minutes: Annotated[float, typer.Option(help="How long faults are injected.")] = 1,
    nodes: Annotated[int, typer.Option(help="Daemons.")] = 3,
    cuts: Annotated[bool, typer.Option(help="Cut links too.")] = True,
) -> None:
    """Run the processes under random faults and check the history."""
    seed = seed or secrets.randbelow(1_000_000)
    print(f"seed {seed}, {minutes} minutes, {nodes} nodes", flush=True)
    spec = SiteSpec(
        nodes=nodes,
        fence_checking_engines=2,
        fence_ignoring_engines=2,
        models=MODELS,
        links=cuts,
    )
    history, injected, reverts = History(), Injected(), GenerationRollbacks()
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
            tasks.submit(watch_generations, site, reverts, stop),
        ]
        injectors = [
            tasks.submit(run_injector, site, seed, number, injected, stop_faults)
            for number in range(INJECTORS)
        ]
        stop_faults.wait(minutes * SECONDS_PER_MINUTE)
        stop_faults.set()
        for task in injectors:
            task.result()
        stop.set()
        for task in work:
            task.result()
        violations = report(site, history, injected, reverts)
        print(f"logs: {fleet.folder}" if violations else "all promises held")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
