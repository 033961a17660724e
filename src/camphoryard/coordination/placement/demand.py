"""How much each model and adapter is asked for, at this node and at all."""

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
FAST_S = 1.0
SLOW_S = 20.0
DEFAULT_HOLD_S = 1.0
HOLD_WEIGHT = 0.1
DEFERRABLE_WEIGHT = 0.3
LEAST_SLOTS = 0.005
TOLD_ITEMS = 48


@dataclass(slots=True)
class _Average:
    fast: float = 0.0
    slow: float = 0.0


class DemandMeter:
    """Averages of this node's arrivals by item, in slots.

    The slow average of a node that started a moment ago is that over its life,
    so that items asked for now and then do not look idle to it.

    Slots are arrivals a second times the seconds for which one of them holds a
    slot (Little's law), so that they count what was refused or still waits too.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        fast_time_constant_s: float = FAST_S,
    ) -> None:
        self._clock = clock
        self._fast_s = fast_time_constant_s
        self._lock = threading.Lock()
        self._started_s = clock()
        self._sampled_s = self._started_s
        self._arrived_by_item: defaultdict[ItemId, float] = defaultdict(float)
        self._hold_s_by_item: dict[ItemId, float] = {}
        self._average_by_item: dict[ItemId, _Average] = {}

    def arrived(self, item: ItemId, priority: Priority) -> None:
        """Count one request for ``item``; deferrable ones weigh less."""
        weight = DEFERRABLE_WEIGHT if priority is Priority.DEFERRABLE else 1.0
        with self._lock:
            self._arrived_by_item[item] += weight

    def held(self, item: ItemId, hold_s: float) -> None:
        """Note for how long one request held a slot."""
        with self._lock:
            known_s = self._hold_s_by_item.get(item, hold_s)
            self._hold_s_by_item[item] = known_s + HOLD_WEIGHT * (hold_s - known_s)

    def run(self, timer: Timer) -> None:
        """Take a sample each period until the timer service closes."""
        for _ in timer.every(SAMPLE_PERIOD_S):
            self.sample()

    def sample(self) -> None:
        """Fold what arrived since the last sample into the averages."""
        now_s = self._clock()
        with self._lock:
            elapsed_s = now_s - self._sampled_s
            if elapsed_s <= 0:
                return
            self._sampled_s = now_s
            arrived, self._arrived_by_item = (
                self._arrived_by_item,
                defaultdict(float),
            )
            for item in {*arrived, *self._average_by_item}:
                self._fold(item, arrived[item] / elapsed_s, elapsed_s)

    def by_item(self) -> Mapping[ItemId, ItemDemand]:
        """Return the averages that are worth telling, of the items most in demand.

        Their number is bounded, since a digest goes round the whole fleet.
        """
        with self._lock:
            seen = _weight(self._sampled_s - self._started_s, SLOW_S)
            demand_by_item = {
                item: ItemDemand(average.fast, average.slow / seen)
                for item, average in self._average_by_item.items()
                if max(average.fast, average.slow) >= LEAST_SLOTS
            }
        most = heapq.nlargest(
            TOLD_ITEMS, demand_by_item, key=lambda item: demand_by_item[item].expected
        )
        return {item: demand_by_item[item] for item in most}

    def _fold(self, item: ItemId, rate_per_s: float, elapsed_s: float) -> None:
        slots = rate_per_s * self._hold_s_by_item.get(item, DEFAULT_HOLD_S)
        average = self._average_by_item.setdefault(item, _Average())
        average.fast += _weight(elapsed_s, self._fast_s) * (slots - average.fast)
        average.slow += _weight(elapsed_s, SLOW_S) * (slots - average.slow)


class SystemDemand:
    """What all nodes are asked for: this one's averages and those in digests."""

    def __init__(self, node: NodeId, nodes: NodeTable, meter: DemandMeter) -> None:
        self._node = node
        self._nodes = nodes
        self._meter = meter

    def by_item(self) -> Mapping[ItemId, ItemDemand]:
        """Return the sum of what this node and the others alive see."""
        return total_demand(self._parts())

    def _parts(self) -> Iterable[Mapping[ItemId, ItemDemand]]:
        yield self._meter.by_item()
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is not None and lease.node != self._node:
                yield digest.demand_by_item


def _weight(elapsed_s: float, time_constant_s: float) -> float:
    return 1.0 - math.exp(-elapsed_s / time_constant_s)


def total_demand(
    parts: Iterable[Mapping[ItemId, ItemDemand]],
) -> Mapping[ItemId, ItemDemand]:
    """Return the sum of what several nodes see."""
    total: dict[ItemId, ItemDemand] = {}
    for part in parts:
        for item, demand in part.items():
            so_far = total.get(item, NO_DEMAND)
            total[item] = ItemDemand(
                so_far.fast + demand.fast, so_far.slow + demand.slow
            )
    return total
