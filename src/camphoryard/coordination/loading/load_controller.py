"""Load control: the leader decides which models and adapters engines load.

All orders to one engine go through its ``EngineState``, which numbers them. Each
move (unloading models at one engine, then loading another) runs in a separate task, as
an engine carries out one move at a time. Adapters are loaded concurrently with moves,
in the task of the request that needs one.
"""

import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.coordination.leadership.leader_lease import NO_TERM, LeaderLease
from camphoryard.coordination.loading.adapters import (
    AdapterLoader,
    adapter_demand_by_model,
    loaded_adapters,
    unloaded_adapters,
)
from camphoryard.coordination.loading.coverage import (
    CoveragePolicy,
    EngineView,
    FleetView,
    LoadMove,
    best_load,
    first_copy_value,
    plan_copies,
    plan_preload,
)
from camphoryard.coordination.loading.engine_client import EngineClient
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.engine_table import EngineTable
from camphoryard.coordination.loading.move_executor import POLL_PERIOD_S, MoveExecutor
from camphoryard.coordination.loading.ports import EngineApi
from camphoryard.coordination.loading.store_rate import LoadLimits, StoreRateLimiter
from camphoryard.coordination.ports import DecisionLog, Timer
from camphoryard.state.demand import ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ItemId, ModelId, NodeId, ServiceId
from camphoryard.state.traffic import RequestedModel

PLAN_PERIOD_S = 0.25
MAX_MOVES_PER_PERIOD = 8
"""Moves started in one planning period at most. A fleet of a hundred engines starts
tens of moves per second when demand shifts, as fast as its weight store allows."""
UNLOAD_ESTIMATE_S = 0.5
"""Time until a load is accepted: requests on the evicted models have to end first."""
QUEUE_ESTIMATE_S = 2.0
"""Time until an engine is free for another move when all engines are busy."""
ADAPTER_ESTIMATE_S = 0.2
"""Time until an adapter slot becomes free when all are in use."""
STEADY_DEMAND_WEIGHT = 0.3
"""Weight of the demand of the last half minute relative to that of the last seconds:
demand for a model that has none now may return."""
LOAD_REQUEST_LIFE_S = 3.0
"""How long a load request counts after the last request for the model."""


@dataclass(frozen=True, slots=True)
class Loaded:
    """An item is loaded at ``endpoint``."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Loading:
    """An item will be loaded somewhere in about ``ready_in_s`` seconds."""

    ready_in_s: float


@dataclass(frozen=True, slots=True)
class CannotLoad:
    """The node that was asked cannot have the item loaded."""


LoadStatus: TypeAlias = Loaded | Loading | CannotLoad


@dataclass(slots=True)
class _LoadRequest:
    """Requests have waited for a model since ``since_s``; expires at ``until_s``."""

    service: ServiceId
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class LoadControlContext:
    """Collaborators of a LoadController; ``demand`` is that of all nodes.

    ``speed_by_engine`` gives the speeds of engines that are known, relative to the
    other engines of their service.
    """

    node: NodeId
    directory: Directory
    leader_lease: LeaderLease
    engine_api: EngineApi
    demand: Callable[[], Mapping[ItemId, ItemDemand]]
    endpoint_load: Callable[[EndpointId], float]
    executor: Executor
    timer: Timer
    log: DecisionLog
    count: Callable[[str], None]
    load_limits: LoadLimits = LoadLimits()
    policy: CoveragePolicy = CoveragePolicy()
    clock: Callable[[], float] = time.monotonic
    speed_by_engine: Callable[[], Mapping[EndpointId, float]] = dict


class LoadController:
    """Decides which items engines load, and orders it while this node is leader."""

    def __init__(self, context: LoadControlContext) -> None:
        self._context = context
        client = EngineClient(
            context.node,
            context.leader_lease,
            context.engine_api,
            context.log,
            context.count,
        )
        self._engines = EngineTable(context.directory, client, context.clock)
        self._move_executor = MoveExecutor(
            client,
            context.directory,
            context.timer,
            context.log,
            context.count,
            context.clock,
        )
        self._adapters = AdapterLoader(
            client, context.directory, context.endpoint_load, context.demand
        )
        self._lock = threading.Lock()
        self._move_by_engine: dict[EndpointId, LoadMove] = {}
        self._load_request_by_model: dict[ModelId, _LoadRequest] = {}
        self._rate_limiter = StoreRateLimiter(context.load_limits, context.clock)
        self._term = NO_TERM

    @property
    def is_leader(self) -> bool:
        """Whether this node may order engines now."""
        return self._context.leader_lease.term != NO_TERM

    def unloads_by_endpoint(self) -> Mapping[EndpointId, tuple[ModelId, ...]]:
        """Return the models that moves in progress unload, by endpoint.

        An endpoint declines requests for them as soon as it has the order.
        """
        with self._lock:
            return {
                engine: move.evicted
                for engine, move in self._move_by_engine.items()
                if move.evicted
            }

    def run(self, timer: Timer) -> None:
        """Plan moves until the timer service closes."""
        for _ in timer.every(PLAN_PERIOD_S):
            self.refresh_term()
            if self.is_leader:
                self.plan()

    def limit(self, limits: LoadLimits) -> None:
        """Change the limits of loads from the weight store."""
        self._rate_limiter.set_limits(limits)

    def ensure_loaded(
        self,
        service: ServiceId,
        item: RequestedModel,
        avoid: Collection[EndpointId] = (),
    ) -> LoadStatus:
        """Ensure that ``item`` is loaded; return where it is or when it will be.

        Waits until an adapter is loaded, which takes some hundredths of a second.
        Engines in ``avoid`` could not be reached by the asking node; those that do not
        answer this node either count as unavailable for some seconds.
        """
        self.refresh_term()
        spec = self._engines.engine_spec(service)
        if not self.is_leader or spec is None or item.model not in spec.models_by_id:
            return CannotLoad()
        self._engines.check_unreachable(avoid)
        engines = self._engines.with_model(service, item.model)
        if engines:
            found = self._adapters.ensure_loaded(engines, item)
            return (
                Loaded(found) if found else Loading(self._adapter_estimate_s(engines))
            )
        self._request_load(service, item.model)
        return Loading(self._estimate_s(service, item.model))

    def plan(self) -> None:
        """Start the moves that are worth their cost: load requests, then copies."""
        self.refresh_engines()
        now_s = self._context.clock()
        with self._lock:
            self._load_request_by_model = {
                model: request
                for model, request in self._load_request_by_model.items()
                if request.until_s > now_s
            }
            requests = list(self._load_request_by_model.items())
        waiting_models = [
            (model, request)
            for model, request in requests
            if not self._engines.with_model(request.service, model)
        ]
        for model, request in waiting_models:
            self._start_requested(request, model, len(waiting_models))
        for service in self._services():
            self._plan_service(service)

    def refresh_engines(self) -> None:
        """Update the states of the engines."""
        self._engines.refresh()
        self._engines.query_unknown()

    def refresh_term(self) -> None:
        """Reset all state if the term has changed, before any order in the new term."""
        term = self._context.leader_lease.term
        with self._lock:
            if term == self._term:
                return
            self._term = term
        self._engines.clear()
        self._rate_limiter.reset(0.0)

    def _plan_service(self, service: ServiceId) -> None:
        for _ in range(MAX_MOVES_PER_PERIOD):
            if not self._plan_move(service):
                break
        self._fill_adapter_slots(service)

    def _plan_move(self, service: ServiceId) -> bool:
        """Start the move with the highest gain; return whether there was one."""
        view = self._view(service)
        move = plan_copies(self._context.policy, view)
        if move is not None:
            return self._start(service, move, "demand")
        move = plan_preload(self._context.policy, view)
        return move is not None and self._start(service, move, "room")

    def _fill_adapter_slots(self, service: ServiceId) -> None:
        """Load adapters that no engine has into free slots, one at each engine."""
        engines = self._engines.ready(service)
        loaded = loaded_adapters(engines)
        for engine in engines:
            item = next(unloaded_adapters(engine, loaded), None)
            if (
                item is not None
                and engine.accepts_adapters
                and not engine.loading_adapter_count
            ):
                loaded.add(item)
                self._context.executor.submit(self._adapters.load_adapter, engine, item)

    def _services(self) -> Iterable[ServiceId]:
        rules = self._context.directory.rules
        if rules is None:
            return ()
        return [
            id for id, spec in rules.services_by_id.items() if spec.engine is not None
        ]

    def _request_load(self, service: ServiceId, model: ModelId) -> None:
        """Record a load request for ``model``; start its load if it is the first."""
        now_s = self._context.clock()
        with self._lock:
            existing = self._load_request_by_model.get(model)
            since_s = existing.since_s if existing else now_s
            request = _LoadRequest(service, since_s, now_s + LOAD_REQUEST_LIFE_S)
            self._load_request_by_model[model] = request
            waiting_models = len(self._load_request_by_model)
        if existing is None:
            self._start_requested(request, model, waiting_models)

    def _estimate_s(self, service: ServiceId, model: ModelId) -> float:
        """Return the estimated seconds until some engine has ``model`` loaded."""
        engines = self._engines.ready(service)
        loading = [engine for engine in engines if engine.loading == model]
        if not loading:
            specs = [engine.spec.models_by_id[model] for engine in engines[:1]]
            return QUEUE_ESTIMATE_S + sum(spec.disk_load_s for spec in specs)
        return min(self._move_estimate_s(engine, model) for engine in loading)

    def _adapter_estimate_s(self, engines: list[EngineState]) -> float:
        """Return the estimated seconds until some engine accepts an adapter."""
        if any(engine.accepts_adapters for engine in engines):
            return ADAPTER_ESTIMATE_S
        return min(
            self._move_estimate_s(engine, engine.loading)
            if engine.loading
            else QUEUE_ESTIMATE_S
            for engine in engines
        )

    def _move_estimate_s(self, engine: EngineState, model: ModelId) -> float:
        """Return the estimated seconds until the move that loads ``model`` ends."""
        spec = engine.spec.models_by_id.get(model)
        if spec is None:
            return QUEUE_ESTIMATE_S
        is_local = model in engine.endpoint.on_hand
        load_s = spec.disk_load_s if is_local else spec.load_s
        now_s = self._context.clock()
        if engine.load_began_s is not None:
            return max(POLL_PERIOD_S, load_s - (now_s - engine.load_began_s))
        left_s = UNLOAD_ESTIMATE_S - (now_s - engine.move_began_s)
        return load_s + max(POLL_PERIOD_S, left_s)

    def _start_requested(
        self, request: _LoadRequest, model: ModelId, waiting_models: int
    ) -> None:
        """Load a requested model if its value covers the cost of the move."""
        view = self._view(request.service)
        if model in view.copies_by_model or model not in view.spec_by_model:
            return
        found = best_load(self._context.policy, view, model)
        if found is None:
            return
        move, cost_slots = found
        waited_s = self._context.clock() - request.since_s
        value_slots = first_copy_value(
            self._context.policy, view, model, waited_s, waiting_models
        )
        if cost_slots <= value_slots:
            self._start(request.service, move, "wanted")

    def _view(self, service: ServiceId) -> FleetView:
        """Return the engines of a service and the demand for its models."""
        engines = self._engines.ready(service)
        with self._lock:
            busy_engines = frozenset(self._move_by_engine)
            requested = frozenset(self._load_request_by_model)
        demand = self._context.demand()
        adapter_demand = adapter_demand_by_model(engines, demand)
        speed_by_engine = self._context.speed_by_engine()
        views = tuple(
            EngineView(
                engine.endpoint.id,
                engine.free_mb,
                engine.committed_mb_by_model,
                self._recently_loaded(engine, requested),
                engine.endpoint.on_hand,
                engine.endpoint.id in busy_engines or not engine.accepts_moves,
                sum(adapter_demand.get(model, 0.0) for model in engine.models),
                speed_by_engine.get(engine.endpoint.id, 1.0),
            )
            for engine in engines
        )
        specs = engines[0].spec.models_by_id if engines else {}
        return FleetView(
            views,
            _demand_by_model(
                demand,
                specs,
                lambda item: max(item.fast, STEADY_DEMAND_WEIGHT * item.slow),
            ),
            specs,
            _demand_by_model(demand, specs, lambda item: item.slow),
        )

    def _recently_loaded(
        self, engine: EngineState, requested: frozenset[ModelId]
    ) -> frozenset[ModelId]:
        """Return the models that were loaded too recently to be evicted."""
        least_s = self._context.policy.min_residency_s
        return frozenset(
            model
            for model in engine.models
            if engine.loaded_for_s(model)
            < (LOAD_REQUEST_LIFE_S if model in requested else least_s)
        )

    def _start(self, service: ServiceId, move: LoadMove, cause: str) -> bool:
        """Start a move unless the weight store's rate limit forbids it."""
        spec = self._engines.engine_spec(service)
        engine = self._engines.find(move.engine)
        if spec is None or engine is None:
            return False
        with self._lock:
            if move.engine in self._move_by_engine:
                return False
            if move.from_store and not self._rate_limiter.try_acquire(spec.loads_per_s):
                return False
            self._move_by_engine[move.engine] = move
            engine.begin_move(move.model)
        self._context.directory.record_unloads({move.engine: move.evicted})
        self._context.log(
            "move_started",
            endpoint=move.engine,
            load=move.model,
            unload=",".join(move.evicted),
            from_store=move.from_store,
            cause=cause,
            term=self._context.leader_lease.term,
        )
        self._context.executor.submit(self._execute, engine, move)
        return True

    def _execute(self, engine: EngineState, move: LoadMove) -> None:
        try:
            self._move_executor.execute(engine, move)
        finally:
            with self._lock:
                del self._move_by_engine[move.engine]


def _demand_by_model(
    demand_by_item: Mapping[ItemId, ItemDemand],
    models: Collection[ModelId],
    slots_of: Callable[[ItemDemand], float],
) -> dict[ModelId, float]:
    """Return the demand for models, including the demand for their adapters."""
    slots: dict[ModelId, float] = {}
    for item, demand in demand_by_item.items():
        model = ModelId(item.partition(":")[0])
        if model in models:
            slots[model] = slots.get(model, 0.0) + slots_of(demand)
    return slots
