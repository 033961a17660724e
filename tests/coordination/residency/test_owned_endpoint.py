"""Stateful tests of two owners of one engine, with all faults in any order.

Both nodes believe that the endpoint is assigned to them, and each run of steps is
completed. The fake engine detects overcommitted memory.
"""

import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from camphoryard.coordination.messages import RelinquishReply
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Inventory, Stored
from camphoryard.coordination.residency import (
    order_sending,
    owned_record,
    relinquish_requests,
)
from camphoryard.coordination.residency.eviction import LeastDemand
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.orders import EndpointOrders
from camphoryard.coordination.residency.owned_endpoint import OwnedEndpoint
from camphoryard.coordination.residency.residency_context import (
    Identity,
    ResidencyContext,
)
from camphoryard.coordination.residency.residency_requests import (
    LoadRequest,
    UnloadRequest,
)
from camphoryard.state.configuration import Configuration, Endpoint, Model
from camphoryard.state.endpoint_record import committed_mb
from camphoryard.state.enums import EndpointKind, NodeState, OrderKind, OrderOutcome
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    PeerUnreachableError,
    StoreUnavailableError,
)
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.timeline import HybridClock
from camphoryard.state.vms import VmTable

LONG_S = 3600.0
MEMORY_MB = 100
MODELS = {"a": 60, "b": 50, "c": 30, "d": 100}
NODES = ("n", "m")


class FakeRecords:
    """One record with conditional updates, outages and lost answers."""

    def __init__(self):
        self.record, self.version, self.fault = None, 0, ""

    def get(self, key):
        """Return the record."""
        return Stored(key, self.version, self.record) if self.record else None

    def put(self, key, record, version):
        """Write conditionally."""
        if self.fault == "outage":
            raise StoreUnavailableError("out")
        if version != self.version:
            raise ConflictError("conflict")
        self.record, self.version = record, version + 1
        if self.fault == "lost answer":
            raise StoreUnavailableError("lost")
        return self.version


class FakeEngine:
    """An engine that counts overcommits; ``late`` are the orders in transit."""

    def __init__(self, checks):
        self.checks, self.fence, self.overcommits = checks, 0, 0
        self.resident, self.loading, self.late, self.fault = {}, {}, [], ""
        self.executed = []

    def order(self, endpoint, order):
        """Accept an order, or apply the current fault to it."""
        match self.fault:
            case "not sent":
                raise NotSentError("x")
            case "lost":
                raise BrokenCallError("x")
            case "late":
                self.late.append(order)
                raise BrokenCallError("x")
            case "lost answer":
                self.execute(order)
                raise BrokenCallError("x")
            case "twice":
                self.execute(order)
        return self.execute(order)

    def execute(self, order):
        """Execute an order."""
        self.executed.append(order)
        if self.checks and order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = max(self.fence, order.fence)
        present = self.resident | self.loading
        if order.kind is OrderKind.UNLOAD:
            self.resident.pop(order.model, None)
        elif order.model not in present:
            self.loading[order.model] = order.memory_mb
        if sum((self.resident | self.loading).values()) > MEMORY_MB:
            self.overcommits += 1
        return OrderOutcome.ACCEPTED

    def inventory(self, endpoint):
        """Return the items that are resident or loading."""
        resident, loading = frozenset(self.resident), frozenset(self.loading)
        return Inventory(resident, loading, self.fence, 0, 0)


class OneTick:
    """A timer whose subscriptions tick once."""

    def every(self, period_s):
        """Return one tick."""
        return iter([None])


class Owner:
    """One node that believes it owns the endpoint."""

    def __init__(self, name, world):
        self.name, self.world, self.starts = name, world, 0
        self.table = EndpointTable()
        self.start()

    def start(self):
        """Restart with empty memory."""
        self.starts += 1
        self.incarnation = f"{self.name}{self.starts}"
        self.orders = EndpointOrders(self.world.engine)
        nodes = NodeTable()
        for name in NODES:
            state = NodeState.SERVING if name == self.name else NodeState.STARTING
            nodes.observe(self.world.lease(name, state), 1)
        context = ResidencyContext(
            Identity(self.name, self.incarnation),
            self.world.records,
            self.table,
            nodes,
            VmTable(),
            self.world.configuration,
            self.world.engine,
            self,
            Timeline(self.name, HybridClock(), lambda event: None),
            Occupancy(MODELS.get, lambda item: 0.0, dict, self.table, 0.0),
            LeastDemand(),
            LONG_S,
            self.world.orders_may_be_copied,
        )
        self.endpoint = OwnedEndpoint("e", context, self.orders)

    def request(self, node, message, timeout_s):
        """Ask the other node to relinquish the endpoint."""
        peer = self.world.owners.get(node)
        if self.world.is_partitioned or peer is None:
            raise PeerUnreachableError(node)
        if peer.incarnation != message.incarnation:
            raise PeerUnreachableError("another incarnation")
        return RelinquishReply(tuple(peer.orders.relinquish(message.fence)))

    def run(self):
        """Run steps until no order is open or the tick ends."""
        self.endpoint._run_steps(OneTick())


class World(RuleBasedStateMachine):
    """Two owners, one engine, and the faults that can happen to them."""

    checks = False
    orders_may_be_copied = False

    def __init__(self):
        super().__init__()
        self.engine, self.records, self.is_partitioned = (
            FakeEngine(self.checks),
            FakeRecords(),
            False,
        )
        self.configuration = ConfigurationHolder()
        endpoint = Endpoint("e", EndpointKind.ENGINE, "h", 1, MEMORY_MB, self.checks)
        models = {name: Model(name, mb) for name, mb in MODELS.items()}
        self.configuration.adopt(
            Configuration(1, models_by_id=models, endpoints_by_id={"e": endpoint})
        )
        self.owners = {}
        for name in NODES:
            self.owners[name] = Owner(name, self)

    def lease(self, name, state):
        """Return the lease of a node's latest incarnation."""
        owner = self.owners.get(name)
        incarnation = owner.incarnation if owner else f"{name}1"
        return NodeLease(name, incarnation, "z", "h", 1, "k", state, LONG_S, "w")

    @rule(
        name=st.sampled_from(NODES),
        item=st.sampled_from(sorted(MODELS)),
        kind=st.sampled_from([LoadRequest, LoadRequest, UnloadRequest]),
        runs=st.integers(1, 3),
    )
    def submit(self, name, item, kind, runs):
        """Submit a load or unload request to a node."""
        owner = self.owners[name]
        owner.endpoint.submit(kind(item, time.monotonic() + LONG_S))
        for _ in range(runs):
            owner.run()

    @rule(name=st.sampled_from(NODES))
    def run_steps(self, name):
        """Run steps at a node, whichever node is the owner."""
        self.owners[name].run()

    @rule(
        fault=st.sampled_from(["", "not sent", "lost", "late", "lost answer", "twice"])
    )
    def set_engine_fault(self, fault):
        """Apply a fault to orders from now on."""
        self.engine.fault = fault

    @rule(fault=st.sampled_from(["", "outage", "lost answer"]))
    def set_store_fault(self, fault):
        """Apply a fault to writes from now on."""
        self.records.fault = fault

    @rule(is_partitioned=st.booleans())
    def set_cluster_partition(self, is_partitioned):
        """Partition the nodes from each other, or heal the partition."""
        self.is_partitioned = is_partitioned

    @rule(number=st.integers(0, 3))
    def deliver_late_order(self, number):
        """Deliver an order that was in transit."""
        if number < len(self.engine.late):
            self.engine.execute(self.engine.late.pop(number))

    @rule(fails=st.booleans())
    def finish_loads(self, fails):
        """Complete or fail the engine's loads."""
        if not fails:
            self.engine.resident |= self.engine.loading
        self.engine.loading = {}

    @rule()
    def restart_engine(self):
        """Have the engine lose its items, but not its fencing number."""
        self.engine.resident, self.engine.loading = {}, {}

    @rule(name=st.sampled_from(NODES))
    def restart_node(self, name):
        """Kill a node and restart it with empty memory."""
        self.owners[name].start()

    @invariant()
    def never_overcommitted(self):
        """Check the engine's overcommit count, and the record."""
        assert self.engine.overcommits == 0
        if self.records.record is not None:
            assert committed_mb(self.records.record) <= MEMORY_MB

    def teardown(self):
        """End all faults and deliver late orders; then every model must load."""
        self.engine.fault = self.records.fault = ""
        self.is_partitioned = False
        for order in self.engine.late:
            self.engine.execute(order)
        owner = self.owners["n"]
        for _ in range(4):
            owner.run()
            self.finish_loads(False)
        self.never_overcommitted()
        record = self.records.record
        if record is not None and record.in_doubt_by_id:
            # Only a checking engine proves a load undeliverable without its sender.
            assert not self.checks
            return
        for item in MODELS:
            for _ in range(6):
                owner.endpoint.submit(LoadRequest(item, time.monotonic() + LONG_S))
                owner.run()
                self.finish_loads(False)
            assert item in self.engine.resident
            self.never_overcommitted()


class CopyingWorld(World):
    """An engine that ignores fencing numbers, where orders may be duplicated."""

    orders_may_be_copied = True


class CheckingWorld(World):
    """The same at an engine that checks numbers."""

    checks = True


@pytest.fixture(autouse=True, scope="module")
def without_periods():
    """Disable the periods that only limit load on the platform and the peers."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(order_sending, "RESEND_PERIOD_S", 0.0)
        patch.setattr(relinquish_requests, "REQUEST_PERIOD_S", 0.0)
        patch.setattr(owned_record, "TAKEOVER_DELAY_S", 0.0)
        yield


LIMITS = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestIgnoringEngine = World.TestCase
TestIgnoringEngine.settings = LIMITS
TestCheckingEngine = CheckingWorld.TestCase
TestCheckingEngine.settings = LIMITS


class TestLateLoad:
    """A load that arrives after the load that replaced it was answered."""

    @pytest.mark.parametrize("world", [World, CheckingWorld])
    def test_arrives_after_the_unload(self, world):
        """Its memory stays reserved, so that it cannot overcommit the engine."""
        history = world()
        history.set_engine_fault("late")
        history.submit("n", "a", LoadRequest, 1)
        history.set_engine_fault("")
        for _ in range(2):
            history.run_steps("n")
            history.finish_loads(False)
        history.run_steps("n")
        assert history.engine.late
        assert history.records.record.resident_mb_by_item == {"a": 60}
        history.submit("n", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.submit("n", "d", LoadRequest, 2)
        assert ("d" in history.engine.loading) == history.checks
        for late in history.engine.late:
            outcome = history.engine.execute(late)
            assert (outcome is OrderOutcome.FENCED) == history.checks
        history.never_overcommitted()

    def test_duplicate_arrives_after_the_unload(self):
        """Where orders may be duplicated, an answered load keeps its memory too."""
        history = CopyingWorld()
        history.submit("n", "a", LoadRequest, 1)
        history.finish_loads(False)
        history.run_steps("n")
        (load,) = history.engine.executed
        history.submit("n", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.submit("n", "d", LoadRequest, 2)
        history.engine.execute(load)
        history.never_overcommitted()

    def test_duplicate_arrives_after_a_takeover(self):
        """The next owner reads the unconfirmed load from the record."""
        history = CopyingWorld()
        history.submit("n", "a", LoadRequest, 1)
        history.finish_loads(False)
        history.run_steps("n")
        (load,) = history.engine.executed
        history.submit("m", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.submit("m", "d", LoadRequest, 2)
        history.engine.execute(load)
        history.never_overcommitted()
