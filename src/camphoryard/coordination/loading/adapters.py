"""Adapters: loaded beside the models, in the task that asks for one."""

import threading
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.loading.calls import TOOK, EngineCalls
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import OrderAnswer
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import EndpointId, ItemId, ModelId
from camphoryard.state.traffic import RequestedModel

ARRIVAL_S = 0.025
"""Most adapters arrive within a few hundredths of a second."""
REST_S = 1.5
"""An adapter that was asked for so short a time ago is not the one to make room."""
ON_THEIR_WAY = 4
"""The most that an engine takes in at once."""


def item_of(wanted: RequestedModel) -> ItemId:
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
        self, engines: list[EngineState], wanted: RequestedModel
    ) -> EndpointId | None:
        """Return where ``wanted`` can be used, having its adapter loaded if need be."""
        holding = [engine for engine in engines if engine.holds(wanted)]
        if holding:
            engine = min(holding, key=self._filling)
            engine.used(wanted)
            return engine.endpoint.id
        for engine in sorted(engines, key=self._order):
            if engine.takes_adapters and self.load_at(engine, wanted):
                self.directory.record_loaded(engine.endpoint.id, wanted)
                return engine.endpoint.id
        return None

    def load_at(self, engine: EngineState, wanted: RequestedModel) -> bool:
        """Order an adapter, making room for it; return whether it is on its way."""
        with engine.calls:
            if engine.holds(wanted):
                return True
            if wanted.model not in engine.models or engine.arriving >= ON_THEIR_WAY:
                return False
            if not self._make_room(engine):
                return False
            answer = self.calls.send(engine, OrderKind.LOAD, wanted)
            if answer not in TOOK:
                return False
            engine.adapter_ordered(wanted)
        if answer is OrderAnswer.ACCEPTED:
            self._pause.wait(ARRIVAL_S)
        return True

    def _make_room(self, engine: EngineState) -> bool:
        """Unload the adapter least asked for if all places are taken."""
        if engine.adapter_count < engine.spec.adapter_slots:
            return True
        demand = self.demand()

        def value(item: RequestedModel) -> tuple[float, float]:
            return demand.get(item_of(item), NO_DEMAND).fast, -engine.unused_s(item)

        victim = min(held_adapters([engine]), key=value)
        if engine.unused_s(victim) < REST_S or engine.is_arriving(victim):
            return False
        answer = self.calls.send(engine, OrderKind.UNLOAD, victim)
        if answer is OrderAnswer.DONE:
            engine.adapter_left(victim)
            return True
        # It is in use and leaves later, or not at all: its place is not free.
        engine.used(victim)
        return False

    def _filling(self, engine: EngineState) -> float:
        return self.load(engine.endpoint.id)

    def _order(self, engine: EngineState) -> tuple[bool, float]:
        """Put engines with a free place first, then the least loaded."""
        is_full = engine.adapter_count >= engine.spec.adapter_slots
        return is_full, self._filling(engine)


def held_adapters(engines: Collection[EngineState]) -> set[RequestedModel]:
    """Return the adapters that engines hold or that are on their way."""
    return {
        RequestedModel(model, adapter)
        for engine in engines
        for model in engine.models
        for adapter in engine.adapters(model)
    }


def missing_adapters(
    engine: EngineState, held: Collection[RequestedModel]
) -> Iterator[RequestedModel]:
    """Yield adapters that a free place of an engine could hold, of its models."""
    if engine.adapter_count >= engine.spec.adapter_slots:
        return
    for model in sorted(engine.models):
        spec = engine.spec.models_by_id.get(model)
        for adapter in spec.adapters if spec else ():
            item = RequestedModel(model, adapter)
            if item not in held:
                yield item


def adapter_slots_by_model(
    engines: Collection[EngineState], demand_by_item: Mapping[ItemId, ItemDemand]
) -> Mapping[ModelId, float]:
    """Return the demand for adapters, in slots, that each copy of a model has to take.

    While models move at an engine it takes no adapter, so the others have to.
    """
    slots: dict[ModelId, float] = {}
    for item, demand in demand_by_item.items():
        name, _, adapter = item.partition(":")
        if adapter:
            model = ModelId(name)
            slots[model] = slots.get(model, 0.0) + demand.fast
    taking = [engine for engine in engines if engine.takes_adapters]
    return {
        model: total / max(1, sum(model in engine.models for engine in taking))
        for model, total in slots.items()
    }
