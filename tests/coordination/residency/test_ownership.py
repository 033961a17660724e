"""Tests of leases and who owns what."""

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
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.nodes import NodeLease, NodeTable


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


class TestLeaseKeeper:
    """Keeping a lease."""

    @pytest.mark.parametrize(("port", "ended"), [(9, ("old",)), (8, ())])
    def test_names_an_earlier_start_at_its_address(self, port, ended):
        """Only an earlier start whose address is bound again is proved over."""
        leases, nodes = (
            FakeLeases(make_lease(incarnation="old", port=port)),
            NodeTable(),
        )
        NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False).renew()
        assert leases.lease.incarnation == "new"
        assert leases.lease.ended == ended
        assert nodes.has_ended("n", "old") == bool(ended)

    def test_outage(self):
        """A node whose lease cannot be renewed still counts itself as alive."""
        leases, nodes = FakeLeases(), NodeTable()
        keeper = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        keeper.renew()
        leases.is_out = True
        keeper.renew()
        assert [lease.node for lease in nodes.alive()] == ["n"]

    def test_deleted_lease_is_taken_anew(self):
        """A node that was paused for long finds its lease gone and goes on."""
        leases, nodes = FakeLeases(), NodeTable()
        keeper = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        keeper.renew()
        leases.lease, leases.version = None, 0
        nodes.forget("n")
        keeper.renew()
        assert leases.lease.incarnation == "new"
        assert nodes.has_lease("n", "new")

    def test_isolated_node_says_so(self):
        """A serving node that hears too few others says so till it hears them."""
        leases, isolated = FakeLeases(), [True]
        keeper = NodeLeaseRenewer(
            leases, NodeTable(), make_lease(), lambda: isolated[0]
        )
        keeper.renew()
        assert leases.lease.state is NodeState.ISOLATED
        isolated[0] = False
        keeper.renew()
        assert leases.lease.state is NodeState.SERVING

    def test_draining_goes_before_isolated(self):
        """A node that leaves says so, whomever it hears."""
        leases = FakeLeases()
        keeper = NodeLeaseRenewer(leases, NodeTable(), make_lease(), lambda: True)
        keeper.enter(NodeState.DRAINING)
        assert leases.lease.state is NodeState.DRAINING

    def test_length_grows_with_the_fleet(self):
        """A fleet that would renew too often takes longer leases, and says so."""
        leases, nodes = FakeLeases(), NodeTable()
        for index in range(329):
            nodes.observe_forwarded(make_lease(f"n{index}"))
        NodeLeaseRenewer(leases, nodes, make_lease(lease_s=6.0), lambda: False).renew()
        assert leases.lease.lease_s == lease_length_s(6.0, 329)
        assert leases.lease.lease_s / RENEWALS_PER_LEASE * FLEET_RENEWALS_PER_S >= 329

    def test_renews_at_each_tick_in_a_small_fleet(self):
        """A lease of the least length is due again at once."""
        keeper = NodeLeaseRenewer(
            FakeLeases(), NodeTable(), make_lease(), lambda: False
        )
        assert keeper.is_due()
        keeper.renew()
        assert keeper.is_due()

    def test_renews_less_often_in_a_large_fleet(self):
        """A longer lease is not renewed at the ticks of a short one."""
        leases, nodes = FakeLeases(), NodeTable()
        for index in range(9000):
            nodes.observe_forwarded(make_lease(f"n{index}"))
        keeper = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        keeper.renew()
        assert not keeper.is_due()
        leases.is_out = True
        keeper.renew()
        assert not keeper.is_due()

    def test_failed_renewal_stays_due(self):
        """While nothing was written the next tick tries again."""
        leases, nodes = FakeLeases(), NodeTable()
        leases.is_out = True
        keeper = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        keeper.renew()
        assert keeper.is_due()

    def test_longer_length_does_not_undo_a_state(self):
        """What the node entered is in the next lease, whatever its length."""
        leases, nodes = FakeLeases(), NodeTable()
        keeper = NodeLeaseRenewer(leases, nodes, make_lease(), lambda: False)
        keeper.enter(NodeState.DRAINING)
        keeper.renew()
        assert leases.lease.state is NodeState.DRAINING


class TestLeaseLengthS:
    """How long a lease lasts."""

    @pytest.mark.parametrize(("nodes", "length_s"), [(9, 6.0), (90, 6.0), (330, 22.0)])
    def test_by_number_of_nodes(self, nodes, length_s):
        """Small fleets keep the length of the settings."""
        assert lease_length_s(6.0, nodes) == length_s


class TestOwnerOf:
    """Which node should own an endpoint."""

    def test_only_the_share_of_a_lost_node_moves(self):
        """Endpoints of nodes that stay are not moved when one is lost."""
        nodes = [f"node-{number}" for number in range(5)]
        for endpoint in map(str, range(200)):
            owner = rendezvous_owner(endpoint, nodes)
            left = [node for node in nodes if node != "node-0"]
            if owner != "node-0":
                assert rendezvous_owner(endpoint, left) == owner

    def test_draining_node_owns_nothing(self):
        """A node that drains hands its endpoints over."""
        nodes = NodeTable()
        nodes.observe(make_lease("a", state=NodeState.DRAINING), 1)
        assert owner_of("e", nodes) is None
        nodes.observe(make_lease("b"), 2)
        assert owner_of("e", nodes) == "b"

    def test_isolated_node_owns_only_among_isolated(self):
        """Others could not ask it for loads; if all are isolated, one must do."""
        nodes = NodeTable()
        nodes.observe(make_lease("a", state=NodeState.ISOLATED), 1)
        assert owner_of("e", nodes) == "a"
        nodes.observe(make_lease("b"), 2)
        assert all(owner_of(f"e{number}", nodes) == "b" for number in range(20))

    def test_deleted_lease_proves_its_start_over(self):
        """A node deletes its lease itself, after its last order."""
        nodes = NodeTable()
        nodes.observe(make_lease(), 1)
        nodes.forget("n")
        assert nodes.has_ended("n", "new")
