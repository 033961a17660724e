"""Tests of the task that has plans carried out."""

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


class Inline:
    """An executor that runs a task where it is submitted."""

    def submit(self, task, *arguments):
        """Run it."""
        task(*arguments)
        return Future()


class Clock:
    """A clock that moves when told to."""

    now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


class World:
    """One planner, two engines and a model that one of them holds."""

    def __init__(self, owner="n1", start_in_s=0.0, reply=None):
        self.start_in_s, self.reply = start_in_s, reply or Done()
        self.carried, self.asked = [], []
        nodes, table, clock = NodeTable(), EndpointTable(), Clock()
        state = NodeState.SERVING
        nodes.observe(NodeLease(owner, "i", "z", "h", 1, "key", state, 9.0, "w"), 1)
        for endpoint, held in (("e1", {"m": 40}), ("e2", {})):
            table.observe(EndpointRecord(endpoint, 100, owner, "i", 1, "w", held), 1)
        meter = DemandMeter(clock)
        for _ in range(40):
            meter.arrived("m", Priority.URGENT)
        clock.now_s = 1.0
        meter.sample()
        holder = ConfigurationHolder()
        engines = {
            item: Endpoint(item, EndpointKind.ENGINE, "h", 1, 100) for item in ENDPOINTS
        }
        holder.adopt(Configuration(1, {"m": Model("m", 40)}, {}, engines))
        self.leaving = set()
        self.placer = Placer(
            PlacerContext(
                POLICY,
                "n1",
                nodes,
                self,
                holder,
                table,
                SystemDemand("n1", nodes, meter),
                self,
                lambda endpoint: 8,
                lambda endpoint: endpoint not in self.leaving,
                self.carried.append,
                Inline(),
                timeline(),
            )
        )

    def ask(self, node=None, message=None, timeout_s=0.0, urgent=False):
        """Answer as the budget, or as the peer that owns the endpoints."""
        if message is None:
            return self.start_in_s
        self.asked.append(message)
        return self.reply

    def pause(self, start_in_s):
        """Wait for nothing."""


class TestPlacer:
    """Carrying plans out."""

    def test_has_a_move_carried_out_once(self):
        """What was started and no record shows yet is not started again."""
        world = World()
        world.placer.plan_once(POLICY)
        world.placer.plan_once(POLICY)
        (move,) = world.carried
        assert (move.endpoint, move.items) == ("e2", ("m",))

    def test_asks_the_owner(self):
        """A peer that owns the endpoint carries the move out."""
        world = World(owner="n2")
        world.placer.plan_once(POLICY)
        assert world.asked == [MoveItemsRequest("e2", ("m",), ())]

    def test_a_declined_move_is_planned_again(self):
        """Nothing came of it, so the room is free."""
        world = World(owner="n2", reply=Declined("no"))
        world.placer.plan_once(POLICY)
        world.placer.plan_once(POLICY)
        assert len(world.asked) == 2

    def test_waits_for_a_grant(self):
        """Without one from the weight store's budget nothing moves."""
        world = World(start_in_s=None)
        world.placer.plan_once(POLICY)
        assert world.carried == []

    def test_plans_nothing_for_a_leaving_endpoint(self):
        """It gets no new work, so a copy there helps nobody."""
        world = World()
        world.leaving.add("e2")
        world.placer.plan_once(POLICY)
        assert world.carried == []
