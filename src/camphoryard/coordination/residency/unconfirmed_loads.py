"""Tracks when unconfirmed loads can no longer reach the engine."""

import time
from collections.abc import Callable, Collection

from camphoryard.coordination.residency.orders import EndpointOrders, OrderStatus
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.ids import Incarnation, NodeId, OrderId

HasEnded = Callable[[NodeId, Incarnation], bool]


class UnconfirmedLoads:
    """Tracks which unconfirmed loads of one endpoint may still reach the engine.

    A load is unconfirmed while its recorded order may still arrive at the engine.
    A load that was never sent, or that the engine answered, is undeliverable at
    once. An unanswered load may be in transit for up to ``order_lifetime_s`` after
    its sender stopped sending, which is known once the sender says so or is proved
    to have ended. Until then a paused sender may still send it at any time. Where
    the network may duplicate orders, an answered load is treated as unanswered.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        orders: EndpointOrders,
        has_ended: HasEnded,
        order_lifetime_s: float,
        may_be_copied: bool = False,
    ) -> None:
        self._incarnation = incarnation
        self._orders = orders
        self._has_ended = has_ended
        self._order_lifetime_s = order_lifetime_s
        self._may_be_copied = may_be_copied
        self._undeliverable: set[OrderId] = set()
        self._sender_stopped_s: dict[OrderId, float] = {}

    def undeliverable(self, record: EndpointRecord) -> frozenset[OrderId]:
        """Return the unconfirmed loads that can no longer reach the engine."""
        in_doubt = record.in_doubt_by_id
        self._undeliverable &= in_doubt.keys()
        self._sender_stopped_s = {
            order_id: since_s
            for order_id, since_s in self._sender_stopped_s.items()
            if order_id in in_doubt
        }
        for order_id, load in in_doubt.items():
            self._update(order_id, load)
        return frozenset(key for key in in_doubt if self._is_undeliverable(key))

    def possible_senders(self, record: EndpointRecord) -> dict[NodeId, Incarnation]:
        """Return the node incarnations that may still send an unconfirmed load."""
        return {
            load.node: load.incarnation
            for order_id, load in record.in_doubt_by_id.items()
            if order_id not in self._sender_stopped_s
            and order_id not in self._undeliverable
        }

    def record_relinquished(
        self,
        record: EndpointRecord,
        incarnation: Incarnation,
        unanswered: Collection[OrderId],
    ) -> None:
        """Record that a previous owner stopped sending.

        ``unanswered`` are the orders that it sent without getting an answer.
        """
        now_s = time.monotonic()
        for order_id, load in record.in_doubt_by_id.items():
            if load.incarnation != incarnation:
                continue
            if order_id in unanswered or self._may_be_copied:
                self._sender_stopped_s.setdefault(order_id, now_s)
            else:
                self._undeliverable.add(order_id)

    def _update(self, order_id: OrderId, load: UnconfirmedLoad) -> None:
        if load.incarnation == self._incarnation:
            if not self._may_still_arrive(order_id):
                self._undeliverable.add(order_id)
                return
        elif not self._has_ended(load.node, load.incarnation):
            return
        self._sender_stopped_s.setdefault(order_id, time.monotonic())

    def _may_still_arrive(self, order_id: OrderId) -> bool:
        match self._orders.status(order_id):
            case OrderStatus.UNSENT:
                return False
            case OrderStatus.UNANSWERED:
                return True
            case _:
                return self._may_be_copied

    def _is_undeliverable(self, order_id: OrderId) -> bool:
        if order_id in self._undeliverable:
            return True
        since_s = self._sender_stopped_s.get(order_id)
        if since_s is None:
            return False
        return time.monotonic() - since_s >= self._order_lifetime_s
