"""The placement decision: which models and adapters to load at which engine.

The demand for each model is split over its copies so that engines are evenly
loaded. Demand above an engine's target load is expected to miss its deadline. A
move is made if it lowers the expected misses by more than it costs. The moves are
carried out elsewhere.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from camphoryard.state.demand import ItemDemand
from camphoryard.state.ids import EndpointId, ItemId

BALANCING_PASSES = 3


@dataclass(frozen=True, slots=True)
class StaticPlacement:
    """Plan no moves; a model without a copy is loaded when it is requested."""


@dataclass(frozen=True, slots=True)
class LoadOnDemand:
    """Plan no moves; load on demand and evict by recent use."""


@dataclass(frozen=True, slots=True)
class DemandPlacement:
    """Add copies of overloaded models where that saves more misses than it costs.

    Parameters
    ----------
    target_load : float
        Share of an engine's slots above which demand counts as misses.
    move_cost_slots : float
        Misses, in slots, that one load or unload must save.
    cold_cost_slots : float
        Misses, in slots, that evicting the last copy of a model counts for.
    idle_slots : float
        Demand, in slots, below which the last copy of a model may be evicted; the
        model can still be loaded on demand.
    min_residency_s : float
        Time, in seconds, for which a copy cannot be evicted after its load.
    moves_at_once : int
        Maximum number of moves in one plan.
    """

    target_load: float = 0.7
    move_cost_slots: float = 0.15
    cold_cost_slots: float = 0.3
    idle_slots: float = 0.05
    min_residency_s: float = 6.0
    moves_at_once: int = 4


PlacementPolicy: TypeAlias = StaticPlacement | LoadOnDemand | DemandPlacement


@dataclass(frozen=True, slots=True)
class EndpointView:
    """The state of an engine that a plan starts from.

    ``committed_mb_by_item`` has the items that are resident or loading, with their
    memory in MB; ``pinned`` has those among them that cannot be unloaded now.
    ``memory_mb`` is the engine's memory, in MB.
    """

    memory_mb: int
    slots: float
    committed_mb_by_item: Mapping[ItemId, int]
    pinned: frozenset[ItemId] = frozenset()

    @property
    def free_mb(self) -> int:
        """Memory, in MB, that is free for new loads."""
        return self.memory_mb - sum(self.committed_mb_by_item.values())


@dataclass(frozen=True, slots=True)
class PlacementView:
    """The input of a plan: engines, demand, and the size of each item in MB."""

    endpoints_by_id: Mapping[EndpointId, EndpointView]
    demand_by_item: Mapping[ItemId, ItemDemand]
    memory_mb_by_item: Mapping[ItemId, int]


@dataclass(frozen=True, slots=True)
class Move:
    """Unload ``evicted``, then load ``items``, at one endpoint."""

    endpoint: EndpointId
    items: tuple[ItemId, ...]
    evicted: tuple[ItemId, ...] = ()


@dataclass(frozen=True, slots=True)
class _Candidate:
    move: Move
    gain_slots: float
    view: PlacementView = field(repr=False)


def plan(policy: PlacementPolicy, view: PlacementView) -> tuple[Move, ...]:
    """Return the moves to start now, the one with the largest net gain first."""
    match policy:
        case StaticPlacement() | LoadOnDemand():
            return ()
        case DemandPlacement():
            return _plan_by_demand(policy, view)


def model_of(item: ItemId) -> ItemId:
    """Return the item itself if it is a model, or the base model of an adapter."""
    return ItemId(item.partition(":")[0])


def demand_slots_by_model(
    demand_by_item: Mapping[ItemId, ItemDemand],
) -> dict[ItemId, float]:
    """Return the expected demand by model, in slots, including its adapters."""
    slots_by_model: dict[ItemId, float] = {}
    for item, demand in demand_by_item.items():
        model = model_of(item)
        slots_by_model[model] = slots_by_model.get(model, 0.0) + demand.expected
    return slots_by_model


def expected_load(view: PlacementView) -> Mapping[EndpointId, float]:
    """Return the slots in use at each engine when copies share demand evenly."""
    load_by_id = dict.fromkeys(view.endpoints_by_id, 0.0)
    endpoints_by_model = _endpoints_by_model(view)
    demand_by_model = {
        model: slots
        for model, slots in demand_slots_by_model(view.demand_by_item).items()
        if model in endpoints_by_model
    }
    shares_by_model: dict[ItemId, dict[EndpointId, float]] = {}
    fewest_copies_first = sorted(
        demand_by_model, key=lambda model: len(endpoints_by_model[model])
    )
    for _ in range(BALANCING_PASSES):
        for model in fewest_copies_first:
            for endpoint, share in shares_by_model.get(model, {}).items():
                load_by_id[endpoint] -= share
            shares_by_model[model] = _split_demand(
                demand_by_model[model], endpoints_by_model[model], load_by_id, view
            )
            for endpoint, share in shares_by_model[model].items():
                load_by_id[endpoint] += share
    return load_by_id


def expected_misses(policy: DemandPlacement, view: PlacementView) -> float:
    """Return the demand, in slots, that is expected to miss its deadline."""
    load_by_id = expected_load(view)
    above_target = sum(
        max(0.0, load_by_id[endpoint] - policy.target_load * engine.slots)
        for endpoint, engine in view.endpoints_by_id.items()
    )
    endpoints_by_model = _endpoints_by_model(view)
    without_copy = sum(
        slots
        for model, slots in demand_slots_by_model(view.demand_by_item).items()
        if model not in endpoints_by_model
    )
    return above_target + without_copy


def _split_demand(
    slots: float,
    endpoints: Sequence[EndpointId],
    load_by_id: Mapping[EndpointId, float],
    view: PlacementView,
) -> dict[EndpointId, float]:
    """Split ``slots`` so that the highest relative load of ``endpoints`` is lowest.

    The least loaded endpoints are filled to a common level (water filling).
    """
    slots_by_id = {item: view.endpoints_by_id[item].slots for item in endpoints}
    least_loaded_first = sorted(
        endpoints, key=lambda item: (load_by_id[item] / slots_by_id[item], item)
    )
    level = 0.0
    for count in range(1, len(least_loaded_first) + 1):
        used = least_loaded_first[:count]
        existing_slots = sum(load_by_id[item] for item in used)
        level = (slots + existing_slots) / sum(slots_by_id[item] for item in used)
        following = (
            least_loaded_first[count] if count < len(least_loaded_first) else None
        )
        if following is None or level <= load_by_id[following] / slots_by_id[following]:
            break
    return {
        item: max(0.0, level * slots_by_id[item] - load_by_id[item])
        for item in least_loaded_first[:count]
    }


def _endpoints_by_model(view: PlacementView) -> dict[ItemId, list[EndpointId]]:
    endpoints_by_model: dict[ItemId, list[EndpointId]] = {}
    for endpoint, engine in view.endpoints_by_id.items():
        for item in engine.committed_mb_by_item:
            if model_of(item) == item:
                endpoints_by_model.setdefault(item, []).append(endpoint)
    return endpoints_by_model


def _plan_by_demand(policy: DemandPlacement, view: PlacementView) -> tuple[Move, ...]:
    moves: list[Move] = []
    while len(moves) < policy.moves_at_once:
        best = max(
            _candidates(policy, view),
            key=lambda candidate: candidate.gain_slots,
            default=None,
        )
        if best is None or best.gain_slots <= 0:
            break
        moves.append(best.move)
        view = best.view
    return tuple(moves)


def _candidates(policy: DemandPlacement, view: PlacementView) -> Iterable[_Candidate]:
    """Yield possible copies of overloaded models, with their gain less their cost."""
    misses = expected_misses(policy, view)
    if misses <= policy.move_cost_slots:
        return
    load_by_id = expected_load(view)
    for model in _overloaded_models(policy, view, load_by_id):
        for endpoint in view.endpoints_by_id:
            move = _find_move(policy, view, model, endpoint)
            if move is None:
                continue
            view_after = _view_after(view, move)
            gain_slots = misses - expected_misses(policy, view_after)
            cost_slots = _cost_slots(policy, view, move)
            yield _Candidate(move, gain_slots - cost_slots, view_after)


def _overloaded_models(
    policy: DemandPlacement,
    view: PlacementView,
    load_by_id: Mapping[EndpointId, float],
) -> list[ItemId]:
    """Return the models in demand that have a copy at an overloaded engine."""
    endpoints_by_model = _endpoints_by_model(view)

    def is_overloaded(endpoint: EndpointId) -> bool:
        limit = policy.target_load * view.endpoints_by_id[endpoint].slots
        return load_by_id[endpoint] > limit

    return [
        model
        for model, slots in sorted(demand_slots_by_model(view.demand_by_item).items())
        if slots > policy.move_cost_slots
        and model in view.memory_mb_by_item
        and any(map(is_overloaded, endpoints_by_model.get(model, ())))
    ]


def _find_move(
    policy: DemandPlacement, view: PlacementView, model: ItemId, endpoint: EndpointId
) -> Move | None:
    """Return the move that loads ``model`` at ``endpoint``, or None if it cannot."""
    engine = view.endpoints_by_id[endpoint]
    if model in engine.committed_mb_by_item:
        return None
    items = (model, *_adapters_in_demand(policy, view, model))
    needed_mb = sum(view.memory_mb_by_item[item] for item in items)
    evicted = _victims(policy, view, endpoint, model, needed_mb - engine.free_mb)
    if evicted is None:
        return None
    return Move(endpoint, items, evicted)


def _adapters_in_demand(
    policy: DemandPlacement, view: PlacementView, model: ItemId
) -> list[ItemId]:
    return [
        item
        for item, demand in sorted(view.demand_by_item.items())
        if model_of(item) == model != item
        and demand.expected >= policy.idle_slots
        and item in view.memory_mb_by_item
    ]


def _victims(
    policy: DemandPlacement,
    view: PlacementView,
    endpoint: EndpointId,
    added_model: ItemId,
    needed_mb: int,
) -> tuple[ItemId, ...] | None:
    """Return the items to unload for ``needed_mb``, or None if that is impossible.

    A model can be evicted if it has another copy, is idle, or serves less than the
    new copy of ``added_model`` will. Those that free the most memory for their
    cost are evicted first. Adapters are evicted with their base model.
    """
    engine = view.endpoints_by_id[endpoint]
    copies = {
        model: len(endpoints) for model, endpoints in _endpoints_by_model(view).items()
    }
    demand = demand_slots_by_model(view.demand_by_item)

    served_slots = demand.get(added_model, 0.0) / (copies.get(added_model, 0) + 1)

    def is_evictable(model: ItemId) -> bool:
        model_slots = demand.get(model, 0.0)
        if copies[model] > 1 or model_slots < policy.idle_slots:
            return True
        return model_slots + policy.cold_cost_slots < served_slots

    def with_adapters(model: ItemId) -> list[ItemId]:
        return [item for item in engine.committed_mb_by_item if model_of(item) == model]

    def cost_per_mb(model: ItemId) -> tuple[float, ItemId]:
        cost_slots = len(with_adapters(model)) * policy.move_cost_slots
        cost_slots += demand.get(model, 0.0) / copies[model]
        if copies[model] == 1:
            cost_slots += policy.cold_cost_slots
        return cost_slots / engine.committed_mb_by_item[model], model

    evicted: list[ItemId] = []
    local_models = [item for item in copies if item in engine.committed_mb_by_item]
    for model in sorted(filter(is_evictable, local_models), key=cost_per_mb):
        if needed_mb <= 0:
            break
        items = with_adapters(model)
        if engine.pinned.intersection(items):
            continue
        evicted.extend(sorted(items, reverse=True))
        needed_mb -= sum(engine.committed_mb_by_item[item] for item in items)
    return tuple(evicted) if needed_mb <= 0 else None


def _cost_slots(policy: DemandPlacement, view: PlacementView, move: Move) -> float:
    copies = {
        model: len(endpoints) for model, endpoints in _endpoints_by_model(view).items()
    }
    last_copies = sum(copies.get(item) == 1 for item in move.evicted)
    moved = len(move.items) + len(move.evicted)
    return moved * policy.move_cost_slots + last_copies * policy.cold_cost_slots


def _view_after(view: PlacementView, move: Move) -> PlacementView:
    """Return the view as it is after ``move``."""
    engine = view.endpoints_by_id[move.endpoint]
    committed = {
        item: memory_mb
        for item, memory_mb in engine.committed_mb_by_item.items()
        if item not in move.evicted
    }
    committed.update({item: view.memory_mb_by_item[item] for item in move.items})
    engine_after = replace(
        engine,
        committed_mb_by_item=committed,
        pinned=engine.pinned.union(move.items),
    )
    return replace(
        view, endpoints_by_id={**view.endpoints_by_id, move.endpoint: engine_after}
    )
