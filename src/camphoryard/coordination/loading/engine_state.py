"""State of one engine as the leader knows it."""

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.loading.ports import EngineReport
from camphoryard.state.ids import AdapterId, ModelId
from camphoryard.state.serving_endpoints import LoadedModel, ServingEndpoint
from camphoryard.state.traffic import EngineSpec, RequestedModel

BACKOFF_S = 0.5
"""Pause after an order that the engine did not accept, before the next order to it."""
ADAPTER_LOAD_S = 0.05
"""How long an adapter counts as loading; most take a few hundredths of a second."""


@dataclass(slots=True)
class EngineState:
    """One engine: its loaded and loading items, and the number of its accepted orders.

    Only the leader orders the engine, so its state is known from its reports and the
    orders sent since. ``accepted_orders`` is the number of orders that it has accepted,
    or None before its first report. ``is_engine_busy`` is from its last report: it may
    be carrying out a move that another node ordered. ``call_lock`` is held while an
    order is sent, because each order bears the number of orders accepted before it.
    """

    endpoint: ServingEndpoint
    spec: EngineSpec
    clock: Callable[[], float] = time.monotonic
    accepted_orders: int | None = None
    loading: ModelId | None = None
    unloading: ModelId | None = None
    move_began_s: float = 0.0
    load_began_s: float | None = None
    is_engine_busy: bool = False
    call_lock: threading.Lock = field(default_factory=threading.Lock)
    _backs_off_until_s: float = 0.0
    _adapters_by_model: dict[ModelId, set[AdapterId]] = field(default_factory=dict)
    _last_used_s_by_item: dict[RequestedModel, float] = field(default_factory=dict)
    _loaded_since_s: dict[ModelId, float] = field(default_factory=dict)
    _loading_until_s: dict[RequestedModel, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # Models loaded before this node's first observation count as loaded long ago.
        self._loaded_since_s = dict.fromkeys(
            self.endpoint.loaded_by_model, float("-inf")
        )
        self._set_loaded(self.endpoint.loaded_by_model)

    def update_endpoint(self, endpoint: ServingEndpoint) -> None:
        """Update the engine's record from the directory.

        The record is older than the engine's own reports, so its models only count
        if the engine has restarted.
        """
        if endpoint.started_ms != self.endpoint.started_ms:
            self.end_move()
            self.accepted_orders = None
            self._loading_until_s.clear()
            self._set_loaded(endpoint.loaded_by_model)
        self.endpoint = endpoint

    def apply_report(self, report: EngineReport) -> bool:
        """Apply a report; return whether it includes the last accepted order."""
        self.is_engine_busy = report.is_busy
        is_current = report.orders_accepted >= (self.accepted_orders or 0)
        if is_current:
            self.accepted_orders = report.orders_accepted
            self._set_loaded(report.loaded_by_model)
            for item in report.loading_adapters:
                if item.adapter is not None:
                    self._adapters_by_model.setdefault(item.model, set()).add(
                        item.adapter
                    )
        return is_current

    def count_accepted_order(self) -> None:
        """Record that the engine accepted an order."""
        if self.accepted_orders is not None:
            self.accepted_orders += 1

    def begin_move(self, model: ModelId) -> None:
        """Record the start of a move that will load ``model``."""
        self.loading = model
        self.load_began_s = None
        self.move_began_s = self.clock()

    def end_move(self) -> None:
        """Record the end of the current move."""
        self.loading = self.unloading = None
        self.load_began_s = None

    def back_off(self) -> None:
        """Send the engine no orders for ``BACKOFF_S``."""
        self._backs_off_until_s = self.clock() + BACKOFF_S

    def invalidate(self) -> None:
        """Mark this state as unknown until the engine's next report."""
        self.accepted_orders = None
        self.is_engine_busy = True

    @property
    def accepts_moves(self) -> bool:
        """Whether the engine's state is known and it is not busy with another order."""
        return not (
            self.accepted_orders is None or self.is_engine_busy or self.is_backing_off
        )

    @property
    def accepts_adapters(self) -> bool:
        """Whether adapters can be ordered now: no model is being loaded or unloaded."""
        return not (self.loading or self.is_engine_busy or self.is_backing_off)

    @property
    def is_backing_off(self) -> bool:
        """Whether the engine failed to accept an order less than ``BACKOFF_S`` ago."""
        return self.clock() < self._backs_off_until_s

    @property
    def models(self) -> frozenset[ModelId]:
        """The models that requests can run on now."""
        return frozenset(self._adapters_by_model.keys() - {self.unloading})

    def has_loaded(self, item: RequestedModel) -> bool:
        """Return whether ``item`` is loaded or its adapter is loading."""
        if item.model not in self.models:
            return False
        return item.adapter is None or item.adapter in self.adapters(item.model)

    def adapters(self, model: ModelId) -> frozenset[AdapterId]:
        """Return the adapters of ``model`` that are loaded or loading."""
        return frozenset(self._adapters_by_model.get(model, ()))

    def mark_used(self, item: RequestedModel) -> None:
        """Record that a request is about to run on ``item``."""
        self._last_used_s_by_item[item] = self.clock()

    def idle_s(self, item: RequestedModel) -> float:
        """Return the seconds since the last known use of ``item``."""
        return self.clock() - self._last_used_s_by_item.get(item, float("-inf"))

    def loaded_for_s(self, model: ModelId) -> float:
        """Return for how many seconds ``model`` has been loaded."""
        return self.clock() - self._loaded_since_s.get(model, float("-inf"))

    @property
    def committed_mb_by_model(self) -> Mapping[ModelId, float]:
        """Memory in MB of loaded and loading models, including their adapters."""
        models = set(self._adapters_by_model)
        models.update(item for item in (self.loading, self.unloading) if item)
        return {model: self.size_mb(model) for model in models}

    @property
    def free_mb(self) -> float:
        """Memory in MB that no loaded or loading item takes."""
        return self.spec.memory_mb - sum(self.committed_mb_by_model.values())

    def has_room_for(self, model: ModelId) -> bool:
        """Return whether ``model`` fits in beside everything else that is committed."""
        spec = self.spec.models_by_id.get(model)
        if spec is None:
            return False
        committed_mb = sum(
            size_mb
            for item, size_mb in self.committed_mb_by_model.items()
            if item != model
        )
        return committed_mb + spec.memory_mb <= self.spec.memory_mb

    def has_room_for_adapter(self, model: ModelId) -> bool:
        """Return whether one more adapter of ``model`` fits."""
        spec = self.spec.models_by_id.get(model)
        if spec is None or self.adapter_count >= self.spec.adapter_slots:
            return False
        return self.free_mb >= spec.adapter_mb

    @property
    def adapter_count(self) -> int:
        """Number of adapter slots that are taken."""
        return sum(map(len, self._adapters_by_model.values()))

    @property
    def loading_adapter_count(self) -> int:
        """Number of adapters that are loading."""
        now_s = self.clock()
        return sum(until_s > now_s for until_s in self._loading_until_s.values())

    def is_loading(self, item: RequestedModel) -> bool:
        """Return whether an adapter may not be loaded yet."""
        return self._loading_until_s.get(item, 0.0) > self.clock()

    def size_mb(self, model: ModelId) -> float:
        """Return the memory in MB of a model with its loaded adapters.

        A model that is no longer configured counts as the whole memory.
        """
        spec = self.spec.models_by_id.get(model)
        if spec is None:
            return self.spec.memory_mb
        return spec.memory_mb + len(self.adapters(model)) * spec.adapter_mb

    def add_model(self, model: ModelId) -> None:
        """Record that a model has been loaded."""
        self._adapters_by_model.setdefault(model, set())
        self._loaded_since_s[model] = self.clock()

    def remove_model(self, model: ModelId) -> None:
        """Record that a model has been unloaded."""
        self.unloading = None
        self._adapters_by_model.pop(model, None)

    def add_loading_adapter(self, item: RequestedModel) -> None:
        """Record that an adapter is loading."""
        assert item.adapter is not None
        self._adapters_by_model.setdefault(item.model, set()).add(item.adapter)
        self.mark_used(item)
        self._loading_until_s[item] = self.clock() + ADAPTER_LOAD_S

    def remove_adapter(self, item: RequestedModel) -> None:
        """Record that an adapter has been unloaded."""
        assert item.adapter is not None
        self._adapters_by_model.get(item.model, set()).discard(item.adapter)
        self._loading_until_s.pop(item, None)

    def _set_loaded(self, loaded: Mapping[ModelId, LoadedModel]) -> None:
        now_s = self.clock()
        loading = [
            item
            for item, until_s in tuple(self._loading_until_s.items())
            if until_s > now_s
        ]
        self._loading_until_s = {item: self._loading_until_s[item] for item in loading}
        self._adapters_by_model = {
            model: set(item.adapters) for model, item in loaded.items()
        }
        for item in loading:
            if item.model in self._adapters_by_model and item.adapter is not None:
                self._adapters_by_model[item.model].add(item.adapter)
        for model in loaded:
            self._loaded_since_s.setdefault(model, now_s)
        for model in self._loaded_since_s.keys() - loaded.keys():
            del self._loaded_since_s[model]
