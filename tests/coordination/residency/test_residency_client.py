"""Tests of the search for an endpoint to load items at."""

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
    """An executor that runs each task in the submitting thread."""

    def submit(self, task, *arguments):
        """Run a task."""
        task(*arguments)
        return Future()


class NoBudget:
    """An unlimited weight budget that counts its grants."""

    grants = 0

    def wait_for_urgent_start(self):
        """Grant at once."""
        self.grants += 1


class World:
    """A node, a peer and two endpoints; requested loads succeed by default."""

    def __init__(self, owner="n1", resident=(), since_s=0.0):
        self.now_s = since_s
        self.table = EndpointTable(lambda: self.now_s)
        self.started, self.messages, self.failing = [], [], set()
        self.budget = NoBudget()
        nodes = NodeTable()
        state = NodeState.SERVING
        lease = NodeLease(owner, "i", "zone", "host", 1, "key", state, 9.0, "w")
        nodes.observe(lease, 1)
        for endpoint in ENDPOINTS:
            self.update(endpoint, resident, 1)
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

    def update(self, endpoint, resident, version):
        """Update the table with a record."""
        resident_mb_by_item = dict.fromkeys(resident, 60)
        self.table.observe(
            EndpointRecord(endpoint, 100, "n1", "i", 1, "w", resident_mb_by_item),
            version,
        )

    def start(self, endpoint, items, limit_slots):
        """Load at an endpoint of this node."""
        self.started.append(endpoint)
        if endpoint in self.failing:
            raise ConflictError("not owned here")
        self.update(endpoint, items, len(self.started) + 1)

    def request(self, node, message, timeout_s):
        """Load at an endpoint of the peer."""
        self.messages.append(message)
        if message.endpoint in self.failing:
            return Declined("no")
        self.update(message.endpoint, message.items, len(self.messages) + 1)
        return Done()


class TestRequestLoad:
    """Requesting loads."""

    def test_loads_at_one_endpoint(self):
        """The search ends when the items are resident at an endpoint."""
        world = World()
        world.client.request_load(("m",), ENDPOINTS)
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1"]
        assert world.budget.grants == 1

    def test_sends_the_limit_to_the_owner(self):
        """The message to the owner says how much demand may be evicted."""
        world = World(owner="n2")
        world.client.request_load(("m",), ENDPOINTS)
        (message,) = world.messages
        assert isinstance(message, LoadItemsRequest)
        assert message.limit_slots >= 0.0

    def test_tries_another_endpoint_after_a_failure(self):
        """If one owner fails to load, the next endpoint is tried."""
        world = World()
        world.failing.add("e1")
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1", "e2"]

    def test_load_that_gains_too_little_is_not_requested(self):
        """It takes no grant of the weight budget either."""
        world = World(resident=["m"])
        world.now_s = time.monotonic() - 6
        for endpoint in ENDPOINTS:
            world.update(endpoint, ["hot"], 2)
        world.client.request_load(("m",), ENDPOINTS)
        assert (world.started, world.budget.grants) == ([], 0)

    def test_long_absent_item_is_loaded(self):
        """An item that was absent for long is loaded even if a hot one is evicted."""
        world = World(resident=["hot"])
        world.client.request_load(("m",), ENDPOINTS)
        assert world.started == ["e1"]
