"""Orders to engines, and what engines say of themselves."""

from collections.abc import Mapping
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

    ``expected`` is the number of orders that the engine has accepted so far; with
    another number it does nothing, also when the order arrives late.
    """

    kind: OrderKind
    item: RequestedModel
    holder: NodeId
    term: FencingNumber
    expected: int


class OrderAnswer(Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine holds and does, as of some tenths of a second ago.

    ``coming`` are adapters on their way; a model on its way is not told, but the
    engine is busy then.
    """

    loaded_by_model: Mapping[ModelId, LoadedModel]
    is_busy: bool
    orders_accepted: int
    running: int
    waiting: int
    coming: frozenset[RequestedModel] = frozenset()


class EngineOrders(Protocol):
    """Orders and questions to engines; all raise NotSentError or BrokenCallError."""

    def order(self, endpoint: ServingEndpoint, order: EngineOrder) -> OrderAnswer:
        """Send an order."""

    def report(self, endpoint: ServingEndpoint) -> EngineReport:
        """Ask an engine for its state."""
