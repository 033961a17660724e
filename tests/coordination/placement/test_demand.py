"""Tests of demand measurement at one node and over all nodes."""

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
    """A clock whose time the test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


def simulate_arrivals(meter, clock, rate_per_s, duration_s, priority=Priority.URGENT):
    """Count requests at a constant rate, with a sample each second."""
    for _ in range(duration_s):
        for _ in range(rate_per_s):
            meter.record_arrival(ITEM, priority)
        clock.now_s += 1.0
        meter.sample()


class TestDemandMeter:
    """Moving averages of demand, in slots."""

    def test_steady_demand_is_rate_times_slot_time(self):
        """Ten requests a second that take a slot for 0.5 s each fill five slots."""
        clock = Clock()
        meter = DemandMeter(clock)
        meter.record_slot_time(ITEM, 0.5)
        simulate_arrivals(meter, clock, 10, 200)
        demand = meter.by_item()[ITEM]
        assert (demand.fast, demand.slow) == pytest.approx((5.0, 5.0), rel=0.01)

    def test_burst_raises_the_fast_average_first(self):
        """A burst raises the expected demand at once, and it decays slowly after."""
        clock = Clock()
        meter = DemandMeter(clock)
        simulate_arrivals(meter, clock, 1, 60)
        simulate_arrivals(meter, clock, 40, 4)
        burst = meter.by_item()[ITEM]
        simulate_arrivals(meter, clock, 0, 8)
        after = meter.by_item()[ITEM]
        assert burst.fast > 4 * burst.slow
        assert after.expected == after.slow > after.fast

    def test_slow_average_is_corrected_after_a_start(self):
        """An item requested shortly before does not look idle just after a start."""
        clock = Clock()
        meter = DemandMeter(clock)
        simulate_arrivals(meter, clock, 4, 3)
        simulate_arrivals(meter, clock, 0, 3)
        assert meter.by_item()[ITEM].expected > 1.5

    def test_deferrable_requests_weigh_less(self):
        """Deferrable requests count as less than half of the demand of urgent ones."""
        clock = Clock()
        meter, deferrable_meter = DemandMeter(clock), DemandMeter(clock)
        simulate_arrivals(meter, clock, 10, 3)
        clock.now_s = 0.0
        simulate_arrivals(deferrable_meter, clock, 10, 3, Priority.DEFERRABLE)
        assert deferrable_meter.by_item()[ITEM].fast < meter.by_item()[ITEM].fast / 2

    def test_items_without_recent_demand_are_not_reported(self):
        """An item without requests for 200 s takes no room in a digest."""
        clock = Clock()
        meter = DemandMeter(clock)
        simulate_arrivals(meter, clock, 1, 1)
        simulate_arrivals(meter, clock, 0, 200)
        assert not meter.by_item()


class TestTotalDemand:
    """Sums of the demand at several nodes."""

    def test_sums_demand_by_item(self):
        """The total of an item is the sum over the nodes that report it."""
        one = {ITEM: ItemDemand(1.0, 2.0)}
        two = {ITEM: ItemDemand(3.0, 4.0), ItemId("n"): ItemDemand(5.0, 6.0)}
        assert total_demand([one, two]) == {
            ITEM: ItemDemand(4.0, 6.0),
            ItemId("n"): ItemDemand(5.0, 6.0),
        }


class TestSystemDemand:
    """Demand over all nodes."""

    def test_adds_digests_of_live_peers_to_own_averages(self):
        """The node's own digest is not counted twice."""
        clock = Clock()
        meter = DemandMeter(clock)
        simulate_arrivals(meter, clock, 5, 30)
        own = meter.by_item()[ITEM]
        nodes = NodeTable()
        for node in ("n1", "n2"):
            state = NodeState.SERVING
            nodes.observe(NodeLease(node, "i", "z", "h", 1, "key", state, 9.0, "w"), 1)
            demand_by_item = {ITEM: ItemDemand(1.0, 2.0)}
            digest = NodeDigest(
                node, "i", state, 1, beat=1, demand_by_item=demand_by_item
            )
            nodes.observe_digest(digest)
        total = SystemDemand("n1", nodes, meter).by_item()[ITEM]
        assert total == ItemDemand(own.fast + 1.0, own.slow + 2.0)
