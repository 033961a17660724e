"""Soak of entry daemons: random faults, in series and overlapping, then the checks.

The daemons are processes of their own, before stand-ins of the platform's store and
replicas. Clients keep their connections until these are closed. The run ends after the
given time; it exits with 0 only if there are no violations.
"""

import json
import random
import secrets
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from enum import Enum
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import typer

from camphoryard.protocol.log_lines import parse_log_line
from faults.entry_checks import (
    DEADLINE_S,
    STABLE_WINDOW_S,
    Attempt,
    Disturbance,
    SoakHistory,
    deadly_part,
    find_violations,
)
from standins.entry_platform import OPERATOR
from standins.entry_site import CONFIG, GRACE_S, SETTINGS, make_route
from standins.fleet import HOST, Fleet, HttpError, request, reserve_port

CLIENTS = 16
INJECTORS = 3
MAX_PAUSE_S = 1.5
REQUEST_PAUSE_S = 0.02
REFUSED_PAUSE_S = 0.1
"""Pause of a client whose node accepts no connection."""
TIMEOUT_S = 20.0
RESTART_S = 1.5
"""Time after which a replica that has ended is replaced."""
LEAVE_S = 4.0
"""Time after which a replica that leaves ends."""
LAST_RUNS = 3
"""Runs at the end of a journal, one of which may have ended the replica."""
IMPATIENT_SHARE = 0.3
"""Share of the streams that their client resumes at another node after a pause."""
PATIENCE_S = (0.1, 0.8)
"""Range of the pauses after which such a client leaves."""
EVENT_END = b"\n\n"
DECLINED_PERCENT, STALE_PERCENT = 30, 50
DEADLY_SHARE = 0.1
DEADLY_S = 15.0
SECONDS_PER_MINUTE = 60
STORE = "store"
LEADER_PATH = "/objects/camphoryard-duties/ordering"
LEADER_POLL_S = 0.05
TAKEOVER_S = 8.0
"""Longest time until another node has taken over from a leader that has ended."""
SERVICES = (
    *("models", "models", "models", "models"),
    *("desk", "desk", "desk"),
    *("engines", "engines"),
)
"""Service of each replica."""
SERVICE_BY_ROUTE = {
    "chat": "models",
    "book": "desk",
    "look": "desk",
    "ask": "engines",
}
FIRST_START, LATER_START = "bootstrap = true\n", "bootstrap = false\n"
MILLISECONDS_PER_SECOND = 1000
MODELS = ("m1", "m2", "m3", "m4")
"""Models of the engines, each of which has room for one."""
MODEL_MB, ENGINE_MB = 60, 100
ENGINES: dict[str, Any] = {
    "name": "engines",
    "engine": {
        "slots": 8,
        "mb": ENGINE_MB,
        "loads-per-s": 10.0,
        "models": [
            {"name": name, "mb": MODEL_MB, "load-s": 0.1, "disk-s": 0.1}
            for name in MODELS
        ],
    },
}


class LeavingWord(Enum):
    """Where a replica says that it leaves."""

    ANSWERS = "answers"
    STORE = "store"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class ReplicaLeaves:
    """A replica leaves, perhaps some seconds after a silence of the store."""

    slot: int
    word: LeavingWord
    silence_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaRests:
    """A replica turns requests away and asks for some time."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaCrashes:
    """A replica is killed."""

    slot: int


@dataclass(frozen=True, slots=True)
class ReplicaGarbles:
    """A replica cuts, fails or doubles some of its answers."""

    slot: int
    for_s: float


class ReplicaFault(Enum):
    """How a replica treats a share of its requests."""

    FAIL = "fail"
    SHED = "shed"
    MUTE = "mute"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ServiceFails:
    """Some replicas of a service treat a share of their requests badly."""

    slots: tuple[int, ...]
    how: ReplicaFault
    percent: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaRepeatsRefusals:
    """A replica declines requests, and sends refusals again beside later requests."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaPauses:
    """A replica stands still and goes on."""

    slot: int
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaSlows:
    """The events of a replica's streams come at long intervals."""

    slot: int
    period_ms: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreFails:
    """The store answers with 503, or leaves calls unanswered for ever."""

    is_mute: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreIsRestored:
    """The store goes away and comes back as it was some time before."""

    back_s: float
    away_s: float


class NodeEnd(Enum):
    """How a node ends."""

    STOP = "stop"
    KILL = "kill"


@dataclass(frozen=True, slots=True)
class LeaderChangeIsLost:
    """The leader ends, and the store is restored from before another took over."""

    node: str
    end: NodeEnd
    starts_before: bool
    for_s: float
    back_s: float
    away_s: float


@dataclass(frozen=True, slots=True)
class OddEntry:
    """Another writer leaves an entry that names no replica."""

    number: int


@dataclass(frozen=True, slots=True)
class NodeStops:
    """A node is told to stop, and is started again."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeIsKilled:
    """A node is killed, and is started again."""

    node: str


@dataclass(frozen=True, slots=True)
class NodeFreezes:
    """A node stands still for some time."""

    node: str
    for_s: float


@dataclass(frozen=True, slots=True)
class FleetRestarts:
    """All nodes end and start again, one after the other or at the same time."""

    end: NodeEnd
    gap_s: float


@dataclass(frozen=True, slots=True)
class FleetRestartsInTrouble:
    """All nodes restart while replicas of a service fail."""

    trouble: ServiceFails
    restart: FleetRestarts


@dataclass(frozen=True, slots=True)
class PartTurnsDeadly:
    """Some requests have a part that crashes replicas, for some time."""

    part: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The operator changes the number of routes."""

    routes: int


Fault: TypeAlias = (
    ReplicaLeaves
    | ReplicaRests
    | ReplicaCrashes
    | ReplicaGarbles
    | ServiceFails
    | ReplicaRepeatsRefusals
    | ReplicaPauses
    | ReplicaSlows
    | StoreFails
    | StoreIsRestored
    | LeaderChangeIsLost
    | OddEntry
    | NodeStops
    | NodeIsKilled
    | NodeFreezes
    | FleetRestarts
    | FleetRestartsInTrouble
    | PartTurnsDeadly
    | ConfigurationChanges
)
ODD_SPECS: tuple[Any, ...] = (
    {"service": "desk", "address": "127.0.0.1:99999", "zone": "z", "state": "ready"},
    {"service": "desk", "address": "nowhere", "zone": "z", "state": "ready"},
    {"service": ["desk"], "state": 7},
    [1, 2, 3],
)


@dataclass(slots=True)
class SoakSite:
    """The processes of one soak, and its history."""

    fleet: Fleet
    seed: int
    nodes: tuple[str, ...]
    history: SoakHistory = field(
        default_factory=lambda: SoakHistory(service_by_route=dict(SERVICE_BY_ROUTE))
    )
    lock: threading.Lock = field(default_factory=threading.Lock)
    stop: threading.Event = field(default_factory=threading.Event)
    client_port_by_node: dict[str, int] = field(default_factory=dict)
    replica_by_slot: dict[int, str] = field(default_factory=dict)
    starts: int = 0
    busy_targets: set[str] = field(default_factory=set)
    deadly_part: str = ""
    configurations: int = 0
    count_by_kind: Counter[str] = field(default_factory=Counter)
    kinds: tuple[str, ...] = ()
    source: Path | None = None

    def draws(self, fault: "Fault") -> bool:
        """Return whether the soak draws faults of this kind; none are named for all."""
        return not self.kinds or type(fault).__name__ in self.kinds

    @property
    def store_port(self) -> int:
        """Port of the store."""
        return self.fleet.port(STORE)

    def start(self) -> None:
        """Start store, replicas and nodes, and wait until the nodes are ready."""
        self.fleet.start_standin(STORE, "entry_platform", "--host", HOST)
        self.fleet.wait_ready([STORE])
        self.change_configuration(1)
        for slot in range(len(SERVICES)):
            self.start_replica(slot)
        for node in self.nodes:
            self._start_node(node)
        self.fleet.wait_ready(self.nodes, "/ready")

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object to the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        path = f"/objects/{kind}/{name}"
        request(self.store_port, "PUT", path, body, headers=OPERATOR)

    def change_configuration(self, routes: int) -> None:
        """Write the next version of the configuration."""
        with self.lock:
            self.configurations += 1
            version = self.configurations
        self.put("config", "main", _configuration(version, routes))
        self.history.confirmed_s[version] = time.monotonic()

    def leader(self) -> str | None:
        """Return the node that holds the leadership in the store."""
        try:
            listed = request(self.store_port, "GET", LEADER_PATH, headers=OPERATOR)
        except HttpError:
            return None
        holder: str | None = listed["spec"]["holder"]
        return holder

    def start_replica(self, slot: int) -> None:
        """Start a replica under a new id."""
        with self.lock:
            self.starts += 1
            name = f"r-{slot}-{self.starts}"
        self.fleet.start_standin(
            name,
            "replica",
            *("--id", name, "--service", SERVICES[slot], "--seed", str(self.seed)),
            *("--store-port", str(self.store_port)),
            *("--journal", str(self.fleet.journal(name))),
        )
        self.replica_by_slot[slot] = name

    def control(self, slot: int, **faults: int) -> None:
        """Set faults at a replica; one that has ended has none."""
        port = self.fleet.port(self.replica_by_slot[slot])
        try:
            request(port, "POST", "/control", faults, timeout_s=2.0)
        except (OSError, HTTPException, HttpError):
            return

    def entry(self, slot: int, state: str) -> dict[str, Any]:
        """Return a replica's entry with another state."""
        name = self.replica_by_slot[slot]
        path = f"/objects/servers/{name}"
        listed = request(self.store_port, "GET", path, headers=OPERATOR)
        return {**listed["spec"], "state": state}

    def remove_entry(self, name: str) -> None:
        """Remove an entry of the store, if it is there."""
        try:
            path = f"/objects/servers/{name}"
            request(self.store_port, "DELETE", path, headers=OPERATOR)
        except HttpError:
            return

    def _start_node(self, node: str) -> None:
        client_port, ready_port = reserve_port(), reserve_port()
        path = self.fleet.folder / f"{node}.toml"
        path.write_text(
            FIRST_START
            + SETTINGS.format(
                name=node,
                host=HOST,
                peer_port=reserve_port(),
                client_port=client_port,
                ready_port=ready_port,
                grace_s=GRACE_S,
                store_port=self.store_port,
            )
        )
        self.client_port_by_node[node] = client_port
        arguments = ["-m", "camphoryard.entry.daemon", str(path)]
        self.fleet.start(node, ready_port, arguments, self.source)


def _configuration(version: int, count: int) -> dict[str, Any]:
    routes = [
        make_route("chat", "streaming", "models", resumable=True),
        make_route("book", "non_idempotent", "desk", **{"max-attempts": 3}),
        make_route("look", "idempotent", "desk", **{"max-attempts": 3}),
        make_route("ask", "idempotent", "engines"),
        *(make_route(f"more{n}", "idempotent", "desk") for n in range(count)),
    ]
    services = [{"name": "models"}, {"name": "desk"}, ENGINES]
    return {**CONFIG, "version": version, "routes": routes, "services": services}


def run_client(site: SoakSite, number: int) -> None:
    """Send requests over kept connections until the site stops.

    Some streams are left at a pause and resumed at another node.
    """
    rng = random.Random(f"{site.seed}/client/{number}")
    connection_by_node: dict[str, HTTPConnection] = {}
    count = 0
    left: Attempt | None = None
    while not site.stop.wait(rng.uniform(0, 2 * REQUEST_PAUSE_S)):
        count += 1
        others = [item for item in site.nodes if left and item != left.node]
        node = rng.choice(others or site.nodes)
        connection = connection_by_node.get(node)
        if connection is None:
            port = site.client_port_by_node[node]
            connection = HTTPConnection(HOST, port, timeout=TIMEOUT_S)
        kind = "chat" if left else rng.choice(("chat", "chat", "book", "look", "ask"))
        id = f"{number}-{count}"
        parts = f"system:100,topic{rng.randrange(4)}:50,"
        if site.deadly_part and kind == "chat" and rng.random() < DEADLY_SHARE:
            parts += f"{site.deadly_part}:20,"
        headers = {
            "Host": "site.example",
            "Attempt-Id": id,
            "Deadline-Ms": str(int(DEADLINE_S * MILLISECONDS_PER_SECOND)),
            "Prompt-Prefix": f"{parts}own-{id}:10",
        }
        if kind == "ask":
            headers["Model"] = rng.choice(MODELS)
        if left:
            headers["Last-Event-Id"] = str(left.after + left.body.count(EVENT_END))
        leaves = kind == "chat" and not left and rng.random() < IMPATIENT_SHARE
        attempt = _send(
            connection,
            Attempt(
                id,
                node,
                f"/{kind}/{id}",
                time.monotonic(),
                resumes=left.id if left else "",
                after=int(headers.get("Last-Event-Id", 0)),
            ),
            headers,
            rng.uniform(*PATIENCE_S) if leaves else TIMEOUT_S,
        )
        with site.lock:
            site.history.attempts.append(attempt)
        left = attempt if attempt.has_left and EVENT_END in attempt.body else None
        if attempt.is_whole and attempt.headers.get("connection") != "close":
            connection_by_node[node] = connection
        else:
            connection.close()
            connection_by_node.pop(node, None)
        if not attempt.is_sent:
            site.stop.wait(REFUSED_PAUSE_S)


def _send(
    connection: HTTPConnection,
    attempt: Attempt,
    headers: dict[str, str],
    patience_s: float,
) -> Attempt:
    """Return the attempt with its answer, which may pause for ``patience_s``."""
    status, answered, body = 0, {}, b""
    is_sent, is_whole, has_left = True, False, False
    try:
        connection.request("POST", attempt.path, b"x", headers)
        connection.sock.settimeout(patience_s)
        response = connection.getresponse()
        status = response.status
        answered = {name.lower(): text for name, text in response.headers.items()}
        while chunk := response.read1(65_536):
            body += chunk
        is_whole = not response.length
        response.close()
    except ConnectionRefusedError:
        is_sent = False
    except TimeoutError:
        has_left = patience_s < TIMEOUT_S
    except (OSError, HTTPException, ValueError):
        is_whole = False
    return replace(
        attempt,
        done_s=time.monotonic(),
        status=status,
        headers=answered,
        body=body,
        is_whole=is_whole,
        is_sent=is_sent,
        has_left=has_left,
    )


def replace_ended_replicas(site: SoakSite) -> None:
    """Replace each replica that has ended, and record which part crashed it."""
    while not site.stop.wait(0.1):
        for slot, name in list(site.replica_by_slot.items()):
            if site.fleet.process_by_name[name].popen.poll() is None:
                continue
            ended_s = time.monotonic()
            _record_crash(site, name, ended_s)
            if site.stop.wait(RESTART_S):
                return
            site.remove_entry(name)
            site.start_replica(slot)


def _record_crash(site: SoakSite, name: str, ended_s: float) -> None:
    part = site.deadly_part
    lines = _journal(site, name)
    last = [line for line in lines if line["event"] == "ran"][-LAST_RUNS:]
    if part and any(part in line["parts"] for line in last):
        site.history.crashes_s.setdefault(part, []).append(ended_s)


def _journal(site: SoakSite, name: str) -> list[dict[str, Any]]:
    path = site.fleet.journal(name)
    lines = path.read_text().splitlines() if path.exists() else []
    # The last line may be cut where the process ended.
    return [json.loads(line) for line in lines if line.endswith("}")]


def draw_fault(site: SoakSite, rng: random.Random) -> Fault:
    """Return a random fault."""
    slot = rng.randrange(len(SERVICES))
    node = rng.choice(site.nodes)
    for_s = rng.uniform(0.5, 3.0)
    service_fails = ServiceFails(
        _some_slots(rng, SERVICES[slot]),
        rng.choice(tuple(ReplicaFault)),
        rng.choice((10, 40, 100)),
        rng.uniform(1.0, 12.0),
    )
    fleet_restarts = FleetRestarts(
        rng.choice(tuple(NodeEnd)), rng.choice((0.0, rng.uniform(0.1, 2.0)))
    )
    trouble = replace(
        service_fails,
        how=rng.choice((ReplicaFault.FAIL, ReplicaFault.SHED)),
        percent=100,
        for_s=rng.uniform(6.0, 12.0),
    )
    faults: tuple[Fault, ...] = (
        ReplicaLeaves(slot, rng.choice(tuple(LeavingWord))),
        ReplicaLeaves(slot, LeavingWord.STORE, for_s),
        ReplicaRests(slot, for_s),
        ReplicaCrashes(slot),
        ReplicaGarbles(slot, for_s),
        service_fails,
        ReplicaRepeatsRefusals(slot, 3 * for_s),
        ReplicaPauses(slot, for_s),
        ReplicaSlows(slot, rng.choice((400, 900, 2000)), 3 * for_s),
        StoreFails(rng.random() < 0.5, for_s),
        StoreIsRestored(rng.uniform(0.5, 8.0), rng.uniform(0.1, 1.5)),
        LeaderChangeIsLost(
            site.leader() or node,
            rng.choice(tuple(NodeEnd)),
            rng.random() < 0.5,
            for_s,
            rng.uniform(0.1, 2.0),
            rng.uniform(0.1, 1.5),
        ),
        OddEntry(rng.randrange(len(ODD_SPECS))),
        NodeStops(node),
        NodeIsKilled(node),
        NodeFreezes(node, for_s),
        fleet_restarts,
        FleetRestartsInTrouble(trouble, fleet_restarts),
        PartTurnsDeadly(deadly_part(rng.randrange(1000)), DEADLY_S),
        ConfigurationChanges(rng.randrange(2, 52)),
    )
    return rng.choice([item for item in faults if site.draws(item)])


def _some_slots(rng: random.Random, service: str) -> tuple[int, ...]:
    """Return at least one of the slots of a service."""
    slots = [slot for slot, name in enumerate(SERVICES) if name == service]
    return tuple(rng.sample(slots, rng.randint(1, len(slots))))


def targets_of(site: SoakSite, fault: Fault) -> tuple[str, ...]:
    """Return what a fault strikes; no two faults strike the same thing at once."""
    match fault:
        case (
            ReplicaLeaves(slot)
            | ReplicaRests(slot)
            | ReplicaCrashes(slot)
            | ReplicaGarbles(slot)
            | ReplicaRepeatsRefusals(slot)
            | ReplicaPauses(slot)
            | ReplicaSlows(slot)
        ):
            return (f"slot-{slot}",)
        case ServiceFails(slots):
            return tuple(f"slot-{slot}" for slot in slots)
        case FleetRestarts():
            return site.nodes
        case FleetRestartsInTrouble(trouble, restart):
            return targets_of(site, trouble) + targets_of(site, restart)
        case NodeStops(node) | NodeIsKilled(node) | NodeFreezes(node):
            return (node,)
        case LeaderChangeIsLost(node):
            return (node, STORE)
        case StoreFails() | StoreIsRestored():
            return (STORE,)
        case OddEntry():
            return ("entries",)
        case PartTurnsDeadly():
            return ("parts",)
        case ConfigurationChanges():
            return ("configuration",)


def inject(site: SoakSite, fault: Fault) -> None:
    """Carry out one fault, to its end."""
    match fault:
        case ReplicaLeaves(slot, word, silence_s):
            if silence_s:
                _fail_store(site, is_mute=True, for_s=silence_s)
                site.stop.wait(STABLE_WINDOW_S)
            _leave(site, slot, word)
        case ReplicaRests(slot, for_s):
            site.control(slot, rest_ms=int(for_s * 1000))
            site.stop.wait(for_s)
        case ReplicaCrashes(slot):
            site.fleet.process_by_name[site.replica_by_slot[slot]].kill()
            site.stop.wait(2 * RESTART_S)
        case ReplicaGarbles(slot, for_s):
            site.control(slot, garble=30)
            site.stop.wait(for_s)
            site.control(slot, garble=0)
        case ServiceFails():
            with _failing(site, fault):
                site.stop.wait(fault.for_s)
        case ReplicaRepeatsRefusals(slot, for_s):
            site.control(slot, shed=DECLINED_PERCENT, stale=STALE_PERCENT)
            site.stop.wait(for_s)
            site.control(slot, shed=0, stale=0)
        case ReplicaPauses(slot, for_s):
            _pause(site, site.replica_by_slot[slot], for_s)
        case ReplicaSlows(slot, period_ms, for_s):
            site.control(slot, slow_ms=period_ms)
            site.stop.wait(for_s)
            site.control(slot, slow_ms=0)
        case StoreFails(is_mute, for_s):
            _fail_store(site, is_mute, for_s)
        case StoreIsRestored(back_s, away_s):
            _restore_store(site, back_s, away_s)
        case LeaderChangeIsLost():
            _lose_leader_change(site, fault)
        case OddEntry(number):
            site.put("servers", f"odd-{number}", ODD_SPECS[number])
        case NodeStops(node):
            _end(site, node, NodeEnd.STOP)
            _restart(site, node)
        case NodeIsKilled(node):
            _end(site, node, NodeEnd.KILL)
            _restart(site, node)
        case NodeFreezes(node, for_s):
            process = site.fleet.process_by_name[node]
            process.signal(signal.SIGSTOP)
            site.stop.wait(for_s)
            process.signal(signal.SIGCONT)
        case FleetRestarts(end, gap_s):
            _restart_fleet(site, end, gap_s)
        case FleetRestartsInTrouble(trouble, FleetRestarts(end, gap_s)):
            with _failing(site, trouble):
                site.stop.wait(trouble.for_s / 2)
                _restart_fleet(site, end, gap_s)
                site.stop.wait(trouble.for_s / 2)
        case PartTurnsDeadly(part, for_s):
            site.deadly_part = part
            site.stop.wait(for_s)
            site.deadly_part = ""
        case ConfigurationChanges(routes):
            site.change_configuration(routes)


@contextmanager
def _failing(site: SoakSite, trouble: ServiceFails) -> Iterator[None]:
    """Have replicas fail; those that replace them meanwhile do not."""
    for slot in trouble.slots:
        site.control(slot, **{trouble.how.value: trouble.percent})
    yield
    for slot in trouble.slots:
        site.control(slot, **{trouble.how.value: 0})


def _pause(site: SoakSite, name: str, for_s: float) -> None:
    process = site.fleet.process_by_name[name]
    began_s = time.monotonic()
    process.signal(signal.SIGSTOP)
    site.stop.wait(for_s)
    process.signal(signal.SIGCONT)
    with site.lock:
        site.history.disturbances.append(Disturbance(name, began_s, time.monotonic()))


def _restart_fleet(site: SoakSite, end: NodeEnd, gap_s: float) -> None:
    """End and start all nodes; without a gap they are all down at the same time."""
    with ThreadPoolExecutor(len(site.nodes)) as tasks:
        for node in site.nodes:
            tasks.submit(_end_and_restart, site, node, end)
            site.stop.wait(gap_s)


def _end_and_restart(site: SoakSite, node: str, end: NodeEnd) -> None:
    _end(site, node, end)
    _restart(site, node)


def _fail_store(site: SoakSite, is_mute: bool, for_s: float) -> None:
    name = "mute_store" if is_mute else "silent_store"
    began_s = time.monotonic()
    request(site.store_port, "POST", "/control", {name: 1})
    site.stop.wait(for_s)
    request(site.store_port, "POST", "/control", {name: 0})
    with site.lock:
        disturbance = Disturbance(STORE, began_s, time.monotonic())
        site.history.disturbances.append(disturbance)


def _restore_store(site: SoakSite, back_s: float, away_s: float) -> None:
    restore = {"restore_s": back_s, "away_s": away_s}
    request(site.store_port, "POST", "/control", restore)


def _lose_leader_change(site: SoakSite, fault: LeaderChangeIsLost) -> None:
    began_s = time.monotonic()
    _end(site, fault.node, fault.end)
    if fault.starts_before:
        _restart(site, fault.node)
    while site.leader() in (fault.node, None):
        if time.monotonic() > began_s + TAKEOVER_S:
            # The node that has started again may be the leader once more.
            break
        site.stop.wait(LEADER_POLL_S)
    site.stop.wait(fault.for_s)
    back_s = time.monotonic() - began_s + fault.back_s
    _restore_store(site, back_s, fault.away_s)
    if not fault.starts_before:
        _restart(site, fault.node)


def _end(site: SoakSite, node: str, end: NodeEnd) -> None:
    process = site.fleet.process_by_name[node]
    match end:
        case NodeEnd.STOP:
            process.signal(signal.SIGTERM)
            process.popen.wait(2 * GRACE_S)
        case NodeEnd.KILL:
            process.kill()


def _leave(site: SoakSite, slot: int, word: LeavingWord) -> None:
    name = site.replica_by_slot[slot]
    if word is not LeavingWord.STORE:
        site.control(slot, leaving=1)
    if word is not LeavingWord.ANSWERS:
        try:
            site.put("servers", name, site.entry(slot, "draining"))
            site.history.leaves_s[name] = time.monotonic()
        except HttpError:
            # The replica has just ended, and its entry is gone.
            return
    site.stop.wait(LEAVE_S)
    site.fleet.process_by_name[name].kill()


def _restart(site: SoakSite, node: str) -> None:
    with site.lock:
        site.history.starts_s.setdefault(node, []).append(time.monotonic())
    path = site.fleet.folder / f"{node}.toml"
    path.write_text(path.read_text().replace(FIRST_START, LATER_START))
    site.fleet.restart(node)
    site.fleet.wait_ready([node], "/ready")


def run_injector(site: SoakSite, number: int, stop: threading.Event) -> None:
    """Inject one fault after another until ``stop`` is set."""
    rng = random.Random(f"{site.seed}/entry-injector/{number}")
    while not stop.wait(rng.uniform(0, MAX_PAUSE_S)):
        fault = draw_fault(site, rng)
        targets = targets_of(site, fault)
        with site.lock:
            if not site.busy_targets.isdisjoint(targets):
                continue
            site.busy_targets.update(targets)
            site.count_by_kind[type(fault).__name__] += 1
        print(f"{time.strftime('%H:%M:%S')} {fault}", flush=True)
        began_s = time.monotonic()
        try:
            inject(site, fault)
        finally:
            ended_s = time.monotonic()
            with site.lock:
                site.history.disturbances.extend(
                    Disturbance(target, began_s, ended_s) for target in targets
                )
                site.busy_targets.difference_update(targets)


def report(site: SoakSite) -> list[str]:
    """Print the summary and return the violations."""
    history = site.history
    for node in site.nodes:
        code = site.fleet.process_by_name[node].popen.poll()
        if code is not None:
            history.own_ends.append(f"{node} exited with {code}")
    for name in site.fleet.process_by_name:
        if name.startswith("r-"):
            history.lines_by_replica[name] = _journal(site, name)
    for node in site.nodes:
        text = site.fleet.process_by_name[node].log.read_text(errors="replace")
        lines = map(parse_log_line, text.splitlines())
        history.log_lines_by_node[node] = [line for line in lines if line is not None]
    violations = find_violations(history)
    statuses = Counter(item.status for item in history.attempts)
    print(f"faults: {site.count_by_kind.total()} {dict(site.count_by_kind)}")
    print(f"requests: {len(history.attempts)}, by status {dict(statuses)}")
    crashes = {part: len(times_s) for part, times_s in history.crashes_s.items()}
    print(f"crashes by deadly part: {crashes}")
    orders = Counter(
        line["status"]
        for lines in history.lines_by_replica.values()
        for line in lines
        if line["event"] == "order"
    )
    print(f"orders: {orders.total()}, by status {dict(orders)}")
    print(f"violations: {len(violations)}")
    for violation in violations:
        print(f"  {violation}")
    return violations


def run_soak(
    seed: int,
    minutes: float,
    nodes: int,
    kinds: tuple[str, ...] = (),
    source: Path | None = None,
) -> list[str]:
    """Run one soak; return its violations.

    Parameters
    ----------
    kinds : tuple of str
        Classes of the faults to draw; all if empty.
    source : Path or None
        Folder with the package that the nodes run, such as that of an earlier commit;
        None for this one.
    """
    with Fleet() as fleet, ThreadPoolExecutor(CLIENTS + INJECTORS + 1) as tasks:
        names = tuple(f"entry-{n}" for n in range(1, nodes + 1))
        site = SoakSite(fleet, seed, names, kinds=kinds, source=source)
        site.start()
        work = [tasks.submit(run_client, site, number) for number in range(CLIENTS)]
        work.append(tasks.submit(replace_ended_replicas, site))
        stop = threading.Event()
        injectors = [
            tasks.submit(run_injector, site, number, stop)
            for number in range(INJECTORS)
        ]
        try:
            stop.wait(minutes * SECONDS_PER_MINUTE)
            stop.set()
            for task in injectors:
                task.result()
        finally:
            stop.set()
            site.stop.set()
        for task in work:
            task.result()
        violations = report(site)
        print(f"logs: {fleet.folder}" if violations else "no violations", flush=True)
    return violations


def main(
    seed: Annotated[int, typer.Option(help="Chosen at random and printed if 0.")] = 0,
    minutes: Annotated[float, typer.Option(help="Duration of fault injection.")] = 1,
    nodes: Annotated[int, typer.Option(help="Number of entry daemons.")] = 3,
    kind: Annotated[
        list[str], typer.Option(help="Class of faults to draw; all if not given.")
    ] = [],  # noqa: B006
    source: Annotated[
        Path | None, typer.Option(help="Folder with the package that the nodes run.")
    ] = None,
) -> None:
    """Run entry daemons under random faults and check what clients and replicas saw."""
    seed = seed or secrets.randbelow(1_000_000)
    print(f"seed {seed}, {minutes} minutes, {nodes} entry daemons", flush=True)
    sys.exit(1 if run_soak(seed, minutes, nodes, tuple(kind), source) else 0)


if __name__ == "__main__":
    typer.run(main)
