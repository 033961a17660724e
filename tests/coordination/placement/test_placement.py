"""Tests of the placement decision."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.placement.placement import (
    DemandPlacement,
    EndpointView,
    LoadOnDemand,
    PlacementView,
    StaticPlacement,
    expected_load,
    model_of,
    models_demand,
    plan,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.ids import EndpointId, ItemId

MEMORY_MB = 100
SLOTS = 8.0


def make_view(held, demand, sizes=None, fixed=()):
    """Return a view from names: what each engine holds, and slots by item."""
    sizes = sizes or dict.fromkeys(
        [*demand, *(x for h in held.values() for x in h)], 40
    )
    return PlacementView(
        {
            EndpointId(name): EndpointView(
                MEMORY_MB,
                SLOTS,
                {ItemId(item): sizes[item] for item in items},
                frozenset(map(ItemId, fixed)),
            )
            for name, items in held.items()
        },
        {ItemId(item): ItemDemand(slots, 0.0) for item, slots in demand.items()},
        {ItemId(item): size for item, size in sizes.items()},
    )


@st.composite
def views(draw):
    """Draw a view whose engines hold no more than they have."""
    models = [f"m{index}" for index in range(draw(st.integers(2, 7)))]
    adapters = [f"{model}:a" for model in models]
    sizes = {item: draw(st.integers(20, 60)) for item in models}
    sizes |= {item: draw(st.integers(1, 5)) for item in adapters}
    held = {}
    for index in range(draw(st.integers(1, 4))):
        items = []
        for item in draw(st.permutations(models + adapters)):
            if sum(sizes[x] for x in [*items, item]) <= MEMORY_MB:
                items.append(item)
        held[f"e{index}"] = items
    slots = st.floats(0, 30)
    demand = {item: draw(slots) for item in draw(st.sets(st.sampled_from(models)))}
    fixed = draw(st.sets(st.sampled_from(models)))
    return make_view(held, demand, sizes, fixed)


class TestPlan:
    """Planned moves."""

    def test_baselines_plan_nothing(self):
        """Static placement and loading on demand never move ahead of demand."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 20.0})
        assert plan(StaticPlacement(), view) == plan(LoadOnDemand(), view) == ()

    def test_adds_a_copy_of_a_pressed_model(self):
        """Demand beyond an engine's target gets a copy at another engine."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 10.0})
        (move,) = plan(DemandPlacement(), view)
        assert (move.endpoint, move.items, move.evicted) == ("e2", ("a",), ())

    def test_small_gains_are_not_worth_a_move(self):
        """Demand within the target moves nothing."""
        view = make_view({"e1": ["a"], "e2": []}, {"a": 5.0})
        assert plan(DemandPlacement(), view) == ()

    def test_a_spare_copy_makes_room_before_a_last_one(self):
        """The model that has another copy goes, not the only copy of an idle one."""
        held = {"e1": ["a", "b"], "e2": ["b", "c"]}
        (move,) = plan(DemandPlacement(), make_view(held, {"a": 10.0}))
        assert move.evicted == ("b",)

    def test_adapters_in_demand_go_along(self):
        """A copy comes with the adapters whose demand it takes over."""
        sizes = {"a": 40, "a:x": 2}
        view = make_view({"e1": ["a", "a:x"], "e2": []}, {"a": 4, "a:x": 6}, sizes)
        (move,) = plan(DemandPlacement(), view)
        assert move.items == ("a", "a:x")

    @given(views())
    def test_never_plans_beyond_memory(self, view):
        """After all moves no engine holds more than it has."""
        sizes = view.memory_mb_by_item
        for endpoint, held in _after(view, plan(DemandPlacement(), view)).items():
            assert sum(sizes[item] for item in held) <= MEMORY_MB, endpoint

    @given(views())
    def test_a_wanted_last_copy_goes_only_for_one_that_serves_more(self, view):
        """What leaves altogether serves less than any copy that was added."""
        moves = plan(DemandPlacement(), view)
        after = _after(view, moves)
        demand = models_demand(view.demand_by_item)
        gone = {
            item
            for move in moves
            for item in move.evicted
            if model_of(item) == item
            and not any(item in held for held in after.values())
        }
        copies = {
            move.items[0]: sum(move.items[0] in held for held in after.values())
            for move in moves
        }
        for model in gone:
            slots = demand.get(model, 0.0)
            if slots >= DemandPlacement().idle_slots:
                assert all(slots < demand[x] / count for x, count in copies.items())

    def test_a_wanted_last_copy_stays_for_a_small_gain(self):
        """A copy that would serve hardly more than its victim is not loaded."""
        held = {"e1": ["a"], "e2": ["b"]}
        sizes = {"a": 60, "b": 60}
        for slots, evicted in ((6.8, []), (1.0, [("b",)])):
            view = make_view(held, {"a": 14.0, "b": slots}, sizes)
            moves = plan(DemandPlacement(), view)
            assert [move.evicted for move in moves] == evicted

    @given(views())
    def test_never_moves_what_is_fixed(self, view):
        """What was loaded a moment ago, or has an open intent, stays."""
        for move in plan(DemandPlacement(), view):
            assert not view.endpoints_by_id[move.endpoint].fixed.intersection(
                move.evicted
            )

    @given(views())
    def test_no_adapter_is_left_without_its_base(self, view):
        """An adapter goes along with the base that is unloaded."""
        for move in plan(DemandPlacement(), view):
            held = view.endpoints_by_id[move.endpoint].committed_mb_by_item
            gone = {item for item in move.evicted if model_of(item) == item}
            assert all(x in move.evicted for x in held if model_of(x) in gone)


class TestExpectedLoad:
    """Splitting demand over copies."""

    def test_fills_the_emptier_engine(self):
        """A model's demand goes where what is bound elsewhere leaves room."""
        held = {"e1": ["a", "b"], "e2": ["b"]}
        load = expected_load(make_view(held, {"a": 4.0, "b": 4.0}))
        assert load == {"e1": 4.0, "e2": 4.0}


def _after(view, moves):
    held = {
        endpoint: set(seen.committed_mb_by_item)
        for endpoint, seen in view.endpoints_by_id.items()
    }
    for move in moves:
        held[move.endpoint] -= set(move.evicted)
        held[move.endpoint] |= set(move.items)
    return held
