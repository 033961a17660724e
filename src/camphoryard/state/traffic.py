"""What operators ask for: routes, services, engines, models and client limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from camphoryard.state.ids import AdapterId, ModelId, RouteId, ServiceId, Version

LEAST_CLIENT_PATIENCE_S = 2.0
CLIENT_PATIENCE_IN_OBJECTIVES = 4.0
CLIENT_PATIENCE_IN_GAPS = 8.0
"""Clients leave a silent stream after the longest of these three, as the users say."""


class Repeatability(Enum):
    """What may be done with a request once it may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (Repeatability.STREAM, Repeatability.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent to another endpoint."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """How the requests below one prefix of one host are served.

    ``rank`` orders routes by urgency, 0 first. ``objective_s`` is the time to the
    answer, for streams to the first event, that earns the full benefit;
    ``longest_gap_s`` the pause between events that does. All times in seconds.
    """

    id: RouteId
    host: str
    path_prefix: str
    repeatability: Repeatability
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    longest_gap_s: float = 0.0

    @property
    def client_timeout_s(self) -> float:
        """How long clients wait for the next event, or the first, of a stream."""
        return max(
            LEAST_CLIENT_PATIENCE_S,
            CLIENT_PATIENCE_IN_OBJECTIVES * self.objective_s,
            CLIENT_PATIENCE_IN_GAPS * self.longest_gap_s,
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Size in MB, load times in seconds and adapters of a model."""

    id: ModelId
    memory_mb: float
    load_s: float
    disk_load_s: float
    adapters: tuple[AdapterId, ...]
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What one engine of a service holds, and what the weight store allows."""

    slots: int
    kv_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models_by_id: Mapping[ModelId, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: plain, or of model engines if ``engine`` is set."""

    id: ServiceId
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, in bytes, and how long it may idle, in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class TrafficRules:
    """One version of everything that operators ask for."""

    version: Version
    routes: tuple[RouteRule, ...]
    services_by_id: Mapping[ServiceId, ServiceSpec]
    limits: ClientLimits
    _routes_by_host: Mapping[str, tuple[RouteRule, ...]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_host: dict[str, list[RouteRule]] = {}
        for rule in self.routes:
            by_host.setdefault(rule.host, []).append(rule)
        ordered = {
            host: tuple(sorted(rules, key=lambda rule: -len(rule.path_prefix)))
            for host, rules in by_host.items()
        }
        object.__setattr__(self, "_routes_by_host", ordered)

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for rule in self._routes_by_host.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None


@dataclass(frozen=True, slots=True)
class RequestedModel:
    """The model, and perhaps an adapter of it, that a request runs on."""

    model: ModelId
    adapter: AdapterId | None = None
