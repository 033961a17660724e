"""The endpoints that serve, as they describe themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from camphoryard.state.ids import AdapterId, EndpointId, ModelId, ServiceId, Zone
from camphoryard.state.traffic import RequestedModel


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HostPort:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that an engine holds, with the adapters on it."""

    version: int
    adapters: frozenset[AdapterId] = frozenset()


@dataclass(frozen=True, slots=True)
class ServingEndpoint:
    """An endpoint; ``started_ms`` tells one start from the next under one id.

    ``on_hand`` are models whose weights it can load without the weight store.
    """

    id: EndpointId
    service: ServiceId
    address: HostPort
    zone: Zone
    slots: int
    state: EndpointState
    started_ms: int
    loaded_by_model: Mapping[ModelId, LoadedModel] = field(default_factory=dict)
    on_hand: frozenset[ModelId] = frozenset()

    def has_loaded(self, wanted: RequestedModel | None) -> bool:
        """Return whether a request for ``wanted`` can run here."""
        if wanted is None:
            return True
        held = self.loaded_by_model.get(wanted.model)
        if held is None:
            return False
        return wanted.adapter is None or wanted.adapter in held.adapters
