"""Tests of the search for a place to load items."""

import time
from concurrent.futures import Future

from camphoryard.coordination.messages import Declined, Done, LoadItemsRequest
from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.coordination.residency.eviction import LeastDemand
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.residency_client import (
    ResidencyClient,
    ResidencyClientContext,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import EndpointTable
from tests.fakes.serving import timeline

ENDPOINTS = ("e1", "e2")
HOT = {"hot": ItemDemand(0.0, 9.0)}


class Inline:
    """An executor that runs a task where it is submitted."""

    def submit(self, task, *arguments):
        """Run it."""
        task(*arguments)
        return Future()


class NoBudget:
    """A weight store that is never busy, and counts its grants."""

    grants = 0

    def wait_urgent(self):
        """Grant at once."""
        self.grants += 1


class World:
    """A node, a peer and two endpoints; a load that is asked for succeeds."""

    def __init__(self, owner="n1", resident=(), since_s=0.0):
        self.now_s = since_s
        self.table = EndpointTable(lambda: self.now_s)
        self.started, self.asked, self.failing = [], [], set()
        self.budget = NoBudget()
        nodes = NodeTable()
        state = NodeState.SERVING
        lease = NodeLease(owner, "i", "zone", "host", 1, "key", state, 9.0, "w")
        nodes.observe(lease, 1)
        for endpoint in ENDPOINTS:
            self.show(endpoint, resident, 1)
        self.client = ResidencyClient(
            ResidencyClientContext(
                "n1",
                nodes,
                self,
                Inline(),
                self.start,
                timeline(),
                self.budget,
                ItemUsage("n1", self.table, self),
                Occupancy(
                    lambda item: 60, lambda item: 0.0, lambda: HOT, self.table, 5.0
                ),
                LeastDemand(),
            )
        )

    def show(self, endpoint, resident, version):
        """Have the table see a record."""
        held = dict.fromkeys(resident, 60)
        self.table.observe(
            EndpointRecord(endpoint, 100, "n1", "i", 1, "w", held), version
        )

    def start(self, endpoint, items, limit_slots):
        """Load at an endpoint of this node."""
        self.started.append(endpoint)
        if endpoint in self.failing:
            raise ConflictError("not owned here")
        self.show(endpoint, items, len(self.started) + 1)

    def ask(self, node, message, timeout_s):
        """Load at an endpoint of the peer."""
        self.asked.append(message)
        if message.endpoint in self.failing:
            return Declined("no")
        self.show(message.endpoint, message.items, len(self.asked) + 1)
        return Done()


class TestWant:
    """Having items loaded."""

    def test_loads_at_one_endpoint(self):
        """The search ends when the items are somewhere."""
        world = World()
        world.client.request_load(("m",), ENDPOINTS)
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1"]
        assert world.budget.grants == 1

    def test_asks_the_owner_with_the_limit(self):
        """A peer that owns the endpoint is told what may leave for the load."""
        world = World(owner="n2")
        world.client.request_load(("m",), ENDPOINTS)
        (message,) = world.asked
        assert isinstance(message, LoadItemsRequest)
        assert message.limit_slots >= 0.0

    def test_goes_on_to_another_endpoint(self):
        """An owner that does not load is no dead end."""
        world = World()
        world.failing.add("e1")
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1", "e2"]

    def test_what_does_not_pay_is_not_asked_for(self):
        """Nor does it take a grant of the weight store."""
        world = World(resident=["m"])
        world.now_s = time.monotonic() - 6
        for endpoint in ENDPOINTS:
            world.show(endpoint, ["hot"], 2)
        world.client.request_load(("m",), ENDPOINTS)
        assert (world.started, world.budget.grants) == ([], 0)

    def test_every_item_gets_its_turn(self):
        """An item that was away for long is loaded even for a hot one."""
        world = World(resident=["hot"])
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1"]
