"""Tests of the state of one engine as the leader knows it."""

from camphoryard.coordination.loading.engine_state import ADAPTER_LOAD_S, EngineState
from camphoryard.coordination.loading.ports import EngineReport
from camphoryard.state.ids import AdapterId, ModelId
from camphoryard.state.serving_endpoints import LoadedModel
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import Clock, make_endpoint, make_spec

M1, M2 = ModelId("m1"), ModelId("m2")
A1 = RequestedModel(M1, AdapterId("a1"))


def make_engine(models=("m1",), clock=None):
    """Return the state of an engine of 100 MB, with models of 60, 60 and 30 MB."""
    spec = make_spec({"m1": 60, "m2": 60, "m3": 30})
    return EngineState(make_endpoint(models=models), spec, clock or Clock())


def make_report(models, orders, busy=False, loading_adapters=()):
    """Return a report of models without adapters."""
    loaded = {ModelId(model): LoadedModel(1) for model in models}
    return EngineReport(loaded, busy, orders, 0, 0, frozenset(loading_adapters))


class TestEngineState:
    """Updates of the state of an engine."""

    def test_stale_record_does_not_undo_a_completed_load(self):
        """The model counts as loaded although the engine's record still lacks it."""
        engine = make_engine(())
        engine.begin_move(M1)
        engine.add_model(M1)
        engine.end_move()
        engine.update_endpoint(make_endpoint(models=()))
        assert engine.models == {M1}

    def test_stale_record_does_not_undo_a_report(self):
        """A model loaded by another node counts although the record lacks it."""
        engine = make_engine(())
        engine.apply_report(make_report(["m1"], 5))
        engine.update_endpoint(make_endpoint(models=()))
        assert not engine.has_room_for(M2)

    def test_stale_record_never_replaces_a_report(self):
        """A node isolated from the store reads the same record for a long time."""
        clock = Clock()
        engine = make_engine(("m1",), clock)
        engine.apply_report(make_report(["m1", "m3"], 5))
        clock.advance(60.0)
        engine.update_endpoint(make_endpoint(models=("m1",)))
        assert engine.models == {M1, ModelId("m3")}

    def test_stale_report_does_not_decrease_the_order_count(self):
        """An order with the number of an earlier one would take effect out of order."""
        engine = make_engine()
        engine.apply_report(make_report(["m1"], 5))
        engine.count_accepted_order()
        engine.apply_report(make_report(["m1"], 5))
        assert engine.accepted_orders == 6

    def test_restart_of_the_engine_resets_its_state(self):
        """The number of orders that the restarted engine has accepted is unknown."""
        engine = make_engine()
        engine.apply_report(make_report(["m1"], 5))
        engine.update_endpoint(make_endpoint(models=(), started_ms=2))
        assert engine.accepted_orders is None
        assert engine.models == frozenset()

    def test_move_commits_memory_from_its_start(self):
        """No other move can use the memory of a load that is yet to be ordered."""
        engine = make_engine(())
        engine.begin_move(M1)
        assert M1 in engine.committed_mb_by_model
        assert engine.free_mb == 40

    def test_ordered_adapter_counts_as_loading_for_a_while(self):
        """An adapter that may not be loaded yet cannot be unloaded."""
        clock = Clock()
        engine = make_engine(("m1",), clock)
        engine.add_loading_adapter(A1)
        assert engine.is_loading(A1)
        assert engine.has_loaded(A1)
        clock.advance(ADAPTER_LOAD_S + 0.01)
        assert not engine.is_loading(A1)

    def test_loading_adapters_take_slots(self):
        """An adapter that another node ordered counts as soon as it is reported."""
        engine = make_engine()
        engine.apply_report(make_report(["m1"], 1, loading_adapters=[A1]))
        assert engine.adapter_count == 1

    def test_unloading_model_accepts_no_requests(self):
        """A model counts as not loaded from the order to unload it."""
        engine = make_engine()
        engine.unloading = M1
        assert not engine.has_loaded(RequestedModel(M1))
        assert M1 in engine.committed_mb_by_model

    def test_unconfigured_model_takes_the_whole_memory(self):
        """Nothing can be loaded beside a model of unknown size."""
        assert make_engine(("old",)).free_mb == 0
