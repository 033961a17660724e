"""Tests of the planning task."""

from concurrent.futures import Future

from camphoryard.coordination.messages import Declined, Done, MoveItemsRequest
from camphoryard.coordination.placement.demand import DemandMeter, SystemDemand
from camphoryard.coordination.placement.placement import DemandPlacement
from camphoryard.coordination.placement.placer import Placer, PlacerContext
from camphoryard.state.configuration import Configuration, Endpoint, Model
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState, Priority
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from tests.fakes.serving import timeline

ENDPOINTS = ("e1", "e2")
POLICY = DemandPlacement()


class InlineExecutor:
    """An executor that runs a task in the submitting thread."""

    def submit(self, task, *arguments):
        """Run the task."""
        task(*arguments)
        return Future()


class Clock:
    """A clock whose time the test sets."""

    now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


class PlannerBench:
    """One planner and two engines, one of which has the model loaded."""

    def __init__(self, owner="n1", start_in_s=0.0, reply=None):
        self.start_in_s, self.reply = start_in_s, reply or Done()
        self.moves, self.asked = [], []
        nodes, table, clock = NodeTable(), EndpointTable(), Clock()
        state = NodeState.SERVING
        nodes.observe(NodeLease(owner, "i", "z", "h", 1, "key", state, 9.0, "w"), 1)
        for endpoint, resident in (("e1", {"m": 40}), ("e2", {})):
            table.observe(
                EndpointRecord(endpoint, 100, owner, "i", 1, "w", resident), 1
            )
        meter = DemandMeter(clock)
        for _ in range(40):
            meter.record_arrival("m", Priority.URGENT)
        clock.now_s = 1.0
        meter.sample()
        configuration = ConfigurationHolder()
        engines = {
            item: Endpoint(item, EndpointKind.ENGINE, "h", 1, 100) for item in ENDPOINTS
        }
        configuration.adopt(Configuration(1, {"m": Model("m", 40)}, {}, engines))
        self.leaving = set()
        self.placer = Placer(
            PlacerContext(
                POLICY,
                "n1",
                nodes,
                self,
                configuration,
                table,
                SystemDemand("n1", nodes, meter),
                self,
                lambda endpoint: 8,
                lambda endpoint: endpoint not in self.leaving,
                self.moves.append,
                InlineExecutor(),
                timeline(),
            )
        )

    def request(self, node=None, message=None, timeout_s=0.0, urgent=False):
        """Answer as the weight budget, or as the peer that owns the endpoints."""
        if message is None:
            return self.start_in_s
        self.asked.append(message)
        return self.reply

    def wait_for_start(self, start_in_s):
        """Return immediately."""


class TestPlacer:
    """Carrying out plans."""

    def test_move_is_carried_out_once(self):
        """A started load that no record shows yet is not started again."""
        bench = PlannerBench()
        bench.placer.plan_once(POLICY)
        bench.placer.plan_once(POLICY)
        (move,) = bench.moves
        assert (move.endpoint, move.items) == ("e2", ("m",))

    def test_move_is_sent_to_the_owner(self):
        """The peer that owns the endpoint gets a request for the move."""
        bench = PlannerBench(owner="n2")
        bench.placer.plan_once(POLICY)
        assert bench.asked == [MoveItemsRequest("e2", ("m",), ())]

    def test_declined_move_is_planned_again(self):
        """A declined move takes no memory, so the next plan contains it again."""
        bench = PlannerBench(owner="n2", reply=Declined("no"))
        bench.placer.plan_once(POLICY)
        bench.placer.plan_once(POLICY)
        assert len(bench.asked) == 2

    def test_no_move_without_a_grant(self):
        """No move starts if the weight budget declines the load."""
        bench = PlannerBench(start_in_s=None)
        bench.placer.plan_once(POLICY)
        assert bench.moves == []

    def test_no_move_to_a_leaving_endpoint(self):
        """A leaving endpoint gets no new requests, so a copy there is useless."""
        bench = PlannerBench()
        bench.leaving.add("e2")
        bench.placer.plan_once(POLICY)
        assert bench.moves == []
