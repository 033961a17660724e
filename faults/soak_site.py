"""The processes of one soak of entry daemons, and its history."""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.client import HTTPException
from pathlib import Path
from typing import Any

from faults.entry_checks import SoakHistory, WrittenKeys
from faults.entry_faults import Fault
from faults.quota_checks import QUOTA_WINDOW_S
from faults.soak_keys import (
    LIMITED_ACCOUNT,
    PUBLIC_ROUTE,
    draw_accounts,
    draw_rate,
    listed_accounts,
)
from standins.entry_platform import OPERATOR
from standins.entry_site import CONFIG, GRACE_S, SETTINGS, make_route
from standins.fleet import HOST, Fleet, HttpError, request, reserve_port

STORE = "store"
LEADER_PATH = "/objects/camphoryard-duties/ordering"
SERVICES = (
    *("models", "models", "models", "models"),
    *("desk", "desk", "desk"),
    *("engines", "engines"),
)
"""Service of each replica."""
SERVICE_BY_ROUTE = {
    "chat": "models",
    "book": "desk",
    PUBLIC_ROUTE: "desk",
    "ask": "engines",
    "sign": "engines",
}
FIRST_START, LATER_START = "bootstrap = true\n", "bootstrap = false\n"
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
    routes: int = 1
    key_draws: int = 0
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
        self.change_configuration()
        for slot in range(len(SERVICES)):
            self.start_replica(slot)
        for node in self.nodes:
            self._start_node(node)
        self.fleet.wait_ready(self.nodes, "/ready")

    def journal(self, name: str) -> list[dict[str, Any]]:
        """Return the lines of a replica's journal."""
        path = self.fleet.journal(name)
        lines = path.read_text().splitlines() if path.exists() else []
        # The last line may be cut where the process ended.
        return [json.loads(line) for line in lines if line.endswith("}")]

    def restart_node(self, node: str) -> None:
        """Start a node again that has ended, and wait until it is ready."""
        with self.lock:
            self.history.starts_s.setdefault(node, []).append(time.monotonic())
        path = self.fleet.folder / f"{node}.toml"
        path.write_text(path.read_text().replace(FIRST_START, LATER_START))
        self.fleet.restart(node)
        self.fleet.wait_ready([node], "/ready")

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object to the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        path = f"/objects/{kind}/{name}"
        request(self.store_port, "PUT", path, body, headers=OPERATOR)

    def change_configuration(
        self, routes: int | None = None, draws_keys: bool = False
    ) -> None:
        """Write the next version, with another number of routes or other keys."""
        with self.lock:
            self.configurations += 1
            version = self.configurations
            self.routes = self.routes if routes is None else routes
            self.key_draws += draws_keys
        account_by_key = draw_accounts(self.seed, self.key_draws)
        rate_per_s = draw_rate(self.seed, self.key_draws)
        limit = rate_per_s * QUOTA_WINDOW_S + rate_per_s
        written = WrittenKeys(
            time.monotonic(), account_by_key, {LIMITED_ACCOUNT: limit}
        )
        self.history.keys_by_version[version] = written
        spec = _configuration(version, self.routes)
        spec["tenants"] = listed_accounts(account_by_key, rate_per_s)
        self.put("config", "main", spec)
        self.history.confirmed_s[version] = time.monotonic()

    def leader(self) -> str | None:
        """Return the node that holds the leadership in the store."""
        try:
            listed = request(self.store_port, "GET", LEADER_PATH, headers=OPERATOR)
        except HttpError:
            return None
        holder: str | None = listed["spec"]["holder"]
        return holder

    def start_replica(self, slot: int, port: int | None = None) -> None:
        """Start a replica under a new id, perhaps at the port of an earlier one."""
        with self.lock:
            self.starts += 1
            name = f"r-{slot}-{self.starts}"
        self.fleet.start_standin(
            name,
            "replica",
            *("--id", name, "--service", SERVICES[slot], "--seed", str(self.seed)),
            *("--store-port", str(self.store_port)),
            *("--journal", str(self.fleet.journal(name))),
            port=port,
        )
        self.replica_by_slot[slot] = name

    def control(self, slot: int, **faults: float) -> None:
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

    def has_entry(self, name: str) -> bool:
        """Return whether the store has an entry."""
        try:
            path = f"/objects/servers/{name}"
            request(self.store_port, "GET", path, headers=OPERATOR)
        except HttpError:
            return False
        return True

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
        make_route(
            PUBLIC_ROUTE, "idempotent", "desk", public=True, **{"max-attempts": 3}
        ),
        make_route("ask", "idempotent", "engines"),
        make_route("sign", "non_idempotent", "engines", **{"max-attempts": 3}),
        *(make_route(f"more{n}", "idempotent", "desk") for n in range(count)),
    ]
    services = [{"name": "models"}, {"name": "desk"}, ENGINES]
    return {**CONFIG, "version": version, "routes": routes, "services": services}
