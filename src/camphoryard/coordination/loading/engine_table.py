"""State of all engines as the leader knows them."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from camphoryard.coordination.loading.engine_client import EngineClient
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ModelId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import EngineSpec

UNRESPONSIVE_LIFE_S = 3.0
"""How long an engine that does not answer counts as unavailable; its record expires
after about as long."""


@dataclass(slots=True)
class EngineTable:
    """State of each engine; a new term starts with an empty table."""

    directory: Directory
    client: EngineClient
    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _engine_by_id: dict[EndpointId, EngineState] = field(default_factory=dict)
    _unresponsive_until_s: dict[EndpointId, float] = field(default_factory=dict)

    def clear(self) -> None:
        """Drop the state of all engines: other nodes may have ordered them since."""
        with self._lock:
            self._engine_by_id.clear()

    def find(self, id: EndpointId) -> EngineState | None:
        """Return the state of one engine, or None if it is not known."""
        with self._lock:
            return self._engine_by_id.get(id)

    def ready(self, service: ServiceId) -> list[EngineState]:
        """Return the engines of a service that are ready and not unresponsive."""
        self.refresh()
        now_s = self.clock()
        with self._lock:
            return [
                engine
                for id, engine in self._engine_by_id.items()
                if engine.endpoint.service == service
                and engine.endpoint.state is EndpointState.READY
                and self._unresponsive_until_s.get(id, 0.0) <= now_s
            ]

    def with_model(self, service: ServiceId, model: ModelId) -> list[EngineState]:
        """Return the ready engines of a service that have ``model`` loaded."""
        return [engine for engine in self.ready(service) if model in engine.models]

    def refresh(self) -> None:
        """Update the engines from the records in the directory."""
        endpoint_by_id = self.directory.endpoints_by_id()
        with self._lock:
            for id in self._engine_by_id.keys() - endpoint_by_id.keys():
                del self._engine_by_id[id]
            for endpoint in endpoint_by_id.values():
                spec = self.engine_spec(endpoint.service)
                if spec is None:
                    continue
                engine = self._engine_by_id.get(endpoint.id)
                if engine is None:
                    engine = EngineState(endpoint, spec, self.clock)
                    self._engine_by_id[endpoint.id] = engine
                else:
                    engine.spec = spec
                    engine.update_endpoint(endpoint)

    def query_unknown(self) -> None:
        """Request reports from engines whose state is unknown or that are busy.

        A busy engine without a move of this node carries out one of another node. Each
        report request has a cost, so an engine is queried at intervals only.
        """
        with self._lock:
            engines = [
                engine
                for engine in self._engine_by_id.values()
                if (engine.accepted_orders is None or engine.is_engine_busy)
                and engine.loading is None
                and not engine.is_backing_off
            ]
        for engine in engines:
            with engine.call_lock:
                self.client.query(engine)
            if engine.accepted_orders is None or engine.is_engine_busy:
                engine.back_off()

    def check_unreachable(self, avoid: Collection[EndpointId]) -> None:
        """Find out which engines that a node could not reach are unresponsive."""
        self.refresh()
        for id in avoid:
            engine = self.find(id)
            if engine is None or self._is_unresponsive(id):
                continue
            with engine.call_lock:
                # Another task may have queried the engine while this one waited for it.
                if self._is_unresponsive(id) or self.client.responds(engine):
                    continue
                with self._lock:
                    self._unresponsive_until_s[id] = self.clock() + UNRESPONSIVE_LIFE_S
            self.client.log("engine_silent", endpoint=id)

    def _is_unresponsive(self, id: EndpointId) -> bool:
        with self._lock:
            return self._unresponsive_until_s.get(id, 0.0) > self.clock()

    def engine_spec(self, service: ServiceId) -> EngineSpec | None:
        """Return the engine specification of a service, or None if it has none."""
        rules = self.directory.rules
        spec = rules.services_by_id.get(service) if rules else None
        return spec.engine if spec else None
