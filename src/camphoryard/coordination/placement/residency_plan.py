"""The orders that meet the open residency requests at one endpoint."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from camphoryard.coordination.residency.eviction import (
    EvictionCandidate,
    EvictionPolicy,
    base_of,
    choose_victims,
    lost_demand_slots,
)
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.residency_requests import (
    CompletedRequest,
    LoadRequest,
    NoRoomError,
    ResidencyRequest,
    UnloadRequest,
)
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    committed_mb_by_item,
    free_mb,
    unconfirmed_items,
    unloading_mb,
    with_intent,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import ItemId

MakeIntent = Callable[[EndpointRecord, OrderKind, int], Intent]


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """The input of a plan besides the endpoint's record and the requests.

    Parameters
    ----------
    occupancy : Occupancy
        Sizes of items and the candidates for eviction.
    eviction : EvictionPolicy
        Which candidates are evicted first.
    make_intent : callable
        Makes an intent of this owner from the record, the kind of order and the
        memory in MB.
    """

    occupancy: Occupancy
    eviction: EvictionPolicy
    make_intent: MakeIntent


class ResidencyPlan:
    """Adds to a record the intents that meet the open residency requests.

    Free memory, and memory that unloads will free, is given to the requests in
    order, so that later small items do not starve a large one. ``completed`` has
    the requests that the record already meets and those that cannot be met.
    """

    def __init__(
        self,
        record: EndpointRecord,
        requests: Sequence[ResidencyRequest],
        context: PlanningContext,
    ) -> None:
        self.record = record
        self.completed: list[CompletedRequest] = []
        self._context = context
        self._requests = requests
        self._free_mb = free_mb(record)
        self._unloading_mb = unloading_mb(record)

    def add_intents(self) -> EndpointRecord:
        """Return the record with the new intents to carry out now."""
        self._evict_excess()
        for request in self._requests:
            match request:
                case LoadRequest():
                    self._plan_load(request)
                case UnloadRequest():
                    self._plan_unload(request)
        return self.record

    def _evict_excess(self) -> None:
        """Evict items that no longer fit after the endpoint's memory was reduced."""
        excess_mb = -(self._free_mb + self._unloading_mb)
        if excess_mb > 0:
            self._evict(self._victims(excess_mb))

    def _plan_load(self, request: LoadRequest) -> None:
        item = request.item
        if item in self.record.intents_by_item:
            return
        if item in self.record.resident_mb_by_item:
            self.completed.append(CompletedRequest(request))
            return
        size_mb = self._context.occupancy.size_mb(item)
        if size_mb is None or not self._can_ever_fit(item, size_mb):
            error = NoRoomError(
                f"{item} does not fit into the memory of {self.record.id}"
            )
            self.completed.append(CompletedRequest(request, error))
            return
        if not self._has_base_model(item):
            return
        already_committed_mb = committed_mb_by_item(self.record).get(item, 0)
        growth_mb = max(0, size_mb - already_committed_mb)
        if growth_mb <= self._free_mb:
            self._add_intent(item, OrderKind.LOAD, size_mb)
            self._free_mb -= growth_mb
            return
        self._make_room(growth_mb, request.limit_slots)

    def _has_base_model(self, item: ItemId) -> bool:
        """Return whether the base model of an adapter is resident or loading.

        A model needs no base model.
        """
        base = base_of(item)
        intent = self.record.intents_by_item.get(base)
        if intent is not None:
            return intent.kind is OrderKind.LOAD
        return base == item or base in self.record.resident_mb_by_item

    def _make_room(self, growth_mb: int, limit_slots: float) -> None:
        missing_mb = growth_mb - max(0, self._free_mb) - self._unloading_mb
        if missing_mb > 0:
            victims = self._victims(missing_mb)
            if not victims or lost_demand_slots(victims) > limit_slots:
                return
            self._evict(victims)
        self._unloading_mb += max(0, self._free_mb) - growth_mb
        self._free_mb = 0

    def _plan_unload(self, request: UnloadRequest) -> None:
        item = request.item
        if item in self.record.intents_by_item:
            return
        if item not in self.record.resident_mb_by_item:
            self.completed.append(CompletedRequest(request))
            return
        freed_mb = self.record.resident_mb_by_item[item]
        self._add_intent(item, OrderKind.UNLOAD, freed_mb)
        self._unloading_mb += freed_mb

    def _can_ever_fit(self, item: ItemId, size_mb: int) -> bool:
        committed_mb = committed_mb_by_item(self.record)
        pinned_mb = sum(
            committed_mb[other]
            for other in unconfirmed_items(self.record)
            if other != item
        )
        return size_mb <= self.record.memory_mb - pinned_mb

    def _evict(self, victims: Sequence[EvictionCandidate]) -> None:
        for victim in victims:
            self._add_intent(victim.item, OrderKind.UNLOAD, victim.memory_mb)
            self._unloading_mb += victim.memory_mb

    def _add_intent(self, item: ItemId, kind: OrderKind, memory_mb: int) -> None:
        intent = self._context.make_intent(self.record, kind, memory_mb)
        self.record = with_intent(self.record, item, intent)

    def _victims(self, needed_mb: int) -> tuple[EvictionCandidate, ...]:
        """Return the items to evict for ``needed_mb``, never a requested one."""
        occupancy, requested = self._context.occupancy, _requested_items(self._requests)
        eviction_candidates = occupancy.eviction_candidates(self.record, requested)
        return choose_victims(self._context.eviction, eviction_candidates, needed_mb)


def _requested_items(requests: Sequence[ResidencyRequest]) -> frozenset[ItemId]:
    """Return the items requested to be loaded, and their base models."""
    loads = [request.item for request in requests if isinstance(request, LoadRequest)]
    return frozenset(loads) | frozenset(base_of(item) for item in loads)
