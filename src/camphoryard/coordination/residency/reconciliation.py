"""What an engine's inventory proves about the record of its endpoint.

An inventory is read by the one task that sends the endpoint's orders, after it
sent them, so it never is older than an order of the present owner. Orders of
earlier owners are all in doubt.
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
    """An inventory and what else the owner knew before it was read.

    Parameters
    ----------
    inventory : Inventory
        The engine's answer.
    checks_fencing : bool
        Whether the engine refuses orders with an old number.
    fate : callable
        What became of each order of this process.
    ended : frozenset of OrderId
        Loads in doubt that can no longer arrive.
    size_mb : callable
        Memory in MB of an item that the record does not know.
    keeps_answered : bool
        Whether a load stays in doubt once it was answered, since a copy of it may
        arrive later.
    """

    inventory: Inventory
    checks_fencing: bool
    fate: Callable[[OrderId], OrderStatus]
    ended: frozenset[OrderId]
    size_mb: Callable[[ItemId], int]
    keeps_answered: bool = False


def settle(record: EndpointRecord, evidence: Evidence) -> EndpointRecord:
    """Return the record as far as the evidence settles it."""
    for item in tuple(record.intents_by_item):
        record = _settle_intent(record, item, evidence)
    for item in tuple(record.resident_mb_by_item):
        if item not in record.intents_by_item and not _is_held(item, evidence):
            record = without_resident(record, item)
    record = _adopt(record, evidence)
    for order_id in tuple(record.in_doubt_by_id):
        if _is_dead(record, order_id, evidence):
            record = without_unconfirmed_load(record, order_id)
    return record


def _settle_intent(
    record: EndpointRecord, item: ItemId, evidence: Evidence
) -> EndpointRecord:
    intent = record.intents_by_item[item]
    match intent.kind:
        case OrderKind.LOAD:
            return _settle_load(record, item, intent, evidence)
        case OrderKind.UNLOAD:
            return _settle_unload(record, item, intent, evidence)


def _settle_load(
    record: EndpointRecord, item: ItemId, intent: Intent, evidence: Evidence
) -> EndpointRecord:
    fate = evidence.fate(intent.order_id)
    if item in evidence.inventory.resident:
        is_known = fate is OrderStatus.ACCEPTED or not _copies_in_doubt(record, item)
        if is_known and not evidence.keeps_answered:
            return with_confirmed_order(record, item)
        # Another load may be the one that arrived, and this one still on its way.
        return with_resident(
            with_load_unconfirmed(record, item), item, intent.memory_mb
        )
    if item in evidence.inventory.loading:
        return record
    if fate in (OrderStatus.UNSENT, OrderStatus.UNANSWERED):
        return record
    return without_intent(record, item)


def _settle_unload(
    record: EndpointRecord, item: ItemId, intent: Intent, evidence: Evidence
) -> EndpointRecord:
    if _is_held(item, evidence):
        return record
    # An engine that has not taken this number might take an older load again.
    if evidence.checks_fencing and evidence.inventory.fence < intent.fence:
        return record
    return with_confirmed_order(record, item)


def _is_dead(record: EndpointRecord, order_id: OrderId, evidence: Evidence) -> bool:
    doubt = record.in_doubt_by_id[order_id]
    is_known = doubt.item in record.resident_mb_by_item
    if doubt.item in evidence.inventory.loading and not is_known:
        return False
    if order_id in evidence.ended:
        return True
    return evidence.checks_fencing and doubt.fence < evidence.inventory.fence


def _is_held(item: ItemId, evidence: Evidence) -> bool:
    inventory = evidence.inventory
    return item in inventory.resident or item in inventory.loading


def _copies_in_doubt(record: EndpointRecord, item: ItemId) -> int:
    return sum(doubt.item == item for doubt in record.in_doubt_by_id.values())


def _adopt(record: EndpointRecord, evidence: Evidence) -> EndpointRecord:
    """Take in what the engine holds and the record did not say."""
    held = evidence.inventory.resident | evidence.inventory.loading
    known = record.resident_mb_by_item.keys() | record.intents_by_item.keys()
    for item in sorted(held - known):
        doubts = {
            order_id: doubt
            for order_id, doubt in record.in_doubt_by_id.items()
            if doubt.item == item
        }
        if doubts and item not in evidence.inventory.resident:
            continue
        sizes_mb = [doubt.memory_mb for doubt in doubts.values()]
        size_mb = max(sizes_mb) if sizes_mb else evidence.size_mb(item)
        record = with_resident(record, item, size_mb)
        # The item was away, so one of its loads has arrived; if there is only
        # one, it is known which.
        if len(doubts) == 1 and not evidence.keeps_answered:
            record = without_unconfirmed_load(record, next(iter(doubts)))
    return record
