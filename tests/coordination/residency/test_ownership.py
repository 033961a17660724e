"""Tests of node leases and endpoint ownership."""

import time
from dataclasses import replace

import pytest

from camphoryard.coordination.ports import Stored
from camphoryard.coordination.residency.ownership import (
    FLEET_RENEWALS_PER_S,
    RENEWALS_PER_LEASE,
    NodeLeaseRenewer,
    lease_length_s,
    owner_of,
    rendezvous_owner,
)
from camphoryard.protocol.platform import LEASE_CODEC
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.nodes import NodeLease, NodeTable
from standins.object_api import Store
from tests.fakes.object_api import make_object_records


def make_lease(node="n", incarnation="new", port=9, **changes):
    """Return a serving node's lease."""
    lease = NodeLease(
        node, incarnation, "z", "10.0.0.1", port, "k", NodeState.SERVING, 60.0, "w"
    )
    return replace(lease, **changes)


class FakeLeases:
    """Records of leases in memory."""

    def __init__(self, lease=None):
        self.lease = lease
        self.version = 1 if lease else 0
        self.is_out = False

    def get(self, key):
        """Return the lease."""
        return Stored(key, self.version, self.lease) if self.lease else None

    def put(self, key, lease, version):
        """Write conditionally."""
        if self.is_out:
            raise StoreUnavailableError("out")
        if version != self.version:
            raise ConflictError("conflict")
        self.lease, self.version = lease, version + 1
        return self.version


class TestNodeLeaseRenewer:
    """Renewing a lease."""

    @pytest.mark.parametrize(("port", "ended"), [(9, ("old",)), (8, ())])
    def test_marks_an_earlier_incarnation_at_its_address_as_ended(self, port, ended):
        """Binding an earlier incarnation's address proves that it has ended."""
        leases, nodes = (
            FakeLeases(make_lease(incarnation="old", port=port)),
            NodeTable(),
        )
        NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False).renew()
        assert leases.lease.incarnation == "new"
        assert leases.lease.ended == ended
        assert nodes.has_ended("n", "old") == bool(ended)

    def test_outage(self):
        """A node that cannot renew its lease still counts itself as alive."""
        leases, nodes = FakeLeases(), NodeTable()
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.renew()
        leases.is_out = True
        renewer.renew()
        assert [lease.node for lease in nodes.alive()] == ["n"]

    def test_deleted_lease_is_written_again(self):
        """A node whose lease was deleted during a long pause writes it again."""
        leases, nodes = FakeLeases(), NodeTable()
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.renew()
        leases.lease, leases.version = None, 0
        nodes.forget("n")
        renewer.renew()
        assert leases.lease.incarnation == "new"
        assert nodes.has_lease("n", "new")

    def test_isolated_state_is_written(self):
        """A serving node is isolated in its lease while it hears too few others."""
        leases, isolated = FakeLeases(), [True]
        renewer = NodeLeaseRenewer(
            leases, NodeTable(), make_lease(), lambda: isolated[0]
        )
        renewer.renew()
        assert leases.lease.state is NodeState.ISOLATED
        isolated[0] = False
        renewer.renew()
        assert leases.lease.state is NodeState.SERVING

    def test_draining_takes_precedence_over_isolated(self):
        """A draining node stays draining in its lease, even if it is isolated."""
        leases = FakeLeases()
        renewer = NodeLeaseRenewer(leases, NodeTable(), make_lease(), lambda: True)
        renewer.set_state(NodeState.DRAINING)
        assert leases.lease.state is NodeState.DRAINING

    def test_length_grows_with_the_fleet(self):
        """In a large fleet the lease is longer, and contains its length."""
        leases, nodes = FakeLeases(), NodeTable()
        for index in range(329):
            nodes.observe_forwarded(make_lease(f"n{index}"))
        NodeLeaseRenewer(leases, nodes, make_lease(lease_s=6.0), lambda: False).renew()
        assert leases.lease.lease_s == lease_length_s(6.0, 329)
        assert leases.lease.lease_s / RENEWALS_PER_LEASE * FLEET_RENEWALS_PER_S >= 329

    def test_renews_at_each_tick_in_a_small_fleet(self):
        """A lease of minimum length is due for renewal at the next tick."""
        renewer = NodeLeaseRenewer(
            FakeLeases(), NodeTable(), make_lease(), lambda: False
        )
        assert renewer.is_due()
        renewer.renew()
        assert renewer.is_due()

    def test_renews_less_often_in_a_large_fleet(self):
        """A longer lease is not renewed at each tick of the minimum length."""
        leases, nodes = FakeLeases(), NodeTable()
        for index in range(9000):
            nodes.observe_forwarded(make_lease(f"n{index}"))
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.renew()
        assert not renewer.is_due()
        leases.is_out = True
        renewer.renew()
        assert not renewer.is_due()

    def test_failed_renewal_stays_due(self):
        """If nothing was written, the next tick tries again."""
        leases, nodes = FakeLeases(), NodeTable()
        leases.is_out = True
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.renew()
        assert renewer.is_due()

    def test_longer_length_keeps_the_state(self):
        """The node's state is in the next lease, whatever its length."""
        leases, nodes = FakeLeases(), NodeTable()
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.set_state(NodeState.DRAINING)
        renewer.renew()
        assert leases.lease.state is NodeState.DRAINING


class TestLeaseLengthS:
    """Lease length by fleet size."""

    @pytest.mark.parametrize(("nodes", "length_s"), [(9, 6.0), (90, 6.0), (330, 22.0)])
    def test_by_number_of_nodes(self, nodes, length_s):
        """Small fleets use the configured length."""
        assert lease_length_s(6.0, nodes) == length_s


class TestOwnerOf:
    """Which node should own an endpoint."""

    def test_only_the_share_of_a_lost_node_moves(self):
        """Endpoints of the remaining nodes do not move when a node is lost."""
        nodes = [f"node-{number}" for number in range(5)]
        for endpoint in map(str, range(200)):
            owner = rendezvous_owner(endpoint, nodes)
            remaining = [node for node in nodes if node != "node-0"]
            if owner != "node-0":
                assert rendezvous_owner(endpoint, remaining) == owner

    def test_draining_node_owns_nothing(self):
        """A draining node hands its endpoints over."""
        nodes = NodeTable()
        nodes.observe(make_lease("a", state=NodeState.DRAINING), 1)
        assert owner_of("e", nodes) is None
        nodes.observe(make_lease("b"), 2)
        assert owner_of("e", nodes) == "b"

    def test_isolated_node_owns_only_if_all_are_isolated(self):
        """It owns endpoints only if no serving node is remaining."""
        nodes = NodeTable()
        nodes.observe(make_lease("a", state=NodeState.ISOLATED), 1)
        assert owner_of("e", nodes) == "a"
        nodes.observe(make_lease("b"), 2)
        assert all(owner_of(f"e{number}", nodes) == "b" for number in range(20))

    def test_deleted_lease_proves_its_incarnation_ended(self):
        """A node deletes its own lease after its last order."""
        nodes = NodeTable()
        nodes.observe(make_lease(), 1)
        nodes.forget("n")
        assert nodes.has_ended("n", "new")


class TestRestoredStore:
    """Leases that a restored store has lost."""

    @pytest.mark.parametrize("has_heard", [True, False])
    def test_lost_lease_is_written_again(self, has_heard):
        """The next renewal conflicts and creates the lease."""
        store, nodes = Store(), NodeTable()
        copied_s = time.monotonic()
        leases = make_object_records(store, "nodes/", LEASE_CODEC)
        renewer = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        renewer.renew()
        store.restore(copied_s)
        if has_heard:
            leases.list()
        renewer.renew()
        assert leases.get("n").record == nodes.find("n")

    def test_renewed_lease_is_newer_than_all_before(self):
        """Other nodes take it, although its revision is lower than the lost one."""
        store, nodes = Store(), NodeTable()
        leases = make_object_records(store, "nodes/", LEASE_CODEC)
        renewer = NodeLeaseRenewer(leases, NodeTable(), make_lease(), lambda: False)
        copied_s = time.monotonic()
        for _ in range(3):
            renewer.renew()
        lost = leases.get("n")
        nodes.observe(lost.record, lost.version)
        store.restore(copied_s)
        renewer.renew()
        stored = leases.get("n")
        nodes.observe(stored.record, stored.version)
        assert nodes.find("n") == stored.record != lost.record
