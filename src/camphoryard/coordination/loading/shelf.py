"""The books of all engines, as the ordering node sees them."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from camphoryard.coordination.loading.book import EngineBook
from camphoryard.coordination.loading.calls import EngineCalls
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ModelId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import EngineSpec

SILENCE_LIFE_S = 3.0
"""How long an engine that does not answer counts as gone; its entry lapses after
about as long."""


@dataclass(slots=True)
class Shelf:
    """Books by engine; a new term begins with none."""

    directory: Directory
    calls: EngineCalls
    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _book_by_id: dict[EndpointId, EngineBook] = field(default_factory=dict)
    _silent_until_s: dict[EndpointId, float] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all: what was ordered meanwhile is not known."""
        with self._lock:
            self._book_by_id.clear()

    def find(self, id: EndpointId) -> EngineBook | None:
        """Return the book of one engine."""
        with self._lock:
            return self._book_by_id.get(id)

    def of(self, service: ServiceId) -> list[EngineBook]:
        """Return the books of a service's engines that take work and answer."""
        self.refresh()
        now_s = self.clock()
        with self._lock:
            return [
                book
                for id, book in self._book_by_id.items()
                if book.endpoint.service == service
                and book.endpoint.state is EndpointState.READY
                and self._silent_until_s.get(id, 0.0) <= now_s
            ]

    def holders(self, service: ServiceId, model: ModelId) -> list[EngineBook]:
        """Return the books of the engines that hold ``model``."""
        return [book for book in self.of(service) if model in book.models]

    def refresh(self) -> None:
        """Bring the books up to the engines' entries."""
        seen = self.directory.endpoints_by_id()
        with self._lock:
            for id in self._book_by_id.keys() - seen.keys():
                del self._book_by_id[id]
            for endpoint in seen.values():
                spec = self.engine_spec(endpoint.service)
                if spec is None:
                    continue
                book = self._book_by_id.get(endpoint.id)
                if book is None:
                    book = EngineBook(endpoint, spec, self.clock)
                    self._book_by_id[endpoint.id] = book
                else:
                    book.spec = spec
                    book.saw(endpoint)

    def ask_unknown(self) -> None:
        """Ask the engines of which this term knows nothing, or a move of another.

        Each question is priced, so an engine is asked once in a while only.
        """
        with self._lock:
            books = [
                book
                for book in self._book_by_id.values()
                if (book.orders is None or book.is_engine_busy)
                and book.loading is None
                and not book.is_resting
            ]
        for book in books:
            with book.calls:
                self.calls.ask(book)
            if book.orders is None or book.is_engine_busy:
                book.rest()

    def check_reached(self, avoid: Collection[EndpointId]) -> None:
        """Note which of the engines that a node could not reach are silent."""
        now_s = self.clock()
        for id in avoid:
            book = self.find(id)
            if book is None or self._silent_until_s.get(id, 0.0) > now_s:
                continue
            with book.calls:
                answers = self.calls.answers(book)
            if not answers:
                with self._lock:
                    self._silent_until_s[id] = now_s + SILENCE_LIFE_S
                self.calls.log("engine_silent", endpoint=id)

    def engine_spec(self, service: ServiceId) -> EngineSpec | None:
        """Return what the engines of a service hold, or None if it has none."""
        rules = self.directory.rules
        spec = rules.services_by_id.get(service) if rules else None
        return spec.engine if spec else None
