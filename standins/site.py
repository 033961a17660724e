"""Starts a complete site for tests and benches: stand-ins, nodes, configuration."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPConnection
from typing import Any

from standins.fleet import CALLER_TOKEN, HOST, Fleet, request
from standins.links import LinkState

STREAM_TIMEOUT_S = 60.0
ADAPTED_MODEL = "permit-8b"


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of the site; ``memory_mb`` is the size of one loaded copy."""

    id: str
    memory_mb: int = 4000
    family: str = "permit"


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """Size of a site and speed of its stand-ins."""

    nodes: int = 3
    fence_checking_engines: int = 1
    fence_ignoring_engines: int = 1
    services: int = 1
    engine_memory_mb: int = 16_000
    step_ms: float = 5.0
    load_s: float = 0.1
    slots: int = 64
    crash_on: str = ""
    models: tuple[ModelSpec, ...] = (
        ModelSpec("permit-8b", 9000),
        ModelSpec("meter-3b", 4000),
        ModelSpec("lease-13b", 14_000, "lease"),
    )
    vm_list_lag_s: float = 0.2
    node_settings: str = ""
    links: bool = False


@dataclass(slots=True)
class Site:
    """A running site; its processes belong to ``fleet``."""

    fleet: Fleet
    spec: SiteSpec
    nodes: list[str] = field(default_factory=list)
    engines: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)

    def control(self, name: str, **faults: Any) -> Any:
        """Set faults at a stand-in, or return its state if no fault is given."""
        if faults:
            return request(self.fleet.port(name), "POST", "/control", faults)
        return request(self.fleet.port(name), "GET", "/control")

    def set_links(self, state: LinkState, links: Iterable[tuple[str, str]]) -> None:
        """Set the state of links, each given as a node and a target."""
        sources = self.fleet.source_host_by_node
        change = [{"source": sources[node], "target": target} for node, target in links]
        self.control("links", state=state.value, links=change)

    def heal(self) -> None:
        """Open every link again, which delivers the bytes they buffered."""
        targets = self.fleet.link_port_by_target
        self.set_links(
            LinkState.OPEN,
            [(node, target) for node in self.nodes for target in targets],
        )

    def links_to_peers(self, node: str) -> list[tuple[str, str]]:
        """Return the links between a node and every other node, in both directions."""
        others = [other for other in self.nodes if other != node]
        return [
            *((node, other) for other in others),
            *((other, node) for other in others),
        ]

    def status(self, node: str) -> Any:
        """Return the status of a node as operators see it."""
        return request(self.fleet.port(node), "GET", "/admin/v1/status")

    def apply(self, node: str, change: dict[str, Any]) -> int:
        """Apply a configuration change through a node; return its generation."""
        path = "/admin/v1/configuration"
        answer = request(self.fleet.port(node), "POST", path, change)
        generation: int = answer["generation"]
        return generation

    def wait_in_force(self, generation: int, timeout_s: float = 14.0) -> None:
        """Block until ``generation`` is active on every running node."""
        for name in self.nodes:
            if self.fleet.process_by_name[name].popen.poll() is not None:
                continue
            self.fleet.wait_until(
                lambda name=name: self.status(name)["generation"] >= generation,
                f"generation {generation} at {name}",
                timeout_s,
            )

    def complete(
        self,
        node: str,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        caller: str = "meter-app",
        headers: dict[str, str] | None = None,
    ) -> str:
        """Return the text of a completion; raises HttpError if it is refused."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        token = f"{CALLER_TOKEN}-{caller}"
        answer = request(
            self.fleet.port(node), "POST", "/v1/completions", body, token, headers
        )
        text: str = answer["choices"][0]["text"]
        return text

    def stream(
        self,
        node: str,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        caller: str = "meter-app",
    ) -> Iterator[str]:
        """Yield the texts of a streamed completion as they arrive."""
        connection = HTTPConnection(
            HOST, self.fleet.port(node), timeout=STREAM_TIMEOUT_S
        )
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {CALLER_TOKEN}-{caller}"}
        try:
            connection.request("POST", "/v1/completions", json.dumps(body), headers)
            response = connection.getresponse()
            while line := response.readline():
                if line.startswith(b"data: {"):
                    event = json.loads(line.removeprefix(b"data: "))
                    yield event["choices"][0]["text"] or ""
        finally:
            connection.close()

    def book(
        self, node: str, key: str, space: int = 12, caller: str = "front-desk"
    ) -> Any:
        """Send a non-idempotent booking; raises HttpError if it is refused."""
        return request(
            self.fleet.port(node),
            "POST",
            "/v1/services/bookings/book",
            {"space": space},
            f"{CALLER_TOKEN}-{caller}",
            {"Idempotency-Key": key},
        )


def start_site(fleet: Fleet, spec: SiteSpec | None = None) -> Site:
    """Start a site, apply its configuration and wait until it is active."""
    spec = spec or SiteSpec()
    site = Site(fleet, spec)
    fleet.start_standin("object-api", "object_api")
    fleet.start_standin("vm-list", "vm_list", "--lag-s", str(spec.vm_list_lag_s))
    for index in range(spec.fence_checking_engines + spec.fence_ignoring_engines):
        name = f"engine-{index + 1}"
        start_engine(fleet, spec, name, index < spec.fence_checking_engines)
        site.engines.append(name)
    for index in range(spec.services):
        name = f"bookings-{index + 1}"
        fleet.start_standin(name, "service")
        site.services.append(name)
    fleet.wait_ready(tuple(fleet.process_by_name))
    if spec.links:
        start_links(site)
    for index in range(spec.nodes):
        name = f"node-{index + 1}"
        fleet.start_node(name, f"zone-{'abcd'[index % 4]}", spec.node_settings)
        site.nodes.append(name)
    fleet.wait_ready(site.nodes)
    site.wait_in_force(site.apply(site.nodes[0], configuration(site)))
    fleet.wait_ready(site.nodes, "/readyz")
    return site


def start_links(site: Site) -> None:
    """Start the link forwarder in front of the object API and the engines."""
    fleet = site.fleet
    fleet.start_standin("links", "links")
    fleet.wait_ready(("links",))
    for name in ("object-api", *site.engines):
        fleet.forward(name, fleet.port(name))


def start_engine(fleet: Fleet, spec: SiteSpec, name: str, checks_fencing: bool) -> None:
    """Start one engine of a site."""
    options = [
        "--memory-mb",
        str(spec.engine_memory_mb),
        "--step-ms",
        str(spec.step_ms),
        "--load-s",
        str(spec.load_s),
        "--slots",
        str(spec.slots),
        "--crash-on",
        spec.crash_on,
    ]
    if checks_fencing:
        options.append("--checks-fencing")
    options.extend(("--journal", str(fleet.journal(name))))
    fleet.start_standin(name, "engine", *options)


def configuration(site: Site) -> dict[str, Any]:
    """Return the complete configuration of a site as a change."""
    return {
        "models": [
            {"id": item.id, "memory_mb": item.memory_mb, "labels": _family(item)}
            for item in site.spec.models
        ],
        "adapters": _adapters(site.spec),
        "services": [
            {
                "id": "bookings",
                "idempotent": ["availability"],
                "labels": {"kind": "booking"},
            }
        ],
        "endpoints": [
            *(engine_item(site, name) for name in site.engines),
            *(service_item(site, name) for name in site.services),
        ],
        "callers": [
            {"id": "meter-app", "labels": {"desk": "public"}},
            {"id": "front-desk", "labels": {"desk": "public"}},
            {"id": "overnight", "labels": {"desk": "batch"}},
        ],
        "groups": _groups(),
    }


def engine_item(site: Site, name: str, **labels: str) -> dict[str, Any]:
    """Return an engine as a configuration item."""
    return {
        "id": name,
        "kind": "engine",
        "host": HOST,
        "port": site.fleet.port_for_nodes(name),
        "memory_mb": site.spec.engine_memory_mb,
        "checks_fencing": site.engines.index(name) < site.spec.fence_checking_engines,
        "labels": {"pool": "main", **labels},
    }


def service_item(site: Site, name: str, **labels: str) -> dict[str, Any]:
    """Return a plain service's endpoint as a configuration item."""
    return {
        "id": name,
        "kind": "service",
        "host": HOST,
        "port": site.fleet.port(name),
        "labels": {"app": "bookings", **labels},
    }


def _adapters(spec: SiteSpec) -> list[dict[str, Any]]:
    """Return the adapter, or nothing if the site lacks its base model."""
    if not any(item.id == ADAPTED_MODEL for item in spec.models):
        return []
    return [{"id": "downtown", "base": ADAPTED_MODEL, "memory_mb": 200}]


def _family(model: ModelSpec) -> dict[str, str]:
    return {"family": model.family}


def _groups() -> list[dict[str, Any]]:
    return [
        {
            "id": "bookings",
            "order": 10,
            "priority": "urgent",
            "targets": "kind=booking",
            "endpoints": "app=bookings",
        },
        {
            "id": "residents",
            "order": 20,
            "priority": "urgent",
            "callers": "desk=public",
            "targets": "family",
            "endpoints": "pool=main",
        },
        {
            "id": "summaries",
            "order": 30,
            "priority": "deferrable",
            "callers": "desk=batch",
            "targets": "family",
            "endpoints": "pool=main",
        },
    ]
