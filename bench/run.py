"""Runs a scenario with one policy and one seed at a new site."""

import json
import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPException
from signal import SIGKILL

import msgspec

from bench.demand import Booking, Request, bookings, requests
from bench.load import Arrival, Outcome, play
from bench.placing import initial_residents
from bench.policies import BenchPolicy, node_settings
from bench.scenario import (
    Event,
    Fault,
    Scenario,
    adapters_of,
    memory_mb,
    model_name,
)
from camphoryard.protocol.platform import ENDPOINT_RECORD_CODEC
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Incarnation,
    ItemId,
    NodeId,
    WriteId,
)
from standins.engine import expected_answer
from standins.fleet import CALLER_TOKEN, HOST, Fleet, HttpError, request

PRIORITY_BY_CALLER = {
    "meter-app": "urgent",
    "front-desk": "standard",
    "overnight": "deferrable",
}
TIMEOUT_PER_DEADLINE = 1.5
BOOKING_TIMEOUT_S = 5.0
START_DELAY_S = 2.0
LOAD_PROCESSES = 2
IN_FORCE_TIMEOUT_S = 14.0
PAUSE_AFTER_START_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of one request; times are in seconds after its scheduled time."""

    at_s: float
    caller: str
    met_deadline: bool
    is_complete: bool
    refusal: str
    token_times_s: Sequence[float]


@dataclass(frozen=True, slots=True)
class Violations:
    """Number of violations by kind; each must be 0."""

    overcommits: int
    doubled_bookings: int
    wrong_answers: int


@dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one run."""

    engines: int
    answers: Sequence[Answer]
    bookings_done: int
    bookings_offered: int
    loads: int
    unloads: int
    violations: Violations


@dataclass(slots=True)
class _Site:
    fleet: Fleet
    scenario: Scenario
    engines: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)


def run_once(scenario: Scenario, policy: BenchPolicy, seed: int) -> RunResult:
    """Start a site, run the demand and faults of a scenario, and return the results."""
    drawn_requests = requests(scenario, seed)
    drawn_bookings = bookings(scenario, seed)
    with Fleet() as fleet:
        site = _Site(fleet, scenario)
        _start(site, policy)
        started_s = time.monotonic() + START_DELAY_S
        faults = threading.Thread(target=_inject, args=(site, started_s))
        faults.start()
        arrivals = [_inference_arrival(site, item) for item in drawn_requests]
        arrivals += [_booking_arrival(site, item) for item in drawn_bookings]
        outcomes = play(arrivals, LOAD_PROCESSES, started_s)
        faults.join()
        answers = [
            _evaluate(item, outcome)
            for item, outcome in zip(drawn_requests, outcomes, strict=False)
        ]
        moves = _moves(site)
        violations = _violations(site, drawn_requests, outcomes)
        for process in fleet.process_by_name.values():
            process.kill()
        return RunResult(
            scenario.engines,
            answers,
            sum(item.status == 200 for item in outcomes[len(drawn_requests) :]),
            len(drawn_bookings),
            moves["loads"],
            moves["unloads"],
            violations,
        )


def _start(site: _Site, policy: BenchPolicy) -> None:
    fleet, scenario = site.fleet, site.scenario
    store = scenario.weight_store
    fleet.start_standin("object-api", "object_api")
    fleet.start_standin("vm-list", "vm_list")
    fleet.start_standin("bookings-1", "service")
    weights = fleet.start_standin(
        "weight-store",
        "weight_store",
        *("--loads-per-s", str(store.loads_per_s)),
        *("--at-once", str(store.at_once)),
        *("--load-s", str(store.load_s)),
        *("--adapter-load-s", str(store.adapter_load_s)),
        *("--adapters-in-transit", str(store.adapters_in_transit)),
    )
    residents = initial_residents(scenario)
    for index, resident_mb_by_item in enumerate(residents):
        name = f"engine-{index + 1}"
        options = [
            *("--memory-mb", str(scenario.engine_memory_mb)),
            *("--slots", str(scenario.engine_slots)),
            *("--step-ms", str(scenario.step_ms)),
            *("--weight-store-port", str(weights)),
            *(
                "--resident",
                ",".join(f"{k}={mb}" for k, mb in resident_mb_by_item.items()),
            ),
        ]
        if index % 2 == 0:
            options.append("--checks-fencing")
        fleet.start_standin(name, "engine", *options)
        site.engines.append(name)
    fleet.wait_ready(tuple(fleet.process_by_name))
    for name, resident_mb_by_item in zip(site.engines, residents, strict=True):
        _record_residents(site, name, resident_mb_by_item)
    for index in range(scenario.nodes):
        name = f"node-{index + 1}"
        fleet.start_node(
            name, f"zone-{'abcd'[index % 4]}", node_settings(policy, scenario)
        )
        site.nodes.append(name)
    fleet.wait_ready(site.nodes)
    change = _configuration(site)
    path = "/admin/v1/configuration"
    generation = request(fleet.port(site.nodes[0]), "POST", path, change)["generation"]
    for name in site.nodes:
        fleet.wait_until(
            lambda name=name: _is_ready(site, name, generation),
            name,
            IN_FORCE_TIMEOUT_S,
        )
    time.sleep(PAUSE_AFTER_START_S)


def _record_residents(
    site: _Site, name: str, resident_mb_by_item: Mapping[str, int]
) -> None:
    """Write an endpoint's record, as an earlier run of the site would have."""
    record = EndpointRecord(
        EndpointId(name),
        site.scenario.engine_memory_mb,
        NodeId(""),
        Incarnation("earlier"),
        FencingNumber(0),
        WriteId("earlier"),
        {ItemId(item): memory for item, memory in resident_mb_by_item.items()},
    )
    body = msgspec.json.decode(ENDPOINT_RECORD_CODEC.encode(record))
    request(site.fleet.port("object-api"), "PUT", f"/objects/endpoints/{name}", body)


def _is_ready(site: _Site, node: str, generation: int) -> bool:
    status = request(site.fleet.port(node), "GET", "/admin/v1/status")
    owned = [item for item in status["endpoints"] if item["owner"]]
    return status["generation"] >= generation and len(owned) == len(site.engines)


def _configuration(site: _Site) -> dict[str, object]:
    scenario = site.scenario
    catalogue = scenario.catalogue
    numbers = range(catalogue.models)
    return {
        "write_id": "bench",
        "models": [
            {
                "id": model_name(number),
                "memory_mb": memory_mb(catalogue, number),
                "labels": {"family": "assistant"},
            }
            for number in numbers
        ],
        "adapters": [
            {
                "id": adapter,
                "base": model_name(number),
                "memory_mb": catalogue.adapter_memory_mb,
            }
            for number in numbers
            for adapter in adapters_of(catalogue, number)
        ],
        "services": [{"id": "bookings", "labels": {"kind": "booking"}}],
        "endpoints": [
            *(
                {
                    "id": name,
                    "kind": "engine",
                    "host": HOST,
                    "port": site.fleet.port(name),
                    "memory_mb": scenario.engine_memory_mb,
                    "checks_fencing": index % 2 == 0,
                    "labels": {"pool": "main"},
                }
                for index, name in enumerate(site.engines)
            ),
            {
                "id": "bookings-1",
                "kind": "service",
                "host": HOST,
                "port": site.fleet.port("bookings-1"),
                "labels": {"app": "bookings"},
            },
        ],
        "callers": [
            {"id": caller, "labels": {"class": priority}}
            for caller, priority in PRIORITY_BY_CALLER.items()
        ],
        "groups": [
            {
                "id": "bookings",
                "order": 1,
                "priority": "urgent",
                "targets": "kind=booking",
                "endpoints": "app=bookings",
            },
            *(
                {
                    "id": priority,
                    "order": 10,
                    "priority": priority,
                    "callers": f"class={priority}",
                    "targets": "family",
                    "endpoints": "pool=main",
                }
                for priority in PRIORITY_BY_CALLER.values()
            ),
        ],
    }


def _inject(site: _Site, started_s: float) -> None:
    for event in sorted(site.scenario.events, key=lambda item: item.at_s):
        time.sleep(max(0.0, started_s + event.at_s - time.monotonic()))
        _apply_event(site, event)


def _apply_event(site: _Site, event: Event) -> None:
    match event.fault:
        case Fault.KILL:
            site.fleet.process_by_name[event.process].signal(SIGKILL)
        case Fault.OUTAGE_BEGINS:
            _set_outage(site, event.process, True)
        case Fault.OUTAGE_ENDS:
            _set_outage(site, event.process, False)


def _set_outage(site: _Site, process: str, outage: bool) -> None:
    request(site.fleet.port(process), "POST", "/control", {"outage": outage})


def _inference_arrival(site: _Site, item: Request) -> Arrival:
    body = {
        "model": item.target,
        "prompt": item.prompt,
        "max_tokens": item.tokens,
        "stream": True,
    }
    return Arrival(
        item.at_s,
        site.fleet.port(site.nodes[item.node]),
        json.dumps(body).encode(),
        f"{CALLER_TOKEN}-{item.caller}",
        (("Camphoryard-Deadline-Ms", str(int(item.deadline_s * 1000))),),
        item.deadline_s * TIMEOUT_PER_DEADLINE,
    )


def _booking_arrival(site: _Site, item: Booking) -> Arrival:
    return Arrival(
        item.at_s,
        site.fleet.port(site.nodes[item.node]),
        item.body,
        f"{CALLER_TOKEN}-front-desk",
        (("Idempotency-Key", item.key),),
        BOOKING_TIMEOUT_S,
        "/v1/services/bookings/book",
    )


def _evaluate(item: Request, outcome: Outcome) -> Answer:
    times_s = outcome.token_times_s
    is_complete = outcome.is_complete and outcome.text == expected_answer(
        item.prompt, item.tokens
    )
    met_deadline = is_complete and times_s[-1] <= item.deadline_s
    return Answer(
        item.at_s,
        item.caller,
        met_deadline,
        is_complete,
        _refusal(outcome),
        tuple(times_s),
    )


def _refusal(outcome: Outcome) -> str:
    """Return the refusal reason, or another reason why there is no answer."""
    if outcome.is_complete:
        return ""
    try:
        body = outcome.error.rpartition(b"data: ")[2] or outcome.error
        code: str = json.loads(body.strip().removesuffix(b"0").strip())["error"]["code"]
        return code
    except (ValueError, KeyError, TypeError):
        return "caller_gave_up"


def _moves(site: _Site) -> Counter[str]:
    moves: Counter[str] = Counter()
    for name in site.engines:
        counts = _engine_counts(site, name)
        moves.update(loads=counts["loads"], unloads=counts["unloads"])
    return moves


def _engine_counts(site: _Site, engine: str) -> Counter[str]:
    """Return the counts of an engine, or no counts if it was killed."""
    try:
        counts = request(site.fleet.port(engine), "GET", "/control", timeout_s=2.0)
    except (OSError, HTTPException, HttpError):
        return Counter()
    return Counter({name: counts[name] for name in ("loads", "unloads", "overcommits")})


def _violations(
    site: _Site, drawn_requests: Sequence[Request], outcomes: Sequence[Outcome]
) -> Violations:
    service = request(site.fleet.port("bookings-1"), "GET", "/control")
    runs = Counter(json.dumps(item["body"]) for item in service["executions"])
    wrong_answers = sum(
        outcome.is_complete
        and outcome.text != expected_answer(item.prompt, item.tokens)
        for item, outcome in zip(drawn_requests, outcomes, strict=False)
    )
    return Violations(
        sum(_engine_counts(site, name)["overcommits"] for name in site.engines),
        sum(count - 1 for count in runs.values()),
        wrong_answers,
    )
