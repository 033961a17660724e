"""Tests of the placement decision."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.placement.placement import (
    DemandPlacement,
    EndpointView,
    LoadOnDemand,
    PlacementView,
    StaticPlacement,
    demand_slots_by_model,
    expected_load,
    model_of,
    plan,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.ids import EndpointId, ItemId

MEMORY_MB = 100
SLOTS = 8.0


def make_view(items_by_engine, demand, sizes=None, pinned=()):
    """Return a view of engines with the items on each, and the demand in slots."""
    sizes = sizes or dict.fromkeys(
        [*demand, *(item for items in items_by_engine.values() for item in items)], 40
    )
    return PlacementView(
        {
            EndpointId(name): EndpointView(
                MEMORY_MB,
                SLOTS,
                {ItemId(item): sizes[item] for item in items},
                frozenset(map(ItemId, pinned)),
            )
            for name, items in items_by_engine.items()
        },
        {ItemId(item): ItemDemand(slots, 0.0) for item, slots in demand.items()},
        {ItemId(item): size for item, size in sizes.items()},
    )


@st.composite
def views(draw):
    """Draw a view whose engines have no more items than fit into their memory."""
    models = [f"m{index}" for index in range(draw(st.integers(2, 7)))]
    adapters = [f"{model}:a" for model in models]
    sizes = {item: draw(st.integers(20, 60)) for item in models}
    sizes |= {item: draw(st.integers(1, 5)) for item in adapters}
    items_by_engine = {}
    for index in range(draw(st.integers(1, 4))):
        items = []
        for item in draw(st.permutations(models + adapters)):
            if sum(sizes[other] for other in [*items, item]) <= MEMORY_MB:
                items.append(item)
        items_by_engine[f"e{index}"] = items
    slots = st.floats(0, 30)
    demand = {item: draw(slots) for item in draw(st.sets(st.sampled_from(models)))}
    pinned = draw(st.sets(st.sampled_from(models)))
    return make_view(items_by_engine, demand, sizes, pinned)


class TestPlan:
    """Planned moves."""

    def test_baselines_plan_nothing(self):
        """Static placement and loading on demand plan no moves."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 20.0})
        assert plan(StaticPlacement(), view) == plan(LoadOnDemand(), view) == ()

    def test_adds_a_copy_of_an_overloaded_model(self):
        """A model with demand above its engine's target gets a copy elsewhere."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 10.0})
        (move,) = plan(DemandPlacement(), view)
        assert (move.endpoint, move.items, move.evicted) == ("e2", ("a",), ())

    def test_no_move_for_demand_within_target(self):
        """Demand below the target load causes no moves."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 5.0})
        assert plan(DemandPlacement(), view) == ()

    def test_spare_copy_is_evicted_before_last_copy(self):
        """A model with another copy is evicted, not the only copy of an idle one."""
        items_by_engine = {"e1": ["a", "b"], "e2": ["b", "c"]}
        (move,) = plan(DemandPlacement(), make_view(items_by_engine, {"a": 10.0}))
        assert move.evicted == ("b",)

    def test_new_copy_includes_adapters_in_demand(self):
        """The move of a model loads its adapters that have demand too."""
        sizes = {"a": 40, "a:x": 2}
        view = make_view({"e1": ["a", "a:x"], "e2": []}, {"a": 4, "a:x": 6}, sizes)
        (move,) = plan(DemandPlacement(), view)
        assert move.items == ("a", "a:x")

    @given(views())
    def test_never_plans_beyond_memory(self, view):
        """After all moves the items on each engine fit into its memory."""
        sizes = view.memory_mb_by_item
        for endpoint, items in _items_after(
            view, plan(DemandPlacement(), view)
        ).items():
            assert sum(sizes[item] for item in items) <= MEMORY_MB, endpoint

    @given(views())
    def test_last_copy_in_demand_is_evicted_only_for_one_that_serves_more(self, view):
        """A model without a copy left serves less than any copy that was added."""
        moves = plan(DemandPlacement(), view)
        items_after = _items_after(view, moves)
        demand = demand_slots_by_model(view.demand_by_item)
        evicted_models = {
            item
            for move in moves
            for item in move.evicted
            if model_of(item) == item
            and not any(item in items for items in items_after.values())
        }
        copies = {
            move.items[0]: sum(move.items[0] in items for items in items_after.values())
            for move in moves
        }
        for model in evicted_models:
            slots = demand.get(model, 0.0)
            if slots >= DemandPlacement().idle_slots:
                assert all(
                    slots < demand[added] / count for added, count in copies.items()
                )

    def test_last_copy_in_demand_is_not_evicted_for_a_small_gain(self):
        """A copy that would serve little more than the evicted one is not loaded."""
        items_by_engine = {"e1": ["a"], "e2": ["b"]}
        sizes = {"a": 60, "b": 60}
        for slots, evicted in ((6.8, []), (1.0, [("b",)])):
            view = make_view(items_by_engine, {"a": 14.0, "b": slots}, sizes)
            moves = plan(DemandPlacement(), view)
            assert [move.evicted for move in moves] == evicted

    @given(views())
    def test_never_evicts_pinned_items(self, view):
        """Items that were just loaded, or have an open intent, are not evicted."""
        for move in plan(DemandPlacement(), view):
            assert not view.endpoints_by_id[move.endpoint].pinned.intersection(
                move.evicted
            )

    @given(views())
    def test_adapters_are_evicted_with_their_base_model(self, view):
        """Unloading a base model unloads its adapters on the engine too."""
        for move in plan(DemandPlacement(), view):
            items = view.endpoints_by_id[move.endpoint].committed_mb_by_item
            evicted_models = {item for item in move.evicted if model_of(item) == item}
            assert all(
                item in move.evicted
                for item in items
                if model_of(item) in evicted_models
            )


class TestExpectedLoad:
    """Splitting the demand for a model over its copies."""

    def test_fills_the_less_loaded_engine(self):
        """A model with two copies is served where single copies leave free slots."""
        items_by_engine = {"e1": ["a", "b"], "e2": ["b"]}
        load = expected_load(make_view(items_by_engine, {"a": 4.0, "b": 4.0}))
        assert load == {"e1": 4.0, "e2": 4.0}


def _items_after(view, moves):
    items_by_engine = {
        endpoint: set(engine.committed_mb_by_item)
        for endpoint, engine in view.endpoints_by_id.items()
    }
    for move in moves:
        items_by_engine[move.endpoint] -= set(move.evicted)
        items_by_engine[move.endpoint] |= set(move.items)
    return items_by_engine
