"""Tests of the node that orders engines, against fake engines."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.loading.orderer import (
    Coming,
    Held,
    NotProvided,
    Orderer,
    OrderingParts,
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
    KeptLines,
    make_endpoint,
    make_rules,
    make_spec,
)

SIZES = {"m1": 60, "m2": 60, "m3": 30}
M1, M2 = ModelId("m1"), ModelId("m2")
A1, A2, A3 = (RequestedModel(M1, AdapterId(name)) for name in ("a1", "a2", "a3"))


class Duty:
    """A duty that the node has until it is taken away."""

    def __init__(self):
        self.term = FencingNumber(1)

    def fenced(self, term):
        """Take the duty away."""
        self.term = FencingNumber(0)


class NowExecutor:
    """Runs tasks when told to."""

    def __init__(self):
        self.waiting = []

    def submit(self, task, *args):
        """Keep a task."""
        self.waiting.append((task, args))


@pytest.fixture
def timer():
    """Return a timer service that ends with the test."""
    service = TimerService()
    yield service
    service.close()


class Site:
    """An orderer and its engines."""

    def __init__(self, timer, demand=None, **held):
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
            for name, models in held.items()
        }
        self.directory = Directory()
        self.directory.adopt(make_rules(self.spec))
        self.directory.replace_all(
            [
                make_endpoint(name, models, on_hand=SIZES)
                for name, models in held.items()
            ],
            False,
        )
        self.duty = Duty()
        self.executor = NowExecutor()
        self.log = KeptLines()
        demand = {
            ItemId(item): ItemDemand(slots, slots)
            for item, slots in (demand or {}).items()
        }
        self.orderer = Orderer(
            OrderingParts(
                NodeId("n1"),
                self.directory,
                self.duty,
                FakeEngines(**self.engine_by_name),
                lambda: demand,
                lambda _: 0.0,
                self.executor,
                timer,
                self.log,
                lambda _: None,
            )
        )
        self.orderer.note_term()
        self.orderer.look()

    def run_moves(self):
        """Carry out the moves that have been started, each load ending at once."""
        with ThreadPoolExecutor() as pool:
            runs = [pool.submit(task, *args) for task, args in self.executor.waiting]
            self.executor.waiting.clear()
            while not all(run.done() for run in runs):
                for engine in self.engine_by_name.values():
                    engine.finish()


class TestProvide:
    """A model or adapter that a request needs."""

    def test_a_held_model_is_found(self, timer):
        """Nothing is ordered for what is held."""
        site = Site(timer, e1=["m1"])
        assert site.orderer.provide(SERVICE, RequestedModel(M1)) == Held("e1")

    def test_an_absent_model_is_loaded_at_one_engine_only(self, timer):
        """Requests that keep asking during a load start no second one."""
        site = Site(timer, e1=["m1"], e2=["m1"])
        for _ in range(3):
            assert isinstance(site.orderer.provide(SERVICE, RequestedModel(M2)), Coming)
            site.orderer.plan()
        started = [x["load"] for event, x in site.log.lines if event == "move_started"]
        assert started.count(M2) == 1
        site.run_moves()
        assert isinstance(site.orderer.provide(SERVICE, RequestedModel(M2)), Held)
        assert not any(x.is_overfilled for x in site.engine_by_name.values())

    def test_an_adapter_is_loaded_where_its_base_is(self, timer):
        """The adapter can be used once its order was accepted."""
        site = Site(timer, e1=["m2"], e2=["m1"])
        assert site.orderer.provide(SERVICE, A1) == Held("e2")
        assert site.engine_by_name["e2"].held[M1] == {"a1"}

    def test_an_adapter_that_is_arriving_does_not_make_room(self, timer):
        """Unloading what has not come yet would leave one adapter too many."""
        site = Site(timer, e1=["m1"])
        found = [site.orderer.provide(SERVICE, item) for item in (A1, A2, A3)]
        assert found[:2] == [Held("e1"), Held("e1")]
        assert isinstance(found[2], Coming)
        assert not site.engine_by_name["e1"].is_overfilled

    def test_an_adapter_unused_for_long_makes_room(self, timer):
        """A third adapter takes the place of one of two that nobody used."""
        site = Site(timer, e1=[("m1", ("a1", "a2"))])
        assert site.orderer.provide(SERVICE, A3) == Held("e1")
        assert len(site.engine_by_name["e1"].held[M1]) == 2

    def test_an_unknown_model_is_not_provided(self, timer):
        """A model that the operator does not list is never ordered."""
        site = Site(timer, e1=["m1"])
        wanted = RequestedModel(ModelId("none"))
        assert site.orderer.provide(SERVICE, wanted) == NotProvided()

    def test_without_the_duty_nothing_is_ordered(self, timer):
        """A node whose term is over leaves engines alone."""
        site = Site(timer, e1=["m1"])
        site.duty.fenced(FencingNumber(1))
        assert site.orderer.provide(SERVICE, A1) == NotProvided()
        assert site.engine_by_name["e1"].taken == []


class TestSilentEngines:
    """Engines that a node could not reach."""

    def test_the_models_of_a_silent_engine_are_loaded_elsewhere(self, timer):
        """Its copies count for nothing while it does not answer."""
        site = Site(timer, e1=["m1"], e2=[])
        site.engine_by_name["e1"].is_silent = True
        wanted = RequestedModel(M1)
        assert isinstance(site.orderer.provide(SERVICE, wanted, ["e1"]), Coming)
        site.run_moves()
        assert site.orderer.provide(SERVICE, wanted) == Held("e2")

    def test_a_silent_engine_is_asked_once_for_many_requests(self, timer):
        """Each question takes as long as the engine is waited for."""
        site = Site(timer, e1=["m1"], e2=[])
        engine = site.engine_by_name["e1"]
        engine.is_silent, engine.silence_s = True, 0.05
        with ThreadPoolExecutor() as pool:
            for _ in range(8):
                pool.submit(site.orderer.provide, SERVICE, RequestedModel(M1), ["e1"])
        assert site.log.events().count("report_failed") == 1

    def test_an_engine_that_answers_is_believed(self, timer):
        """One node that cannot reach it moves nothing."""
        site = Site(timer, e1=["m1"], e2=[])
        assert site.orderer.provide(SERVICE, RequestedModel(M1), ["e1"]) == Held("e1")


class TestOverfilling:
    """Engines are never ordered to load more than they hold."""

    def test_a_load_of_the_last_ordering_node_is_waited_for(self, timer):
        """An engine in the middle of another node's load gets none of ours."""
        site = Site(timer, e1=["m3"])
        engine = site.engine_by_name["e1"]
        engine.loading = M1
        engine.orders = 1
        site.duty.term = FencingNumber(2)
        site.orderer.note_term()
        site.orderer.plan()
        site.orderer.provide(SERVICE, RequestedModel(M2))
        assert site.executor.waiting == []
        engine.finish()
        site.orderer.plan()
        site.orderer.provide(SERVICE, RequestedModel(M2))
        site.run_moves()
        assert not engine.is_overfilled

    def test_a_load_that_came_meanwhile_stops_a_move(self, timer):
        """The room is looked at again right before the order."""
        site = Site(timer, e1=["m3"])
        engine = site.engine_by_name["e1"]
        site.orderer.provide(SERVICE, RequestedModel(M1))
        engine.held[M2] = set()
        engine.orders = 1
        site.run_moves()
        assert not engine.is_overfilled
        assert (OrderKind.LOAD, RequestedModel(M1)) not in engine.taken

    def test_a_move_that_fails_leaves_nothing_believed(self, timer):
        """What it had to unload may still be there, with its adapters."""
        site = Site(timer, e1=[("m1", ("a1", "a2")), "m3"])
        engine = site.engine_by_name["e1"]
        engine.runs_on = True
        site.orderer.provide(SERVICE, RequestedModel(M2))
        engine.on_order = lambda: site.duty.fenced(1)
        site.run_moves()
        engine.on_order = lambda: None
        site.duty.term = FencingNumber(1)
        site.orderer.provide(SERVICE, RequestedModel(ModelId("m3"), AdapterId("a1")))
        assert engine.held[M1] == {"a1", "a2"}
        assert not engine.is_overfilled

    def test_a_term_begins_with_what_engines_say(self, timer):
        """Another node may have ordered them since this node's last term."""
        site = Site(timer, e1=["m1"])
        engine = site.engine_by_name["e1"]
        site.orderer.note_term()
        site.orderer.look()
        engine.held[M1] = {"a3", "a4"}
        site.duty.term = FencingNumber(5)
        site.orderer.provide(SERVICE, A1)
        assert not engine.is_overfilled

    def test_an_order_without_an_answer_takes_effect_once(self, timer):
        """A repeat bears the number of the first, so an engine takes only one."""
        site = Site(timer, e1=["m1"])
        engine = site.engine_by_name["e1"]
        engine.is_silent = True
        assert isinstance(site.orderer.provide(SERVICE, A1), Coming)
        engine.is_silent = False
        assert engine.taken == []


class TestPlan:
    """Moves that nobody waits for."""

    def test_a_crowd_gets_a_second_copy(self, timer):
        """Demand beyond one copy's comfort has another loaded."""
        site = Site(timer, {"m1": 20.0}, e1=["m1"], e2=["m2"])
        site.orderer.plan()
        site.run_moves()
        assert M1 in site.engine_by_name["e2"].held

    def test_a_large_crowd_gets_its_copies_at_once(self, timer):
        """Moves at several engines begin in one turn."""
        engines = {name: ["m2"] for name in ("e2", "e3", "e4")}
        site = Site(timer, {"m1": 40.0}, e1=["m1"], **engines)
        site.orderer.plan()
        site.run_moves()
        held = [engine.held for engine in site.engine_by_name.values()]
        assert all(M1 in models for models in held)

    def test_an_engine_that_refuses_orders_is_left_alone(self, timer):
        """No stream of orders goes to an engine that takes none."""
        site = Site(timer, e1=["m1"])
        engine = site.engine_by_name["e1"]
        engine.order = lambda order: pytest.fail("ordered") if engine.taken else None
        engine.is_silent = True
        for _ in range(5):
            site.orderer.provide(SERVICE, A1)
        assert site.log.events().count("order") <= 3
