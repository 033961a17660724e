"""Limits on the concurrent requests of a caller or a group."""

import math
import threading
from collections import Counter
from collections.abc import Generator
from contextlib import contextmanager

from camphoryard.coordination.admission.admission import overloaded
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import CallerId, GroupId
from camphoryard.state.labels import Labels
from camphoryard.state.nodes import NodeTable

LIMIT_LABEL = "max-concurrent"


class ConcurrencyLimits:
    """Counts requests in flight; serving nodes share each limit evenly."""

    def __init__(self, nodes: NodeTable) -> None:
        self._nodes = nodes
        self._lock = threading.Lock()
        self._count_by_key: Counter[CallerId | GroupId] = Counter()

    @contextmanager
    def count_in_flight(
        self, key: CallerId | GroupId, limit: int
    ) -> Generator[None, None, None]:
        """Count one request of ``key`` while in the context; 0 or less is no limit.

        Raises
        ------
        RefusalError
            If this node already has its share of ``limit`` in flight.
        """
        if limit <= 0:
            yield
            return
        share = self._share(limit)
        with self._lock:
            if self._count_by_key[key] >= share:
                raise overloaded(
                    f"{key} has {share} requests in flight at this node", 0.0
                )
            self._count_by_key[key] += 1
        try:
            yield
        finally:
            with self._lock:
                self._count_by_key[key] -= 1

    def _share(self, limit: int) -> int:
        states = (NodeState.SERVING, NodeState.ISOLATED)
        serving = sum(lease.state in states for lease in self._nodes.alive())
        return math.ceil(limit / max(1, serving))


def caller_limit(labels: Labels) -> int:
    """Return the limit in a caller's labels, or 0 if there is none.

    Examples
    --------
    >>> caller_limit({"max-concurrent": "8"})
    8
    """
    text = labels.get(LIMIT_LABEL, "")
    return int(text) if text.isascii() and text.isdigit() else 0
