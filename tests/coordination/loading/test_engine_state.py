"""Tests of what the ordering node knows of one engine."""

from camphoryard.coordination.loading.engine_state import ARRIVAL_S, EngineState
from camphoryard.coordination.loading.ports import EngineReport
from camphoryard.state.ids import AdapterId, ModelId
from camphoryard.state.serving_endpoints import LoadedModel
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import Clock, make_endpoint, make_spec

M1, M2 = ModelId("m1"), ModelId("m2")
A1 = RequestedModel(M1, AdapterId("a1"))


def make_engine(models=("m1",), clock=None):
    """Return the engine of an engine for two models of 60 MB."""
    spec = make_spec({"m1": 60, "m2": 60, "m3": 30})
    return EngineState(make_endpoint(models=models), spec, clock or Clock())


def make_report(models, orders, busy=False, coming=()):
    """Return a report of models without adapters."""
    held = {ModelId(model): LoadedModel(1) for model in models}
    return EngineReport(held, busy, orders, 0, 0, frozenset(coming))


class TestEngineState:
    """What is believed of an engine, and when."""

    def test_an_entry_from_before_the_end_of_a_load_does_not_undo_it(self):
        """The model counts although the engine's entry lacks it for a while."""
        engine = make_engine(())
        engine.begin(M1)
        engine.model_came(M1)
        engine.end()
        engine.observe(make_endpoint(models=()))
        assert engine.models == {M1}

    def test_an_entry_from_before_a_report_does_not_undo_it(self):
        """What another node had loaded counts although the entry lacks it."""
        engine = make_engine(())
        engine.reported(make_report(["m1"], 5))
        engine.observe(make_endpoint(models=()))
        assert not engine.has_room_for(M2)

    def test_an_old_entry_never_replaces_what_was_reported(self):
        """A node cut off from the store sees the same entry for long."""
        clock = Clock()
        engine = make_engine(("m1",), clock)
        engine.reported(make_report(["m1", "m3"], 5))
        clock.advance(60.0)
        engine.observe(make_endpoint(models=("m1",)))
        assert engine.models == {M1, ModelId("m3")}

    def test_a_report_that_lags_does_not_set_the_count_of_orders_back(self):
        """An order with a number from before the last one would come out of turn."""
        engine = make_engine()
        engine.reported(make_report(["m1"], 5))
        engine.accepted()
        engine.reported(make_report(["m1"], 5))
        assert engine.orders == 6

    def test_a_new_start_of_the_engine_is_known_by_its_time(self):
        """An engine that started again has accepted a number nobody knows."""
        engine = make_engine()
        engine.reported(make_report(["m1"], 5))
        engine.observe(make_endpoint(models=(), started_ms=2))
        assert engine.orders is None
        assert engine.models == frozenset()

    def test_a_move_takes_its_memory_from_its_beginning(self):
        """No second move finds the room of a load that is still to be ordered."""
        engine = make_engine(())
        engine.begin(M1)
        assert M1 in engine.committed_mb_by_model
        assert engine.free_mb == 40

    def test_an_adapter_is_arriving_for_a_while(self):
        """An adapter that may not have come yet cannot be unloaded."""
        clock = Clock()
        engine = make_engine(("m1",), clock)
        engine.adapter_ordered(A1)
        assert engine.is_arriving(A1)
        assert engine.holds(A1)
        clock.advance(ARRIVAL_S + 0.01)
        assert not engine.is_arriving(A1)

    def test_adapters_on_their_way_take_places(self):
        """An adapter that another node ordered counts as soon as it is reported."""
        engine = make_engine()
        engine.reported(make_report(["m1"], 1, coming=[A1]))
        assert engine.adapter_count == 1

    def test_a_model_that_leaves_takes_no_more_requests(self):
        """A model is not held from the order to unload it on."""
        engine = make_engine()
        engine.unloading = M1
        assert not engine.holds(RequestedModel(M1))
        assert M1 in engine.committed_mb_by_model

    def test_a_model_no_longer_configured_takes_the_whole_memory(self):
        """Nothing is loaded beside what has no known size."""
        assert make_engine(("old",)).free_mb == 0
