"""The durable record of one endpoint: what is in its memory or may get there.

Every order that can ever reach the engine stands in this record before it is
sent. An endpoint's committed memory is the sum over resident models and open
intents, and no version of the record may commit more than the endpoint has.
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
    """An order written down before it is sent; ``memory_mb`` stays reserved."""

    order_id: OrderId
    kind: OrderKind
    memory_mb: int
    fence: FencingNumber
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Memory, residents, open intents and the owner of one endpoint."""

    id: EndpointId
    memory_mb: int
    owner: NodeId
    owner_incarnation: Incarnation
    fence: FencingNumber
    write_id: WriteId
    resident_mb_by_item: Mapping[ItemId, int] = field(default_factory=dict)
    intents_by_item: Mapping[ItemId, Intent] = field(default_factory=dict)


def committed_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that is taken or may yet be taken."""
    resident = sum(record.resident_mb_by_item.values())
    loading = sum(
        intent.memory_mb
        for model, intent in record.intents_by_item.items()
        if model not in record.resident_mb_by_item
    )
    return resident + loading


def free_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that a new intent may reserve."""
    return record.memory_mb - committed_mb(record)


def with_intent(
    record: EndpointRecord, model: ItemId, intent: Intent
) -> EndpointRecord:
    """Return the record with ``intent`` open.

    Raises
    ------
    OvercommitError
        If the reservation does not fit.
    """
    intents = {**record.intents_by_item, model: intent}
    changed = replace(record, intents_by_item=intents)
    if committed_mb(changed) > changed.memory_mb:
        raise OvercommitError(f"{model} does not fit into {record.id}")
    return changed


def confirmed(record: EndpointRecord, model: ItemId) -> EndpointRecord:
    """Return the record after the engine confirmed the intent for ``model``."""
    intents = dict(record.intents_by_item)
    intent = intents.pop(model)
    resident = dict(record.resident_mb_by_item)
    match intent.kind:
        case OrderKind.LOAD:
            resident[model] = intent.memory_mb
        case OrderKind.UNLOAD:
            resident.pop(model, None)
    return replace(record, intents_by_item=intents, resident_mb_by_item=resident)


def withdrawn(record: EndpointRecord, model: ItemId) -> EndpointRecord:
    """Return the record without the intent for ``model``.

    Only for an order that was never sent, or that the engine can no longer
    accept; else the memory might be given away twice.
    """
    intents = dict(record.intents_by_item)
    intents.pop(model)
    return replace(record, intents_by_item=intents)
