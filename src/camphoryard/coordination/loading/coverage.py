"""Which copies of models to load and evict: decisions without I/O.

A copy of a model serves up to ``copy_capacity_slots`` concurrent requests before
first tokens are late, times the speed of its engine. The value of a copy is the demand,
in slots (concurrent requests), that would exceed the capacity of the remaining copies
without it. A move unloads models at one engine and then loads another one there.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, ModelId
from camphoryard.state.traffic import ModelSpec


@dataclass(frozen=True, slots=True)
class CoveragePolicy:
    """Capacity of copies and cost of moves, in slots of demand.

    Parameters
    ----------
    copy_capacity_slots : float
        Concurrent requests that one copy at an engine of speed 1 serves without delay.
    move_cost_slots_per_s : float
        Demand that must justify each second of a move, because the engine accepts no
        other move meanwhile.
    adapter_cost_share : float
        Additional cost of each second of a move, as a share of the demand for
        adapters of the engine's models: the engine accepts no adapter meanwhile.
    first_copy_slots : float
        Least value of a model that requests wait for and that is loaded nowhere.
    first_copy_slots_per_s3 : float
        Increase of that value with the cube of the waiting time in seconds, shared by
        all models that requests wait for. No model starves, and copies in use stay
        loaded for the few seconds after which another engine can spare a model.
    delay_cost_share : float
        Share of a copy's gain that each second until it is loaded costs: demand
        moves on to other models after about twenty seconds.
    max_busy_share : float
        Share of the engines that may be busy, one at least, when a further copy is
        loaded from the weight store.
    reserved_engines : int
        Engines kept free of such loads, if there are more: they load models that are
        loaded nowhere.
    burst_decay_s : float
        Time constant with which the demand of a burst returns to the steady demand.
    unload_s : float
        How long requests on a model in use continue after it is ordered to unload.
    min_residency_s : float
        Time for which a copy stays loaded before it may be evicted.
    spare_copy_weight : float
        Value of copies beyond those that demand requires, as a share of the demand
        that they serve: they shorten queues.
    """

    copy_capacity_slots: float = 8.0
    move_cost_slots_per_s: float = 0.3
    adapter_cost_share: float = 0.3
    delay_cost_share: float = 0.05
    max_busy_share: float = 0.5
    reserved_engines: int = 5
    burst_decay_s: float = 6.0
    unload_s: float = 3.0
    min_residency_s: float = 2.0
    first_copy_slots: float = 1.0
    first_copy_slots_per_s3: float = 0.012
    spare_copy_weight: float = 0.15


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as input to the decisions; memory is in MB.

    ``pinned`` are models that may not be unloaded now, ``local_models`` those that load
    without the weight store. An engine that ``is_busy`` accepts no order now.
    ``adapter_demand_slots`` is its share of the demand for adapters of its models.
    ``speed`` is relative to the service's other engines, 1 if it is not known.
    """

    id: EndpointId
    free_mb: float
    committed_mb_by_model: Mapping[ModelId, float]
    pinned: frozenset[ModelId] = frozenset()
    local_models: frozenset[ModelId] = frozenset()
    is_busy: bool = False
    adapter_demand_slots: float = 0.0
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """All engines of a service, its models, and the demand for them in slots.

    ``steady_by_model`` is the longer-term demand, to which the demand of a burst
    returns; a model that is not in it has no bursts. ``speed_by_model`` is the sum of
    the speeds of the engines that have a copy.
    """

    engines: Sequence[EngineView]
    demand_by_model: Mapping[ModelId, float]
    spec_by_model: Mapping[ModelId, ModelSpec]
    steady_by_model: Mapping[ModelId, float] = field(default_factory=dict)
    copies_by_model: Mapping[ModelId, int] = field(init=False)
    speed_by_model: Mapping[ModelId, float] = field(init=False)

    def __post_init__(self) -> None:
        copies: dict[ModelId, int] = {}
        speeds: dict[ModelId, float] = {}
        for engine in self.engines:
            for model in engine.committed_mb_by_model:
                copies[model] = copies.get(model, 0) + 1
                speeds[model] = speeds.get(model, 0.0) + engine.speed
        object.__setattr__(self, "copies_by_model", copies)
        object.__setattr__(self, "speed_by_model", speeds)


@dataclass(frozen=True, slots=True)
class LoadMove:
    """Unload ``evicted``, then load ``model``, at one engine."""

    engine: EndpointId
    model: ModelId
    evicted: tuple[ModelId, ...]
    from_store: bool


def value_slots(policy: CoveragePolicy, demand_slots: float, copies: float) -> float:
    """Return the value of ``copies`` of a model, in slots of demand.

    Each copy counts as the speed of its engine.

    Examples
    --------
    >>> policy = CoveragePolicy(copy_capacity_slots=10.0, spare_copy_weight=0.0)
    >>> value_slots(policy, 25.0, 2)
    20.0
    """
    if copies == 0:
        return 0.0
    covered = min(demand_slots, copies * policy.copy_capacity_slots)
    return covered - policy.spare_copy_weight * demand_slots / copies


def copy_value(
    policy: CoveragePolicy, view: FleetView, model: ModelId, speed: float = 1.0
) -> float:
    """Return the value that the loss of one copy of ``model`` would cost, in slots.

    ``speed`` is that of the engine that would lose it.
    """
    demand = view.demand_by_model.get(model, 0.0)
    speeds = view.speed_by_model.get(model, 0.0)
    is_last = view.copies_by_model.get(model, 0) <= 1
    with_copy = value_slots(policy, demand, speeds)
    without_copy = 0.0 if is_last else value_slots(policy, demand, speeds - speed)
    return max(0.0, with_copy - without_copy)


def next_copy_value(policy: CoveragePolicy, view: FleetView, model: ModelId) -> float:
    """Return the value that one more copy of ``model`` would add, in slots.

    The copy is at an engine of speed 1.
    """
    return _gain(policy, view, model, view.demand_by_model.get(model, 0.0))


def delayed_copy_value(
    policy: CoveragePolicy,
    view: FleetView,
    model: ModelId,
    delay_s: float,
    speed: float = 1.0,
) -> float:
    """Return the value that a copy of ``model`` loaded after ``delay_s`` would add.

    Part of a burst is over by then. ``speed`` is that of the copy's engine.
    """
    now = view.demand_by_model.get(model, 0.0)
    steady = min(now, view.steady_by_model.get(model, now))
    remaining = math.exp(-delay_s / policy.burst_decay_s)
    return _gain(policy, view, model, steady + remaining * (now - steady), speed)


def _gain(
    policy: CoveragePolicy,
    view: FleetView,
    model: ModelId,
    demand: float,
    speed: float = 1.0,
) -> float:
    speeds = view.speed_by_model.get(model, 0.0)
    with_copy = value_slots(policy, demand, speeds + speed)
    return with_copy - value_slots(policy, demand, speeds)


def first_copy_value(
    policy: CoveragePolicy,
    view: FleetView,
    model: ModelId,
    waited_s: float,
    waiting_models: int = 1,
) -> float:
    """Return the value of the first copy of a model that requests wait for.

    Copies of a model in high demand are not evicted at once for a single request to a
    rare model, but they are once it has waited for some seconds. The increase with the
    waiting time is shared by ``waiting_models`` models, so that many rare models do not
    evict the copies of a model in high demand together.
    """
    demand = view.demand_by_model.get(model, 0.0)
    waiting_bonus = (
        policy.first_copy_slots_per_s3 * waited_s**3 / max(1, waiting_models)
    )
    return max(demand, policy.first_copy_slots) + waiting_bonus


def best_load(
    policy: CoveragePolicy, view: FleetView, model: ModelId, may_use_store: bool = True
) -> tuple[LoadMove, float] | None:
    """Return the cheapest move that loads ``model`` now, and its cost in slots.

    Without ``may_use_store`` only engines with the weights on local storage qualify.
    """
    candidates = [
        candidate
        for engine in view.engines
        if not engine.is_busy and model not in engine.committed_mb_by_model
        if may_use_store or model in engine.local_models
        for candidate in [_move_at(policy, view, engine, model)]
        if candidate is not None
    ]
    return min(candidates, key=lambda candidate: candidate[1], default=None)


def plan_copies(policy: CoveragePolicy, view: FleetView) -> LoadMove | None:
    """Return the move with the highest gain above its cost, or None."""
    best: tuple[float, LoadMove] | None = None
    engines = len(view.engines)
    max_busy = min(policy.max_busy_share * engines, engines - policy.reserved_engines)
    busy = sum(engine.is_busy for engine in view.engines)
    may_use_store = busy < max(1.0, max_busy)
    for model in view.demand_by_model:
        if model not in view.spec_by_model:
            continue
        gain = next_copy_value(policy, view, model)
        if gain <= policy.move_cost_slots_per_s:
            continue
        found = best_load(policy, view, model, may_use_store)
        if found is None:
            continue
        move, cost = found
        if gain > cost and (best is None or gain - cost > best[0]):
            best = gain - cost, move
    return best[1] if best else None


def plan_preload(policy: CoveragePolicy, view: FleetView) -> LoadMove | None:
    """Return a move that loads a model without a copy into free memory, or None."""
    for model in sorted(view.spec_by_model.keys() - view.copies_by_model.keys()):
        size_mb = view.spec_by_model[model].memory_mb
        free = [
            engine
            for engine in view.engines
            if not engine.is_busy and engine.free_mb >= size_mb
        ]
        for engine in sorted(free, key=lambda item: model not in item.local_models):
            return LoadMove(engine.id, model, (), model not in engine.local_models)
    return None


def _move_at(
    policy: CoveragePolicy, view: FleetView, engine: EngineView, model: ModelId
) -> tuple[LoadMove, float] | None:
    """Return the move that loads ``model`` at one engine and its cost, or None."""
    spec = view.spec_by_model[model]
    missing_mb = spec.memory_mb - engine.free_mb
    evicted: list[ModelId] = []
    candidates = sorted(
        (copy_value(policy, view, item, engine.speed), item)
        for item in engine.committed_mb_by_model
        if item not in engine.pinned
    )
    for _, item in candidates:
        if missing_mb <= 0:
            break
        evicted.append(item)
        missing_mb -= engine.committed_mb_by_model[item]
    if missing_mb > 0:
        return None
    needed = _without_unneeded(engine, evicted, -missing_mb)
    move = LoadMove(engine.id, model, tuple(needed), model not in engine.local_models)
    return move, _cost(policy, view, engine, move)


def _cost(
    policy: CoveragePolicy, view: FleetView, engine: EngineView, move: LoadMove
) -> float:
    """Return the cost of a move in slots: evicted copies, occupied engine and delay.

    The delay costs less at a fast engine, whose copy gains more.
    """
    spec = view.spec_by_model[move.model]
    duration_s = spec.load_s if move.from_store else spec.disk_load_s
    duration_s += max(
        (_unload_s(policy, view, item) for item in move.evicted), default=0.0
    )
    gain = delayed_copy_value(policy, view, move.model, duration_s, engine.speed)
    cost_per_s = policy.move_cost_slots_per_s
    cost_per_s += policy.adapter_cost_share * engine.adapter_demand_slots
    cost_per_s += policy.delay_cost_share * gain
    displaced = sum(
        copy_value(policy, view, item, engine.speed) for item in move.evicted
    )
    lost_gain = next_copy_value(policy, view, move.model) - gain
    return displaced + lost_gain + cost_per_s * duration_s


def _unload_s(policy: CoveragePolicy, view: FleetView, model: ModelId) -> float:
    """Return about how long an unload waits for the requests on one copy of ``model``.

    Arrivals are Poisson, so a copy with ``n`` slots of demand is idle with
    probability exp(-n).
    """
    demand = view.demand_by_model.get(model, 0.0)
    running = demand / max(1, view.copies_by_model.get(model, 1))
    return policy.unload_s * (1.0 - math.exp(-running))


def _without_unneeded(
    engine: EngineView, evicted: Sequence[ModelId], excess_mb: float
) -> list[ModelId]:
    """Return the evicted models without those whose memory is not needed."""
    needed = []
    for item in reversed(evicted):
        if engine.committed_mb_by_model[item] <= excess_mb:
            excess_mb -= engine.committed_mb_by_model[item]
        else:
            needed.append(item)
    return list(reversed(needed))
