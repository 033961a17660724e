"""The node that has the duty decides what engines hold.

All orders to one engine go through its ``EngineState``, which numbers them. One task
for each move carries it out, as an engine does one at a time; adapters move beside
them, in the task that asks for one.
"""

import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.coordination.duty.keeper import NO_TERM, DutyKeeper
from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.adapters import (
    AdapterLoader,
    adapter_slots_by_model,
    held_adapters,
    missing_adapters,
)
from camphoryard.coordination.loading.calls import EngineCalls
from camphoryard.coordination.loading.coverage import (
    CoveragePolicy,
    EngineView,
    FleetView,
    LoadMove,
    best_load,
    plan_copies,
    plan_preload,
    wanted_worth,
)
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.engine_table import EngineTable
from camphoryard.coordination.loading.moving import POLL_PERIOD_S, Mover
from camphoryard.coordination.loading.ports import EngineOrders
from camphoryard.coordination.loading.store_rate import LoadLimits, StoreRate
from camphoryard.coordination.ports import Timer
from camphoryard.state.demand import ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ItemId, ModelId, NodeId, ServiceId
from camphoryard.state.traffic import RequestedModel

PLAN_PERIOD_S = 0.25
MOVES_PER_TURN = 8
"""Moves planned in one period at most; a fleet of a hundred engines starts some tens
in a second when demand shifts, as fast as its weight store allows."""
UNLOAD_ESTIMATE_S = 0.5
"""Until a load is accepted: the runs on what makes room for it have to end."""
QUEUE_ESTIMATE_S = 2.0
"""Until an engine is free for another move, where all are moving."""
ADAPTER_ESTIMATE_S = 0.2
"""Until an adapter place falls free, where all are in use."""
STEADY_WEIGHT = 0.3
"""What the demand of the last half minute counts beside that of the last seconds: a
model that was asked for and is not now may be again."""
WANT_LIFE_S = 3.0
"""How long a model counts as wanted after the last request for it."""


@dataclass(frozen=True, slots=True)
class Held:
    """An item can be used at ``endpoint``."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Coming:
    """An item will be held somewhere in about ``in_s`` seconds."""

    in_s: float


@dataclass(frozen=True, slots=True)
class NotProvided:
    """The node asked cannot have the item loaded."""


Provision: TypeAlias = Held | Coming | NotProvided


@dataclass(slots=True)
class _Want:
    """A model that requests have waited for since ``since_s``, until ``until_s``."""

    service: ServiceId
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class OrderingParts:
    """What the ordering tasks work with; ``demand`` is that of all nodes."""

    node: NodeId
    directory: Directory
    duty: DutyKeeper
    orders: EngineOrders
    demand: Callable[[], Mapping[ItemId, ItemDemand]]
    load: Callable[[EndpointId], float]
    executor: Executor
    timer: Timer
    log: DecisionLog
    count: Callable[[str], None]
    load_limits: LoadLimits = LoadLimits()
    policy: CoveragePolicy = CoveragePolicy()
    clock: Callable[[], float] = time.monotonic


class Orderer:
    """Decides what engines hold, and has it carried out, in this node's terms."""

    def __init__(self, parts: OrderingParts) -> None:
        self._parts = parts
        calls = EngineCalls(
            parts.node, parts.duty, parts.orders, parts.log, parts.count
        )
        self._engines = EngineTable(parts.directory, calls, parts.clock)
        self._mover = Mover(
            calls, parts.directory, parts.timer, parts.log, parts.count, parts.clock
        )
        self._adapters = AdapterLoader(calls, parts.directory, parts.load, parts.demand)
        self._lock = threading.Lock()
        self._moving: set[EndpointId] = set()
        self._want_by_model: dict[ModelId, _Want] = {}
        self._rate = StoreRate(parts.load_limits, parts.clock)
        self._term = NO_TERM

    @property
    def has_duty(self) -> bool:
        """Whether this node may order engines now."""
        return self._parts.duty.term != NO_TERM

    def run(self, timer: Timer) -> None:
        """Plan moves until the timer service closes."""
        for _ in timer.every(PLAN_PERIOD_S):
            self.note_term()
            if self.has_duty:
                self.plan()

    def limit(self, limits: LoadLimits) -> None:
        """Put other limits of the loads from the weight store in force."""
        self._rate.limit(limits)

    def provide(
        self,
        service: ServiceId,
        wanted: RequestedModel,
        avoid: Collection[EndpointId] = (),
    ) -> Provision:
        """Have ``wanted`` loaded somewhere, and return where or when it will be.

        An adapter is waited for, which takes some hundredths of a second. Engines
        in ``avoid`` could not be reached; those that do not answer here either
        count as gone for a while.
        """
        self.note_term()
        spec = self._engines.engine_spec(service)
        if not self.has_duty or spec is None or wanted.model not in spec.models_by_id:
            return NotProvided()
        self._engines.check_reached(avoid)
        engines = self._engines.holders(service, wanted.model)
        if engines:
            found = self._adapters.provide(engines, wanted)
            return Held(found) if found else Coming(self._adapter_estimate_s(engines))
        self._want(service, wanted.model)
        return Coming(self._estimate_s(service, wanted.model))

    def plan(self) -> None:
        """Start the moves that are worth it: what is waited for, then copies."""
        self.look()
        now_s = self._parts.clock()
        with self._lock:
            self._want_by_model = {
                model: want
                for model, want in self._want_by_model.items()
                if want.until_s > now_s
            }
            wants = list(self._want_by_model.items())
        waiting = [
            (model, want)
            for model, want in wants
            if not self._engines.holders(want.service, model)
        ]
        for model, want in waiting:
            self._start_wanted(want, model, len(waiting))
        for service in self._services():
            self._plan_service(service)

    def look(self) -> None:
        """Bring what is known of the engines up to date."""
        self._engines.refresh()
        self._engines.ask_unknown()

    def note_term(self) -> None:
        """Begin anew in a new term, before anything is ordered in it."""
        term = self._parts.duty.term
        with self._lock:
            if term == self._term:
                return
            self._term = term
        self._engines.clear()
        self._rate.reset(0.0)

    def _plan_service(self, service: ServiceId) -> None:
        for _ in range(MOVES_PER_TURN):
            if not self._plan_move(service):
                break
        self._fill_adapter_places(service)

    def _plan_move(self, service: ServiceId) -> bool:
        """Start the move that is worth most; return whether there was one."""
        view = self._view(service)
        move = plan_copies(self._parts.policy, view)
        if move is not None:
            return self._start(service, move, "demand")
        move = plan_preload(self._parts.policy, view)
        return move is not None and self._start(service, move, "room")

    def _fill_adapter_places(self, service: ServiceId) -> None:
        """Load adapters held nowhere where places are free, one at each engine."""
        engines = self._engines.of(service)
        held = held_adapters(engines)
        for engine in engines:
            item = next(missing_adapters(engine, held), None)
            if item is not None and engine.takes_adapters and not engine.arriving:
                held.add(item)
                self._parts.executor.submit(self._adapters.load_at, engine, item)

    def _services(self) -> Iterable[ServiceId]:
        rules = self._parts.directory.rules
        if rules is None:
            return ()
        return [
            id for id, spec in rules.services_by_id.items() if spec.engine is not None
        ]

    def _want(self, service: ServiceId, model: ModelId) -> None:
        """Note that requests wait for ``model``; start its load if it is new."""
        now_s = self._parts.clock()
        with self._lock:
            known = self._want_by_model.get(model)
            since_s = known.since_s if known else now_s
            want = _Want(service, since_s, now_s + WANT_LIFE_S)
            self._want_by_model[model] = want
            waiting = len(self._want_by_model)
        if known is None:
            self._start_wanted(want, model, waiting)

    def _estimate_s(self, service: ServiceId, model: ModelId) -> float:
        """Return about how long it is until some engine holds ``model``."""
        engines = self._engines.of(service)
        loading = [engine for engine in engines if engine.loading == model]
        if not loading:
            specs = [engine.spec.models_by_id[model] for engine in engines[:1]]
            return QUEUE_ESTIMATE_S + sum(spec.disk_load_s for spec in specs)
        return min(self._move_estimate_s(engine, model) for engine in loading)

    def _adapter_estimate_s(self, engines: list[EngineState]) -> float:
        """Return about how long it is until some engine takes an adapter."""
        if any(engine.takes_adapters for engine in engines):
            return ADAPTER_ESTIMATE_S
        return min(
            self._move_estimate_s(engine, engine.loading)
            if engine.loading
            else QUEUE_ESTIMATE_S
            for engine in engines
        )

    def _move_estimate_s(self, engine: EngineState, model: ModelId) -> float:
        """Return about how long it is until the move that loads ``model`` ends."""
        spec = engine.spec.models_by_id.get(model)
        if spec is None:
            return QUEUE_ESTIMATE_S
        is_on_hand = model in engine.endpoint.on_hand
        load_s = spec.disk_load_s if is_on_hand else spec.load_s
        now_s = self._parts.clock()
        if engine.load_began_s is not None:
            return max(POLL_PERIOD_S, load_s - (now_s - engine.load_began_s))
        left_s = UNLOAD_ESTIMATE_S - (now_s - engine.move_began_s)
        return load_s + max(POLL_PERIOD_S, left_s)

    def _start_wanted(self, want: _Want, model: ModelId, waiting: int) -> None:
        """Load a model that requests wait for, once that is worth what it displaces."""
        view = self._view(want.service)
        if model in view.copies_by_model or model not in view.spec_by_model:
            return
        found = best_load(self._parts.policy, view, model)
        if found is None:
            return
        move, cost_slots = found
        waited_s = self._parts.clock() - want.since_s
        worth = wanted_worth(self._parts.policy, view, model, waited_s, waiting)
        if cost_slots <= worth:
            self._start(want.service, move, "wanted")

    def _view(self, service: ServiceId) -> FleetView:
        """Return the engines of a service and the demand for its models."""
        engines = self._engines.of(service)
        with self._lock:
            moving = frozenset(self._moving)
            wanted = frozenset(self._want_by_model)
        demand = self._parts.demand()
        adapter_slots = adapter_slots_by_model(engines, demand)
        views = tuple(
            EngineView(
                engine.endpoint.id,
                engine.free_mb,
                engine.committed_mb_by_model,
                self._staying(engine, wanted),
                engine.endpoint.on_hand,
                engine.endpoint.id in moving or not engine.takes_moves,
                sum(adapter_slots.get(model, 0.0) for model in engine.models),
            )
            for engine in engines
        )
        specs = engines[0].spec.models_by_id if engines else {}
        return FleetView(
            views,
            _demand_by_model(
                demand, specs, lambda item: max(item.fast, STEADY_WEIGHT * item.slow)
            ),
            specs,
            _demand_by_model(demand, specs, lambda item: item.slow),
        )

    def _staying(
        self, engine: EngineState, wanted: frozenset[ModelId]
    ) -> frozenset[ModelId]:
        """Return the models that came too short a time ago to leave."""
        least_s = self._parts.policy.min_residency_s
        return frozenset(
            model
            for model in engine.models
            if engine.held_s(model) < (WANT_LIFE_S if model in wanted else least_s)
        )

    def _start(self, service: ServiceId, move: LoadMove, cause: str) -> bool:
        """Have a move carried out, unless the weight store's rate forbids it."""
        spec = self._engines.engine_spec(service)
        engine = self._engines.find(move.engine)
        if spec is None or engine is None:
            return False
        with self._lock:
            if move.engine in self._moving:
                return False
            if move.from_store and not self._rate.take(spec.loads_per_s):
                return False
            self._moving.add(move.engine)
            engine.begin(move.model)
        self._parts.log(
            "move_started",
            endpoint=move.engine,
            load=move.model,
            unload=",".join(move.evicted),
            from_store=move.from_store,
            cause=cause,
            term=self._parts.duty.term,
        )
        self._parts.executor.submit(self._carry_out, engine, move)
        return True

    def _carry_out(self, engine: EngineState, move: LoadMove) -> None:
        try:
            self._mover.carry_out(engine, move)
        finally:
            with self._lock:
                self._moving.discard(move.engine)


def _demand_by_model(
    demand_by_item: Mapping[ItemId, ItemDemand],
    models: Collection[ModelId],
    slots_of: Callable[[ItemDemand], float],
) -> dict[ModelId, float]:
    """Return the demand for models, that for their adapters included."""
    slots: dict[ModelId, float] = {}
    for item, demand in demand_by_item.items():
        model = ModelId(item.partition(":")[0])
        if model in models:
            slots[model] = slots.get(model, 0.0) + slots_of(demand)
    return slots
