"""Tests of the decisions which copies of models to load and evict."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.loading.coverage import (
    CoveragePolicy,
    EngineView,
    FleetView,
    best_load,
    first_copy_value,
    plan_copies,
    plan_preload,
    value_slots,
)
from camphoryard.state.ids import EndpointId, ModelId
from tests.fakes.engines import make_spec

POLICY = CoveragePolicy(copy_capacity_slots=8.0)
MEMORY_MB = 100


def make_view(models_by_engine, demand, local_models=(), pinned=(), sizes=None):
    """Return a view of engines of 100 MB; models take 50 MB."""
    names = {
        *demand,
        *(model for models in models_by_engine.values() for model in models),
    }
    sizes = sizes or dict.fromkeys(names, 50)
    return FleetView(
        [
            EngineView(
                EndpointId(name),
                MEMORY_MB - sum(sizes[model] for model in models),
                {ModelId(model): sizes[model] for model in models},
                frozenset(map(ModelId, pinned)),
                frozenset(map(ModelId, local_models)),
            )
            for name, models in models_by_engine.items()
        ],
        {ModelId(model): slots for model, slots in demand.items()},
        make_spec(sizes).models_by_id,
    )


class TestValueSlots:
    """The value of a number of copies."""

    @given(st.floats(0, 200), st.integers(1, 20))
    def test_value_of_further_copies_decreases(self, slots, n):
        """Each further copy of a model adds no more value than the one before."""
        first = value_slots(POLICY, slots, n + 1) - value_slots(POLICY, slots, n)
        second = value_slots(POLICY, slots, n + 2) - value_slots(POLICY, slots, n + 1)
        assert second <= first + 1e-9


def with_speeds(view, *speeds):
    """Return a view of the same engines at other speeds."""
    pairs = zip(view.engines, speeds, strict=True)
    engines = [replace(engine, speed=speed) for engine, speed in pairs]
    return FleetView(engines, view.demand_by_model, view.spec_by_model)


class TestUnevenEngines:
    """Copies of models at engines of several speeds."""

    def test_only_copy_at_a_slow_engine_gets_one_at_the_fastest(self):
        """Three slots of demand need a further copy only where the first is slow."""
        view = make_view(
            {"slow": ["hot"], "mid": [], "fast": []}, {"hot": 3}, local_models=["hot"]
        )
        assert plan_copies(POLICY, view) is None
        move = plan_copies(POLICY, with_speeds(view, 0.5, 1.0, 1.6))
        assert move is not None
        assert (move.engine, move.model) == ("fast", "hot")

    def test_slow_copy_is_evicted_before_a_fast_one(self):
        """Two engines are full of copies of one model; the slow one makes room."""
        view = make_view(
            {"fast": ["hot", "x"], "slow": ["hot", "x"]}, {"hot": 12, "x": 12, "new": 9}
        )
        found = best_load(POLICY, with_speeds(view, 1.6, 0.6), ModelId("new"))
        assert found is not None
        assert found[0].engine == "slow"


class TestBestLoad:
    """Where a model is loaded, and which models are evicted for it."""

    def test_free_memory_is_preferred_to_eviction(self):
        """A model is loaded at an engine where it fits without eviction."""
        view = make_view({"e1": ["a", "b"], "e2": ["c"]}, {"a": 1, "b": 1, "d": 1})
        move, _ = best_load(POLICY, view, ModelId("d"))
        assert (move.engine, move.evicted) == ("e2", ())

    def test_model_without_demand_is_evicted_first(self):
        """A hot model stays loaded when a rare one is requested."""
        view = make_view({"e1": ["hot", "idle"]}, {"hot": 20, "rare": 1})
        move, _ = best_load(POLICY, view, ModelId("rare"))
        assert move.evicted == ("idle",)

    def test_surplus_copy_is_evicted_before_the_only_copy(self):
        """The only copy of a model in use is worth more than one of three copies."""
        models_by_engine = {"e1": ["hot", "rare"], "e2": ["hot"], "e3": ["hot", "x"]}
        view = make_view(models_by_engine, {"hot": 8, "rare": 1, "x": 1, "new": 1})
        view = make_view(
            {"e1": ["hot", "rare"], **models_by_engine}, view.demand_by_model
        )
        move, _ = best_load(
            POLICY,
            make_view(
                models_by_engine,
                {"hot": 8, "rare": 1, "x": 1, "new": 1},
                sizes={"hot": 50, "rare": 50, "x": 50, "new": 60},
            ),
            ModelId("new"),
        )
        assert move.engine == "e2"

    def test_busy_model_is_evicted_last(self):
        """Its unload would delay the load until its many streams have ended."""
        models_by_engine = {"e1": ["busy", "a"], "e2": ["rare", "a"]}
        models_by_engine |= {"e3": ["busy", "b"], "e4": ["busy", "b"]}
        view = make_view(
            models_by_engine, {"busy": 6, "rare": 0.2, "a": 9, "b": 9, "new": 1}
        )
        move, _ = best_load(POLICY, view, ModelId("new"))
        assert (move.engine, move.evicted) == ("e2", ("rare",))

    def test_hot_model_is_loaded_where_it_loads_fastest(self):
        """The burst is over by the time that a load from the weight store ends."""
        models_by_engine = {"e1": ["x"], "e2": ["c", "d"]}
        view = make_view(models_by_engine, {"hot": 8, "c": 1.5, "d": 1.5, "x": 1})
        with_weights = replace(
            view.engines[1], local_models=frozenset({ModelId("hot")})
        )
        view = replace(
            view,
            engines=[view.engines[0], with_weights],
            steady_by_model={ModelId("hot"): 2.0},
        )
        move, _ = best_load(POLICY, view, ModelId("hot"))
        assert (move.engine, move.from_store) == ("e2", False)

    def test_recently_loaded_models_are_not_evicted(self):
        """Two models that do not fit together cannot evict each other at once."""
        view = make_view(
            {"e1": ["a", "b"]}, {"a": 1, "b": 1, "c": 1}, pinned=["a", "b"]
        )
        assert best_load(POLICY, view, ModelId("c")) is None

    def test_local_weights_are_preferred_to_the_weight_store(self):
        """An engine that has the weights on its disk is preferred."""
        view = make_view({"e1": ["x"], "e2": ["x"]}, {"a": 1})
        engines = [
            view.engines[0],
            EngineView(
                EndpointId("e3"),
                50,
                {ModelId("x"): 50},
                local_models=frozenset({ModelId("a")}),
            ),
        ]
        view = FleetView(engines, view.demand_by_model, view.spec_by_model)
        move, _ = best_load(POLICY, view, ModelId("a"))
        assert (move.engine, move.from_store) == ("e3", False)


class TestFirstCopyValue:
    """Requests for rare models while other models are in high demand."""

    def test_hot_copy_is_not_evicted_for_a_new_rare_request(self):
        """Both copies of each hot model are required."""
        view = make_view(
            {"e1": ["hot", "hot2"], "e2": ["hot", "hot2"]},
            {"hot": 16, "hot2": 16, "rare": 1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > first_copy_value(POLICY, view, ModelId("rare"), 0.0)

    def test_copies_in_use_stay_for_some_seconds(self):
        """In a burst of rare models, other engines can soon spare a model."""
        view = make_view(
            {"e1": ["hot", "hot2"], "e2": ["hot", "hot2"]},
            {"hot": 12, "hot2": 12, "rare": 0.1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > first_copy_value(POLICY, view, ModelId("rare"), 4.0)

    def test_many_rare_models_do_not_evict_hot_copies_together(self):
        """Ten rare models that have waited for eight seconds evict no hot copy."""
        view = make_view(
            {"e1": ["hot", "hot2"], "e2": ["hot", "hot2"]},
            {"hot": 12, "hot2": 12, "rare": 0.1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost > first_copy_value(
            POLICY, view, ModelId("rare"), 8.0, waiting_models=10
        )

    def test_rare_model_is_loaded_eventually(self):
        """The value of its first copy grows with each second that requests wait."""
        view = make_view(
            {"e1": ["hot", "hot2"], "e2": ["hot", "hot2"]},
            {"hot": 16, "hot2": 16, "rare": 1},
        )
        _, cost = best_load(POLICY, view, ModelId("rare"))
        assert cost < first_copy_value(POLICY, view, ModelId("rare"), 10.0)


class TestPlanCopies:
    """Further copies of models in high demand."""

    def test_hot_model_gets_more_copies(self):
        """Demand beyond the capacity of one copy adds a second."""
        view = make_view({"e1": ["hot", "a"], "e2": ["idle", "b"]}, {"hot": 20})
        move = plan_copies(POLICY, view)
        assert (move.engine, move.model) == ("e2", "hot")

    def test_burst_that_ends_before_the_load_adds_no_copy(self):
        """A copy from the weight store takes seconds to load."""
        view = make_view({"e1": ["hot", "a"], "e2": ["idle", "b"]}, {"hot": 12})
        burst = replace(view, steady_by_model={ModelId("hot"): 1.0})
        assert plan_copies(POLICY, view) is not None
        assert plan_copies(POLICY, burst) is None

    def test_copies_leave_engines_free_for_models_without_a_copy(self):
        """While one of four engines is busy, none loads a copy from the store."""
        models_by_engine = {
            "e1": ["hot", "a"],
            "e2": ["b"],
            "e3": ["idle", "c"],
            "e4": ["d"],
        }
        view = make_view(models_by_engine, {"hot": 40})
        assert plan_copies(POLICY, view) is not None
        busy = replace(view.engines[1], is_busy=True)
        view = replace(view, engines=[view.engines[0], busy, *view.engines[2:]])
        assert plan_copies(POLICY, view) is None
        with_weights = replace(
            view.engines[2], local_models=frozenset({ModelId("hot")})
        )
        view = replace(view, engines=[*view.engines[:2], with_weights, view.engines[3]])
        assert plan_copies(POLICY, view).engine == "e3"

    def test_many_engines_load_copies_concurrently(self):
        """One load at a time would be too slow when demand shifts in a large fleet."""
        models_by_engine = {f"e{number}": ["idle"] for number in range(56)}
        view = make_view({**models_by_engine, "e0": ["hot"]}, {"hot": 100})
        engines = [
            replace(engine, is_busy=number in range(10, 30))
            for number, engine in enumerate(view.engines)
        ]
        assert plan_copies(POLICY, replace(view, engines=engines)) is not None

    def test_covered_demand_starts_no_move(self):
        """No move is started for a model whose copies cover its demand."""
        view = make_view({"e1": ["a", "b"], "e2": ["a", "b"]}, {"a": 3, "b": 3})
        assert plan_copies(POLICY, view) is None


class TestPlanPreload:
    """Loads into free memory."""

    def test_model_without_a_copy_is_loaded_into_free_memory(self):
        """A model is loaded into unused memory before it is requested."""
        view = make_view({"e1": ["a"]}, {"a": 1, "b": 0})
        assert plan_preload(POLICY, view).model == "b"

    def test_no_model_is_evicted_for_a_preload(self):
        """Engines without free memory preload no model."""
        view = make_view({"e1": ["a", "c"]}, {"a": 1, "b": 0})
        assert plan_preload(POLICY, view) is None
