"""Tests of which copies are worth their memory."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.loading.coverage import (
    CoveragePolicy,
    EngineView,
    FleetView,
    best_load,
    plan_copies,
    plan_preload,
    wanted_worth,
    worth_slots,
)
from camphoryard.state.ids import EndpointId, ModelId
from tests.fakes.engines import make_spec

POLICY = CoveragePolicy(comfort_slots=8.0)
MEMORY_MB = 100


def make_view(held, demand, on_hand=(), fixed=(), sizes=None):
    """Return a view of engines of 100 MB; models take 50 MB."""
    names = {*demand, *(model for models in held.values() for model in models)}
    sizes = sizes or dict.fromkeys(names, 50)
    return FleetView(
        [
            EngineView(
                EndpointId(name),
                MEMORY_MB - sum(sizes[model] for model in models),
                {ModelId(model): sizes[model] for model in models},
                frozenset(map(ModelId, fixed)),
                frozenset(map(ModelId, on_hand)),
            )
            for name, models in held.items()
        ],
        {ModelId(model): slots for model, slots in demand.items()},
        make_spec(sizes).models_by_id,
    )


class TestWorthSlots:
    """The worth of copies."""

    @given(st.floats(0, 200), st.integers(1, 20))
    def test_each_further_copy_is_worth_no_more_than_the_one_before(self, slots, n):
        """Copies of a model are worth less the more there are."""
        first = worth_slots(POLICY, slots, n + 1) - worth_slots(POLICY, slots, n)
        second = worth_slots(POLICY, slots, n + 2) - worth_slots(POLICY, slots, n + 1)
        assert second <= first + 1e-9


class TestBestLoad:
    """Where a model is loaded, and what leaves for it."""

    def test_free_memory_goes_before_victims(self):
        """A model is loaded where nothing has to leave."""
        view = make_view({"e1": ["a", "b"], "e2": ["c"]}, {"a": 1, "b": 1, "d": 1})
        move, _ = best_load(POLICY, view, ModelId("d"))
        assert (move.engine, move.evicted) == ("e2", ())

    def test_what_nobody_asks_for_leaves_first(self):
        """The crowd's model stays when a rare one is asked for."""
        view = make_view({"e1": ["crowd", "idle"]}, {"crowd": 20, "rare": 1})
        move, _ = best_load(POLICY, view, ModelId("rare"))
        assert move.evicted == ("idle",)

    def test_a_copy_too_many_leaves_before_the_only_one(self):
        """A last copy that is asked for is worth more than a third of another."""
        held = {"e1": ["crowd", "rare"], "e2": ["crowd"], "e3": ["crowd", "x"]}
        view = make_view(held, {"crowd": 8, "rare": 1, "x": 1, "new": 1})
        view = make_view({"e1": ["crowd", "rare"], **held}, view.demand_by_model)
        move, _ = best_load(
            POLICY,
            make_view(
                held,
                {"crowd": 8, "rare": 1, "x": 1, "new": 1},
                sizes={"crowd": 50, "rare": 50, "x": 50, "new": 60},
            ),
            ModelId("new"),
        )
        assert move.engine == "e2"

    def test_a_model_that_many_streams_run_on_leaves_later(self):
        """Its unload would wait for them, and the load behind it too."""
        held = {"e1": ["busy", "a"], "e2": ["rare", "a"]}
        held |= {"e3": ["busy", "b"], "e4": ["busy", "b"]}
        view = make_view(held, {"busy": 6, "rare": 0.2, "a": 9, "b": 9, "new": 1})
        move, _ = best_load(POLICY, view, ModelId("new"))
        assert (move.engine, move.evicted) == ("e2", ("rare",))

    def test_a_crowds_model_goes_where_it_comes_soonest(self):
        """Its burst is over by the time that a load from the weight store ends."""
        held = {"e1": ["x"], "e2": ["c", "d"]}
        view = make_view(held, {"crowd": 8, "c": 1.5, "d": 1.5, "x": 1})
        on_hand = replace(view.engines[1], on_hand=frozenset({ModelId("crowd")}))
        view = replace(
            view,
            engines=[view.engines[0], on_hand],
            steady_by_model={ModelId("crowd"): 2.0},
        )
        move, _ = best_load(POLICY, view, ModelId("crowd"))
        assert (move.engine, move.from_store) == ("e2", False)

    def test_models_that_were_just_loaded_stay(self):
        """Two models that do not fit together cannot push each other out at once."""
        view = make_view({"e1": ["a", "b"]}, {"a": 1, "b": 1, "c": 1}, fixed=["a", "b"])
        assert best_load(POLICY, view, ModelId("c")) is None

    def test_weights_on_hand_go_before_the_weight_store(self):
        """An engine that has the weights on its disk is preferred."""
        view = make_view({"e1": ["x"], "e2": ["x"]}, {"a": 1})
        engines = [
            view.engines[0],
            EngineView(
                EndpointId("e3"),
                50,
                {ModelId("x"): 50},
                on_hand=frozenset({ModelId("a")}),
            ),
        ]
        view = FleetView(engines, view.demand_by_model, view.spec_by_model)
        move, _ = best_load(POLICY, view, ModelId("a"))
        assert (move.engine, move.from_store) == ("e3", False)


class TestWantedWorth:
    """Rare models asked for in the middle of a crowd."""

    def test_a_crowds_copy_stays_while_a_rare_request_has_not_waited(self):
        """Both copies of the crowd's model are needed."""
        view = make_view(
            {"e1": ["crowd", "crowd2"], "e2": ["crowd", "crowd2"]},
            {"crowd": 16, "crowd2": 16, "rare": 1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > wanted_worth(POLICY, view, ModelId("rare"), 0.0)

    def test_copies_in_use_outlast_many_rare_models_for_some_seconds(self):
        """In a burst of rare models, engines with a model to spare fall free."""
        view = make_view(
            {"e1": ["crowd", "crowd2"], "e2": ["crowd", "crowd2"]},
            {"crowd": 12, "crowd2": 12, "rare": 0.1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > wanted_worth(POLICY, view, ModelId("rare"), 4.0)

    def test_many_rare_models_do_not_drive_a_crowd_out_together(self):
        """Ten that wait for eight seconds leave it its copies."""
        view = make_view(
            {"e1": ["crowd", "crowd2"], "e2": ["crowd", "crowd2"]},
            {"crowd": 12, "crowd2": 12, "rare": 0.1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > wanted_worth(POLICY, view, ModelId("rare"), 8.0, waiting=10)

    def test_a_rare_request_is_served_in_the_end(self):
        """It is worth more with each second that it waits."""
        view = make_view(
            {"e1": ["crowd", "crowd2"], "e2": ["crowd", "crowd2"]},
            {"crowd": 16, "crowd2": 16, "rare": 1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost < wanted_worth(POLICY, view, ModelId("rare"), 10.0)


class TestPlanCopies:
    """Copies beyond the first: crowds at one model."""

    def test_a_crowd_at_one_model_gets_more_copies(self):
        """Demand that one copy cannot carry adds a second."""
        view = make_view({"e1": ["crowd", "a"], "e2": ["idle", "b"]}, {"crowd": 20})
        move = plan_copies(POLICY, view)
        assert (move.engine, move.model) == ("e2", "crowd")

    def test_a_burst_that_is_over_by_then_loads_nothing(self):
        """A copy from the weight store comes seconds later."""
        view = make_view({"e1": ["crowd", "a"], "e2": ["idle", "b"]}, {"crowd": 12})
        burst = replace(view, steady_by_model={ModelId("crowd"): 1.0})
        assert plan_copies(POLICY, view) is not None
        assert plan_copies(POLICY, burst) is None

    def test_copies_leave_engines_free_for_what_is_held_nowhere(self):
        """While one of four engines is busy, none loads a copy from the store."""
        held = {"e1": ["crowd", "a"], "e2": ["b"], "e3": ["idle", "c"], "e4": ["d"]}
        view = make_view(held, {"crowd": 40})
        assert plan_copies(POLICY, view) is not None
        busy = replace(view.engines[1], is_busy=True)
        view = replace(view, engines=[view.engines[0], busy, *view.engines[2:]])
        assert plan_copies(POLICY, view) is None
        on_hand = replace(view.engines[2], on_hand=frozenset({ModelId("crowd")}))
        view = replace(view, engines=[*view.engines[:2], on_hand, view.engines[3]])
        assert plan_copies(POLICY, view).engine == "e3"

    def test_many_engines_load_copies_side_by_side(self):
        """When demand shifts in a large fleet, one after the other comes too late."""
        held = {f"e{number}": ["idle"] for number in range(56)}
        view = make_view({**held, "e0": ["crowd"]}, {"crowd": 100})
        engines = [
            replace(engine, is_busy=number in range(10, 30))
            for number, engine in enumerate(view.engines)
        ]
        assert plan_copies(POLICY, replace(view, engines=engines)) is not None

    def test_demand_that_is_carried_moves_nothing(self):
        """No move is made for a model whose copies carry its demand."""
        view = make_view({"e1": ["a", "b"], "e2": ["a", "b"]}, {"a": 3, "b": 3})
        assert plan_copies(POLICY, view) is None


class TestPlanPreload:
    """Free memory."""

    def test_free_memory_takes_a_model_held_nowhere(self):
        """Memory that nothing uses holds a model before it is asked for."""
        view = make_view({"e1": ["a"]}, {"a": 1, "b": 0})
        assert plan_preload(POLICY, view).model == "b"

    def test_nothing_leaves_for_a_model_that_is_not_asked_for(self):
        """Full engines stay as they are."""
        view = make_view({"e1": ["a", "c"]}, {"a": 1, "b": 0})
        assert plan_preload(POLICY, view) is None
