"""Loading of adapters, in the task of the request that needs one."""

import threading
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.loading.engine_client import (
    SUCCESSFUL_ANSWERS,
    EngineClient,
)
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import OrderAnswer
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import EndpointId, ItemId, ModelId
from camphoryard.state.traffic import RequestedModel

ADAPTER_LOAD_WAIT_S = 0.025
"""Most adapters are loaded within a few hundredths of a second."""
MIN_ADAPTER_IDLE_S = 1.5
"""An adapter that was used more recently than this is not evicted."""
MAX_LOADING_ADAPTERS = 4
"""Adapters that one engine loads concurrently at most."""


def demand_item_id(item: RequestedModel) -> ItemId:
    """Return the id under which demand for ``item`` is counted."""
    if item.adapter is None:
        return ItemId(item.model)
    return ItemId(f"{item.model}:{item.adapter}")


@dataclass(slots=True)
class AdapterLoader:
    """Loads adapters at engines that have their base model loaded."""

    client: EngineClient
    directory: Directory
    endpoint_load: Callable[[EndpointId], float]
    demand: Callable[[], Mapping[ItemId, ItemDemand]]
    _pause: threading.Event = field(default_factory=threading.Event)

    def ensure_loaded(
        self, engines: list[EngineState], item: RequestedModel
    ) -> EndpointId | None:
        """Return an engine with ``item`` loaded, loading its adapter if necessary."""
        loaded_at = [engine for engine in engines if engine.has_loaded(item)]
        if loaded_at:
            engine = min(loaded_at, key=self._engine_load)
            engine.mark_used(item)
            return engine.endpoint.id
        for engine in sorted(engines, key=self._sort_key):
            if engine.accepts_adapters and self.load_adapter(engine, item):
                self.directory.record_loaded(engine.endpoint.id, item)
                return engine.endpoint.id
        return None

    def load_adapter(self, engine: EngineState, item: RequestedModel) -> bool:
        """Order an adapter, evicting another if full; return whether it is loading."""
        with engine.call_lock:
            if engine.has_loaded(item):
                return True
            if (
                item.model not in engine.models
                or engine.loading_adapter_count >= MAX_LOADING_ADAPTERS
            ):
                return False
            if not self._make_room(engine):
                return False
            answer = self.client.send(engine, OrderKind.LOAD, item)
            if answer not in SUCCESSFUL_ANSWERS:
                return False
            engine.add_loading_adapter(item)
        if answer is OrderAnswer.ACCEPTED:
            self._pause.wait(ADAPTER_LOAD_WAIT_S)
        return True

    def _make_room(self, engine: EngineState) -> bool:
        """Unload the adapter with the least demand if all adapter slots are taken."""
        if engine.adapter_count < engine.spec.adapter_slots:
            return True
        demand = self.demand()

        def value(item: RequestedModel) -> tuple[float, float]:
            return (
                demand.get(demand_item_id(item), NO_DEMAND).fast,
                -engine.idle_s(item),
            )

        victim = min(loaded_adapters([engine]), key=value)
        if engine.idle_s(victim) < MIN_ADAPTER_IDLE_S or engine.is_loading(victim):
            return False
        answer = self.client.send(engine, OrderKind.UNLOAD, victim)
        if answer is OrderAnswer.DONE:
            engine.remove_adapter(victim)
            return True
        # The adapter is in use and is unloaded later, or not at all: its slot is not
        # free.
        engine.mark_used(victim)
        return False

    def _engine_load(self, engine: EngineState) -> float:
        return self.endpoint_load(engine.endpoint.id)

    def _sort_key(self, engine: EngineState) -> tuple[bool, float]:
        """Order engines with a free adapter slot first, then by load."""
        is_full = engine.adapter_count >= engine.spec.adapter_slots
        return is_full, self._engine_load(engine)


def loaded_adapters(engines: Collection[EngineState]) -> set[RequestedModel]:
    """Return the adapters that engines have loaded or are loading."""
    return {
        RequestedModel(model, adapter)
        for engine in engines
        for model in engine.models
        for adapter in engine.adapters(model)
    }


def unloaded_adapters(
    engine: EngineState, loaded: Collection[RequestedModel]
) -> Iterator[RequestedModel]:
    """Yield adapters of an engine's models that are not in ``loaded``, if one fits."""
    if engine.adapter_count >= engine.spec.adapter_slots:
        return
    for model in sorted(engine.models):
        spec = engine.spec.models_by_id.get(model)
        for adapter in spec.adapters if spec else ():
            item = RequestedModel(model, adapter)
            if item not in loaded:
                yield item


def adapter_demand_by_model(
    engines: Collection[EngineState], demand_by_item: Mapping[ItemId, ItemDemand]
) -> Mapping[ModelId, float]:
    """Return the adapter demand per copy of each model, in slots.

    An engine accepts no adapter while it loads or unloads a model, so only the copies
    at other engines share the demand.
    """
    slots: dict[ModelId, float] = {}
    for item, demand in demand_by_item.items():
        name, _, adapter = item.partition(":")
        if adapter:
            model = ModelId(name)
            slots[model] = slots.get(model, 0.0) + demand.fast
    accepting = [engine for engine in engines if engine.accepts_adapters]
    return {
        model: total / max(1, sum(model in engine.models for engine in accepting))
        for model, total in slots.items()
    }
