"""All engines, as the ordering node knows them."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from camphoryard.coordination.loading.calls import EngineCalls
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ModelId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import EngineSpec

SILENCE_LIFE_S = 3.0
"""How long an engine that does not answer counts as gone; its entry lapses after
about as long."""


@dataclass(slots=True)
class EngineTable:
    """What is known of each engine; a new term begins with nothing."""

    directory: Directory
    calls: EngineCalls
    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _engine_by_id: dict[EndpointId, EngineState] = field(default_factory=dict)
    _silent_until_s: dict[EndpointId, float] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all: what was ordered meanwhile is not known."""
        with self._lock:
            self._engine_by_id.clear()

    def find(self, id: EndpointId) -> EngineState | None:
        """Return what is known of one engine."""
        with self._lock:
            return self._engine_by_id.get(id)

    def of(self, service: ServiceId) -> list[EngineState]:
        """Return the engines of a service that take work and answer."""
        self.refresh()
        now_s = self.clock()
        with self._lock:
            return [
                engine
                for id, engine in self._engine_by_id.items()
                if engine.endpoint.service == service
                and engine.endpoint.state is EndpointState.READY
                and self._silent_until_s.get(id, 0.0) <= now_s
            ]

    def holders(self, service: ServiceId, model: ModelId) -> list[EngineState]:
        """Return the engines of a service that hold ``model``."""
        return [engine for engine in self.of(service) if model in engine.models]

    def refresh(self) -> None:
        """Take in the engines' entries."""
        seen = self.directory.endpoints_by_id()
        with self._lock:
            for id in self._engine_by_id.keys() - seen.keys():
                del self._engine_by_id[id]
            for endpoint in seen.values():
                spec = self.engine_spec(endpoint.service)
                if spec is None:
                    continue
                engine = self._engine_by_id.get(endpoint.id)
                if engine is None:
                    engine = EngineState(endpoint, spec, self.clock)
                    self._engine_by_id[endpoint.id] = engine
                else:
                    engine.spec = spec
                    engine.observe(endpoint)

    def ask_unknown(self) -> None:
        """Ask the engines of which this term knows nothing, or a move of another.

        Each question is priced, so an engine is asked once in a while only.
        """
        with self._lock:
            engines = [
                engine
                for engine in self._engine_by_id.values()
                if (engine.orders is None or engine.is_engine_busy)
                and engine.loading is None
                and not engine.is_resting
            ]
        for engine in engines:
            with engine.calls:
                self.calls.ask(engine)
            if engine.orders is None or engine.is_engine_busy:
                engine.rest()

    def check_reached(self, avoid: Collection[EndpointId]) -> None:
        """Note which of the engines that a node could not reach are silent."""
        self.refresh()
        for id in avoid:
            engine = self.find(id)
            if engine is None or self._is_silent(id):
                continue
            with engine.calls:
                # Another task may have asked while this one waited for its turn.
                if self._is_silent(id) or self.calls.answers(engine):
                    continue
                with self._lock:
                    self._silent_until_s[id] = self.clock() + SILENCE_LIFE_S
            self.calls.log("engine_silent", endpoint=id)

    def _is_silent(self, id: EndpointId) -> bool:
        with self._lock:
            return self._silent_until_s.get(id, 0.0) > self.clock()

    def engine_spec(self, service: ServiceId) -> EngineSpec | None:
        """Return what the engines of a service hold, or None if it has none."""
        rules = self.directory.rules
        spec = rules.services_by_id.get(service) if rules else None
        return spec.engine if spec else None
