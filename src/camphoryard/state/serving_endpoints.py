"""Serving endpoints, as they describe themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from camphoryard.state.ids import AdapterId, EndpointId, ModelId, ServiceId, Zone
from camphoryard.state.traffic import RequestedModel


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HostPort:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


UNKNOWN_START_MS = 0


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that an engine has loaded, and the adapters loaded on it."""

    version: int
    adapters: frozenset[AdapterId] = frozenset()


@dataclass(frozen=True, slots=True)
class ServingEndpoint:
    """An endpoint; ``started_ms`` distinguishes restarts under the same id.

    It is `UNKNOWN_START_MS` if the endpoint does not report it.

    ``on_hand`` lists the models that it can load without the weight store,
    because their weights are on its disk or in its memory.
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

    def has_loaded(self, requested: RequestedModel | None) -> bool:
        """Return whether ``requested`` is loaded here; True if it is None."""
        if requested is None:
            return True
        loaded = self.loaded_by_model.get(requested.model)
        if loaded is None:
            return False
        return requested.adapter is None or requested.adapter in loaded.adapters
