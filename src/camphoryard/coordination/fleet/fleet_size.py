"""Number of nodes that divide a limit of the fleet."""

import time
from collections.abc import Callable

from camphoryard.state.nodes import NodeTable

MIN_NODES = 4
"""Minimum number of nodes that a limit is divided by, as those of a fleet that starts
do not know all others yet."""
LEFT_NODES_S = 60.0
"""Time for which a node that left still counts. What it has used of a limit is in the
window for some of it, and it may be restarting."""


class FleetSize:
    """Counts the nodes that divide a limit, never too few.

    Parameters
    ----------
    nodes : NodeTable
        The nodes that this one knows.
    clock : callable
        Return monotonic time, in seconds.
    """

    def __init__(
        self, nodes: NodeTable, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._nodes = nodes
        self._clock = clock
        self._started_s = clock()
        self._nodes_before = 0

    def remember(self, nodes: int) -> None:
        """Record how many nodes the earlier process of this node counted."""
        self._nodes_before = nodes

    def count(self) -> int:
        """Return how many nodes divide a limit.

        Nodes that left, and those that the earlier process knew, count for some time.
        """
        count = self._nodes.count_with_left(LEFT_NODES_S)
        if self._clock() - self._started_s < LEFT_NODES_S:
            count = max(count, self._nodes_before)
        return max(count, MIN_NODES)
