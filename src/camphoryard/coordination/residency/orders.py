"""Orders of this process to one engine, and what became of each."""

import threading
from collections.abc import Collection
from enum import Enum

from camphoryard.coordination.ports import Engines, Order
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import OrderOutcome
from camphoryard.state.errors import BrokenCallError, CamphoryardError, NotSentError
from camphoryard.state.ids import FencingNumber, OrderId


class GivenUpError(CamphoryardError):
    """The order was given up before it was sent."""


class OrderStatus(Enum):
    """What this process knows of an order it wrote down."""

    UNSENT = "unsent"
    UNANSWERED = "unanswered"
    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"


class EndpointOrders:
    """Sends orders to one engine until they are given up.

    A send and the giving up exclude each other, so that after ``give_up``
    returned no order with such a number leaves this process any more, not even
    from a task that was paused between its intent and the send.
    """

    def __init__(self, engines: Engines) -> None:
        self._engines = engines
        self._sending = threading.Lock()
        self._given_up = FencingNumber(0)
        self._fate_by_id: dict[OrderId, OrderStatus] = {}

    def send(self, endpoint: Endpoint, order: Order) -> OrderStatus:
        """Send an order and return its fate.

        Raises
        ------
        GivenUpError
            If it was given up; it was not sent.
        """
        with self._sending:
            if order.fence < self._given_up:
                raise GivenUpError(f"{endpoint.id} has a newer owner")
            self._fate_by_id[order.id] = OrderStatus.UNANSWERED
            fate = self._exchange(endpoint, order)
            self._fate_by_id[order.id] = fate
            return fate

    def give_up(self, fence: FencingNumber) -> frozenset[OrderId]:
        """Give up orders numbered below ``fence``; return those without answer."""
        with self._sending:
            self._given_up = max(self._given_up, fence)
            return frozenset(
                order_id
                for order_id, fate in self._fate_by_id.items()
                if fate is OrderStatus.UNANSWERED
            )

    def fate(self, order_id: OrderId) -> OrderStatus:
        """Return what became of an order."""
        return self._fate_by_id.get(order_id, OrderStatus.UNSENT)

    def keep(self, order_ids: Collection[OrderId]) -> None:
        """Forget all orders but these, which stand in the owned record."""
        with self._sending:
            self._fate_by_id = {
                order_id: fate
                for order_id, fate in self._fate_by_id.items()
                if order_id in order_ids
            }

    def _exchange(self, endpoint: Endpoint, order: Order) -> OrderStatus:
        try:
            outcome = self._engines.order(endpoint, order)
        except NotSentError:
            return OrderStatus.UNSENT
        except BrokenCallError:
            return OrderStatus.UNANSWERED
        match outcome:
            case OrderOutcome.ACCEPTED:
                return OrderStatus.ACCEPTED
            case OrderOutcome.FENCED:
                return OrderStatus.FENCED
            case OrderOutcome.REFUSED:
                return OrderStatus.REFUSED
