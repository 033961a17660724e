"""Which orders the open wishes at one endpoint call for."""

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
    """What a plan looks at beside the record and the wishes.

    Parameters
    ----------
    occupancy : Occupancy
        How items are used.
    eviction : EvictionPolicy
        What leaves first.
    intent : callable
        Makes an intent of this owner.
    """

    occupancy: Occupancy
    eviction: EvictionPolicy
    intent: MakeIntent


class ResidencyPlan:
    """Adds the intents to a record that meet its wishes.

    Free memory and memory that open unloads will free go to wishes in their
    order, so a large item is not starved by small ones that came later.
    ``completed`` are the wishes that the record meets, or that it never can.
    """

    def __init__(
        self,
        record: EndpointRecord,
        wishes: Sequence[ResidencyRequest],
        around: PlanningContext,
    ) -> None:
        self.record = record
        self.completed: list[CompletedRequest] = []
        self._around = around
        self._open = wishes
        self._free_mb = free_mb(record)
        self._coming_mb = unloading_mb(record)

    def add_intents(self) -> EndpointRecord:
        """Return the record with the intents to carry out now."""
        self._shrink()
        for wish in self._open:
            match wish:
                case LoadRequest():
                    self._load(wish)
                case UnloadRequest():
                    self._unload(wish)
        return self.record

    def _shrink(self) -> None:
        """Make the residents fit again after the endpoint got less memory."""
        excess_mb = -(self._free_mb + self._coming_mb)
        if excess_mb > 0:
            self._evict(self._victims(excess_mb))

    def _load(self, wish: LoadRequest) -> None:
        item = wish.item
        if item in self.record.intents_by_item:
            return
        if item in self.record.resident_mb_by_item:
            self.completed.append(CompletedRequest(wish))
            return
        size_mb = self._around.occupancy.size_mb(item)
        if size_mb is None or not self._can_ever_fit(item, size_mb):
            error = NoRoomError(f"{item} does not fit into {self.record.id}")
            self.completed.append(CompletedRequest(wish, error))
            return
        if not self._has_base(item):
            return
        taken_mb = committed_mb_by_item(self.record).get(item, 0)
        growth_mb = max(0, size_mb - taken_mb)
        if growth_mb <= self._free_mb:
            self._intend(item, OrderKind.LOAD, size_mb)
            self._free_mb -= growth_mb
            return
        self._make_room(growth_mb, wish.limit_slots)

    def _has_base(self, item: ItemId) -> bool:
        """Return whether an adapter's base is here, or comes; true of a model."""
        base = base_of(item)
        intent = self.record.intents_by_item.get(base)
        if intent is not None:
            return intent.kind is OrderKind.LOAD
        return base == item or base in self.record.resident_mb_by_item

    def _make_room(self, growth_mb: int, limit_slots: float) -> None:
        missing_mb = growth_mb - max(0, self._free_mb) - self._coming_mb
        if missing_mb > 0:
            victims = self._victims(missing_mb)
            if not victims or lost_demand_slots(victims) > limit_slots:
                return
            self._evict(victims)
        self._coming_mb += max(0, self._free_mb) - growth_mb
        self._free_mb = 0

    def _unload(self, wish: UnloadRequest) -> None:
        item = wish.item
        if item in self.record.intents_by_item:
            return
        if item not in self.record.resident_mb_by_item:
            self.completed.append(CompletedRequest(wish))
            return
        freed_mb = self.record.resident_mb_by_item[item]
        self._intend(item, OrderKind.UNLOAD, freed_mb)
        self._coming_mb += freed_mb

    def _can_ever_fit(self, item: ItemId, size_mb: int) -> bool:
        taken_mb = committed_mb_by_item(self.record)
        pinned_mb = sum(
            taken_mb[other] for other in unconfirmed_items(self.record) if other != item
        )
        return size_mb <= self.record.memory_mb - pinned_mb

    def _evict(self, victims: Sequence[EvictionCandidate]) -> None:
        for victim in victims:
            self._intend(victim.item, OrderKind.UNLOAD, victim.memory_mb)
            self._coming_mb += victim.memory_mb

    def _intend(self, item: ItemId, kind: OrderKind, memory_mb: int) -> None:
        intent = self._around.intent(self.record, kind, memory_mb)
        self.record = with_intent(self.record, item, intent)

    def _victims(self, needed_mb: int) -> tuple[EvictionCandidate, ...]:
        """Return who leaves for ``needed_mb``; a wished item never does."""
        occupancy, wished = self._around.occupancy, _wished_items(self._open)
        eviction_candidates = occupancy.eviction_candidates(self.record, wished)
        return choose_victims(self._around.eviction, eviction_candidates, needed_mb)


def _wished_items(wishes: Sequence[ResidencyRequest]) -> frozenset[ItemId]:
    loads = [wish.item for wish in wishes if isinstance(wish, LoadRequest)]
    return frozenset(loads) | frozenset(base_of(item) for item in loads)
