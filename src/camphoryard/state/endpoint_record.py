"""The durable record of one endpoint: which items its memory has or may get.

Every load order is written to this record before it is sent, and stays until it
is proved that the order can no longer reach the engine. Memory is committed for
each item that is resident, has an open intent or has an unconfirmed load. A new
version of the record commits more memory than the one before only if that fits.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Incarnation,
    ItemId,
    NodeId,
    OrderId,
    WriteId,
)


class OvercommitError(CamphoryardError):
    """Raised if a change would commit more memory than the endpoint has."""


@dataclass(frozen=True, slots=True)
class Intent:
    """An order recorded before it is sent; it reserves ``memory_mb``."""

    order_id: OrderId
    kind: OrderKind
    memory_mb: int
    fence: FencingNumber
    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UnconfirmedLoad:
    """A load order that may still reach the engine, whether sent or not."""

    item: ItemId
    memory_mb: int
    fence: FencingNumber
    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Memory, owner, resident items, open intents and unconfirmed loads.

    ``is_silent`` says that the engine does not respond to its owner.
    """

    id: EndpointId
    memory_mb: int
    owner: NodeId
    owner_incarnation: Incarnation
    fence: FencingNumber
    write_id: WriteId
    resident_mb_by_item: Mapping[ItemId, int] = field(default_factory=dict)
    intents_by_item: Mapping[ItemId, Intent] = field(default_factory=dict)
    in_doubt_by_id: Mapping[OrderId, UnconfirmedLoad] = field(default_factory=dict)
    is_silent: bool = False


def committed_mb_by_item(record: EndpointRecord) -> Mapping[ItemId, int]:
    """Return the memory, in MB, that each item takes or may yet take.

    An engine loads one copy of an item, so an item counts once, with the
    largest of its sizes.
    """
    mb_by_item = dict(record.resident_mb_by_item)
    for item, intent in record.intents_by_item.items():
        mb_by_item[item] = max(mb_by_item.get(item, 0), intent.memory_mb)
    for load in record.in_doubt_by_id.values():
        mb_by_item[load.item] = max(mb_by_item.get(load.item, 0), load.memory_mb)
    return mb_by_item


def committed_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that all items take or may yet take."""
    return sum(committed_mb_by_item(record).values())


def free_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that a new intent may reserve; may be negative."""
    return record.memory_mb - committed_mb(record)


def unloading_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that the open unload orders will free."""
    unconfirmed = unconfirmed_items(record)
    return sum(
        intent.memory_mb
        for item, intent in record.intents_by_item.items()
        if intent.kind is OrderKind.UNLOAD and item not in unconfirmed
    )


def unconfirmed_items(record: EndpointRecord) -> frozenset[ItemId]:
    """Return the items with a load order that may still reach the engine."""
    return frozenset(load.item for load in record.in_doubt_by_id.values())


def with_intent(record: EndpointRecord, item: ItemId, intent: Intent) -> EndpointRecord:
    """Return the record with ``intent`` open.

    An open load of the item that it replaces becomes unconfirmed.

    Raises
    ------
    OvercommitError
        If the reservation does not fit.
    """
    before_mb = committed_mb(record)
    record = with_load_unconfirmed(record, item)
    intents = {**record.intents_by_item, item: intent}
    fence = max(record.fence, intent.fence)
    changed = replace(record, intents_by_item=intents, fence=FencingNumber(fence))
    if committed_mb(changed) > max(changed.memory_mb, before_mb):
        raise OvercommitError(f"{item} does not fit into {record.id}")
    return changed


def with_load_unconfirmed(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record with the open load of ``item`` as an unconfirmed one."""
    intent = record.intents_by_item.get(item)
    if intent is None or intent.kind is not OrderKind.LOAD:
        return record
    load = UnconfirmedLoad(
        item, intent.memory_mb, intent.fence, intent.node, intent.incarnation
    )
    unconfirmed = {**record.in_doubt_by_id, intent.order_id: load}
    return replace(without_intent(record, item), in_doubt_by_id=unconfirmed)


def with_new_owner(
    record: EndpointRecord,
    node: NodeId,
    incarnation: Incarnation,
    fence: FencingNumber,
) -> EndpointRecord:
    """Return the record with a new owner and its open loads unconfirmed."""
    for item in record.intents_by_item:
        record = with_load_unconfirmed(record, item)
    return replace(record, owner=node, owner_incarnation=incarnation, fence=fence)


def with_confirmed_order(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record after the engine confirmed the order for ``item``."""
    intent = record.intents_by_item[item]
    record = without_intent(record, item)
    match intent.kind:
        case OrderKind.LOAD:
            return with_resident(record, item, intent.memory_mb)
        case OrderKind.UNLOAD:
            return without_resident(record, item)


def with_resident(
    record: EndpointRecord, item: ItemId, memory_mb: int
) -> EndpointRecord:
    """Return the record with ``item`` resident, as the engine reports."""
    resident = {**record.resident_mb_by_item, item: memory_mb}
    return replace(record, resident_mb_by_item=resident)


def without_resident(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record without ``item``, which the engine has unloaded."""
    resident = dict(record.resident_mb_by_item)
    resident.pop(item, None)
    return replace(record, resident_mb_by_item=resident)


def without_intent(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record without the intent for ``item``.

    Only for an order that was never sent, or that the engine can no longer
    accept; otherwise its memory could be committed twice.
    """
    intents = dict(record.intents_by_item)
    intents.pop(item)
    return replace(record, intents_by_item=intents)


def without_unconfirmed_load(
    record: EndpointRecord, order_id: OrderId
) -> EndpointRecord:
    """Return the record without a load that can no longer reach the engine."""
    unconfirmed = dict(record.in_doubt_by_id)
    unconfirmed.pop(order_id)
    return replace(record, in_doubt_by_id=unconfirmed)
