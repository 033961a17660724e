"""How many copies of each model are worth their memory: decisions without network.

A copy carries up to ``comfort_slots`` requests at once before answers begin late.
Demand beyond what the copies of a model carry is uncovered; a copy is worth the
demand that would be uncovered without it.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, ModelId
from camphoryard.state.traffic import ModelSpec


@dataclass(frozen=True, slots=True)
class CoveragePolicy:
    """What copies carry and what moves cost, in slots of demand.

    The defaults come from trials with fixed seeds on the users' sites, which
    docs/MEASUREMENTS.md lists.

    Parameters
    ----------
    comfort_slots : float
        Requests at once that one copy carries well.
    move_cost_slots_per_s : float
        Demand that each second of a move must cover: meanwhile the engine takes
        no other move.
    adapter_cost_share : float
        Part of the demand for adapters of an engine's models that each second of
        a move costs too, as the engine takes no adapter meanwhile.
    wanted_slots : float
        Worth of a model that requests wait for and that is held nowhere.
    wanted_slots_per_s3 : float
        By how much that grows with the cube of the seconds that they have waited,
        shared by all models that wait: none starves, and copies in use stay for the
        few seconds after which another engine has a model to spare.
    delay_cost_share : float
        Part of what the copy gains that each second until it comes costs: demand
        moves on to other models after some twenty seconds.
    store_share : float
        Part of the engines that may be busy, one at least, when a further copy is
        loaded from the weight store.
    reserved_engines : int
        Engines that stay free of such loads, if there are more: they have to load
        what is held nowhere.
    burst_s : float
        Time constant with which the demand of a burst returns to the steady one.
    unload_s : float
        How long the runs on a model that is used go on once it is to leave.
    min_residency_s : float
        How long a copy stays before it may make room for another.
    spread_weight : float
        Worth of a copy beyond those that demand needs, as a share of the demand
        that it serves: it shortens queues.
    """

    comfort_slots: float = 8.0
    move_cost_slots_per_s: float = 0.3
    adapter_cost_share: float = 0.3
    delay_cost_share: float = 0.05
    store_share: float = 0.5
    reserved_engines: int = 5
    burst_s: float = 6.0
    unload_s: float = 3.0
    min_residency_s: float = 2.0
    wanted_slots: float = 1.0
    wanted_slots_per_s3: float = 0.012
    spread_weight: float = 0.15


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the decision sees it; memory is in MB.

    ``fixed`` are models that may not be unloaded now, ``on_hand`` those that load
    without the weight store. A ``busy`` engine takes no order now.
    ``adapter_slots`` is its part of the demand for adapters of its models.
    """

    id: EndpointId
    free_mb: float
    committed_mb_by_model: Mapping[ModelId, float]
    fixed: frozenset[ModelId] = frozenset()
    on_hand: frozenset[ModelId] = frozenset()
    is_busy: bool = False
    adapter_slots: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """All engines of a service, its models, and the demand for them in slots.

    ``steady_by_model`` is the demand over a longer time, to which that of a burst
    returns; a model that is not in it has no bursts.
    """

    engines: Sequence[EngineView]
    demand_by_model: Mapping[ModelId, float]
    spec_by_model: Mapping[ModelId, ModelSpec]
    steady_by_model: Mapping[ModelId, float] = field(default_factory=dict)
    copies_by_model: Mapping[ModelId, int] = field(init=False)

    def __post_init__(self) -> None:
        copies: dict[ModelId, int] = {}
        for engine in self.engines:
            for model in engine.committed_mb_by_model:
                copies[model] = copies.get(model, 0) + 1
        object.__setattr__(self, "copies_by_model", copies)


@dataclass(frozen=True, slots=True)
class LoadMove:
    """Unload ``evicted``, then load ``model``, at one engine."""

    engine: EndpointId
    model: ModelId
    evicted: tuple[ModelId, ...]
    from_store: bool


def worth_slots(policy: CoveragePolicy, demand_slots: float, copies: int) -> float:
    """Return what ``copies`` of a model are worth, in slots of demand.

    Examples
    --------
    >>> policy = CoveragePolicy(comfort_slots=10.0, spread_weight=0.0)
    >>> worth_slots(policy, 25.0, 2)
    20.0
    """
    if copies == 0:
        return 0.0
    covered = min(demand_slots, copies * policy.comfort_slots)
    return covered - policy.spread_weight * demand_slots / copies


def copy_worth(policy: CoveragePolicy, view: FleetView, model: ModelId) -> float:
    """Return what would be lost with one copy of ``model``."""
    demand = view.demand_by_model.get(model, 0.0)
    copies = view.copies_by_model.get(model, 0)
    with_it = worth_slots(policy, demand, copies)
    without = worth_slots(policy, demand, copies - 1) if copies > 1 else 0.0
    return max(0.0, with_it - without)


def next_copy_worth(policy: CoveragePolicy, view: FleetView, model: ModelId) -> float:
    """Return what one more copy of ``model`` would gain."""
    return _gain(policy, view, model, view.demand_by_model.get(model, 0.0))


def later_copy_worth(
    policy: CoveragePolicy, view: FleetView, model: ModelId, in_s: float
) -> float:
    """Return what one more copy of ``model`` will gain that comes in ``in_s``.

    By then part of a burst is over.
    """
    now = view.demand_by_model.get(model, 0.0)
    steady = min(now, view.steady_by_model.get(model, now))
    left = math.exp(-in_s / policy.burst_s)
    return _gain(policy, view, model, steady + left * (now - steady))


def _gain(
    policy: CoveragePolicy, view: FleetView, model: ModelId, demand: float
) -> float:
    copies = view.copies_by_model.get(model, 0)
    return worth_slots(policy, demand, copies + 1) - worth_slots(policy, demand, copies)


def wanted_worth(
    policy: CoveragePolicy,
    view: FleetView,
    model: ModelId,
    waited_s: float,
    waiting: int = 1,
) -> float:
    """Return what the first copy of a model is worth that requests wait for.

    A crowd's copies do not make room for one request to a rare model at once, but
    they do once it has waited for some seconds. What waiting adds is shared by the
    ``waiting`` models: many rare ones do not drive a crowd's copies out together.
    """
    demand = view.demand_by_model.get(model, 0.0)
    grown = policy.wanted_slots_per_s3 * waited_s**3 / max(1, waiting)
    return max(demand, policy.wanted_slots) + grown


def best_load(
    policy: CoveragePolicy, view: FleetView, model: ModelId, may_use_store: bool = True
) -> tuple[LoadMove, float] | None:
    """Return the cheapest way to load ``model`` now, and what it costs in slots.

    Without ``may_use_store`` only engines that have the weights on hand are offered.
    """
    offers = [
        offer
        for engine in view.engines
        if not engine.is_busy and model not in engine.committed_mb_by_model
        if may_use_store or model in engine.on_hand
        for offer in [_offer(policy, view, engine, model)]
        if offer is not None
    ]
    return min(offers, key=lambda offer: offer[1], default=None)


def plan_copies(policy: CoveragePolicy, view: FleetView) -> LoadMove | None:
    """Return the load that gains most over what it costs, or None if none does."""
    best: tuple[float, LoadMove] | None = None
    engines = len(view.engines)
    may_be_busy = min(policy.store_share * engines, engines - policy.reserved_engines)
    busy = sum(engine.is_busy for engine in view.engines)
    may_use_store = busy < max(1.0, may_be_busy)
    for model in view.demand_by_model:
        if model not in view.spec_by_model:
            continue
        gain = next_copy_worth(policy, view, model)
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
    """Return the load of a model held nowhere that displaces nothing, if any."""
    for model in sorted(view.spec_by_model.keys() - view.copies_by_model.keys()):
        size_mb = view.spec_by_model[model].memory_mb
        free = [
            engine
            for engine in view.engines
            if not engine.is_busy and engine.free_mb >= size_mb
        ]
        for engine in sorted(free, key=lambda item: model not in item.on_hand):
            return LoadMove(engine.id, model, (), model not in engine.on_hand)
    return None


def _offer(
    policy: CoveragePolicy, view: FleetView, engine: EngineView, model: ModelId
) -> tuple[LoadMove, float] | None:
    """Return what loading ``model`` at one engine takes, or None if it cannot be."""
    spec = view.spec_by_model[model]
    missing_mb = spec.memory_mb - engine.free_mb
    evicted: list[ModelId] = []
    candidates = sorted(
        (copy_worth(policy, view, item), item)
        for item in engine.committed_mb_by_model
        if item not in engine.fixed
    )
    for _, item in candidates:
        if missing_mb <= 0:
            break
        evicted.append(item)
        missing_mb -= engine.committed_mb_by_model[item]
    if missing_mb > 0:
        return None
    kept = _without_excess(engine, evicted, -missing_mb)
    move = LoadMove(engine.id, model, tuple(kept), model not in engine.on_hand)
    return move, _cost(policy, view, engine, move)


def _cost(
    policy: CoveragePolicy, view: FleetView, engine: EngineView, move: LoadMove
) -> float:
    """Return what a move displaces, keeps waiting and brings too late, in slots."""
    spec = view.spec_by_model[move.model]
    takes_s = spec.load_s if move.from_store else spec.disk_load_s
    takes_s += max(
        (_unload_s(policy, view, item) for item in move.evicted), default=0.0
    )
    gain = later_copy_worth(policy, view, move.model, takes_s)
    cost_per_s = policy.move_cost_slots_per_s
    cost_per_s += policy.adapter_cost_share * engine.adapter_slots
    cost_per_s += policy.delay_cost_share * gain
    displaced = sum(copy_worth(policy, view, item) for item in move.evicted)
    faded = next_copy_worth(policy, view, move.model) - gain
    return displaced + faded + cost_per_s * takes_s


def _unload_s(policy: CoveragePolicy, view: FleetView, model: ModelId) -> float:
    """Return about how long an unload waits for the runs on one copy of ``model``.

    Arrivals are Poisson, so a copy with ``n`` slots of demand is idle with
    probability exp(-n).
    """
    demand = view.demand_by_model.get(model, 0.0)
    running = demand / max(1, view.copies_by_model.get(model, 1))
    return policy.unload_s * (1.0 - math.exp(-running))


def _without_excess(
    engine: EngineView, evicted: Sequence[ModelId], excess_mb: float
) -> list[ModelId]:
    """Return the evicted models without those whose memory is not needed."""
    kept = []
    for item in reversed(evicted):
        if engine.committed_mb_by_model[item] <= excess_mb:
            excess_mb -= engine.committed_mb_by_model[item]
        else:
            kept.append(item)
    return list(reversed(kept))
