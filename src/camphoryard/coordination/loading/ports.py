"""Orders to engines and the reports of engines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import FencingNumber, ModelId, NodeId
from camphoryard.state.serving_endpoints import LoadedModel, ServingEndpoint
from camphoryard.state.traffic import RequestedModel


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load or unload a model, or an adapter of one.

    ``expected`` is the number of orders that the engine has accepted so far. The engine
    ignores an order with another number, even if the order arrives late.
    """

    kind: OrderKind
    item: RequestedModel
    holder: NodeId
    term: FencingNumber
    expected: int


class OrderAnswer(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine some tenths of a second ago.

    ``loading_adapters`` are adapters being loaded. A model being loaded is not named,
    but the engine is busy meanwhile.
    """

    loaded_by_model: Mapping[ModelId, LoadedModel]
    is_busy: bool
    orders_accepted: int
    running: int
    waiting: int
    loading_adapters: frozenset[RequestedModel] = frozenset()


class EngineApi(Protocol):
    """Orders to engines and their reports; raises NotSentError or BrokenCallError."""

    def order(
        self,
        endpoint: ServingEndpoint,
        order: EngineOrder,
        is_permitted: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order, unless ``is_permitted()`` is false once connected.

        A process may be suspended while it connects, and its term end meanwhile.
        """

    def report(self, endpoint: ServingEndpoint) -> EngineReport:
        """Request a report of an engine's state."""
