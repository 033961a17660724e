"""What may leave an endpoint's memory, and what each item there is worth."""

import time
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from camphoryard.coordination.residency.eviction import EvictionCandidate, base_of
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord, unconfirmed_items
from camphoryard.state.ids import EndpointId, ItemId
from camphoryard.state.tables import EndpointTable

USED_OF_LATE_S = 10.0

DemandByItem = Mapping[ItemId, ItemDemand]


@dataclass(frozen=True, slots=True)
class Occupancy:
    """How items are used, as far as this node knows.

    Parameters
    ----------
    size_mb : callable
        Configured memory of an item in MB, or None.
    last_used_s : callable
        When an item was last used, on the monotonic clock.
    demand_by_item : callable
        What all nodes are asked for.
    table : EndpointTable
        Records of all endpoints.
    min_residency_s : float
        How long an item stays before it may make room for another.
    """

    size_mb: Callable[[ItemId], int | None]
    last_used_s: Callable[[ItemId], float]
    demand_by_item: Callable[[], DemandByItem]
    table: EndpointTable
    min_residency_s: float

    def eviction_candidates(
        self, record: EndpointRecord, staying: Collection[ItemId]
    ) -> list[EvictionCandidate]:
        """Return the residents that may make room, without those in ``staying``."""
        pinned = unconfirmed_items(record) | record.intents_by_item.keys()
        elsewhere = _copies_elsewhere(self.table, record.id)
        demand_by_item = self.demand_by_item()
        now_s = time.monotonic()
        return [
            self._occupant(record, item, elsewhere[item], demand_by_item, now_s)
            for item in record.resident_mb_by_item
            if item not in staying
            and item not in pinned
            and self._stayed_long_enough(record.id, item, now_s)
        ]

    def _occupant(
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
            now_s - last_used_s < USED_OF_LATE_S,
            copies_elsewhere > 0,
            last_used_s,
            _asked_slots(record, item, demand_by_item) / (copies_elsewhere + 1),
        )

    def _stayed_long_enough(
        self, endpoint: EndpointId, item: ItemId, now_s: float
    ) -> bool:
        if self.size_mb(item) is None:
            return True
        since_s = self.table.resident_since_s(endpoint, item)
        return since_s is not None and now_s - since_s >= self.min_residency_s


def _asked_slots(
    record: EndpointRecord, item: ItemId, demand_by_item: DemandByItem
) -> float:
    """Return the demand for an item and, for a base, for its adapters there.

    An adapter without its base serves nothing.
    """
    held = record.resident_mb_by_item
    if base_of(item) not in held:
        return 0.0
    family = [other for other in held if item in (other, base_of(other))]
    return sum(demand_by_item.get(other, NO_DEMAND).expected for other in family)


def _copies_elsewhere(table: EndpointTable, here: EndpointId) -> Counter[ItemId]:
    return Counter(
        item
        for endpoint, record in table.by_id().items()
        if endpoint != here
        for item in record.resident_mb_by_item
        if item not in record.intents_by_item
    )
