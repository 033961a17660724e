"""The durable record of one endpoint: what is in its memory or may get there.

Every load that can ever reach the engine stands in this record before it is
sent, and stays until it is proved that it cannot arrive any more. Memory is
committed for each item that is resident, has an open intent or has a load in
doubt; no version of the record commits more than the one before it unless that
fits.
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
    """The change would commit more memory than the endpoint has."""


@dataclass(frozen=True, slots=True)
class Intent:
    """One order written down before it is sent; ``memory_mb`` stays reserved."""

    order_id: OrderId
    kind: OrderKind
    memory_mb: int
    fence: FencingNumber
    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UnconfirmedLoad:
    """A load order that may still arrive at the engine, sent or yet to be sent."""

    item: ItemId
    memory_mb: int
    fence: FencingNumber
    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Memory, residents, open intents, loads in doubt and the owner.

    ``is_silent`` says that the engine gives its owner no answer.
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

    An engine holds one copy of an item, so an item counts once, at its largest.
    """
    taken_mb = dict(record.resident_mb_by_item)
    for item, intent in record.intents_by_item.items():
        taken_mb[item] = max(taken_mb.get(item, 0), intent.memory_mb)
    for doubt in record.in_doubt_by_id.values():
        taken_mb[doubt.item] = max(taken_mb.get(doubt.item, 0), doubt.memory_mb)
    return taken_mb


def committed_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that is taken or may yet be taken."""
    return sum(committed_mb_by_item(record).values())


def free_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that a new intent may reserve; may be negative."""
    return record.memory_mb - committed_mb(record)


def unloading_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that the open unloads will free."""
    in_doubt = unconfirmed_items(record)
    return sum(
        intent.memory_mb
        for item, intent in record.intents_by_item.items()
        if intent.kind is OrderKind.UNLOAD and item not in in_doubt
    )


def unconfirmed_items(record: EndpointRecord) -> frozenset[ItemId]:
    """Return the items of which a load may still arrive."""
    return frozenset(doubt.item for doubt in record.in_doubt_by_id.values())


def with_intent(record: EndpointRecord, item: ItemId, intent: Intent) -> EndpointRecord:
    """Return the record with ``intent`` open; a load it replaces is in doubt.

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
    """Return the record with an open load of ``item`` moved among those in doubt."""
    intent = record.intents_by_item.get(item)
    if intent is None or intent.kind is not OrderKind.LOAD:
        return record
    doubt = UnconfirmedLoad(
        item, intent.memory_mb, intent.fence, intent.node, intent.incarnation
    )
    in_doubt = {**record.in_doubt_by_id, intent.order_id: doubt}
    return replace(without_intent(record, item), in_doubt_by_id=in_doubt)


def with_new_owner(
    record: EndpointRecord,
    node: NodeId,
    incarnation: Incarnation,
    fence: FencingNumber,
) -> EndpointRecord:
    """Return the record with another owner; the open loads are in doubt."""
    for item in record.intents_by_item:
        record = with_load_unconfirmed(record, item)
    return replace(record, owner=node, owner_incarnation=incarnation, fence=fence)


def with_confirmed_order(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record after the engine confirmed the intent for ``item``."""
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
    """Return the record with ``item`` resident, as the engine said it is."""
    resident = {**record.resident_mb_by_item, item: memory_mb}
    return replace(record, resident_mb_by_item=resident)


def without_resident(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record without ``item``, which the engine no longer holds."""
    resident = dict(record.resident_mb_by_item)
    resident.pop(item, None)
    return replace(record, resident_mb_by_item=resident)


def without_intent(record: EndpointRecord, item: ItemId) -> EndpointRecord:
    """Return the record without the intent for ``item``.

    Only for an order that was never sent, or that the engine can no longer
    accept; else the memory might be given away twice.
    """
    intents = dict(record.intents_by_item)
    intents.pop(item)
    return replace(record, intents_by_item=intents)


def without_unconfirmed_load(
    record: EndpointRecord, order_id: OrderId
) -> EndpointRecord:
    """Return the record without a load that can no longer arrive."""
    in_doubt = dict(record.in_doubt_by_id)
    in_doubt.pop(order_id)
    return replace(record, in_doubt_by_id=in_doubt)
