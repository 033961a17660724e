"""Tests of load control against fake engines."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.loading.load_controller import (
    CannotLoad,
    LoadControlContext,
    LoadController,
    Loaded,
    Loading,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import AdapterId, FencingNumber, ItemId, ModelId, NodeId
from camphoryard.state.traffic import RequestedModel
from camphoryard.transport.timer import TimerService
from tests.fakes.engines import (
    SERVICE,
    FakeEngine,
    FakeEngines,
    RecordedLog,
    make_endpoint,
    make_rules,
    make_spec,
)

SIZES = {"m1": 60, "m2": 60, "m3": 30}
M1, M2 = ModelId("m1"), ModelId("m2")
A1, A2, A3 = (RequestedModel(M1, AdapterId(name)) for name in ("a1", "a2", "a3"))


class FakeLease:
    """A lease that this node holds until its term is rejected."""

    def __init__(self):
        self.term = FencingNumber(1)

    def reject_term(self, term):
        """End the term."""
        self.term = FencingNumber(0)


class QueueingExecutor:
    """Queues tasks, which the test runs."""

    def __init__(self):
        self.waiting = []

    def submit(self, task, *args):
        """Queue a task."""
        self.waiting.append((task, args))


@pytest.fixture
def timer():
    """Return a timer service that is closed after the test."""
    service = TimerService()
    yield service
    service.close()


class Fleet:
    """A load controller and its engines."""

    def __init__(self, timer, demand=None, **models_by_engine):
        self.spec = make_spec(SIZES)
        self.engine_by_name = {
            name: FakeEngine(
                self.spec,
                {
                    ModelId(model if isinstance(model, str) else model[0]): set(
                        map(AdapterId, () if isinstance(model, str) else model[1])
                    )
                    for model in models
                },
            )
            for name, models in models_by_engine.items()
        }
        self.directory = Directory()
        self.directory.adopt(make_rules(self.spec))
        self.directory.replace_all(
            [
                make_endpoint(name, models, on_hand=SIZES)
                for name, models in models_by_engine.items()
            ],
            False,
        )
        self.lease = FakeLease()
        self.executor = QueueingExecutor()
        self.log = RecordedLog()
        demand = {
            ItemId(item): ItemDemand(slots, slots)
            for item, slots in (demand or {}).items()
        }
        self.controller = LoadController(
            LoadControlContext(
                NodeId("n1"),
                self.directory,
                self.lease,
                FakeEngines(**self.engine_by_name),
                lambda: demand,
                lambda _: 0.0,
                self.executor,
                timer,
                self.log,
                lambda _: None,
            )
        )
        self.controller.refresh_term()
        self.controller.refresh_engines()

    def run_moves(self):
        """Execute the moves that have been started; each load completes at once."""
        with ThreadPoolExecutor() as pool:
            runs = [pool.submit(task, *args) for task, args in self.executor.waiting]
            self.executor.waiting.clear()
            while not all(run.done() for run in runs):
                for engine in self.engine_by_name.values():
                    engine.finish()


class TestEnsureLoaded:
    """Requests for a model or adapter."""

    def test_loaded_model_is_found(self, timer):
        """Nothing is ordered for a loaded model."""
        fleet = Fleet(timer, e1=["m1"])
        assert fleet.controller.ensure_loaded(SERVICE, RequestedModel(M1)) == Loaded(
            "e1"
        )

    def test_missing_model_is_loaded_at_one_engine_only(self, timer):
        """Repeated requests during a load start no second one."""
        fleet = Fleet(timer, e1=["m1"], e2=["m1"])
        for _ in range(3):
            assert isinstance(
                fleet.controller.ensure_loaded(SERVICE, RequestedModel(M2)), Loading
            )
            fleet.controller.plan()
        unloads = fleet.controller.unloads_by_endpoint()
        assert [models for models in unloads.values()] == [("m1",)]
        started = [x["load"] for event, x in fleet.log.lines if event == "move_started"]
        assert started.count(M2) == 1
        fleet.run_moves()
        assert fleet.controller.unloads_by_endpoint() == {}
        assert isinstance(
            fleet.controller.ensure_loaded(SERVICE, RequestedModel(M2)), Loaded
        )
        assert not any(x.is_overcommitted for x in fleet.engine_by_name.values())

    def test_adapter_is_loaded_where_its_model_is(self, timer):
        """The adapter can be used once the engine has accepted the order."""
        fleet = Fleet(timer, e1=["m2"], e2=["m1"])
        assert fleet.controller.ensure_loaded(SERVICE, A1) == Loaded("e2")
        assert fleet.engine_by_name["e2"].loaded[M1] == {"a1"}

    def test_loading_adapter_is_not_evicted(self, timer):
        """Unloading an adapter that is not loaded yet would leave one too many."""
        fleet = Fleet(timer, e1=["m1"])
        found = [fleet.controller.ensure_loaded(SERVICE, item) for item in (A1, A2, A3)]
        assert found[:2] == [Loaded("e1"), Loaded("e1")]
        assert isinstance(found[2], Loading)
        assert not fleet.engine_by_name["e1"].is_overcommitted

    def test_idle_adapter_is_evicted(self, timer):
        """A third adapter replaces one of two that are not in use."""
        fleet = Fleet(timer, e1=[("m1", ("a1", "a2"))])
        assert fleet.controller.ensure_loaded(SERVICE, A3) == Loaded("e1")
        assert len(fleet.engine_by_name["e1"].loaded[M1]) == 2

    def test_unknown_model_cannot_be_loaded(self, timer):
        """A model that the operator does not list is never ordered."""
        fleet = Fleet(timer, e1=["m1"])
        item = RequestedModel(ModelId("none"))
        assert fleet.controller.ensure_loaded(SERVICE, item) == CannotLoad()

    def test_nothing_is_ordered_without_leadership(self, timer):
        """A node whose term is over sends no orders."""
        fleet = Fleet(timer, e1=["m1"])
        fleet.lease.reject_term(FencingNumber(1))
        assert fleet.controller.ensure_loaded(SERVICE, A1) == CannotLoad()
        assert fleet.engine_by_name["e1"].accepted_orders == []


class TestUnresponsiveEngines:
    """Engines that a node could not reach."""

    def test_models_of_an_unresponsive_engine_are_loaded_elsewhere(self, timer):
        """Its copies do not count while it does not answer."""
        fleet = Fleet(timer, e1=["m1"], e2=[])
        fleet.engine_by_name["e1"].is_unresponsive = True
        item = RequestedModel(M1)
        assert isinstance(
            fleet.controller.ensure_loaded(SERVICE, item, ["e1"]), Loading
        )
        fleet.run_moves()
        assert fleet.controller.ensure_loaded(SERVICE, item) == Loaded("e2")

    def test_unresponsive_engine_is_queried_once_for_many_requests(self, timer):
        """Each report request blocks until it times out."""
        fleet = Fleet(timer, e1=["m1"], e2=[])
        engine = fleet.engine_by_name["e1"]
        engine.is_unresponsive, engine.response_timeout_s = True, 0.05
        with ThreadPoolExecutor() as pool:
            for _ in range(8):
                pool.submit(
                    fleet.controller.ensure_loaded, SERVICE, RequestedModel(M1), ["e1"]
                )
        assert fleet.log.events().count("report_failed") == 1

    def test_engine_that_answers_stays_available(self, timer):
        """An engine that only one node cannot reach causes no move."""
        fleet = Fleet(timer, e1=["m1"], e2=[])
        assert fleet.controller.ensure_loaded(
            SERVICE, RequestedModel(M1), ["e1"]
        ) == Loaded("e1")


class TestOverfilling:
    """Engines are never ordered to load more than fits."""

    def test_load_of_the_previous_leader_is_waited_for(self, timer):
        """An engine that executes a load of another node gets no order."""
        fleet = Fleet(timer, e1=["m3"])
        engine = fleet.engine_by_name["e1"]
        engine.loading = M1
        engine.order_count = 1
        fleet.lease.term = FencingNumber(2)
        fleet.controller.refresh_term()
        fleet.controller.plan()
        fleet.controller.ensure_loaded(SERVICE, RequestedModel(M2))
        assert fleet.executor.waiting == []
        engine.finish()
        fleet.controller.plan()
        fleet.controller.ensure_loaded(SERVICE, RequestedModel(M2))
        fleet.run_moves()
        assert not engine.is_overcommitted

    def test_concurrent_load_stops_a_move(self, timer):
        """Free memory is checked again right before the order."""
        fleet = Fleet(timer, e1=["m3"])
        engine = fleet.engine_by_name["e1"]
        fleet.controller.ensure_loaded(SERVICE, RequestedModel(M1))
        engine.loaded[M2] = set()
        engine.order_count = 1
        fleet.run_moves()
        assert not engine.is_overcommitted
        assert (OrderKind.LOAD, RequestedModel(M1)) not in engine.accepted_orders

    def test_failed_move_invalidates_the_engine_state(self, timer):
        """A model ordered to unload may still be loaded, with its adapters."""
        fleet = Fleet(timer, e1=[("m1", ("a1", "a2")), "m3"])
        engine = fleet.engine_by_name["e1"]
        engine.has_endless_requests = True
        fleet.controller.ensure_loaded(SERVICE, RequestedModel(M2))
        engine.on_accept = lambda: fleet.lease.reject_term(1)
        fleet.run_moves()
        engine.on_accept = lambda: None
        fleet.lease.term = FencingNumber(1)
        fleet.controller.ensure_loaded(
            SERVICE, RequestedModel(ModelId("m3"), AdapterId("a1"))
        )
        assert engine.loaded[M1] == {"a1", "a2"}
        assert not engine.is_overcommitted

    def test_new_term_starts_from_engine_reports(self, timer):
        """Another leader may have ordered the engines since this node's last term."""
        fleet = Fleet(timer, e1=["m1"])
        engine = fleet.engine_by_name["e1"]
        fleet.controller.refresh_term()
        fleet.controller.refresh_engines()
        engine.loaded[M1] = {"a3", "a4"}
        fleet.lease.term = FencingNumber(5)
        fleet.controller.ensure_loaded(SERVICE, A1)
        assert not engine.is_overcommitted

    def test_unanswered_order_takes_effect_once(self, timer):
        """A retry has the number of the first order, so an engine accepts only one."""
        fleet = Fleet(timer, e1=["m1"])
        engine = fleet.engine_by_name["e1"]
        engine.is_unresponsive = True
        assert isinstance(fleet.controller.ensure_loaded(SERVICE, A1), Loading)
        engine.is_unresponsive = False
        assert engine.accepted_orders == []


class TestPlan:
    """Moves that no request waits for."""

    def test_hot_model_gets_a_second_copy(self, timer):
        """Demand beyond the capacity of one copy loads another."""
        fleet = Fleet(timer, {"m1": 20.0}, e1=["m1"], e2=["m2"])
        fleet.controller.plan()
        fleet.run_moves()
        assert M1 in fleet.engine_by_name["e2"].loaded

    def test_very_hot_model_gets_several_copies_at_once(self, timer):
        """Moves at several engines start in one planning period."""
        engines = {name: ["m2"] for name in ("e2", "e3", "e4")}
        fleet = Fleet(timer, {"m1": 40.0}, e1=["m1"], **engines)
        fleet.controller.plan()
        fleet.run_moves()
        loaded = [engine.loaded for engine in fleet.engine_by_name.values()]
        assert all(M1 in models for models in loaded)

    def test_no_orders_flood_an_unresponsive_engine(self, timer):
        """An engine that does not answer gets few orders."""
        fleet = Fleet(timer, e1=["m1"])
        engine = fleet.engine_by_name["e1"]
        engine.order = lambda order: (
            pytest.fail("ordered") if engine.accepted_orders else None
        )
        engine.is_unresponsive = True
        for _ in range(5):
            fleet.controller.ensure_loaded(SERVICE, A1)
        assert fleet.log.events().count("order") <= 3
