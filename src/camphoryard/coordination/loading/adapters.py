"""Adapters: loaded beside the models, in the task that asks for one."""

import threading
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.loading.book import EngineBook
from camphoryard.coordination.loading.calls import TOOK, EngineCalls
from camphoryard.coordination.loading.ports import OrderAnswer
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import EndpointId, ItemId
from camphoryard.state.traffic import WantedModel

ARRIVAL_S = 0.025
"""Most adapters arrive within a few hundredths of a second."""
REST_S = 1.5
"""An adapter that was asked for so short a time ago is not the one to make room."""
ON_THEIR_WAY = 4
"""The most that an engine takes in at once."""


def item_of(wanted: WantedModel) -> ItemId:
    """Return the item, as demand counts it, that a request runs on."""
    if wanted.adapter is None:
        return ItemId(wanted.model)
    return ItemId(f"{wanted.model}:{wanted.adapter}")


@dataclass(slots=True)
class AdapterLoader:
    """Loads adapters at engines that hold their model."""

    calls: EngineCalls
    directory: Directory
    load: Callable[[EndpointId], float]
    demand: Callable[[], Mapping[ItemId, ItemDemand]]
    _pause: threading.Event = field(default_factory=threading.Event)

    def provide(
        self, books: list[EngineBook], wanted: WantedModel
    ) -> EndpointId | None:
        """Return where ``wanted`` can be used, having its adapter loaded if need be."""
        holding = [book for book in books if book.holds(wanted)]
        if holding:
            book = min(holding, key=self._filling)
            book.used(wanted)
            return book.endpoint.id
        for book in sorted(books, key=self._order):
            if book.takes_adapters and self.load_at(book, wanted):
                self.directory.learned(book.endpoint.id, wanted)
                return book.endpoint.id
        return None

    def load_at(self, book: EngineBook, wanted: WantedModel) -> bool:
        """Order an adapter, making room for it; return whether it is on its way."""
        with book.calls:
            if book.holds(wanted):
                return True
            if wanted.model not in book.models or book.arriving >= ON_THEIR_WAY:
                return False
            if not self._make_room(book):
                return False
            answer = self.calls.send(book, OrderKind.LOAD, wanted)
            if answer not in TOOK:
                return False
            book.adapter_ordered(wanted)
        if answer is OrderAnswer.ACCEPTED:
            self._pause.wait(ARRIVAL_S)
        return True

    def _make_room(self, book: EngineBook) -> bool:
        """Unload the adapter least asked for if all places are taken."""
        if book.adapter_count < book.spec.adapter_places:
            return True
        demand = self.demand()

        def value(item: WantedModel) -> tuple[float, float]:
            return demand.get(item_of(item), NO_DEMAND).fast, -book.unused_s(item)

        victim = min(held_adapters([book]), key=value)
        if book.unused_s(victim) < REST_S or book.is_arriving(victim):
            return False
        answer = self.calls.send(book, OrderKind.UNLOAD, victim)
        if answer is OrderAnswer.DONE:
            book.adapter_left(victim)
            return True
        # It is in use and leaves later, or not at all: its place is not free.
        book.used(victim)
        return False

    def _filling(self, book: EngineBook) -> float:
        return self.load(book.endpoint.id)

    def _order(self, book: EngineBook) -> tuple[bool, float]:
        """Put engines with a free place first, then the least loaded."""
        is_full = book.adapter_count >= book.spec.adapter_places
        return is_full, self._filling(book)


def held_adapters(books: Collection[EngineBook]) -> set[WantedModel]:
    """Return the adapters that engines hold or that are on their way."""
    return {
        WantedModel(model, adapter)
        for book in books
        for model in book.models
        for adapter in book.adapters(model)
    }


def missing_adapters(
    book: EngineBook, held: Collection[WantedModel]
) -> Iterator[WantedModel]:
    """Yield adapters that a free place of an engine could hold, of its models."""
    if book.adapter_count >= book.spec.adapter_places:
        return
    for model in sorted(book.models):
        spec = book.spec.models_by_id.get(model)
        for adapter in spec.adapters if spec else ():
            item = WantedModel(model, adapter)
            if item not in held:
                yield item
