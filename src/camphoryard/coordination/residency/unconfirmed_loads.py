"""When a load in doubt can no longer arrive."""

import time
from collections.abc import Callable, Collection

from camphoryard.coordination.residency.orders import EndpointOrders, OrderStatus
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.ids import Incarnation, NodeId, OrderId

HasEnded = Callable[[NodeId, Incarnation], bool]


class Doubts:
    """Follows the loads in doubt at one endpoint.

    A load that was never sent, or that the engine answered, is over at once. One
    without an answer may be on its way for ``order_lifetime_s`` after its sender
    stopped sending: when it says so, or is proved to have ended. Until then a
    paused sender may still send it, however long that takes. Where orders may be
    copied on their way, an answered load counts like one without an answer.
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
        self._over: set[OrderId] = set()
        self._quiet_since_s: dict[OrderId, float] = {}

    def ended(self, record: EndpointRecord) -> frozenset[OrderId]:
        """Return the loads in doubt that can no longer arrive."""
        in_doubt = record.in_doubt_by_id
        self._over &= in_doubt.keys()
        self._quiet_since_s = {
            order_id: since_s
            for order_id, since_s in self._quiet_since_s.items()
            if order_id in in_doubt
        }
        for order_id, doubt in in_doubt.items():
            self._follow(order_id, doubt)
        return frozenset(item for item in in_doubt if self._is_over(item))

    def unheard(self, record: EndpointRecord) -> dict[NodeId, Incarnation]:
        """Return the starts of nodes that may still send a load in doubt."""
        return {
            doubt.node: doubt.incarnation
            for order_id, doubt in record.in_doubt_by_id.items()
            if order_id not in self._quiet_since_s and order_id not in self._over
        }

    def given_up(
        self,
        record: EndpointRecord,
        incarnation: Incarnation,
        unanswered: Collection[OrderId],
    ) -> None:
        """Take in that an earlier owner stopped sending."""
        now_s = time.monotonic()
        for order_id, doubt in record.in_doubt_by_id.items():
            if doubt.incarnation != incarnation:
                continue
            if order_id in unanswered or self._may_be_copied:
                self._quiet_since_s.setdefault(order_id, now_s)
            else:
                self._over.add(order_id)

    def _follow(self, order_id: OrderId, doubt: UnconfirmedLoad) -> None:
        if doubt.incarnation == self._incarnation:
            if not self._may_arrive(order_id):
                self._over.add(order_id)
                return
        elif not self._has_ended(doubt.node, doubt.incarnation):
            return
        self._quiet_since_s.setdefault(order_id, time.monotonic())

    def _may_arrive(self, order_id: OrderId) -> bool:
        match self._orders.fate(order_id):
            case OrderStatus.UNSENT:
                return False
            case OrderStatus.UNANSWERED:
                return True
            case _:
                return self._may_be_copied

    def _is_over(self, order_id: OrderId) -> bool:
        if order_id in self._over:
            return True
        since_s = self._quiet_since_s.get(order_id)
        if since_s is None:
            return False
        return time.monotonic() - since_s >= self._order_lifetime_s
