"""Tests of the table of nodes."""

import time
from dataclasses import replace

import pytest

from camphoryard.state.enums import NodeState
from camphoryard.state.ids import StoreEra
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.store_eras import version_in

LEASE_S = 3.0
OLD, NEW = "start-1", "start-2"


def make_lease(incarnation=OLD, ended=()):
    """Return a lease of node n1."""
    return NodeLease(
        "n1",
        incarnation,
        "a",
        "h",
        1,
        "",
        NodeState.SERVING,
        LEASE_S,
        "w",
        ended,
    )


def make_digest(beat, incarnation=OLD):
    """Return a digest of node n1."""
    return NodeDigest("n1", incarnation, NodeState.SERVING, 1, beat=beat)


@pytest.fixture
def now_s(monkeypatch):
    """Return the monotonic time as a one-element list that tests can change."""
    now_s = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
    return now_s


@pytest.fixture
def nodes(now_s):
    """Return a table with version 5 of the lease of node n1."""
    nodes = NodeTable()
    nodes.observe(make_lease(), 5)
    return nodes


def is_alive(nodes):
    """Return whether node n1 counts as alive."""
    return [lease.node for lease in nodes.alive()] == ["n1"]


class TestNodeLease:
    """Leases that another writer left in the store."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"port": 99999},
            {"advertised_port": -1},
            {"host": "10.0.0.1\x00"},
            {"lease_s": float("nan")},
            {"lease_s": -1.0},
        ],
    )
    def test_odd_lease_is_rejected(self, changes):
        """A peer at such an address would fail the tasks that use it."""
        with pytest.raises(ValueError):
            replace(make_lease(), **changes)


class TestAlive:
    """Expiry and renewal of leases on this node's clock."""

    def test_lease_expires_without_renewal(self, nodes, now_s):
        """The table keeps an expired lease, since its node may only be paused."""
        now_s[0] += LEASE_S
        assert not is_alive(nodes)
        assert nodes.find("n1") == make_lease()
        assert nodes.all() == (make_lease(),)

    def test_only_newer_version_renews(self, nodes, now_s):
        """A delayed answer does not renew the lease."""
        now_s[0] += LEASE_S
        nodes.observe(make_lease(), 5)
        assert not is_alive(nodes)
        nodes.observe(make_lease(), 6)
        assert is_alive(nodes)

    def test_only_newer_beat_of_same_incarnation_renews(self, nodes, now_s):
        """Neither a repeated digest nor one of another incarnation renews it."""
        assert nodes.observe_digest(make_digest(1))
        now_s[0] += LEASE_S
        assert not nodes.observe_digest(make_digest(1))
        assert not nodes.observe_digest(make_digest(2, NEW))
        assert not is_alive(nodes)
        assert nodes.observe_digest(make_digest(2))
        assert is_alive(nodes)

    def test_node_itself_stays_alive_during_outage(self, nodes, now_s):
        """A node counts itself as alive without renewing its lease."""
        now_s[0] += LEASE_S
        nodes.mark_self_alive("n1")
        assert is_alive(nodes)


class TestObserveForwarded:
    """Leases that a peer forwards."""

    def test_live_lease_is_not_replaced(self, nodes, now_s):
        """A lease from the object API takes precedence while it is alive."""
        assert not nodes.observe_forwarded(make_lease(NEW))
        now_s[0] += LEASE_S
        assert nodes.observe_forwarded(make_lease(NEW))
        assert nodes.has_lease("n1", NEW)

    def test_expired_incarnation_is_not_revived(self, nodes, now_s):
        """An outdated lease from a peer does not revive a dead node."""
        now_s[0] += LEASE_S
        assert not nodes.observe_forwarded(make_lease())
        assert not is_alive(nodes)

    def test_next_renewal_still_counts(self, nodes, now_s):
        """A forwarded lease does not raise the version, so a renewal still counts."""
        now_s[0] += LEASE_S
        nodes.observe_forwarded(make_lease(NEW))
        nodes.observe(make_lease(), 5)
        assert nodes.has_lease("n1", NEW)


class TestHasEnded:
    """Proof that an incarnation has ended."""

    def test_expired_lease_is_no_proof(self, nodes, now_s):
        """A paused node may resume at any time."""
        now_s[0] += LEASE_S * 1000
        assert not nodes.has_ended("n1", OLD)

    def test_deletion_by_its_holder_is_proof(self, nodes):
        """Only the incarnation that holds a lease deletes it."""
        nodes.forget("n1")
        assert nodes.has_ended("n1", OLD)
        assert not nodes.has_ended("n1", NEW)

    def test_later_incarnation_at_the_same_address_is_proof(self, nodes):
        """Only the incarnations that its lease lists have ended."""
        nodes.observe(replace(make_lease(NEW), ended=(OLD,)), 6)
        assert nodes.has_ended("n1", OLD)
        assert not nodes.has_ended("n1", NEW)

    def test_digest_of_earlier_incarnation_is_dropped(self, nodes):
        """The load of an ended incarnation is not attributed to the new one."""
        nodes.observe_digest(make_digest(7))
        nodes.observe(make_lease(NEW), 6)
        assert nodes.digest("n1") is None
        assert nodes.observe_digest(make_digest(1, NEW))


class TestNodesThatLeft:
    """The count by which the fleet divides what all nodes share."""

    # Guards against retries beyond the budget while nodes stop one after the other.
    def test_node_that_left_counts_for_some_time(self, nodes, now_s):
        """What it has used of its part still counts."""
        nodes.observe(replace(make_lease(), node="n2"), 6)
        nodes.forget("n1")
        assert nodes.count_with_left(60.0) == 2
        now_s[0] += 60.0
        assert nodes.count_with_left(60.0) == 1

    def test_node_that_comes_back_counts_once(self, nodes):
        """It was only restarting."""
        nodes.forget("n1")
        nodes.observe(make_lease(NEW), 6)
        assert nodes.count_with_left(60.0) == 1


# Guards against a running node whose load and leadership no peer hears of.
class TestRestoredStore:
    """A store that is restored from an older copy shows earlier entries again."""

    RESTORED = version_in(StoreEra(1), 5)

    def test_earlier_process_does_not_replace_the_running_one(self, nodes):
        """The running process is known, and its digests go on counting."""
        nodes.observe(make_lease(NEW), 6)
        assert nodes.observe_digest(make_digest(1, NEW))
        nodes.observe(make_lease(OLD), self.RESTORED)
        assert nodes.observe_digest(make_digest(2, NEW))
        assert nodes.find("n1").incarnation == NEW

    def test_process_whose_lease_was_deleted_may_write_it_again(self, nodes):
        """Leases are also deleted by nodes that take their holder for dead."""
        nodes.forget("n1")
        nodes.observe(make_lease(), self.RESTORED)
        assert nodes.has_lease("n1", OLD)

    def test_further_process_is_known(self, nodes):
        """Only processes that are known to be over are ignored."""
        nodes.forget("n1")
        nodes.observe(make_lease(NEW), self.RESTORED)
        assert nodes.find("n1").incarnation == NEW

    # Guards against engines without an owner after a restart in an outage of the store.
    def test_process_that_a_peer_forwarded_is_not_superseded(self, now_s):
        """The store still shows the lease of the process before."""
        nodes = NodeTable()
        assert nodes.observe_forwarded(make_lease(NEW))
        nodes.observe(make_lease(OLD), 5)
        nodes.observe(make_lease(NEW), 6)
        assert nodes.has_lease("n1", NEW)
