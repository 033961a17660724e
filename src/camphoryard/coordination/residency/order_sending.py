"""Creates the intents of one endpoint and sends their orders."""

import time
from collections.abc import Collection
from dataclasses import replace
from uuid import uuid4

from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Inventory, Order
from camphoryard.coordination.residency.orders import EndpointOrders, OrderStatus
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.state.configuration import Endpoint
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    with_intent,
    with_load_unconfirmed,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import EndpointId, FencingNumber, ItemId, OrderId

RESEND_PERIOD_S = 1.0
MAX_UNCONFIRMED_LOADS = 3
NO_ITEM = ItemId("-")


def with_raised_fence(record: EndpointRecord, inventory: Inventory) -> EndpointRecord:
    """Return the record with its fencing number raised above a higher engine number.

    The engine may have accepted its number under a record that was since lost.
    """
    if inventory.fence <= record.fence:
        return record
    return replace(record, fence=FencingNumber(inventory.fence + 1))


class OrderSender:
    """Creates intents of this owner, and sends and resends their orders."""

    def __init__(
        self,
        endpoint_id: EndpointId,
        identity: Identity,
        orders: EndpointOrders,
        timeline: Timeline,
    ) -> None:
        self._id = endpoint_id
        self._identity = identity
        self._orders = orders
        self._timeline = timeline
        self._sent_s_by_id: dict[OrderId, float] = {}

    def intent(self, record: EndpointRecord, kind: OrderKind, memory_mb: int) -> Intent:
        """Return a new intent; each unload raises the fencing number.

        An engine that checks fencing numbers then rejects a duplicate of an earlier
        load that arrives after the unload.
        """
        identity = self._identity
        step = 1 if kind is OrderKind.UNLOAD else 0
        return Intent(
            OrderId(uuid4().hex),
            kind,
            memory_mb,
            FencingNumber(record.fence + step),
            identity.node,
            identity.incarnation,
        )

    def resend_loads(
        self, record: EndpointRecord, requested: Collection[ItemId]
    ) -> EndpointRecord:
        """Replace unanswered loads with new ones while they are still requested."""
        for item, intent in tuple(record.intents_by_item.items()):
            if intent.kind is not OrderKind.LOAD or not self._is_overdue(intent):
                continue
            unconfirmed = sum(x.item == item for x in record.in_doubt_by_id.values())
            if item not in requested or unconfirmed >= MAX_UNCONFIRMED_LOADS:
                record = with_load_unconfirmed(record, item)
                continue
            raised = replace(record, fence=FencingNumber(record.fence + 1))
            replacement = self.intent(raised, OrderKind.LOAD, intent.memory_mb)
            record = with_intent(raised, item, replacement)
        return record

    def _is_overdue(self, intent: Intent) -> bool:
        if self._orders.status(intent.order_id) is not OrderStatus.UNANSWERED:
            return False
        sent_s = self._sent_s_by_id.get(intent.order_id, 0.0)
        return time.monotonic() - sent_s >= RESEND_PERIOD_S

    def send_all(self, endpoint: Endpoint, record: EndpointRecord) -> None:
        """Send the unsent orders, and resend unanswered unloads."""
        for item, intent in record.intents_by_item.items():
            is_new = self._orders.status(intent.order_id) is OrderStatus.UNSENT
            is_late = intent.kind is OrderKind.UNLOAD and self._is_overdue(intent)
            if is_new or is_late:
                self._send(endpoint, item, intent)

    def _send(self, endpoint: Endpoint, item: ItemId, intent: Intent) -> None:
        order = Order(
            intent.order_id, intent.kind, item, intent.memory_mb, intent.fence
        )
        self._sent_s_by_id[order.id] = time.monotonic()
        status = self._orders.send(endpoint, order)
        self._timeline.record(
            "order",
            endpoint=self._id,
            item=item,
            kind=intent.kind.value,
            fate=status.value,
        )

    def send_fence(
        self, endpoint: Endpoint, record: EndpointRecord, inventory: Inventory
    ) -> None:
        """Send the current fencing number to a checking engine in a no-op order."""
        if not endpoint.checks_fencing or inventory.fence >= record.fence:
            return
        if record.intents_by_item:
            return
        order = Order(OrderId(uuid4().hex), OrderKind.UNLOAD, NO_ITEM, 0, record.fence)
        self._orders.send(endpoint, order)

    def forget_stale(self, record: EndpointRecord) -> None:
        """Drop the status of orders that the written record no longer contains."""
        current = record.in_doubt_by_id.keys() | {
            intent.order_id for intent in record.intents_by_item.values()
        }
        self._orders.retain_only(current)
        self._sent_s_by_id = {
            order_id: sent_s
            for order_id, sent_s in self._sent_s_by_id.items()
            if order_id in current
        }
