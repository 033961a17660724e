"""The task of one owned endpoint: the only one that writes its record.

The order of steps is always: write the intent, send the order, see the
engine's inventory confirm it, write the confirmation. A step that cannot be
taken leaves the memory reserved. All record changes of a round share one
write, and loads run at the engine side by side.
"""

import time
from concurrent.futures import Future
from dataclasses import dataclass, replace
from itertools import islice
from uuid import uuid4

from camphoryard.coordination.doubts import Doubts
from camphoryard.coordination.eviction import EvictionPolicy
from camphoryard.coordination.messages import GivenUp, GiveUp
from camphoryard.coordination.occupancy import Occupancy
from camphoryard.coordination.orders import EndpointOrders, GivenUpError, OrderFate
from camphoryard.coordination.ownership import owner_of
from camphoryard.coordination.planning import Plan, Surroundings
from camphoryard.coordination.ports import (
    Engines,
    Inventory,
    Order,
    Peers,
    Records,
    Ticks,
    Timer,
)
from camphoryard.coordination.settling import Evidence, settle
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.wishes import (
    EngineSilentError,
    LoadFailedError,
    LoadWish,
    Wish,
    Wishes,
)
from camphoryard.coordination.writing import write_resolved
from camphoryard.state.configuration import Endpoint, item_memory_mb
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    doubted,
    taken_over,
    with_intent,
    withdrawn,
)
from camphoryard.state.enums import EndpointKind, NodeState, OrderKind
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    PeerUnreachableError,
    StoreUnavailableError,
)
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Incarnation,
    ItemId,
    NodeId,
    OrderId,
    WriteId,
)
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.vms import VmTable

CHECK_PERIOD_S = 0.5
CONFIRM_PERIOD_S = 0.02
QUICK_STEPS = 50
SLOW_CONFIRM_PERIOD_S = 0.1
PAUSE_S = 2.0
TAKEOVER_DELAY_S = 1.5
RESEND_PERIOD_S = 1.0
GIVE_UP_PERIOD_S = 2.0
GIVE_UP_TIMEOUT_S = 0.5
MAX_LOADS_IN_DOUBT = 3
SILENT_ROUNDS = 3
NO_ITEM = ItemId("-")


@dataclass(frozen=True, slots=True)
class Identity:
    """One process: the node and which start of it."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ResidencyParts:
    """What the tasks of owned endpoints work with.

    ``order_lifetime_s`` is how long an order may be on its way after its sender
    stopped sending.
    """

    identity: Identity
    records: Records[EndpointRecord]
    table: EndpointTable
    nodes: NodeTable
    vms: VmTable
    configuration: ConfigurationHolder
    engines: Engines
    peers: Peers
    timeline: Timeline
    occupancy: Occupancy
    eviction: EvictionPolicy
    order_lifetime_s: float


class OwnedEndpoint:
    """One endpoint while this node owns it."""

    def __init__(
        self, endpoint_id: EndpointId, parts: ResidencyParts, orders: EndpointOrders
    ) -> None:
        self._id = endpoint_id
        self._parts = parts
        self._orders = orders
        self._doubts = Doubts(
            parts.identity.incarnation,
            orders,
            self._has_ended,
            parts.order_lifetime_s,
        )
        self._wishes = Wishes()
        self._ticks: Ticks | None = None
        self._sent_s_by_id: dict[OrderId, float] = {}
        self._asked_s = 0.0
        self._silent_rounds = 0
        self._ours_since_s = time.monotonic()

    def wish(self, wish: Wish) -> "Future[None]":
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
                if not self._is_ours():
                    return
                now_s = time.monotonic()
                if now_s - ticked_s >= PAUSE_S:
                    self._ours_since_s = now_s
                self._round(timer)
                ticked_s = time.monotonic()
        finally:
            self._wishes.fail_all(ConflictError(f"{self._id} has another owner"))

    def _round(self, timer: Timer) -> None:
        """Go on, step by step, while orders are open; more slowly after a while."""
        try:
            for _ in islice(timer.every(CONFIRM_PERIOD_S), QUICK_STEPS):
                if not self._is_ours() or not self._step():
                    return
            for _ in timer.every(SLOW_CONFIRM_PERIOD_S):
                if not self._is_ours() or not self._step():
                    return
        except EngineSilentError as error:
            self._wishes.fail_all(error)
        except (StoreUnavailableError, ConflictError, GivenUpError) as error:
            self._wishes.fail_all(error)
            self._refresh()

    def _step(self) -> bool:
        """Settle, plan and send once; return whether orders are open."""
        endpoint = self._endpoint()
        if endpoint is None:
            return False
        record = self._own(endpoint)
        if record is None:
            return False
        ended = self._doubts.ended(record)
        inventory = self._ask(endpoint, record)
        record = self._advance(endpoint, record, inventory, ended)
        self._send_all(endpoint, record)
        self._send_number(endpoint, record, inventory)
        self._ask_to_give_up(record)
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
            record = self._write(record)
            self._report(before, settled, record)
        self._close_failed(before, settled)
        for closed in plan.closed:
            self._wishes.close(closed)
        self._forget_old(record)
        return record

    def _endpoint(self) -> Endpoint | None:
        endpoint = self._parts.configuration.current.endpoints_by_id.get(self._id)
        if endpoint is None or endpoint.kind is not EndpointKind.ENGINE:
            return None
        return endpoint

    def _is_ours(self) -> bool:
        owner = owner_of(self._id, self._parts.nodes)
        return owner == self._parts.identity.node and self._endpoint() is not None

    def _has_ended(self, node: NodeId, incarnation: Incarnation) -> bool:
        parts = self._parts
        return parts.vms.is_gone(node) or parts.nodes.has_ended(node, incarnation)

    def _refresh(self) -> None:
        try:
            stored = self._parts.records.get(self._id)
        except StoreUnavailableError:
            return
        if stored is not None and stored.record is not None:
            self._parts.table.saw(stored.record, stored.version)

    def _write(self, record: EndpointRecord) -> EndpointRecord:
        record = replace(record, write_id=WriteId(uuid4().hex))
        before = self._parts.table.version(record.id)
        version = write_resolved(self._parts.records, record.id, record, before)
        self._parts.table.saw(record, version)
        return record

    def _own(self, endpoint: Endpoint) -> EndpointRecord | None:
        """Return the record with this start as owner and the configured memory.

        None while it is too early to take it from another owner.
        """
        record = self._parts.table.find(self._id)
        if record is None:
            self._refresh()
            record = self._parts.table.find(self._id)
        if record is None:
            wanted = self._first_record(endpoint)
        elif record.owner_incarnation == self._parts.identity.incarnation:
            wanted = replace(record, memory_mb=endpoint.memory_mb)
        elif self._may_take_over(record):
            me = self._parts.identity
            fence = FencingNumber(record.fence + 1)
            wanted = taken_over(record, me.node, me.incarnation, fence)
            wanted = replace(wanted, memory_mb=endpoint.memory_mb)
        else:
            return None
        if wanted == record:
            return record
        wanted = self._write(wanted)
        self._record("endpoint_owned", fence=wanted.fence, memory_mb=wanted.memory_mb)
        return wanted

    def _first_record(self, endpoint: Endpoint) -> EndpointRecord:
        me = self._parts.identity
        return EndpointRecord(
            self._id,
            endpoint.memory_mb,
            me.node,
            me.incarnation,
            FencingNumber(1),
            WriteId(""),
        )

    def _may_take_over(self, record: EndpointRecord) -> bool:
        """Return whether the recorded owner has left, or is missed for long enough.

        A node that just started, or was paused, knows its own lease first; it
        must not take every endpoint before it has heard of the others.
        """
        if self._has_ended(record.owner, record.owner_incarnation):
            return True
        lease = self._parts.nodes.find(record.owner)
        if lease is not None and lease.state is NodeState.DRAINING:
            return True
        return time.monotonic() - self._ours_since_s >= TAKEOVER_DELAY_S

    def _ask(self, endpoint: Endpoint, record: EndpointRecord) -> Inventory:
        try:
            inventory = self._parts.engines.inventory(endpoint)
        except (NotSentError, BrokenCallError) as error:
            self._let_go(record)
            raise EngineSilentError(f"{self._id} is silent") from error
        self._silent_rounds = 0
        return inventory

    def _let_go(self, record: EndpointRecord) -> None:
        """Close the loads that a silent engine has not answered.

        After a few rounds the record says that the engine is silent, so that its
        items are loaded elsewhere.
        """
        before = record
        self._silent_rounds += 1
        is_silent = self._silent_rounds >= SILENT_ROUNDS
        record = replace(record, is_silent=record.is_silent or is_silent)
        for item, intent in before.intents_by_item.items():
            if intent.kind is OrderKind.UNLOAD:
                continue
            match self._orders.fate(intent.order_id):
                case OrderFate.UNSENT:
                    record = withdrawn(record, item)
                case OrderFate.UNANSWERED:
                    record = doubted(record, item)
                case _:
                    continue
        if record != before:
            self._write(record)

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
        )
        return replace(settle(before, evidence), is_silent=False)

    def _found_size_mb(self, item: ItemId) -> int:
        """Return an item's size; one nobody knows counts as the whole memory."""
        known_mb = item_memory_mb(self._parts.configuration.current, item)
        endpoint = self._endpoint()
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
            if intent.kind is not OrderKind.LOAD or not isinstance(wish, LoadWish):
                continue
            if wish.item in after.resident_mb_by_item:
                continue
            fate = self._orders.fate(intent.order_id)
            if fate is not OrderFate.FENCED:
                error = LoadFailedError(f"{wish.item} at {self._id}: {fate.value}")
                self._wishes.fail(wish, error)

    def _forget_old(self, record: EndpointRecord) -> None:
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

    def _plan(self, settled: EndpointRecord, inventory: Inventory) -> Plan:
        record = self._raise_fence(settled, inventory)
        record = self._resend_loads(record)
        around = Surroundings(self._parts.occupancy, self._parts.eviction, self._intent)
        return Plan(record, self._wishes.open(), around)

    def _raise_fence(
        self, record: EndpointRecord, inventory: Inventory
    ) -> EndpointRecord:
        """Go past a number that the engine took from a record since lost."""
        if inventory.fence <= record.fence:
            return record
        return replace(record, fence=FencingNumber(inventory.fence + 1))

    def _intent(
        self, record: EndpointRecord, kind: OrderKind, memory_mb: int
    ) -> Intent:
        """Return an intent; each unload raises the number.

        An engine that checks numbers then refuses a copy of an earlier load that
        comes after the unload.
        """
        me = self._parts.identity
        step = 1 if kind is OrderKind.UNLOAD else 0
        return Intent(
            OrderId(uuid4().hex),
            kind,
            memory_mb,
            FencingNumber(record.fence + step),
            me.node,
            me.incarnation,
        )

    def _resend_loads(self, record: EndpointRecord) -> EndpointRecord:
        """Replace loads without answer by new ones while they are still wished."""
        wish_by_item = {wish.item: wish for wish in self._wishes.open()}
        for item, intent in tuple(record.intents_by_item.items()):
            if intent.kind is not OrderKind.LOAD or not self._is_overdue(intent):
                continue
            wish = wish_by_item.get(item)
            tries = sum(x.item == item for x in record.in_doubt_by_id.values())
            if wish is None or tries >= MAX_LOADS_IN_DOUBT:
                record = doubted(record, item)
                continue
            raised = replace(record, fence=FencingNumber(record.fence + 1))
            again = self._intent(raised, OrderKind.LOAD, intent.memory_mb)
            record = with_intent(raised, item, again)
        return record

    def _is_overdue(self, intent: Intent) -> bool:
        if self._orders.fate(intent.order_id) is not OrderFate.UNANSWERED:
            return False
        sent_s = self._sent_s_by_id.get(intent.order_id, 0.0)
        return time.monotonic() - sent_s >= RESEND_PERIOD_S

    def _send_all(self, endpoint: Endpoint, record: EndpointRecord) -> None:
        """Send what was not sent yet, and unloads without answer again."""
        for item, intent in record.intents_by_item.items():
            is_new = self._orders.fate(intent.order_id) is OrderFate.UNSENT
            is_late = intent.kind is OrderKind.UNLOAD and self._is_overdue(intent)
            if is_new or is_late:
                self._send(endpoint, item, intent)

    def _send(self, endpoint: Endpoint, item: ItemId, intent: Intent) -> None:
        order = Order(
            intent.order_id, intent.kind, item, intent.memory_mb, intent.fence
        )
        self._sent_s_by_id[order.id] = time.monotonic()
        fate = self._orders.send(endpoint, order)
        self._record("order", item=item, kind=intent.kind.value, fate=fate.value)

    def _send_number(
        self, endpoint: Endpoint, record: EndpointRecord, inventory: Inventory
    ) -> None:
        """Show a checking engine the present number by an order without effect."""
        if not endpoint.checks_fencing or inventory.fence >= record.fence:
            return
        if record.intents_by_item:
            return
        order = Order(OrderId(uuid4().hex), OrderKind.UNLOAD, NO_ITEM, 0, record.fence)
        self._orders.send(endpoint, order)

    def _ask_to_give_up(self, record: EndpointRecord) -> None:
        """Ask earlier owners that are alive to send nothing more."""
        now_s = time.monotonic()
        unheard = self._doubts.unheard(record)
        if not unheard or now_s - self._asked_s < GIVE_UP_PERIOD_S:
            return
        self._asked_s = now_s
        alive = {lease.node: lease.incarnation for lease in self._parts.nodes.alive()}
        for node, incarnation in unheard.items():
            if alive.get(node) != incarnation:
                continue
            message = GiveUp(self._id, incarnation, record.fence)
            try:
                reply = self._parts.peers.ask(node, message, GIVE_UP_TIMEOUT_S)
            except PeerUnreachableError:
                continue
            if isinstance(reply, GivenUp):
                self._doubts.given_up(record, incarnation, reply.unanswered)
                self._record("given_up", by=node, unanswered=len(reply.unanswered))

    def _record(self, name: str, **fields: object) -> None:
        self._parts.timeline.record(name, endpoint=self._id, **fields)
