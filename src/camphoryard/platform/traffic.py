"""Decoders of the operator's configuration and of endpoint entries in the store."""

import ipaddress
from collections.abc import Iterable
from typing import Annotated

import msgspec

from camphoryard.state.accounts import (
    Account,
    Accounts,
    Quota,
    QuotaUnit,
    make_accounts,
)
from camphoryard.state.ids import (
    AccountId,
    AdapterId,
    EndpointId,
    ModelId,
    RouteId,
    ServiceId,
    Version,
    Zone,
)
from camphoryard.state.serving_endpoints import (
    UNKNOWN_START_MS,
    EndpointState,
    HostPort,
    LoadedModel,
    ServingEndpoint,
)
from camphoryard.state.traffic import (
    ClientLimits,
    EngineSpec,
    ModelSpec,
    Repeatability,
    RouteRule,
    ServiceSpec,
    TrafficRules,
    WeightedService,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
MILLISECONDS_PER_SECOND = 1000
MAX_SLOTS = 100_000
MIN_PORT, MAX_PORT = 1, 65535
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""A number that peers can be told of: their messages have 64-bit integers."""

_Amount = Annotated[float, msgspec.Meta(ge=0)]

_REPEATABILITY_BY_KIND = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}
_UNIT_BY_NAME = {"token_stream": QuotaUnit.TOKENS}
_STATE_BY_NAME = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
}


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Answers within this time have their full value.
    goal_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    resumable: bool = False
    gap_target_ms: float = 0.0
    public: bool = False


class _Model(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    mb: float
    load_s: float
    # Number of adapters, which are named a1, a2 and so on.
    adapters: int = 0
    adapter_mb: float = 0.0
    disk_s: float = 0.0


class _Engine(msgspec.Struct, frozen=True, rename="kebab"):
    slots: int = 1
    kv_capacity: int = 0
    models: list[_Model] = []
    # Memory for weights and adapters together, in MB.
    mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 1.0


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, frozen=True, rename="kebab"):
    name: str = ""
    api_keys: list[str] | None = None
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None
    unit: str = ""
    plain_tokens: _Amount = 0.0
    # 0: no limit.
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(msgspec.Struct, frozen=True, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class ListedModel(msgspec.Struct, frozen=True):
    """A loaded model as listed in endpoint entries and engine reports."""

    name: str
    version: Count = 0
    adapters: list[str] = []


class _AvailableModels(msgspec.Struct, frozen=True, rename="kebab"):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Entry(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    models: list[ListedModel] = []
    at_hand: _AvailableModels = _AvailableModels()
    # Start time of the endpoint, in Unix milliseconds.
    born: Count = UNKNOWN_START_MS


_CONFIG = msgspec.json.Decoder(_Config)
_ENTRY = msgspec.json.Decoder(_Entry)


def decode_rules(name: str, spec: bytes) -> TrafficRules:
    """Return the traffic rules in a configuration.

    Raises
    ------
    MsgspecError, ValueError
        If it cannot be decoded, or is not the active one.
    """
    if name != CONFIG_NAME:
        raise ValueError(f"only the configuration {CONFIG_NAME!r} is active")
    config = _CONFIG.decode(spec)
    services = (_to_service(item) for item in config.services)
    return TrafficRules(
        Version(config.version),
        tuple(_to_rule(route) for route in config.routes),
        {service.id: service for service in services},
        ClientLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            _ms_to_s(config.limits.header_timeout_ms),
            _ms_to_s(config.limits.idle_timeout_ms),
        ),
        _to_accounts(config.tenants),
    )


def decode_endpoint(name: str, spec: bytes) -> ServingEndpoint:
    """Return the endpoint described by an entry.

    Raises
    ------
    MsgspecError, ValueError
        If the entry cannot be decoded or has an unknown state.
    """
    entry = _ENTRY.decode(spec)
    if not (name.isascii() and name.isprintable()):
        raise ValueError("the name has characters that no header can carry")
    state = _STATE_BY_NAME.get(entry.state)
    if state is None:
        raise ValueError(f"unknown state {entry.state!r}")
    return ServingEndpoint(
        EndpointId(name),
        ServiceId(entry.service),
        _address(entry.address),
        Zone(entry.zone),
        entry.slots,
        state,
        entry.born,
        loaded_by_model(entry.models),
        frozenset(map(ModelId, (*entry.at_hand.in_memory, *entry.at_hand.on_disk))),
    )


def loaded_by_model(models: Iterable[ListedModel]) -> dict[ModelId, LoadedModel]:
    """Return the models that an engine has loaded, with their adapters."""
    return {
        ModelId(item.name): LoadedModel(
            item.version, frozenset(map(AdapterId, item.adapters))
        )
        for item in models
    }


def _address(text: str) -> HostPort:
    """Return an address; raises ValueError unless it is IP:PORT."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and MIN_PORT <= int(port) <= MAX_PORT):
        raise ValueError(f"address {text!r} has no port from {MIN_PORT} to {MAX_PORT}")
    return HostPort(str(ipaddress.ip_address(host)), int(port))


def _to_rule(route: _Route) -> RouteRule:
    repeatability = _REPEATABILITY_BY_KIND.get(route.kind, Repeatability.ONCE)
    if repeatability is Repeatability.STREAM and route.resumable:
        repeatability = Repeatability.RESUMABLE_STREAM
    split = tuple(
        WeightedService(ServiceId(item.service), item.weight)
        for item in route.traffic_split
        if item.weight > 0
    )
    return RouteRule(
        RouteId(route.name),
        route.host,
        route.path_prefix,
        repeatability,
        split or (WeightedService(ServiceId(route.service), 1.0),),
        _ms_to_s(route.timeout_ms),
        _ms_to_s(route.goal_ms),
        route.priority,
        route.max_attempts,
        _ms_to_s(route.gap_target_ms),
        route.public,
    )


def _to_accounts(tenants: list[_Tenant] | None) -> Accounts | None:
    if not tenants:
        return None
    return make_accounts((_to_account(item), item.api_keys or ()) for item in tenants)


def _to_account(tenant: _Tenant) -> Account:
    return Account(AccountId(tenant.name), tenant.priority, _to_quota(tenant))


def _to_quota(tenant: _Tenant) -> Quota | None:
    if tenant.rate_per_s <= 0:
        return None
    unit = _UNIT_BY_NAME.get(tenant.unit, QuotaUnit.REQUESTS)
    return Quota(unit, tenant.rate_per_s, tenant.burst, tenant.plain_tokens)


def _to_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    if engine is None:
        return ServiceSpec(ServiceId(service.name), service.max_conns)
    models = (
        ModelSpec(
            ModelId(item.name),
            item.mb,
            item.load_s,
            item.disk_s,
            tuple(AdapterId(f"a{n}") for n in range(1, item.adapters + 1)),
            item.adapter_mb,
        )
        for item in engine.models
    )
    spec = EngineSpec(
        engine.slots,
        engine.kv_capacity,
        engine.mb,
        engine.adapter_slots,
        engine.loads_per_s,
        {model.id: model for model in models},
    )
    return ServiceSpec(ServiceId(service.name), service.max_conns, spec)


def _ms_to_s(milliseconds: float) -> float:
    return milliseconds / MILLISECONDS_PER_SECOND
