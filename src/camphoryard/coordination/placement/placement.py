"""Which items should be resident where: the decision, without carrying it out.

Demand is split over the copies of each model so that engines are evenly loaded;
what goes beyond the target load of an engine is expected to miss its deadline.
A move is worth making if it lowers the expected misses by more than it costs.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from camphoryard.state.demand import ItemDemand
from camphoryard.state.ids import EndpointId, ItemId

BALANCING_PASSES = 3


@dataclass(frozen=True, slots=True)
class StaticPlacement:
    """Plan nothing; what is resident nowhere is loaded when it is asked for."""


@dataclass(frozen=True, slots=True)
class LoadOnDemand:
    """Plan nothing; load on demand, making room by use."""


@dataclass(frozen=True, slots=True)
class DemandPlacement:
    """Add copies of models whose expected misses are worth the move.

    Parameters
    ----------
    target_load : float
        Share of an engine's slots that demand may fill before misses count.
    move_cost_slots : float
        Misses, in slots, that one load or unload must save.
    cold_cost_slots : float
        Misses, in slots, that taking the last copy of an idle model counts for.
    idle_slots : float
        Demand below which a last copy may go; it stays loadable on demand.
    min_residency_s : float
        How long a copy stays before it may make room for another.
    moves_at_once : int
        Loads that one plan may start.
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
    """An engine as the plan sees it.

    ``committed_mb_by_item`` holds what is resident or being loaded, ``fixed``
    the items among them that may not be unloaded now. Memory is in MB.
    """

    memory_mb: int
    slots: float
    committed_mb_by_item: Mapping[ItemId, int]
    fixed: frozenset[ItemId] = frozenset()

    @property
    def free_mb(self) -> int:
        """Memory, in MB, that a new load may take."""
        return self.memory_mb - sum(self.committed_mb_by_item.values())


@dataclass(frozen=True, slots=True)
class PlacementView:
    """Everything a plan is made from."""

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
    """Return the moves to start now, the most useful one first."""
    match policy:
        case StaticPlacement() | LoadOnDemand():
            return ()
        case DemandPlacement():
            return _plan_by_demand(policy, view)


def model_of(item: ItemId) -> ItemId:
    """Return the model that an item is, or is an adapter of."""
    return ItemId(item.partition(":")[0])


def models_demand(demand_by_item: Mapping[ItemId, ItemDemand]) -> dict[ItemId, float]:
    """Return the expected slots by model, those of its adapters included."""
    slots_by_model: dict[ItemId, float] = {}
    for item, demand in demand_by_item.items():
        model = model_of(item)
        slots_by_model[model] = slots_by_model.get(model, 0.0) + demand.expected
    return slots_by_model


def expected_load(view: PlacementView) -> Mapping[EndpointId, float]:
    """Return the slots that demand fills at each engine, evenly as copies allow."""
    load_by_id = dict.fromkeys(view.endpoints_by_id, 0.0)
    holders_by_model = _holders(view)
    demand_by_model = {
        model: slots
        for model, slots in models_demand(view.demand_by_item).items()
        if model in holders_by_model
    }
    shares: dict[ItemId, dict[EndpointId, float]] = {}
    order = sorted(demand_by_model, key=lambda item: len(holders_by_model[item]))
    for _ in range(BALANCING_PASSES):
        for model in order:
            for endpoint, share in shares.get(model, {}).items():
                load_by_id[endpoint] -= share
            shares[model] = _fill(
                demand_by_model[model], holders_by_model[model], load_by_id, view
            )
            for endpoint, share in shares[model].items():
                load_by_id[endpoint] += share
    return load_by_id


def expected_misses(policy: DemandPlacement, view: PlacementView) -> float:
    """Return the slots of demand that will miss their deadline."""
    load_by_id = expected_load(view)
    beyond = sum(
        max(0.0, load_by_id[endpoint] - policy.target_load * seen.slots)
        for endpoint, seen in view.endpoints_by_id.items()
    )
    held = _holders(view)
    nowhere = sum(
        slots
        for model, slots in models_demand(view.demand_by_item).items()
        if model not in held
    )
    return beyond + nowhere


def _fill(
    slots: float,
    holders: Sequence[EndpointId],
    load_by_id: Mapping[EndpointId, float],
    view: PlacementView,
) -> dict[EndpointId, float]:
    """Split ``slots`` over ``holders`` so that the fullest is as empty as can be."""
    size = {item: view.endpoints_by_id[item].slots for item in holders}
    order = sorted(holders, key=lambda item: (load_by_id[item] / size[item], item))
    level = 0.0
    for count in range(1, len(order) + 1):
        used = order[:count]
        taken = sum(load_by_id[item] for item in used)
        level = (slots + taken) / sum(size[item] for item in used)
        following = order[count] if count < len(order) else None
        if following is None or level <= load_by_id[following] / size[following]:
            break
    return {
        item: max(0.0, level * size[item] - load_by_id[item]) for item in order[:count]
    }


def _holders(view: PlacementView) -> dict[ItemId, list[EndpointId]]:
    holders: dict[ItemId, list[EndpointId]] = {}
    for endpoint, seen in view.endpoints_by_id.items():
        for item in seen.committed_mb_by_item:
            if model_of(item) == item:
                holders.setdefault(item, []).append(endpoint)
    return holders


def _plan_by_demand(policy: DemandPlacement, view: PlacementView) -> tuple[Move, ...]:
    moves: list[Move] = []
    while len(moves) < policy.moves_at_once:
        best = max(
            _candidates(policy, view), key=lambda item: item.gain_slots, default=None
        )
        if best is None or best.gain_slots <= 0:
            break
        moves.append(best.move)
        view = best.view
    return tuple(moves)


def _candidates(policy: DemandPlacement, view: PlacementView) -> Iterable[_Candidate]:
    """Yield copies worth weighing, with what they gain over their cost."""
    misses = expected_misses(policy, view)
    if misses <= policy.move_cost_slots:
        return
    load_by_id = expected_load(view)
    for model in _pressed_models(policy, view, load_by_id):
        for endpoint in view.endpoints_by_id:
            move = _make_move(policy, view, model, endpoint)
            if move is None:
                continue
            after = _after(view, move)
            gain_slots = misses - expected_misses(policy, after)
            cost_slots = _cost(policy, view, move)
            yield _Candidate(move, gain_slots - cost_slots, after)


def _pressed_models(
    policy: DemandPlacement,
    view: PlacementView,
    load_by_id: Mapping[EndpointId, float],
) -> list[ItemId]:
    """Return models with demand that are nowhere, or only at overloaded engines."""
    holders_by_model = _holders(view)

    def is_full(endpoint: EndpointId) -> bool:
        limit = policy.target_load * view.endpoints_by_id[endpoint].slots
        return load_by_id[endpoint] > limit

    return [
        model
        for model, slots in sorted(models_demand(view.demand_by_item).items())
        if slots > policy.move_cost_slots
        and model in view.memory_mb_by_item
        and any(map(is_full, holders_by_model.get(model, ())))
    ]


def _make_move(
    policy: DemandPlacement, view: PlacementView, model: ItemId, endpoint: EndpointId
) -> Move | None:
    """Return the load of ``model`` at ``endpoint`` with what must go, if it can be."""
    seen = view.endpoints_by_id[endpoint]
    if model in seen.committed_mb_by_item:
        return None
    items = (model, *_adapters_in_demand(policy, view, model))
    needed_mb = sum(view.memory_mb_by_item[item] for item in items)
    evicted = _victims(policy, view, endpoint, model, needed_mb - seen.free_mb)
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
    wanted: ItemId,
    needed_mb: int,
) -> tuple[ItemId, ...] | None:
    """Return what to unload for ``needed_mb``, or None if that cannot be.

    Second copies may go, and last copies of models that are idle or serve less
    than the new copy of ``wanted`` will; those first that free the most memory for
    what they cost. An adapter goes along with its base.
    """
    seen = view.endpoints_by_id[endpoint]
    copies = {model: len(held) for model, held in _holders(view).items()}
    demand = models_demand(view.demand_by_item)

    served_slots = demand.get(wanted, 0.0) / (copies.get(wanted, 0) + 1)

    def is_spare(model: ItemId) -> bool:
        asked_slots = demand.get(model, 0.0)
        if copies[model] > 1 or asked_slots < policy.idle_slots:
            return True
        return asked_slots + policy.cold_cost_slots < served_slots

    def family(model: ItemId) -> list[ItemId]:
        return [item for item in seen.committed_mb_by_item if model_of(item) == model]

    def cost_a_mb(model: ItemId) -> tuple[float, ItemId]:
        cost_slots = len(family(model)) * policy.move_cost_slots
        cost_slots += demand.get(model, 0.0) / copies[model]
        if copies[model] == 1:
            cost_slots += policy.cold_cost_slots
        return cost_slots / seen.committed_mb_by_item[model], model

    evicted: list[ItemId] = []
    spare = [item for item in copies if item in seen.committed_mb_by_item]
    for model in sorted(filter(is_spare, spare), key=cost_a_mb):
        if needed_mb <= 0:
            break
        going = family(model)
        if seen.fixed.intersection(going):
            continue
        evicted.extend(sorted(going, reverse=True))
        needed_mb -= sum(seen.committed_mb_by_item[item] for item in going)
    return tuple(evicted) if needed_mb <= 0 else None


def _cost(policy: DemandPlacement, view: PlacementView, move: Move) -> float:
    copies = {model: len(held) for model, held in _holders(view).items()}
    last = sum(copies.get(item) == 1 for item in move.evicted)
    moved = len(move.items) + len(move.evicted)
    return moved * policy.move_cost_slots + last * policy.cold_cost_slots


def _after(view: PlacementView, move: Move) -> PlacementView:
    """Return the view as it will be once ``move`` is carried out."""
    seen = view.endpoints_by_id[move.endpoint]
    committed = {
        item: memory_mb
        for item, memory_mb in seen.committed_mb_by_item.items()
        if item not in move.evicted
    }
    committed.update({item: view.memory_mb_by_item[item] for item in move.items})
    changed = replace(
        seen,
        committed_mb_by_item=committed,
        fixed=seen.fixed.union(move.items),
    )
    return replace(
        view, endpoints_by_id={**view.endpoints_by_id, move.endpoint: changed}
    )
