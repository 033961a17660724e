"""Tests of how often nodes fetch the changes of other nodes."""

from camphoryard.coordination.fleet.fleet_gossip import Mesh, Star
from camphoryard.coordination.fleet.node_registration import (
    STAR_WATCH_PERIODS,
    is_node_watch_due,
)
from camphoryard.state.ids import NodeId

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
