"""Loads and unloads at the endpoints that this node owns.

The order of steps is always: write the intent, send the order, see the
engine's inventory confirm it, write the confirmation. A step that cannot be
taken leaves the memory reserved.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from uuid import uuid4

from camphoryard.coordination.ownership import owner_of
from camphoryard.coordination.ports import Engines, Inventory, Order, Records, Timer
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.writing import write_resolved
from camphoryard.state.configuration import (
    Configuration,
    Endpoint,
    item_memory_mb,
)
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    confirmed,
    free_mb,
    with_intent,
    withdrawn,
)
from camphoryard.state.enums import EndpointKind, OrderKind, OrderOutcome
from camphoryard.state.errors import (
    BrokenCallError,
    CamphoryardError,
    ConflictError,
    NotSentError,
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

CHECK_PERIOD_S = 0.5
CONFIRM_PERIOD_S = 0.02


class NoRoomError(CamphoryardError):
    """The model fits nowhere at this endpoint, not even after unloading."""


@dataclass(frozen=True, slots=True)
class Identity:
    """One process: the node and which start of it."""

    node: NodeId
    incarnation: Incarnation


class EndpointOwner:
    """Owns endpoints and runs orders to them, one endpoint's steps at a time."""

    def __init__(
        self,
        identity: Identity,
        records: Records[EndpointRecord],
        table: EndpointTable,
        nodes: NodeTable,
        configuration: ConfigurationHolder,
        engines: Engines,
        timeline: Timeline,
        last_used_s: Callable[[ItemId], float],
    ) -> None:
        self._identity = identity
        self._records = records
        self._table = table
        self._nodes = nodes
        self._configuration = configuration
        self._engines = engines
        self._timeline = timeline
        self._last_used_s = last_used_s
        self._locks_lock = threading.Lock()
        self._lock_by_endpoint: dict[EndpointId, threading.Lock] = {}

    def run_endpoint(self, endpoint_id: EndpointId, timer: Timer) -> None:
        """Own one endpoint while this node is its owner; one task for each."""
        for _ in timer.every(CHECK_PERIOD_S):
            endpoint = self._engine(endpoint_id)
            if endpoint is None or not self._is_ours(endpoint_id):
                return
            try:
                with self._lock(endpoint_id):
                    self._reconcile(endpoint)
            except (StoreUnavailableError, ConflictError):
                self._refresh(endpoint_id)

    def load(self, endpoint_id: EndpointId, item: ItemId, timer: Timer) -> None:
        """Load ``item`` at an endpoint this node owns.

        Raises
        ------
        NoRoomError
            If it cannot be made to fit.
        ConflictError, StoreUnavailableError
            If the record could not be written; no order was sent then.
        """
        endpoint = self._engine(endpoint_id)
        memory_mb = item_memory_mb(self._configuration.current, item)
        if endpoint is None or memory_mb is None:
            raise NoRoomError(f"{item} at {endpoint_id}: not configured")
        with self._lock(endpoint_id):
            record = self._owned(endpoint)
            if item in record.resident_mb_by_item:
                return
            if item not in record.intents_by_item:
                record = self._make_room(endpoint, record, memory_mb, timer)
                record = self._intend(record, item, OrderKind.LOAD, memory_mb)
            self._send(endpoint, record, item)
            self._await_confirmation(endpoint, item, timer)

    def unload(self, endpoint_id: EndpointId, item: ItemId, timer: Timer) -> None:
        """Unload ``item`` at an endpoint this node owns; raises as ``load``."""
        endpoint = self._engine(endpoint_id)
        if endpoint is None:
            raise NoRoomError(f"{endpoint_id}: not configured")
        with self._lock(endpoint_id):
            record = self._owned(endpoint)
            freed_mb = record.resident_mb_by_item.get(item)
            if freed_mb is None:
                return
            if item not in record.intents_by_item:
                record = self._intend(record, item, OrderKind.UNLOAD, freed_mb)
            self._send(endpoint, record, item)
            self._await_confirmation(endpoint, item, timer)

    def owned(self) -> tuple[EndpointId, ...]:
        """Return the engines that this node should own now."""
        endpoints = self._configuration.current.endpoints_by_id
        return tuple(
            item for item in endpoints if self._engine(item) and self._is_ours(item)
        )

    def _is_ours(self, endpoint_id: EndpointId) -> bool:
        return owner_of(endpoint_id, self._nodes) == self._identity.node

    def _engine(self, endpoint_id: EndpointId) -> Endpoint | None:
        current: Configuration = self._configuration.current
        endpoint = current.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.kind is not EndpointKind.ENGINE:
            return None
        return endpoint

    def _lock(self, endpoint_id: EndpointId) -> threading.Lock:
        with self._locks_lock:
            return self._lock_by_endpoint.setdefault(endpoint_id, threading.Lock())

    def _refresh(self, endpoint_id: EndpointId) -> None:
        try:
            stored = self._records.get(endpoint_id)
        except StoreUnavailableError:
            return
        if stored is not None and stored.record is not None:
            self._table.saw(stored.record, stored.version)

    def _write(self, record: EndpointRecord) -> EndpointRecord:
        record = replace(record, write_id=WriteId(uuid4().hex))
        before = self._table.version(record.id)
        version = write_resolved(self._records, record.id, record, before)
        self._table.saw(record, version)
        return record

    def _owned(self, endpoint: Endpoint) -> EndpointRecord:
        """Return the record with this incarnation as owner, taking it over if need be.

        Every open intent stays; only the engine's word or a newer fencing
        number at an engine that checks it can free what it reserves.
        """
        record = self._table.find(endpoint.id)
        if record is None:
            self._refresh(endpoint.id)
            record = self._table.find(endpoint.id)
        me = self._identity
        if record is None:
            record = EndpointRecord(
                endpoint.id,
                endpoint.memory_mb,
                me.node,
                me.incarnation,
                FencingNumber(1),
                WriteId(""),
            )
        elif record.owner_incarnation == me.incarnation:
            return record
        else:
            record = replace(
                record,
                owner=me.node,
                owner_incarnation=me.incarnation,
                fence=FencingNumber(record.fence + 1),
            )
        record = self._write(record)
        self._timeline.record("endpoint_owned", endpoint=record.id, fence=record.fence)
        return record

    def _reconcile(self, endpoint: Endpoint) -> None:
        record = self._owned(endpoint)
        try:
            inventory = self._engines.inventory(endpoint)
        except (NotSentError, BrokenCallError):
            return
        for item in tuple(record.intents_by_item):
            record = self._settle(record, item, inventory)

    def _settle(
        self, record: EndpointRecord, item: ItemId, inventory: Inventory
    ) -> EndpointRecord:
        if not _is_confirmed(record, item, inventory):
            return record
        record = self._write(confirmed(record, item))
        self._timeline.record("confirmed", endpoint=record.id, item=item)
        return record

    def _make_room(
        self, endpoint: Endpoint, record: EndpointRecord, needed_mb: int, timer: Timer
    ) -> EndpointRecord:
        while free_mb(record) < needed_mb:
            victim = self._least_recently_used(record)
            if victim is None:
                raise NoRoomError(f"{needed_mb} MB do not fit into {record.id}")
            freed_mb = record.resident_mb_by_item[victim]
            record = self._intend(record, victim, OrderKind.UNLOAD, freed_mb)
            self._send(endpoint, record, victim)
            record = self._await_confirmation(endpoint, victim, timer)
        return record

    def _least_recently_used(self, record: EndpointRecord) -> ItemId | None:
        idle = [
            item
            for item in record.resident_mb_by_item
            if item not in record.intents_by_item
        ]
        return min(idle, key=self._last_used_s, default=None)

    def _intend(
        self, record: EndpointRecord, item: ItemId, kind: OrderKind, memory_mb: int
    ) -> EndpointRecord:
        intent = Intent(
            OrderId(uuid4().hex),
            kind,
            memory_mb,
            record.fence,
            self._identity.incarnation,
        )
        record = self._write(with_intent(record, item, intent))
        self._timeline.record("intent", endpoint=record.id, item=item, kind=kind.value)
        return record

    def _send(self, endpoint: Endpoint, record: EndpointRecord, item: ItemId) -> None:
        intent = record.intents_by_item[item]
        order = Order(
            intent.order_id, intent.kind, item, intent.memory_mb, record.fence
        )
        try:
            outcome = self._engines.order(endpoint, order)
        except (NotSentError, BrokenCallError) as error:
            self._timeline.record("order_lost", endpoint=endpoint.id, error=error)
            return
        self._timeline.record(
            "order", endpoint=endpoint.id, item=item, outcome=outcome.value
        )
        if outcome is OrderOutcome.REFUSED and intent.kind is OrderKind.LOAD:
            self._write(withdrawn(record, item))
            raise NoRoomError(f"{endpoint.id} refused to load {item}")
        if outcome is OrderOutcome.FENCED:
            raise ConflictError(f"{endpoint.id} has a newer owner")

    def _await_confirmation(
        self, endpoint: Endpoint, item: ItemId, timer: Timer
    ) -> EndpointRecord:
        """Ask the engine until it confirms; return the record then."""
        for _ in timer.every(CONFIRM_PERIOD_S):
            record = self._table.find(endpoint.id)
            if record is None or item not in record.intents_by_item:
                break
            try:
                inventory = self._engines.inventory(endpoint)
            except (NotSentError, BrokenCallError) as error:
                raise StoreUnavailableError(f"{endpoint.id} is silent") from error
            self._settle(record, item, inventory)
        record = self._table.find(endpoint.id)
        if record is None or item in record.intents_by_item:
            raise StoreUnavailableError("stopping")
        return record


def _is_confirmed(record: EndpointRecord, item: ItemId, inventory: Inventory) -> bool:
    intent = record.intents_by_item[item]
    match intent.kind:
        case OrderKind.LOAD:
            return item in inventory.resident
        case OrderKind.UNLOAD:
            gone = item not in inventory.resident
            return gone and item not in inventory.loading
