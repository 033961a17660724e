"""Traffic rules of operators: routes, services, engines and client limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from camphoryard.state.accounts import Accounts
from camphoryard.state.ids import AdapterId, ModelId, RouteId, ServiceId, Version

MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_IN_OBJECTIVES = 4.0
CLIENT_TIMEOUT_IN_GAPS = 8.0
"""Clients close a stream without events after the longest of these three times."""


class Repeatability(Enum):
    """How a request may be retried after it may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Repeatability.STREAM, Repeatability.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run may be retried elsewhere."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, weighted by its share of the requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """How requests for paths with one prefix of one host are served.

    ``rank`` orders routes by urgency, 0 first. ``objective_s`` is the longest
    time to the answer, or to the first event of a stream, that earns the full
    benefit; ``longest_gap_s`` is the same for the gap between events. Times are
    in seconds. Requests of a route that ``is_public`` need no key of an account.
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
    is_public: bool = False

    @property
    def client_timeout_s(self) -> float:
        """How long clients wait for the first or next event, in seconds."""
        return max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_IN_OBJECTIVES * self.objective_s,
            CLIENT_TIMEOUT_IN_GAPS * self.longest_gap_s,
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Size in MB, load times in seconds, and adapters of a model."""

    id: ModelId
    memory_mb: float
    load_s: float
    disk_load_s: float
    adapters: tuple[AdapterId, ...]
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each engine of a service, and rate of the weight store."""

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
    """Size limits of clients' requests in bytes, and timeouts in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class TrafficRules:
    """One version of the operators' routes, services, limits and accounts.

    Without ``accounts`` requests need no key.
    """

    version: Version
    routes: tuple[RouteRule, ...]
    services_by_id: Mapping[ServiceId, ServiceSpec]
    limits: ClientLimits
    accounts: Accounts | None = None
    _routes_by_host: Mapping[str, tuple[RouteRule, ...]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_host: dict[str, list[RouteRule]] = {}
        for rule in self.routes:
            by_host.setdefault(rule.host, []).append(rule)
        routes_by_host = {
            host: tuple(sorted(rules, key=lambda rule: -len(rule.path_prefix)))
            for host, rules in by_host.items()
        }
        object.__setattr__(self, "_routes_by_host", routes_by_host)

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for rule in self._routes_by_host.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None


@dataclass(frozen=True, slots=True)
class RequestedModel:
    """The model, and optionally an adapter of it, that a request needs."""

    model: ModelId
    adapter: AdapterId | None = None
