"""Configuration by operators: models, endpoints, callers, services and groups."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.enums import EndpointKind, Priority
from camphoryard.state.ids import (
    AdapterId,
    CallerId,
    EndpointId,
    Generation,
    GroupId,
    ItemId,
    ModelId,
    ServiceId,
)
from camphoryard.state.labels import Labels, Selector


@dataclass(frozen=True, slots=True)
class Model:
    """A model version; one resident copy takes ``memory_mb``."""

    id: ModelId
    memory_mb: int
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter, served over any resident copy of its base model."""

    id: AdapterId
    base: ModelId
    memory_mb: int
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A back end; ``host`` is an IP address.

    ``checks_fencing`` says whether the engine rejects orders with an outdated
    fencing number.
    """

    id: EndpointId
    kind: EndpointKind
    host: str
    port: int
    memory_mb: int = 0
    checks_fencing: bool = False
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller and its labels; the daemons' settings have its token."""

    id: CallerId
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service; only its ``idempotent`` operations may be retried."""

    id: ServiceId
    idempotent: frozenset[str] = frozenset()
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """Which callers may use which models at which endpoints, and the priority.

    Groups are tried in ascending ``order``; the first whose selectors match
    the caller and the model or service serves the request. ``max_concurrent``
    limits the in-flight inference requests over all nodes; 0 means no limit.
    """

    id: GroupId
    priority: Priority
    callers: Selector = Selector()
    targets: Selector = Selector()
    endpoints: Selector = Selector()
    order: int = 100
    max_concurrent: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one generation."""

    generation: Generation = Generation(0)
    models_by_id: Mapping[ModelId, Model] = field(default_factory=dict)
    adapters_by_id: Mapping[AdapterId, Adapter] = field(default_factory=dict)
    endpoints_by_id: Mapping[EndpointId, Endpoint] = field(default_factory=dict)
    callers_by_id: Mapping[CallerId, Caller] = field(default_factory=dict)
    services_by_id: Mapping[ServiceId, Service] = field(default_factory=dict)
    groups_by_id: Mapping[GroupId, ServingGroup] = field(default_factory=dict)


def items_of(model: ModelId, adapter: AdapterId | None) -> tuple[ItemId, ...]:
    """Return the items that a request needs resident, in loading order."""
    if adapter is None:
        return (ItemId(model),)
    return (ItemId(model), ItemId(f"{model}:{adapter}"))


def item_memory_mb(configuration: Configuration, item: ItemId) -> int | None:
    """Return the memory an item takes, in MB, or None if it is unconfigured."""
    model, _, adapter = item.partition(":")
    if adapter:
        found = configuration.adapters_by_id.get(AdapterId(adapter))
        return found.memory_mb if found and found.base == model else None
    base = configuration.models_by_id.get(ModelId(model))
    return base.memory_mb if base else None
