"""Which items of an endpoint may be evicted, and how much demand each serves."""

import time
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from camphoryard.coordination.residency.eviction import EvictionCandidate, base_of
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord, unconfirmed_items
from camphoryard.state.ids import EndpointId, ItemId
from camphoryard.state.tables import EndpointTable

RECENT_USE_WINDOW_S = 10.0

DemandByItem = Mapping[ItemId, ItemDemand]


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Sizes, use and demand of items, as known to this node.

    Parameters
    ----------
    size_mb : callable
        Configured memory of an item in MB, or None.
    last_used_s : callable
        Time of an item's last use in s, on the monotonic clock.
    demand_by_item : callable
        Returns the demand at all nodes, by item.
    table : EndpointTable
        Records of all endpoints.
    min_residency_s : float
        Least time that an item stays loaded before it may be evicted.
    """

    size_mb: Callable[[ItemId], int | None]
    last_used_s: Callable[[ItemId], float]
    demand_by_item: Callable[[], DemandByItem]
    table: EndpointTable
    min_residency_s: float

    def eviction_candidates(
        self, record: EndpointRecord, excluded: Collection[ItemId]
    ) -> list[EvictionCandidate]:
        """Return the residents that may be evicted, without those in ``excluded``."""
        pinned = unconfirmed_items(record) | record.intents_by_item.keys()
        copies_elsewhere = _copies_elsewhere(self.table, record.id)
        demand_by_item = self.demand_by_item()
        now_s = time.monotonic()
        return [
            self._candidate(record, item, copies_elsewhere[item], demand_by_item, now_s)
            for item in record.resident_mb_by_item
            if item not in excluded
            and item not in pinned
            and self._is_past_min_residency(record.id, item, now_s)
        ]

    def _candidate(
        self,
        record: EndpointRecord,
        item: ItemId,
        copies_elsewhere: int,
        demand_by_item: DemandByItem,
        now_s: float,
    ) -> EvictionCandidate:
        last_used_s = self.last_used_s(item)
        return EvictionCandidate(
            item,
            record.resident_mb_by_item[item],
            self.size_mb(item) is not None,
            now_s - last_used_s < RECENT_USE_WINDOW_S,
            copies_elsewhere > 0,
            last_used_s,
            _requested_slots(record, item, demand_by_item) / (copies_elsewhere + 1),
        )

    def _is_past_min_residency(
        self, endpoint: EndpointId, item: ItemId, now_s: float
    ) -> bool:
        if self.size_mb(item) is None:
            return True
        since_s = self.table.resident_since_s(endpoint, item)
        return since_s is not None and now_s - since_s >= self.min_residency_s


def _requested_slots(
    record: EndpointRecord, item: ItemId, demand_by_item: DemandByItem
) -> float:
    """Return the demand for an item; for a base, with its adapters at the endpoint.

    An adapter without its base model loaded serves no demand.
    """
    resident = record.resident_mb_by_item
    if base_of(item) not in resident:
        return 0.0
    family = [other for other in resident if item in (other, base_of(other))]
    return sum(demand_by_item.get(other, NO_DEMAND).expected for other in family)


def _copies_elsewhere(table: EndpointTable, here: EndpointId) -> Counter[ItemId]:
    return Counter(
        item
        for endpoint, record in table.by_id().items()
        if endpoint != here
        for item in record.resident_mb_by_item
        if item not in record.intents_by_item
    )
