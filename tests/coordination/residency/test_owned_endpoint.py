"""Histories of two owners at one engine, with every fault in any order.

Both nodes believe that the endpoint is theirs, each round runs to its end, and
the engine's own ledger is the judge.
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
    give_up_asking,
    order_sending,
    record_keeping,
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
    """One record with conditional updates and lost answers."""

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
    """An engine with a ledger; ``late`` are orders that are still on their way."""

    def __init__(self, checks):
        self.checks, self.fence, self.overcommits = checks, 0, 0
        self.resident, self.loading, self.late, self.fault = {}, {}, [], ""
        self.taken = []

    def order(self, endpoint, order):
        """Take an order, or let it meet the fault that is set."""
        match self.fault:
            case "not sent":
                raise NotSentError("x")
            case "lost":
                raise BrokenCallError("x")
            case "late":
                self.late.append(order)
                raise BrokenCallError("x")
            case "lost answer":
                self.take(order)
                raise BrokenCallError("x")
            case "twice":
                self.take(order)
        return self.take(order)

    def take(self, order):
        """Carry an order out."""
        self.taken.append(order)
        if self.checks and order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = max(self.fence, order.fence)
        held = self.resident | self.loading
        if order.kind is OrderKind.UNLOAD:
            self.resident.pop(order.model, None)
        elif order.model not in held:
            self.loading[order.model] = order.memory_mb
        if sum((self.resident | self.loading).values()) > MEMORY_MB:
            self.overcommits += 1
        return OrderOutcome.ACCEPTED

    def inventory(self, endpoint):
        """Return what is held."""
        resident, loading = frozenset(self.resident), frozenset(self.loading)
        return Inventory(resident, loading, self.fence, 0, 0)


class OneTick:
    """A timer whose subscriptions tick once."""

    def every(self, period_s):
        """Return one tick."""
        return iter([None])


class Owner:
    """One node that takes the endpoint for its own."""

    def __init__(self, name, world):
        self.name, self.world, self.starts = name, world, 0
        self.table = EndpointTable()
        self.start()

    def start(self):
        """Start anew with empty memory."""
        self.starts += 1
        self.incarnation = f"{self.name}{self.starts}"
        self.orders = EndpointOrders(self.world.engine)
        nodes = NodeTable()
        for name in NODES:
            state = NodeState.SERVING if name == self.name else NodeState.STARTING
            nodes.observe(self.world.lease(name, state), 1)
        parts = ResidencyContext(
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
            self.world.copies,
        )
        self.endpoint = OwnedEndpoint("e", parts, self.orders)

    def ask(self, node, message, timeout_s):
        """Ask the other node to give up."""
        peer = self.world.owners.get(node)
        if self.world.is_cut or peer is None:
            raise PeerUnreachableError(node)
        if peer.incarnation != message.incarnation:
            raise PeerUnreachableError("another start")
        return RelinquishReply(tuple(peer.orders.give_up(message.fence)))

    def run(self):
        """Run one round."""
        self.endpoint._round(OneTick())


class World(RuleBasedStateMachine):
    """Two owners, one engine, and what can happen to them."""

    checks = False
    copies = False

    def __init__(self):
        super().__init__()
        self.engine, self.records, self.is_cut = (
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
        """Return the lease of a node's latest start."""
        owner = self.owners.get(name)
        incarnation = owner.incarnation if owner else f"{name}1"
        return NodeLease(name, incarnation, "z", "h", 1, "k", state, LONG_S, "w")

    @rule(
        name=st.sampled_from(NODES),
        item=st.sampled_from(sorted(MODELS)),
        kind=st.sampled_from([LoadRequest, LoadRequest, UnloadRequest]),
        rounds=st.integers(1, 3),
    )
    def wish(self, name, item, kind, rounds):
        """Ask a node for a load or an unload."""
        owner = self.owners[name]
        owner.endpoint.wish(kind(item, time.monotonic() + LONG_S))
        for _ in range(rounds):
            owner.run()

    @rule(name=st.sampled_from(NODES))
    def run_round(self, name):
        """Run a round at a node, whoever the owner is."""
        self.owners[name].run()

    @rule(
        fault=st.sampled_from(["", "not sent", "lost", "late", "lost answer", "twice"])
    )
    def set_engine_fault(self, fault):
        """Have orders meet a fault from now on."""
        self.engine.fault = fault

    @rule(fault=st.sampled_from(["", "outage", "lost answer"]))
    def set_store_fault(self, fault):
        """Have writes meet a fault from now on."""
        self.records.fault = fault

    @rule(is_cut=st.booleans())
    def set_cut(self, is_cut):
        """Cut the nodes from each other, or end the cut."""
        self.is_cut = is_cut

    @rule(number=st.integers(0, 3))
    def arrive(self, number):
        """Deliver an order that was on its way."""
        if number < len(self.engine.late):
            self.engine.take(self.engine.late.pop(number))

    @rule(fails=st.booleans())
    def finish_loads(self, fails):
        """End the engine's loads."""
        if not fails:
            self.engine.resident |= self.engine.loading
        self.engine.loading = {}

    @rule()
    def restart_engine(self):
        """Have the engine lose its memory, but not its number."""
        self.engine.resident, self.engine.loading = {}, {}

    @rule(name=st.sampled_from(NODES))
    def restart_node(self, name):
        """Kill a node and start it with empty memory."""
        self.owners[name].start()

    @invariant()
    def never_overcommitted(self):
        """Ask the engine's ledger, and the record."""
        assert self.engine.overcommits == 0
        if self.records.record is not None:
            assert committed_mb(self.records.record) <= MEMORY_MB

    def teardown(self):
        """End all faults; what was sent arrives, then every model loads."""
        self.engine.fault = self.records.fault = ""
        self.is_cut = False
        for order in self.engine.late:
            self.engine.take(order)
        owner = self.owners["n"]
        for _ in range(4):
            owner.run()
            self.finish_loads(False)
        self.never_overcommitted()
        record = self.records.record
        if record is not None and record.in_doubt_by_id:
            # Only an engine that checks numbers ends a doubt without its sender.
            assert not self.checks
            return
        for item in MODELS:
            for _ in range(6):
                owner.endpoint.wish(LoadRequest(item, time.monotonic() + LONG_S))
                owner.run()
                self.finish_loads(False)
            assert item in self.engine.resident
            self.never_overcommitted()


class CopyingWorld(World):
    """An ignoring engine to which answered orders may come again."""

    copies = True


class CheckingWorld(World):
    """The same at an engine that checks numbers."""

    checks = True


@pytest.fixture(autouse=True, scope="module")
def without_waiting():
    """Take away the periods that only spare the platform and the peers."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(order_sending, "RESEND_PERIOD_S", 0.0)
        patch.setattr(give_up_asking, "GIVE_UP_PERIOD_S", 0.0)
        patch.setattr(record_keeping, "TAKEOVER_DELAY_S", 0.0)
        yield


LIMITS = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestIgnoringEngine = World.TestCase
TestIgnoringEngine.settings = LIMITS
TestCheckingEngine = CheckingWorld.TestCase
TestCheckingEngine.settings = LIMITS


class TestLateLoad:
    """A load that arrives after the one sent in its place was answered."""

    @pytest.mark.parametrize("world", [World, CheckingWorld])
    def test_arrives_after_the_unload(self, world):
        """Its memory is given to no other item that it could then overcommit."""
        history = world()
        history.set_engine_fault("late")
        history.wish("n", "a", LoadRequest, 1)
        history.set_engine_fault("")
        for _ in range(2):
            history.run_round("n")
            history.finish_loads(False)
        history.run_round("n")
        assert history.engine.late
        assert history.records.record.resident_mb_by_item == {"a": 60}
        history.wish("n", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.wish("n", "d", LoadRequest, 2)
        assert ("d" in history.engine.loading) == history.checks
        for late in history.engine.late:
            outcome = history.engine.take(late)
            assert (outcome is OrderOutcome.FENCED) == history.checks
        history.never_overcommitted()

    def test_copy_arrives_after_the_unload(self):
        """Where orders may be copied, an answered load keeps its memory too."""
        history = CopyingWorld()
        history.wish("n", "a", LoadRequest, 1)
        history.finish_loads(False)
        history.run_round("n")
        (load,) = history.engine.taken
        history.wish("n", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.wish("n", "d", LoadRequest, 2)
        history.engine.take(load)
        history.never_overcommitted()

    def test_copy_after_a_takeover(self):
        """The next owner learns of it from the record."""
        history = CopyingWorld()
        history.wish("n", "a", LoadRequest, 1)
        history.finish_loads(False)
        history.run_round("n")
        (load,) = history.engine.taken
        history.wish("m", "a", UnloadRequest, 2)
        assert not history.engine.resident
        history.wish("m", "d", LoadRequest, 2)
        history.engine.take(load)
        history.never_overcommitted()
