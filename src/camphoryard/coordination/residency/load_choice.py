"""Whether a load that requests wait for pays for its moves, and where to load.

A load pays if the demand it serves exceeds what its victims serve by the cost
of the moves. One that does not is held back, but not for ever: an item that was
resident nowhere for long enough gets its turn at the least price.
"""

import math
import time
from collections.abc import Sequence
from dataclasses import dataclass

from camphoryard.coordination.residency.eviction import (
    EvictionCandidate,
    EvictionPolicy,
    LeastDemand,
    LeastRecentlyUsed,
    base_of,
    choose_victims,
    lost_demand_slots,
)
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.state.demand import NO_DEMAND
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    committed_mb_by_item,
    free_mb,
    unloading_mb,
)
from camphoryard.state.ids import EndpointId, ItemId

PRICE_TOLERANCE = 1.5


@dataclass(frozen=True, slots=True)
class LoadChoice:
    """Where to load, and how much demand the victims there may serve."""

    endpoint: EndpointId
    limit_slots: float = math.inf


@dataclass(frozen=True, slots=True)
class _Offer:
    """What a load at one endpoint takes."""

    endpoint: EndpointId
    lost_demand_slots: float
    moves: int


def choose_endpoints(
    policy: EvictionPolicy,
    occupancy: Occupancy,
    items: tuple[ItemId, ...],
    candidates: Sequence[EndpointId],
) -> tuple[LoadChoice, ...]:
    """Return where ``items`` may be loaded now, the best endpoint first."""
    match policy:
        case LeastRecentlyUsed():
            return _by_free_memory(occupancy, items[0], candidates)
        case LeastDemand():
            return _by_price(policy, occupancy, items, candidates)


def _by_free_memory(
    occupancy: Occupancy, model: ItemId, candidates: Sequence[EndpointId]
) -> tuple[LoadChoice, ...]:
    """Put where the base is first, silent endpoints last."""

    def order(endpoint: EndpointId) -> tuple[bool, int]:
        record = occupancy.table.find(endpoint)
        if record is None or record.is_silent:
            return False, 0
        return model in record.resident_mb_by_item, free_mb(record)

    return tuple(map(LoadChoice, sorted(candidates, key=order, reverse=True)))


def _by_price(
    policy: LeastDemand,
    occupancy: Occupancy,
    items: tuple[ItemId, ...],
    candidates: Sequence[EndpointId],
) -> tuple[LoadChoice, ...]:
    records = [
        record
        for record in map(occupancy.table.find, candidates)
        if record is not None and not record.is_silent
    ]
    offers = [
        offer
        for offer in (_offer(policy, occupancy, items, record) for record in records)
        if offer is not None
    ]
    if not offers:
        return ()
    offers.sort(
        key=lambda offer: offer.lost_demand_slots + offer.moves * policy.move_cost_slots
    )
    is_due = _absence_s(occupancy, items) >= policy.longest_absence_s
    asked_slots = _asked_slots(occupancy, items)
    choices = []
    for offer in offers:
        limit_slots = max(
            policy.idle_slots, asked_slots - offer.moves * policy.move_cost_slots
        )
        if is_due:
            limit_slots = max(
                limit_slots, offers[0].lost_demand_slots * PRICE_TOLERANCE
            )
        if offer.lost_demand_slots <= limit_slots:
            choices.append(LoadChoice(offer.endpoint, limit_slots))
    return tuple(choices)


def _offer(
    policy: LeastDemand,
    occupancy: Occupancy,
    items: tuple[ItemId, ...],
    record: EndpointRecord,
) -> _Offer | None:
    """Return what ``items`` take at one endpoint, or None if they cannot be there."""
    missing = [item for item in items if item not in record.resident_mb_by_item]
    committed = committed_mb_by_item(record)
    needed_mb = -free_mb(record) - unloading_mb(record)
    for item in missing:
        size_mb = occupancy.size_mb(item)
        if size_mb is None:
            return None
        needed_mb += max(0, size_mb - committed.get(item, 0))
    victims: tuple[EvictionCandidate, ...] = ()
    if needed_mb > 0:
        victims = choose_victims(
            policy, occupancy.eviction_candidates(record, items), needed_mb
        )
        if not victims:
            return None
    return _Offer(record.id, lost_demand_slots(victims), len(missing) + len(victims))


def _absence_s(occupancy: Occupancy, items: tuple[ItemId, ...]) -> float:
    """Return for how long one of ``items`` at least was resident nowhere."""
    now_s = time.monotonic()
    return max(now_s - occupancy.table.last_resident_s(item, now_s) for item in items)


def _asked_slots(occupancy: Occupancy, items: tuple[ItemId, ...]) -> float:
    """Return the demand that loading ``items`` would serve.

    The slow average counts, since the fast one of any item asked for just now
    is high.
    """
    demand_by_item = occupancy.demand_by_item()
    wanted = items[-1]
    if wanted == base_of(wanted) or _is_absent(occupancy, items[0]):
        return sum(
            demand.slow
            for item, demand in demand_by_item.items()
            if base_of(item) == base_of(wanted)
        )
    return demand_by_item.get(wanted, NO_DEMAND).slow


def _is_absent(occupancy: Occupancy, item: ItemId) -> bool:
    return not any(
        item in record.resident_mb_by_item
        for record in occupancy.table.by_id().values()
    )
