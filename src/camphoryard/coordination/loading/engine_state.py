"""What the node that orders engines knows of one of them."""

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.loading.ports import EngineReport
from camphoryard.state.ids import AdapterId, ModelId
from camphoryard.state.serving_endpoints import LoadedModel, ServingEndpoint
from camphoryard.state.traffic import EngineSpec, RequestedModel

REST_S = 0.5
"""After an order that an engine did not take, before the next one to it."""
ARRIVAL_S = 0.05
"""How long an adapter counts as on its way; most take a few hundredths."""


@dataclass(slots=True)
class EngineState:
    """One engine: what it holds, what is on its way, how many orders it took.

    Nobody else orders the engine, so what it holds is known from its reports and
    from the orders since. ``orders`` is how many it has accepted, or None before it was
    asked. ``is_engine_busy`` is what it last said: another node may have ordered a
    move that is still under way. ``calls`` is held while an order is sent, as each
    bears the number of those before it.
    """

    endpoint: ServingEndpoint
    spec: EngineSpec
    clock: Callable[[], float] = time.monotonic
    orders: int | None = None
    loading: ModelId | None = None
    unloading: ModelId | None = None
    move_began_s: float = 0.0
    load_began_s: float | None = None
    is_engine_busy: bool = False
    calls: threading.Lock = field(default_factory=threading.Lock)
    _rests_until_s: float = 0.0
    _adapters_by_model: dict[ModelId, set[AdapterId]] = field(default_factory=dict)
    _used_s_by_item: dict[RequestedModel, float] = field(default_factory=dict)
    _held_since_s: dict[ModelId, float] = field(default_factory=dict)
    _arriving_until_s: dict[RequestedModel, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # What is held before this node looks has been held for long.
        self._held_since_s = dict.fromkeys(self.endpoint.loaded_by_model, float("-inf"))
        self._replace(self.endpoint.loaded_by_model)

    def observe(self, endpoint: ServingEndpoint) -> None:
        """Take in the engine's entry.

        It is older than what the engine itself has answered since, so only a new
        start of the engine counts.
        """
        if endpoint.started_ms != self.endpoint.started_ms:
            self.end()
            self.orders = None
            self._arriving_until_s.clear()
            self._replace(endpoint.loaded_by_model)
        self.endpoint = endpoint

    def reported(self, report: EngineReport) -> bool:
        """Take in the engine's answer; return whether it includes the last order."""
        self.is_engine_busy = report.is_busy
        is_current = report.orders_accepted >= (self.orders or 0)
        if is_current:
            self.orders = report.orders_accepted
            self._replace(report.loaded_by_model)
            for item in report.coming:
                if item.adapter is not None:
                    self._adapters_by_model.setdefault(item.model, set()).add(
                        item.adapter
                    )
        return is_current

    def accepted(self) -> None:
        """Note that the engine accepted an order."""
        if self.orders is not None:
            self.orders += 1

    def begin(self, model: ModelId) -> None:
        """Note that a move is under way that will load ``model``."""
        self.loading = model
        self.load_began_s = None
        self.move_began_s = self.clock()

    def end(self) -> None:
        """Note that no move is under way any more."""
        self.loading = self.unloading = None
        self.load_began_s = None

    def rest(self) -> None:
        """Send the engine nothing for a while."""
        self._rests_until_s = self.clock() + REST_S

    def doubt(self) -> None:
        """Trust nothing that is written here until the engine has been asked."""
        self.orders = None
        self.is_engine_busy = True

    @property
    def takes_moves(self) -> bool:
        """Whether the engine is known, and not busy with another node's order."""
        return not (self.orders is None or self.is_engine_busy or self.is_resting)

    @property
    def takes_adapters(self) -> bool:
        """Whether adapters can be ordered now: not while a model moves."""
        return not (self.loading or self.is_engine_busy or self.is_resting)

    @property
    def is_resting(self) -> bool:
        """Whether the engine did not take an order a moment ago."""
        return self.clock() < self._rests_until_s

    @property
    def models(self) -> frozenset[ModelId]:
        """The models that requests can run on now."""
        return frozenset(self._adapters_by_model.keys() - {self.unloading})

    def holds(self, item: RequestedModel) -> bool:
        """Return whether a request for ``item`` can run here, or soon can."""
        if item.model not in self.models:
            return False
        return item.adapter is None or item.adapter in self.adapters(item.model)

    def adapters(self, model: ModelId) -> frozenset[AdapterId]:
        """Return the adapters of ``model`` that are held or on their way."""
        return frozenset(self._adapters_by_model.get(model, ()))

    def used(self, item: RequestedModel) -> None:
        """Note that a request is about to run on ``item``."""
        self._used_s_by_item[item] = self.clock()

    def unused_s(self, item: RequestedModel) -> float:
        """Return for how long nothing is known to have used ``item``."""
        return self.clock() - self._used_s_by_item.get(item, float("-inf"))

    def held_s(self, model: ModelId) -> float:
        """Return for how long ``model`` has been held."""
        return self.clock() - self._held_since_s.get(model, float("-inf"))

    @property
    def committed_mb_by_model(self) -> Mapping[ModelId, float]:
        """Memory in MB of what is held or on its way, adapters with their model."""
        models = set(self._adapters_by_model)
        models.update(item for item in (self.loading, self.unloading) if item)
        return {model: self.size_mb(model) for model in models}

    @property
    def free_mb(self) -> float:
        """Memory in MB that nothing holds and nothing on its way will."""
        return self.spec.memory_mb - sum(self.committed_mb_by_model.values())

    def has_room_for(self, model: ModelId) -> bool:
        """Return whether ``model`` fits beside all that is held now."""
        spec = self.spec.models_by_id.get(model)
        if spec is None:
            return False
        held_mb = sum(
            size_mb
            for item, size_mb in self.committed_mb_by_model.items()
            if item != model
        )
        return held_mb + spec.memory_mb <= self.spec.memory_mb

    def has_room_for_adapter(self, model: ModelId) -> bool:
        """Return whether one more adapter of ``model`` fits."""
        spec = self.spec.models_by_id.get(model)
        if spec is None or self.adapter_count >= self.spec.adapter_slots:
            return False
        return self.free_mb >= spec.adapter_mb

    @property
    def adapter_count(self) -> int:
        """How many adapter places are taken."""
        return sum(map(len, self._adapters_by_model.values()))

    @property
    def arriving(self) -> int:
        """How many adapters are on their way."""
        now_s = self.clock()
        return sum(until_s > now_s for until_s in self._arriving_until_s.values())

    def is_arriving(self, item: RequestedModel) -> bool:
        """Return whether an adapter may not have come yet."""
        return self._arriving_until_s.get(item, 0.0) > self.clock()

    def size_mb(self, model: ModelId) -> float:
        """Return the memory in MB of a model with the adapters held of it.

        A model that is no longer configured counts as the whole memory.
        """
        spec = self.spec.models_by_id.get(model)
        if spec is None:
            return self.spec.memory_mb
        return spec.memory_mb + len(self.adapters(model)) * spec.adapter_mb

    def model_came(self, model: ModelId) -> None:
        """Note that a load is complete."""
        self._adapters_by_model.setdefault(model, set())
        self._held_since_s[model] = self.clock()

    def model_left(self, model: ModelId) -> None:
        """Note that an unload is complete."""
        self.unloading = None
        self._adapters_by_model.pop(model, None)

    def adapter_ordered(self, item: RequestedModel) -> None:
        """Note that an adapter is on its way."""
        assert item.adapter is not None
        self._adapters_by_model.setdefault(item.model, set()).add(item.adapter)
        self.used(item)
        self._arriving_until_s[item] = self.clock() + ARRIVAL_S

    def adapter_left(self, item: RequestedModel) -> None:
        """Note that an adapter was unloaded."""
        assert item.adapter is not None
        self._adapters_by_model.get(item.model, set()).discard(item.adapter)
        self._arriving_until_s.pop(item, None)

    def _replace(self, held: Mapping[ModelId, LoadedModel]) -> None:
        now_s = self.clock()
        arriving = [
            item
            for item, until_s in tuple(self._arriving_until_s.items())
            if until_s > now_s
        ]
        self._arriving_until_s = {
            item: self._arriving_until_s[item] for item in arriving
        }
        self._adapters_by_model = {
            model: set(item.adapters) for model, item in held.items()
        }
        for item in arriving:
            if item.model in self._adapters_by_model and item.adapter is not None:
                self._adapters_by_model[item.model].add(item.adapter)
        for model in held:
            self._held_since_s.setdefault(model, now_s)
        for model in self._held_since_s.keys() - held.keys():
            del self._held_since_s[model]
