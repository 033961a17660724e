"""The task of one owned endpoint: the only one that writes its record.

The order of steps is always: write the intent, send the order, see the
engine's inventory confirm it, write the confirmation. A step that cannot be
taken leaves the memory reserved. All record changes of a round share one
write, and loads run at the engine side by side.
"""

import time
from concurrent.futures import Future
from dataclasses import replace
from itertools import islice

from camphoryard.coordination.membership.missed_rounds import MissedRounds
from camphoryard.coordination.placement.planning import Plan, Surroundings
from camphoryard.coordination.ports import Inventory, Ticks, Timer
from camphoryard.coordination.residency.order_sending import OrderSender, past_number
from camphoryard.coordination.residency.orders import (
    EndpointOrders,
    GivenUpError,
    OrderStatus,
)
from camphoryard.coordination.residency.owned_record import RecordKeeper
from camphoryard.coordination.residency.reconciliation import Evidence, settle
from camphoryard.coordination.residency.relinquish_requests import GiveUpAsker
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.coordination.residency.residency_requests import (
    EngineSilentError,
    LoadFailedError,
    LoadRequest,
    ResidencyRequest,
    Wishes,
)
from camphoryard.coordination.residency.unconfirmed_loads import Doubts
from camphoryard.state.configuration import Endpoint, item_memory_mb
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    StoreUnavailableError,
)
from camphoryard.state.ids import EndpointId, ItemId, OrderId

CHECK_PERIOD_S = 0.5
CONFIRM_PERIOD_S = 0.02
QUICK_STEPS = 50
SLOW_CONFIRM_PERIOD_S = 0.1
PAUSE_S = 2.0


class OwnedEndpoint:
    """One endpoint while this node owns it."""

    def __init__(
        self, endpoint_id: EndpointId, parts: ResidencyContext, orders: EndpointOrders
    ) -> None:
        self._id = endpoint_id
        self._parts = parts
        self._orders = orders
        self._keeper = RecordKeeper(endpoint_id, parts)
        self._sender = OrderSender(endpoint_id, parts.identity, orders, parts.timeline)
        self._silence = MissedRounds(orders.fate)
        self._doubts = Doubts(
            parts.identity.incarnation,
            orders,
            self._keeper.has_ended,
            parts.order_lifetime_s,
            parts.orders_may_be_copied,
        )
        self._asker = GiveUpAsker(endpoint_id, parts, self._doubts)
        self._wishes = Wishes()
        self._ticks: Ticks | None = None

    def wish(self, wish: ResidencyRequest) -> "Future[None]":
        """Take in a wish; return the future that tells what becomes of it."""
        met = self._wishes.add(wish)
        if self._ticks is not None:
            self._ticks.wake()
        return met

    def run(self, timer: Timer) -> None:
        """Own the endpoint until another node should."""
        self._ticks = timer.every(CHECK_PERIOD_S)
        ticked_s = time.monotonic()
        try:
            for _ in self._ticks:
                if not self._keeper.is_ours():
                    return
                now_s = time.monotonic()
                if now_s - ticked_s >= PAUSE_S:
                    self._keeper.was_paused()
                self._round(timer)
                ticked_s = time.monotonic()
        finally:
            self._wishes.fail_all(ConflictError(f"{self._id} has another owner"))

    def _round(self, timer: Timer) -> None:
        """Go on, step by step, while orders are open; more slowly after a while."""
        try:
            for _ in islice(timer.every(CONFIRM_PERIOD_S), QUICK_STEPS):
                if not self._keeper.is_ours() or not self._step():
                    return
            for _ in timer.every(SLOW_CONFIRM_PERIOD_S):
                if not self._keeper.is_ours() or not self._step():
                    return
        except EngineSilentError as error:
            self._wishes.fail_all(error)
        except (StoreUnavailableError, ConflictError, GivenUpError) as error:
            self._wishes.fail_all(error)
            self._keeper.refresh()

    def _step(self) -> bool:
        """Settle, plan and send once; return whether orders are open."""
        endpoint = self._keeper.endpoint()
        if endpoint is None:
            return False
        record = self._keeper.own(endpoint)
        if record is None:
            return False
        ended = self._doubts.ended(record)
        inventory = self._ask(endpoint, record)
        record = self._advance(endpoint, record, inventory, ended)
        self._sender.send_all(endpoint, record)
        self._sender.send_number(endpoint, record, inventory)
        self._asker.ask(record)
        return bool(record.intents_by_item)

    def _advance(
        self,
        endpoint: Endpoint,
        before: EndpointRecord,
        inventory: Inventory,
        ended: frozenset[OrderId],
    ) -> EndpointRecord:
        """Write down what the inventory settled and what is to be done next."""
        settled = self._settle(endpoint, before, inventory, ended)
        plan = self._plan(settled, inventory)
        record = plan.make()
        if record != before:
            record = self._keeper.write(record)
            self._report(before, settled, record)
        self._close_failed(before, settled)
        for closed in plan.closed:
            self._wishes.close(closed)
        self._sender.forget_old(record)
        return record

    def _ask(self, endpoint: Endpoint, record: EndpointRecord) -> Inventory:
        try:
            inventory = self._parts.engines.inventory(endpoint)
        except (NotSentError, BrokenCallError) as error:
            after = self._silence.count_round(record)
            if after != record:
                self._keeper.write(after)
            raise EngineSilentError(f"{self._id} is silent") from error
        self._silence.reset()
        return inventory

    def _settle(
        self,
        endpoint: Endpoint,
        before: EndpointRecord,
        inventory: Inventory,
        ended: frozenset[OrderId],
    ) -> EndpointRecord:
        evidence = Evidence(
            inventory,
            endpoint.checks_fencing,
            self._orders.fate,
            ended,
            self._found_size_mb,
            self._parts.orders_may_be_copied and not endpoint.checks_fencing,
        )
        return replace(settle(before, evidence), is_silent=False)

    def _found_size_mb(self, item: ItemId) -> int:
        """Return an item's size; one nobody knows counts as the whole memory."""
        known_mb = item_memory_mb(self._parts.configuration.current, item)
        endpoint = self._keeper.endpoint()
        whole_mb = endpoint.memory_mb if endpoint is not None else 0
        return known_mb if known_mb is not None else whole_mb

    def _report(
        self, before: EndpointRecord, settled: EndpointRecord, after: EndpointRecord
    ) -> None:
        came = settled.resident_mb_by_item.keys() - before.resident_mb_by_item.keys()
        went = before.resident_mb_by_item.keys() - settled.resident_mb_by_item.keys()
        for item in sorted(came):
            self._record("resident", item=item)
        for item in sorted(went):
            self._record("unloaded", item=item)
        for item, intent in after.intents_by_item.items():
            if intent != before.intents_by_item.get(item):
                self._record("intent", item=item, kind=intent.kind.value)

    def _close_failed(self, before: EndpointRecord, after: EndpointRecord) -> None:
        for wish in self._wishes.open():
            intent = before.intents_by_item.get(wish.item)
            if intent is None or wish.item in after.intents_by_item:
                continue
            if intent.kind is not OrderKind.LOAD or not isinstance(wish, LoadRequest):
                continue
            if wish.item in after.resident_mb_by_item:
                continue
            fate = self._orders.fate(intent.order_id)
            if fate is not OrderStatus.FENCED:
                error = LoadFailedError(f"{wish.item} at {self._id}: {fate.value}")
                self._wishes.fail(wish, error)

    def _plan(self, settled: EndpointRecord, inventory: Inventory) -> Plan:
        wishes = self._wishes.open()
        record = self._sender.resend_loads(
            past_number(settled, inventory), {wish.item for wish in wishes}
        )
        around = Surroundings(
            self._parts.occupancy, self._parts.eviction, self._sender.intent
        )
        return Plan(record, wishes, around)

    def _record(self, name: str, **fields: object) -> None:
        self._parts.timeline.record(name, endpoint=self._id, **fields)
