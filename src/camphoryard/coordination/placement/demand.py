"""Demand for each model and adapter (item), at this node and over all nodes."""

import heapq
import math
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from camphoryard.coordination.ports import Timer
from camphoryard.state.demand import NO_DEMAND, ItemDemand
from camphoryard.state.enums import Priority
from camphoryard.state.ids import ItemId, NodeId
from camphoryard.state.nodes import NodeTable

SAMPLE_PERIOD_S = 0.5
FAST_TIME_CONSTANT_S = 1.0
SLOW_TIME_CONSTANT_S = 20.0
DEFAULT_SLOT_TIME_S = 1.0
SLOT_TIME_SMOOTHING = 0.1
DEFERRABLE_WEIGHT = 0.3
MIN_REPORTED_SLOTS = 0.005
MAX_REPORTED_ITEMS = 48


@dataclass(slots=True)
class _Average:
    fast: float = 0.0
    slow: float = 0.0


class DemandMeter:
    """Moving averages of the demand for each item at this node, in slots.

    Demand is the arrival rate times the mean time that a request occupies a slot
    (Little's law), so that queued and refused requests count too.

    The slow average is corrected for the time before this node started: otherwise
    items with rare requests would look idle at a node that has just started.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        fast_time_constant_s: float = FAST_TIME_CONSTANT_S,
    ) -> None:
        self._clock = clock
        self._fast_time_constant_s = fast_time_constant_s
        self._lock = threading.Lock()
        self._started_s = clock()
        self._sampled_s = self._started_s
        self._arrivals_by_item: defaultdict[ItemId, float] = defaultdict(float)
        self._slot_time_s_by_item: dict[ItemId, float] = {}
        self._average_by_item: dict[ItemId, _Average] = {}

    def record_arrival(self, item: ItemId, priority: Priority) -> None:
        """Count one request for ``item``; deferrable requests weigh less."""
        weight = DEFERRABLE_WEIGHT if priority is Priority.DEFERRABLE else 1.0
        with self._lock:
            self._arrivals_by_item[item] += weight

    def record_slot_time(self, item: ItemId, slot_time_s: float) -> None:
        """Record for how many seconds one request occupied a slot."""
        with self._lock:
            mean_s = self._slot_time_s_by_item.get(item, slot_time_s)
            self._slot_time_s_by_item[item] = mean_s + SLOT_TIME_SMOOTHING * (
                slot_time_s - mean_s
            )

    def run(self, timer: Timer) -> None:
        """Take a sample each period until the timer service closes."""
        for _ in timer.every(SAMPLE_PERIOD_S):
            self.sample()

    def sample(self) -> None:
        """Update the averages with the arrivals since the last sample."""
        now_s = self._clock()
        with self._lock:
            elapsed_s = now_s - self._sampled_s
            if elapsed_s <= 0:
                return
            self._sampled_s = now_s
            arrivals, self._arrivals_by_item = (
                self._arrivals_by_item,
                defaultdict(float),
            )
            for item in {*arrivals, *self._average_by_item}:
                self._update_average(item, arrivals[item] / elapsed_s, elapsed_s)

    def by_item(self) -> Mapping[ItemId, ItemDemand]:
        """Return the averages of the items with the most demand.

        Negligible averages are left out and the number of items is bounded, since
        the digest with them is sent to every node.
        """
        with self._lock:
            observed_share = _smoothing_weight(
                self._sampled_s - self._started_s, SLOW_TIME_CONSTANT_S
            )
            demand_by_item = {
                item: ItemDemand(average.fast, average.slow / observed_share)
                for item, average in self._average_by_item.items()
                if max(average.fast, average.slow) >= MIN_REPORTED_SLOTS
            }
        reported_items = heapq.nlargest(
            MAX_REPORTED_ITEMS,
            demand_by_item,
            key=lambda item: demand_by_item[item].expected,
        )
        return {item: demand_by_item[item] for item in reported_items}

    def _update_average(
        self, item: ItemId, rate_per_s: float, elapsed_s: float
    ) -> None:
        slots = rate_per_s * self._slot_time_s_by_item.get(item, DEFAULT_SLOT_TIME_S)
        average = self._average_by_item.setdefault(item, _Average())
        average.fast += _smoothing_weight(elapsed_s, self._fast_time_constant_s) * (
            slots - average.fast
        )
        average.slow += _smoothing_weight(elapsed_s, SLOW_TIME_CONSTANT_S) * (
            slots - average.slow
        )


class SystemDemand:
    """Demand over all nodes: this node's averages and those in peers' digests."""

    def __init__(self, node: NodeId, nodes: NodeTable, meter: DemandMeter) -> None:
        self._node = node
        self._nodes = nodes
        self._meter = meter

    def by_item(self) -> Mapping[ItemId, ItemDemand]:
        """Return the sum of the demand at this node and at the other live nodes."""
        return total_demand(self._node_demands())

    def _node_demands(self) -> Iterable[Mapping[ItemId, ItemDemand]]:
        yield self._meter.by_item()
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is not None and lease.node != self._node:
                yield digest.demand_by_item


def _smoothing_weight(elapsed_s: float, time_constant_s: float) -> float:
    """Return the weight of a sample over ``elapsed_s`` in a moving average."""
    return 1.0 - math.exp(-elapsed_s / time_constant_s)


def total_demand(
    node_demands: Iterable[Mapping[ItemId, ItemDemand]],
) -> Mapping[ItemId, ItemDemand]:
    """Return the sum of the demand at several nodes, by item."""
    total: dict[ItemId, ItemDemand] = {}
    for demand_by_item in node_demands:
        for item, demand in demand_by_item.items():
            subtotal = total.get(item, NO_DEMAND)
            total[item] = ItemDemand(
                subtotal.fast + demand.fast, subtotal.slow + demand.slow
            )
    return total
