"""Tests of how nodes register, and how often they fetch the changes of others."""

import pytest

from camphoryard.coordination.fleet.fleet_gossip import Mesh, Star
from camphoryard.coordination.fleet.node_registration import (
    PEER_KEYS_KEY,
    STAR_WATCH_PERIODS,
    agree_on_keys,
    is_node_watch_due,
)
from camphoryard.coordination.ports import Stored
from camphoryard.state.ids import NodeId
from camphoryard.state.leadership import Z85_KEY_LENGTH, PeerKeys

NODE, LEADER = NodeId("n5"), NodeId("n0")


def due_periods(topology, leader, periods=3 * STAR_WATCH_PERIODS):
    """Return in how many of some periods a node fetches the changes."""
    return sum(
        is_node_watch_due(topology, NODE, leader, period) for period in range(periods)
    )


class TestIsNodeWatchDue:
    """A fleet that restarts, so that nodes change in each period."""

    def test_a_small_fleet_fetches_each_period(self):
        """All nodes gossip with each other."""
        assert due_periods(Mesh(), LEADER) == 3 * STAR_WATCH_PERIODS

    def test_a_large_fleet_leaves_it_to_its_leader(self):
        """The calls of a restart do not grow with the square of the fleet."""
        assert due_periods(Star(), LEADER) == 3

    def test_the_leader_fetches_each_period(self):
        """It gossips with new nodes."""
        assert due_periods(Star(), NODE) == 3 * STAR_WATCH_PERIODS

    def test_a_node_without_a_leader_fetches_each_period(self):
        """The leader may be a node that it does not know yet."""
        assert due_periods(Star(), None) == 3 * STAR_WATCH_PERIODS


class Keys:
    """The stored key pair, which may be unreadable."""

    def __init__(self, stored):
        self.stored, self.written = stored, []

    def get(self, key):
        """Return the stored key pair."""
        return self.stored

    def put(self, key, record, version):
        """Record a write."""
        self.written.append((key, record, version))


class Once:
    """A timer with one tick."""

    def every(self, period_s):
        """Return the tick."""
        return iter([None])


class TestAgreeOnKeys:
    """The key pair that all nodes share."""

    OWN = PeerKeys("p" * Z85_KEY_LENGTH, "s" * Z85_KEY_LENGTH)

    def test_stored_keys_are_used(self):
        """The first pair written is that of the fleet."""
        stored = PeerKeys("q" * Z85_KEY_LENGTH, "t" * Z85_KEY_LENGTH)
        keys = Keys(Stored(PEER_KEYS_KEY, 4, stored))
        assert agree_on_keys(keys, self.OWN, Once()) == stored
        assert keys.written == []

    def test_unreadable_keys_are_replaced(self):
        """Otherwise no node could ever join the fleet."""
        keys = Keys(Stored(PEER_KEYS_KEY, 4, None))
        assert agree_on_keys(keys, self.OWN, Once()) == self.OWN
        assert keys.written == [(PEER_KEYS_KEY, self.OWN, 4)]

    def test_keys_of_another_length_are_rejected(self):
        """ZeroMQ would reject them in the task of each peer."""
        with pytest.raises(ValueError, match="CURVE"):
            PeerKeys("short", "s" * Z85_KEY_LENGTH)
