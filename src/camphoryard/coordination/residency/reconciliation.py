"""Reconciles the record of an endpoint with the inventory of its engine.

The one task that sends the endpoint's orders also reads the inventory, after it
sent them, so an inventory is never older than an order of the current owner. All
loads of previous owners are unconfirmed.
"""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    with_confirmed_order,
    with_load_unconfirmed,
    with_resident,
    without_intent,
    without_resident,
    without_unconfirmed_load,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import ItemId, OrderId


@dataclass(frozen=True, slots=True)
class Evidence:
    """An inventory, and what the owner knew before it was read.

    Parameters
    ----------
    inventory : Inventory
        The engine's inventory.
    checks_fencing : bool
        Whether the engine rejects orders with an outdated fencing number.
    status : callable
        Returns the status of an order of this process.
    undeliverable : frozenset of OrderId
        Unconfirmed loads that can no longer reach the engine.
    size_mb : callable
        Memory in MB of an item that the record does not contain.
    keeps_answered_loads : bool
        Whether an answered load stays unconfirmed, because a duplicate of it may
        reach the engine later.
    """

    inventory: Inventory
    checks_fencing: bool
    status: Callable[[OrderId], OrderStatus]
    undeliverable: frozenset[OrderId]
    size_mb: Callable[[ItemId], int]
    keeps_answered_loads: bool = False


def reconcile(record: EndpointRecord, evidence: Evidence) -> EndpointRecord:
    """Return the record updated with everything that the evidence proves."""
    for item in tuple(record.intents_by_item):
        record = _reconcile_intent(record, item, evidence)
    for item in tuple(record.resident_mb_by_item):
        if item not in record.intents_by_item and not _is_present(item, evidence):
            record = without_resident(record, item)
    record = _add_unrecorded(record, evidence)
    for order_id in tuple(record.in_doubt_by_id):
        if _is_undeliverable(record, order_id, evidence):
            record = without_unconfirmed_load(record, order_id)
    return record


def _reconcile_intent(
    record: EndpointRecord, item: ItemId, evidence: Evidence
) -> EndpointRecord:
    intent = record.intents_by_item[item]
    match intent.kind:
        case OrderKind.LOAD:
            return _reconcile_load(record, item, intent, evidence)
        case OrderKind.UNLOAD:
            return _reconcile_unload(record, item, intent, evidence)


def _reconcile_load(
    record: EndpointRecord, item: ItemId, intent: Intent, evidence: Evidence
) -> EndpointRecord:
    status = evidence.status(intent.order_id)
    if item in evidence.inventory.resident:
        is_known = status is OrderStatus.ACCEPTED or not _unconfirmed_copies(
            record, item
        )
        if is_known and not evidence.keeps_answered_loads:
            return with_confirmed_order(record, item)
        # Another load may have arrived instead, while this one is still in transit.
        return with_resident(
            with_load_unconfirmed(record, item), item, intent.memory_mb
        )
    if item in evidence.inventory.loading:
        return record
    if status in (OrderStatus.UNSENT, OrderStatus.UNANSWERED):
        return record
    return without_intent(record, item)


def _reconcile_unload(
    record: EndpointRecord, item: ItemId, intent: Intent, evidence: Evidence
) -> EndpointRecord:
    if _is_present(item, evidence):
        return record
    # With a lower fencing number, the engine might still accept an older load.
    if evidence.checks_fencing and evidence.inventory.fence < intent.fence:
        return record
    return with_confirmed_order(record, item)


def _is_undeliverable(
    record: EndpointRecord, order_id: OrderId, evidence: Evidence
) -> bool:
    load = record.in_doubt_by_id[order_id]
    is_known = load.item in record.resident_mb_by_item
    if load.item in evidence.inventory.loading and not is_known:
        return False
    if order_id in evidence.undeliverable:
        return True
    return evidence.checks_fencing and load.fence < evidence.inventory.fence


def _is_present(item: ItemId, evidence: Evidence) -> bool:
    inventory = evidence.inventory
    return item in inventory.resident or item in inventory.loading


def _unconfirmed_copies(record: EndpointRecord, item: ItemId) -> int:
    return sum(load.item == item for load in record.in_doubt_by_id.values())


def _add_unrecorded(record: EndpointRecord, evidence: Evidence) -> EndpointRecord:
    """Add items to the record that the engine has and the record lacks."""
    present = evidence.inventory.resident | evidence.inventory.loading
    known = record.resident_mb_by_item.keys() | record.intents_by_item.keys()
    for item in sorted(present - known):
        loads = {
            order_id: load
            for order_id, load in record.in_doubt_by_id.items()
            if load.item == item
        }
        if loads and item not in evidence.inventory.resident:
            continue
        sizes_mb = [load.memory_mb for load in loads.values()]
        size_mb = max(sizes_mb) if sizes_mb else evidence.size_mb(item)
        record = with_resident(record, item, size_mb)
        # The item was absent, so one of its unconfirmed loads has arrived. If there
        # is only one, it must be that one.
        if len(loads) == 1 and not evidence.keeps_answered_loads:
            record = without_unconfirmed_load(record, next(iter(loads)))
    return record
