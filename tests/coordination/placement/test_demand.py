"""Tests of the demand meter."""

import pytest

from camphoryard.coordination.placement.demand import (
    DemandMeter,
    SystemDemand,
    total_demand,
)
from camphoryard.state.demand import ItemDemand
from camphoryard.state.enums import NodeState, Priority
from camphoryard.state.ids import ItemId
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable

ITEM = ItemId("m")


class Clock:
    """A clock that moves when told to."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


def play(meter, clock, arrivals, seconds, priority=Priority.URGENT):
    """Let requests arrive each second for some seconds."""
    for _ in range(seconds):
        for _ in range(arrivals):
            meter.arrived(ITEM, priority)
        clock.now_s += 1.0
        meter.sample()


class TestDemandMeter:
    """Averages of arrivals, in slots."""

    def test_steady_arrivals_are_rate_times_hold(self):
        """Ten a second that hold a slot for half a second fill five slots."""
        clock = Clock()
        meter = DemandMeter(clock)
        meter.held(ITEM, 0.5)
        play(meter, clock, 10, 200)
        demand = meter.by_item()[ITEM]
        assert (demand.fast, demand.slow) == pytest.approx((5.0, 5.0), rel=0.01)

    def test_a_rise_shows_in_the_fast_average_first(self):
        """A few seconds of a rush count at once, and fade slowly."""
        clock = Clock()
        meter = DemandMeter(clock)
        play(meter, clock, 1, 60)
        play(meter, clock, 40, 4)
        rush = meter.by_item()[ITEM]
        play(meter, clock, 0, 8)
        after = meter.by_item()[ITEM]
        assert rush.fast > 4 * rush.slow
        assert after.expected == after.slow > after.fast

    def test_a_young_meter_averages_over_its_life(self):
        """What came before a pause does not look idle just after a start."""
        clock = Clock()
        meter = DemandMeter(clock)
        play(meter, clock, 4, 3)
        play(meter, clock, 0, 3)
        assert meter.by_item()[ITEM].expected > 1.5

    def test_deferrable_requests_weigh_less(self):
        """Work that can wait calls for fewer copies."""
        clock = Clock()
        meter, other = DemandMeter(clock), DemandMeter(clock)
        play(meter, clock, 10, 3)
        clock.now_s = 0.0
        play(other, clock, 10, 3, Priority.DEFERRABLE)
        assert other.by_item()[ITEM].fast < meter.by_item()[ITEM].fast / 2

    def test_forgotten_items_are_not_told(self):
        """An item without demand for long takes no room in a digest."""
        clock = Clock()
        meter = DemandMeter(clock)
        play(meter, clock, 1, 1)
        play(meter, clock, 0, 200)
        assert not meter.by_item()


class TestTotalDemand:
    """Sums over nodes."""

    def test_adds_what_nodes_see(self):
        """The total is the sum, whichever node saw it."""
        one = {ITEM: ItemDemand(1.0, 2.0)}
        two = {ITEM: ItemDemand(3.0, 4.0), ItemId("n"): ItemDemand(5.0, 6.0)}
        assert total_demand([one, two]) == {
            ITEM: ItemDemand(4.0, 6.0),
            ItemId("n"): ItemDemand(5.0, 6.0),
        }


class TestSystemDemand:
    """What all nodes are asked for."""

    def test_adds_live_peers_digests_to_the_own_averages(self):
        """The node's own digest is not counted twice."""
        clock = Clock()
        meter = DemandMeter(clock)
        play(meter, clock, 5, 30)
        own = meter.by_item()[ITEM]
        nodes = NodeTable()
        for node in ("n1", "n2"):
            state = NodeState.SERVING
            nodes.observe(NodeLease(node, "i", "z", "h", 1, "key", state, 9.0, "w"), 1)
            told = {ITEM: ItemDemand(1.0, 2.0)}
            digest = NodeDigest(node, "i", state, 1, beat=1, demand_by_item=told)
            nodes.heard(digest)
        total = SystemDemand("n1", nodes, meter).by_item()[ITEM]
        assert total == ItemDemand(own.fast + 1.0, own.slow + 2.0)
