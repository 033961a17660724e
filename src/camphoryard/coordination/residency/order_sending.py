"""Writing intents for one endpoint and sending their orders."""

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
MAX_LOADS_IN_DOUBT = 3
NO_ITEM = ItemId("-")


def past_number(record: EndpointRecord, inventory: Inventory) -> EndpointRecord:
    """Return the record past a number that the engine took from one since lost."""
    if inventory.fence <= record.fence:
        return record
    return replace(record, fence=FencingNumber(inventory.fence + 1))


class OrderSender:
    """Makes intents of this owner and sends their orders, again if need be."""

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
        """Return an intent; each unload raises the number.

        An engine that checks numbers then refuses a copy of an earlier load that
        comes after the unload.
        """
        me = self._identity
        step = 1 if kind is OrderKind.UNLOAD else 0
        return Intent(
            OrderId(uuid4().hex),
            kind,
            memory_mb,
            FencingNumber(record.fence + step),
            me.node,
            me.incarnation,
        )

    def resend_loads(
        self, record: EndpointRecord, wished: Collection[ItemId]
    ) -> EndpointRecord:
        """Replace loads without answer by new ones while they are still wished."""
        for item, intent in tuple(record.intents_by_item.items()):
            if intent.kind is not OrderKind.LOAD or not self._is_overdue(intent):
                continue
            tries = sum(x.item == item for x in record.in_doubt_by_id.values())
            if item not in wished or tries >= MAX_LOADS_IN_DOUBT:
                record = with_load_unconfirmed(record, item)
                continue
            raised = replace(record, fence=FencingNumber(record.fence + 1))
            again = self.intent(raised, OrderKind.LOAD, intent.memory_mb)
            record = with_intent(raised, item, again)
        return record

    def _is_overdue(self, intent: Intent) -> bool:
        if self._orders.fate(intent.order_id) is not OrderStatus.UNANSWERED:
            return False
        sent_s = self._sent_s_by_id.get(intent.order_id, 0.0)
        return time.monotonic() - sent_s >= RESEND_PERIOD_S

    def send_all(self, endpoint: Endpoint, record: EndpointRecord) -> None:
        """Send what was not sent yet, and unloads without answer again."""
        for item, intent in record.intents_by_item.items():
            is_new = self._orders.fate(intent.order_id) is OrderStatus.UNSENT
            is_late = intent.kind is OrderKind.UNLOAD and self._is_overdue(intent)
            if is_new or is_late:
                self._send(endpoint, item, intent)

    def _send(self, endpoint: Endpoint, item: ItemId, intent: Intent) -> None:
        order = Order(
            intent.order_id, intent.kind, item, intent.memory_mb, intent.fence
        )
        self._sent_s_by_id[order.id] = time.monotonic()
        fate = self._orders.send(endpoint, order)
        self._timeline.record(
            "order",
            endpoint=self._id,
            item=item,
            kind=intent.kind.value,
            fate=fate.value,
        )

    def send_number(
        self, endpoint: Endpoint, record: EndpointRecord, inventory: Inventory
    ) -> None:
        """Show a checking engine the present number by an order without effect."""
        if not endpoint.checks_fencing or inventory.fence >= record.fence:
            return
        if record.intents_by_item:
            return
        order = Order(OrderId(uuid4().hex), OrderKind.UNLOAD, NO_ITEM, 0, record.fence)
        self._orders.send(endpoint, order)

    def forget_old(self, record: EndpointRecord) -> None:
        """Forget the fate of orders that the written record no longer names."""
        current = record.in_doubt_by_id.keys() | {
            intent.order_id for intent in record.intents_by_item.values()
        }
        self._orders.keep(current)
        self._sent_s_by_id = {
            order_id: sent_s
            for order_id, sent_s in self._sent_s_by_id.items()
            if order_id in current
        }
