"""Which orders the open wishes at one endpoint call for."""

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from camphoryard.coordination.eviction import Occupant, base_of, choose_victims
from camphoryard.coordination.wishes import (
    ClosedWish,
    LoadWish,
    NoRoomError,
    UnloadWish,
    Wish,
)
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    committed_mb_by_item,
    free_mb,
    items_in_doubt,
    with_intent,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import EndpointId, ItemId
from camphoryard.state.tables import EndpointTable

USED_OF_LATE_S = 10.0

MakeIntent = Callable[[EndpointRecord, OrderKind, int], Intent]


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a plan looks at beside the record and the wishes.

    Parameters
    ----------
    size_mb : callable
        Configured memory of an item in MB, or None.
    last_used_s : callable
        When an item was last used, on the monotonic clock.
    resident_since_s : mapping
        When the owner first saw each resident, on the monotonic clock.
    min_residency_s : float
        How long an item stays before it may make room for another.
    table : EndpointTable
        Records of all endpoints.
    intent : callable
        Makes an intent of this owner.
    """

    size_mb: Callable[[ItemId], int | None]
    last_used_s: Callable[[ItemId], float]
    resident_since_s: Mapping[ItemId, float]
    min_residency_s: float
    table: EndpointTable
    intent: MakeIntent


class Plan:
    """Adds the intents to a record that meet its wishes.

    Free memory and memory that open unloads will free go to wishes in their
    order, so a large item is not starved by small ones that came later.
    ``closed`` are the wishes that the record meets, or that it never can.
    """

    def __init__(
        self, record: EndpointRecord, wishes: Sequence[Wish], around: Surroundings
    ) -> None:
        self.record = record
        self.closed: list[ClosedWish] = []
        self._around = around
        self._open = wishes
        self._free_mb = free_mb(record)
        self._coming_mb = _coming_mb(record)

    def make(self) -> EndpointRecord:
        """Return the record with the intents to carry out now."""
        self._shrink()
        for wish in self._open:
            match wish:
                case LoadWish():
                    self._load(wish)
                case UnloadWish():
                    self._unload(wish)
        return self.record

    def _shrink(self) -> None:
        """Make the residents fit again after the endpoint got less memory."""
        excess_mb = -(self._free_mb + self._coming_mb)
        if excess_mb > 0:
            self._evict(choose_victims(self._occupants(), excess_mb))

    def _load(self, wish: LoadWish) -> None:
        item = wish.item
        if item in self.record.intents_by_item:
            return
        if item in self.record.resident_mb_by_item:
            self.closed.append(ClosedWish(wish))
            return
        size_mb = self._around.size_mb(item)
        if size_mb is None or not self._can_ever_fit(item, size_mb):
            error = NoRoomError(f"{item} does not fit into {self.record.id}")
            self.closed.append(ClosedWish(wish, error))
            return
        taken_mb = committed_mb_by_item(self.record).get(item, 0)
        growth_mb = max(0, size_mb - taken_mb)
        if growth_mb <= self._free_mb:
            self._intend(item, OrderKind.LOAD, size_mb)
            self._free_mb -= growth_mb
            return
        self._make_room(growth_mb)

    def _make_room(self, growth_mb: int) -> None:
        missing_mb = growth_mb - max(0, self._free_mb) - self._coming_mb
        if missing_mb > 0:
            victims = choose_victims(self._occupants(), missing_mb)
            if not victims:
                return
            self._evict(victims)
        self._coming_mb += max(0, self._free_mb) - growth_mb
        self._free_mb = 0

    def _unload(self, wish: UnloadWish) -> None:
        item = wish.item
        if item in self.record.intents_by_item:
            return
        if item not in self.record.resident_mb_by_item:
            self.closed.append(ClosedWish(wish))
            return
        freed_mb = self.record.resident_mb_by_item[item]
        self._intend(item, OrderKind.UNLOAD, freed_mb)
        self._coming_mb += freed_mb

    def _can_ever_fit(self, item: ItemId, size_mb: int) -> bool:
        taken_mb = committed_mb_by_item(self.record)
        pinned_mb = sum(
            taken_mb[other] for other in items_in_doubt(self.record) if other != item
        )
        return size_mb <= self.record.memory_mb - pinned_mb

    def _evict(self, victims: Sequence[Occupant]) -> None:
        for victim in victims:
            self._intend(victim.item, OrderKind.UNLOAD, victim.memory_mb)
            self._coming_mb += victim.memory_mb

    def _intend(self, item: ItemId, kind: OrderKind, memory_mb: int) -> None:
        intent = self._around.intent(self.record, kind, memory_mb)
        self.record = with_intent(self.record, item, intent)

    def _occupants(self) -> list[Occupant]:
        """Return the residents that may make room; a wished item never does."""
        wished = _wished_items(self._open)
        pinned = items_in_doubt(self.record) | self.record.intents_by_item.keys()
        elsewhere = _items_elsewhere(self._around.table, self.record.id)
        now_s = time.monotonic()
        return [
            self._occupant(item, memory_mb, item in elsewhere, now_s)
            for item, memory_mb in self.record.resident_mb_by_item.items()
            if item not in wished
            and item not in pinned
            and self._stayed_long_enough(item, now_s)
        ]

    def _occupant(
        self, item: ItemId, memory_mb: int, is_elsewhere: bool, now_s: float
    ) -> Occupant:
        last_used_s = self._around.last_used_s(item)
        return Occupant(
            item,
            memory_mb,
            self._around.size_mb(item) is not None,
            now_s - last_used_s < USED_OF_LATE_S,
            is_elsewhere,
            last_used_s,
        )

    def _stayed_long_enough(self, item: ItemId, now_s: float) -> bool:
        if self._around.size_mb(item) is None:
            return True
        since_s = self._around.resident_since_s.get(item, now_s)
        return now_s - since_s >= self._around.min_residency_s


def _coming_mb(record: EndpointRecord) -> int:
    """Return the memory, in MB, that the open unloads will free."""
    in_doubt = items_in_doubt(record)
    return sum(
        intent.memory_mb
        for item, intent in record.intents_by_item.items()
        if intent.kind is OrderKind.UNLOAD and item not in in_doubt
    )


def _wished_items(wishes: Sequence[Wish]) -> frozenset[ItemId]:
    loads = [wish.item for wish in wishes if isinstance(wish, LoadWish)]
    return frozenset(loads) | frozenset(base_of(item) for item in loads)


def _items_elsewhere(table: EndpointTable, here: EndpointId) -> frozenset[ItemId]:
    return frozenset(
        item
        for endpoint, record in table.by_id().items()
        if endpoint != here
        for item in record.resident_mb_by_item
        if item not in record.intents_by_item
    )
