"""Chooses whether and where to load an item that requests wait for.

A load is worthwhile if the demand it serves exceeds the demand its eviction victims
serve by at least the cost of the moves. Other loads are deferred, but not
indefinitely: an item that was resident nowhere for ``longest_absence_s`` is loaded
where evicting costs least.
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

MAX_LOST_DEMAND_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class LoadChoice:
    """Endpoint to load at, and the most demand that its victims may serve."""

    endpoint: EndpointId
    limit_slots: float = math.inf


@dataclass(frozen=True, slots=True)
class _LoadCost:
    """Lost demand and number of moves of a load at one endpoint."""

    endpoint: EndpointId
    lost_demand_slots: float
    moves: int


def choose_endpoints(
    policy: EvictionPolicy,
    occupancy: Occupancy,
    items: tuple[ItemId, ...],
    candidates: Sequence[EndpointId],
) -> tuple[LoadChoice, ...]:
    """Return the endpoints where ``items`` may be loaded now, best first."""
    match policy:
        case LeastRecentlyUsed():
            return _by_free_memory(occupancy, items[0], candidates)
        case LeastDemand():
            return _by_eviction_cost(policy, occupancy, items, candidates)


def _by_free_memory(
    occupancy: Occupancy, model: ItemId, candidates: Sequence[EndpointId]
) -> tuple[LoadChoice, ...]:
    """Return endpoints with the base model first, unresponsive ones last."""

    def sort_key(endpoint: EndpointId) -> tuple[bool, int]:
        record = occupancy.table.find(endpoint)
        if record is None or record.is_silent:
            return False, 0
        return model in record.resident_mb_by_item, free_mb(record)

    return tuple(map(LoadChoice, sorted(candidates, key=sort_key, reverse=True)))


def _by_eviction_cost(
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
    costs = [
        cost
        for cost in (_evaluate(policy, occupancy, items, record) for record in records)
        if cost is not None
    ]
    if not costs:
        return ()
    costs.sort(
        key=lambda cost: cost.lost_demand_slots + cost.moves * policy.move_cost_slots
    )
    is_due = _absence_s(occupancy, items) >= policy.longest_absence_s
    requested_slots = _requested_slots(occupancy, items)
    choices = []
    for cost in costs:
        limit_slots = max(
            policy.idle_slots, requested_slots - cost.moves * policy.move_cost_slots
        )
        if is_due:
            limit_slots = max(
                limit_slots, costs[0].lost_demand_slots * MAX_LOST_DEMAND_RATIO
            )
        if cost.lost_demand_slots <= limit_slots:
            choices.append(LoadChoice(cost.endpoint, limit_slots))
    return tuple(choices)


def _evaluate(
    policy: LeastDemand,
    occupancy: Occupancy,
    items: tuple[ItemId, ...],
    record: EndpointRecord,
) -> _LoadCost | None:
    """Return the cost of loading ``items`` at an endpoint; None if they cannot fit."""
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
    return _LoadCost(record.id, lost_demand_slots(victims), len(missing) + len(victims))


def _absence_s(occupancy: Occupancy, items: tuple[ItemId, ...]) -> float:
    """Return the longest time in s that any of ``items`` was resident nowhere."""
    now_s = time.monotonic()
    return max(now_s - occupancy.table.last_resident_s(item, now_s) for item in items)


def _requested_slots(occupancy: Occupancy, items: tuple[ItemId, ...]) -> float:
    """Return the demand that loading ``items`` would serve.

    Uses the slow average: the fast one is high for any item requested just now.
    """
    demand_by_item = occupancy.demand_by_item()
    requested = items[-1]
    if requested == base_of(requested) or _is_absent(occupancy, items[0]):
        return sum(
            demand.slow
            for item, demand in demand_by_item.items()
            if base_of(item) == base_of(requested)
        )
    return demand_by_item.get(requested, NO_DEMAND).slow


def _is_absent(occupancy: Occupancy, item: ItemId) -> bool:
    return not any(
        item in record.resident_mb_by_item
        for record in occupancy.table.by_id().values()
    )
