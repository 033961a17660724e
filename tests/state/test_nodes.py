"""Tests of the table of nodes."""

import time
from dataclasses import replace

import pytest

from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable

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
    """Return the monotonic time as a list of one, to be moved by the test."""
    now_s = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now_s[0])
    return now_s


@pytest.fixture
def nodes(now_s):
    """Return a table that has seen version 5 of the lease of node n1."""
    nodes = NodeTable()
    nodes.observe(make_lease(), 5)
    return nodes


def is_alive(nodes):
    """Return whether node n1 counts as alive."""
    return [lease.node for lease in nodes.alive()] == ["n1"]


class TestAlive:
    """Which leases count, by this node's own clock."""

    def test_lease_lapses_without_a_renewal(self, nodes, now_s):
        """It stays known, since its node may only be paused."""
        now_s[0] += LEASE_S
        assert not is_alive(nodes)
        assert nodes.find("n1") == make_lease()
        assert nodes.all() == (make_lease(),)

    def test_only_a_newer_version_renews(self, nodes, now_s):
        """An answer that was late shows nothing about now."""
        now_s[0] += LEASE_S
        nodes.observe(make_lease(), 5)
        assert not is_alive(nodes)
        nodes.observe(make_lease(), 6)
        assert is_alive(nodes)

    def test_only_a_newer_beat_of_the_same_start_renews(self, nodes, now_s):
        """Neither a digest heard twice nor one of another start counts."""
        assert nodes.heard(make_digest(1))
        now_s[0] += LEASE_S
        assert not nodes.heard(make_digest(1))
        assert not nodes.heard(make_digest(2, NEW))
        assert not is_alive(nodes)
        assert nodes.heard(make_digest(2))
        assert is_alive(nodes)

    def test_node_itself_stays_alive_in_an_outage(self, nodes, now_s):
        """It need not write its lease to know that it runs."""
        now_s[0] += LEASE_S
        nodes.mark_self_alive("n1")
        assert is_alive(nodes)


class TestIntroduce:
    """Leases that a peer passes on."""

    def test_live_lease_is_not_replaced(self, nodes, now_s):
        """What the object API showed goes first, while it is alive."""
        assert not nodes.observe_forwarded(make_lease(NEW))
        now_s[0] += LEASE_S
        assert nodes.observe_forwarded(make_lease(NEW))
        assert nodes.has_lease("n1", NEW)

    def test_lapsed_start_is_not_revived(self, nodes, now_s):
        """A peer's old news does not bring a dead node back."""
        now_s[0] += LEASE_S
        assert not nodes.observe_forwarded(make_lease())
        assert not is_alive(nodes)

    def test_next_renewal_still_counts(self, nodes, now_s):
        """The version known from the object API outlives the introduction."""
        now_s[0] += LEASE_S
        nodes.observe_forwarded(make_lease(NEW))
        nodes.observe(make_lease(), 5)
        assert nodes.has_lease("n1", NEW)


class TestHasEnded:
    """Proofs that a start is over."""

    def test_lapsed_lease_proves_nothing(self, nodes, now_s):
        """A paused node may go on at any time."""
        now_s[0] += LEASE_S * 1000
        assert not nodes.has_ended("n1", OLD)

    def test_deletion_by_its_owner_proves_it(self, nodes):
        """Only the start that held a lease deletes it."""
        nodes.forget("n1")
        assert nodes.has_ended("n1", OLD)
        assert not nodes.has_ended("n1", NEW)

    def test_later_start_that_bound_its_address_proves_it(self, nodes):
        """Of the starts that it names, and of no other."""
        nodes.observe(replace(make_lease(NEW), ended=(OLD,)), 6)
        assert nodes.has_ended("n1", OLD)
        assert not nodes.has_ended("n1", NEW)

    def test_digest_of_an_earlier_start_is_dropped(self, nodes):
        """The load of a dead start is not taken for that of the new one."""
        nodes.heard(make_digest(7))
        nodes.observe(make_lease(NEW), 6)
        assert nodes.digest("n1") is None
        assert nodes.heard(make_digest(1, NEW))
