"""Orders of this process to one engine, and the status of each."""

import threading
from collections.abc import Collection
from enum import Enum

from camphoryard.coordination.ports import Engines, Order
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import OrderOutcome
from camphoryard.state.errors import BrokenCallError, CamphoryardError, NotSentError
from camphoryard.state.ids import FencingNumber, OrderId


class OrderAbortedError(CamphoryardError):
    """The order was aborted before it was sent, because a newer owner exists."""


class OrderStatus(Enum):
    """Delivery status of an order, as known to the process that recorded it."""

    UNSENT = "unsent"
    UNANSWERED = "unanswered"
    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"


class EndpointOrders:
    """Sends orders to one engine until ownership is relinquished.

    ``send`` and ``relinquish`` exclude each other: once ``relinquish`` has
    returned, this process sends no order with a lower fencing number, not even
    from a task that was paused between writing its intent and sending it.
    """

    def __init__(self, engines: Engines) -> None:
        self._engines = engines
        self._send_lock = threading.Lock()
        self._min_fence = FencingNumber(0)
        self._status_by_id: dict[OrderId, OrderStatus] = {}

    def send(self, endpoint: Endpoint, order: Order) -> OrderStatus:
        """Send an order and return its status.

        Raises
        ------
        OrderAbortedError
            If a newer owner exists; the order was not sent.
        """
        with self._send_lock:
            if order.fence < self._min_fence:
                raise OrderAbortedError(f"{endpoint.id} has a newer owner")
            self._status_by_id[order.id] = OrderStatus.UNANSWERED
            status = self._exchange(endpoint, order)
            self._status_by_id[order.id] = status
            return status

    def relinquish(self, fence: FencingNumber) -> frozenset[OrderId]:
        """Abort orders numbered below ``fence``, and return the unanswered orders."""
        with self._send_lock:
            self._min_fence = max(self._min_fence, fence)
            return frozenset(
                order_id
                for order_id, status in self._status_by_id.items()
                if status is OrderStatus.UNANSWERED
            )

    def status(self, order_id: OrderId) -> OrderStatus:
        """Return the status of an order."""
        return self._status_by_id.get(order_id, OrderStatus.UNSENT)

    def retain_only(self, order_ids: Collection[OrderId]) -> None:
        """Drop the status of all orders except these, which the record contains."""
        with self._send_lock:
            self._status_by_id = {
                order_id: status
                for order_id, status in self._status_by_id.items()
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
