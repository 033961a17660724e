"""Rate limit of loads from the weight store, by grants of start times.

One node, chosen by rendezvous hashing, holds the budget and grants start times. A
node that cannot reach the holder limits its own loads to an even share of the rate.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.coordination.messages import (
    Declined,
    LoadGrant,
    LoadGrantRequest,
    Reply,
)
from camphoryard.coordination.ports import Peers
from camphoryard.coordination.residency.ownership import rendezvous_owner
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import NodeId
from camphoryard.state.nodes import NodeTable

BUDGET_KEY = "weight-store"
GRANT_TIMEOUT_S = 0.5
MAX_URGENT_WAIT_S = 10.0
MAX_BACKGROUND_WAIT_S = 0.5
ASSUMED_LOAD_S = 1.0
RESERVED_FOR_URGENT = 1


@dataclass(frozen=True, slots=True)
class Unpaced:
    """Start loads immediately; the weight store queues them itself."""


@dataclass(frozen=True, slots=True)
class Paced:
    """Start at most ``loads_per_s`` and run at most ``at_once`` loads in parallel."""

    loads_per_s: float
    at_once: int


BudgetPolicy: TypeAlias = Unpaced | Paced


class WeightBudget:
    """Grants start times for loads at the node that holds the budget.

    An urgent load reserves the next free start time. A background load is granted
    a start only if it is soon and leaves room for an urgent load.
    """

    def __init__(
        self, policy: Paced, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._lock = threading.Lock()
        self._next_start_s = clock()
        self._load_ends_s: list[float] = []

    def reserve_start(self, urgent: bool) -> float | None:
        """Reserve a start; return the wait in seconds, or None if that is too long."""
        with self._lock:
            now_s = self._clock()
            self._load_ends_s = [end_s for end_s in self._load_ends_s if end_s > now_s]
            start_s = max(
                now_s, self._next_start_s, self._capacity_free_s(urgent, now_s)
            )
            max_wait_s = MAX_URGENT_WAIT_S if urgent else MAX_BACKGROUND_WAIT_S
            if start_s - now_s > max_wait_s:
                return None
            self._next_start_s = start_s + 1 / self._policy.loads_per_s
            self._load_ends_s.append(start_s + ASSUMED_LOAD_S)
            return start_s - now_s

    def _capacity_free_s(self, urgent: bool, now_s: float) -> float:
        """Return the clock time at which another load may run in parallel."""
        reserved = 0 if urgent else RESERVED_FOR_URGENT
        limit = max(1, self._policy.at_once - reserved)
        ends_s = sorted(self._load_ends_s)
        return ends_s[-limit] if len(ends_s) >= limit else now_s


class WeightBudgetClient:
    """Requests grants from the budget's holder, which is this node or a peer."""

    def __init__(
        self, policy: BudgetPolicy, node: NodeId, nodes: NodeTable, peers: Peers
    ) -> None:
        self._policy = policy
        self._node = node
        self._nodes = nodes
        self._peers = peers
        self._budget_by_node_count: dict[int, WeightBudget] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def request(self, urgent: bool) -> float | None:
        """Request a start; return the wait in seconds, or None if it was declined."""
        match self._policy:
            case Unpaced():
                return 0.0
            case Paced() as paced:
                return self._request_from_holder(paced, urgent)

    def wait_for_urgent_start(self) -> None:
        """Block until an urgent load may start.

        If the grant is declined, the load may start after ``MAX_URGENT_WAIT_S``.
        """
        start_in_s = self.request(urgent=True)
        if start_in_s is None:
            start_in_s = MAX_URGENT_WAIT_S
        self.wait_for_start(start_in_s)

    def wait_for_start(self, start_in_s: float) -> None:
        """Block for ``start_in_s`` seconds, or until the client is closed."""
        self._closed.wait(start_in_s)

    def close(self) -> None:
        """Unblock all waiting loads."""
        self._closed.set()

    def grant(self, urgent: bool) -> Reply:
        """Answer a peer that considers this node the budget's holder."""
        match self._policy:
            case Unpaced():
                return LoadGrant(0.0)
            case Paced() as paced:
                start_in_s = self._budget(paced, 1).reserve_start(urgent)
        if start_in_s is None:
            return Declined("the weight store's load budget is exhausted")
        return LoadGrant(start_in_s)

    def _request_from_holder(self, paced: Paced, urgent: bool) -> float | None:
        serving_nodes = [
            lease.node
            for lease in self._nodes.alive()
            if lease.state is NodeState.SERVING
        ]
        if (
            not serving_nodes
            or rendezvous_owner(BUDGET_KEY, serving_nodes) == self._node
        ):
            return self._budget(paced, 1).reserve_start(urgent)
        holder = rendezvous_owner(BUDGET_KEY, serving_nodes)
        try:
            reply = self._peers.request(
                holder, LoadGrantRequest(urgent), GRANT_TIMEOUT_S
            )
        except PeerUnreachableError:
            return self._budget(paced, len(serving_nodes)).reserve_start(urgent)
        return reply.start_in_s if isinstance(reply, LoadGrant) else None

    def _budget(self, paced: Paced, node_count: int) -> WeightBudget:
        """Return this node's budget when ``node_count`` nodes share the rate evenly."""
        with self._lock:
            budget = self._budget_by_node_count.get(node_count)
            if budget is None:
                at_once = max(1, paced.at_once // node_count)
                budget = WeightBudget(Paced(paced.loads_per_s / node_count, at_once))
                self._budget_by_node_count[node_count] = budget
            return budget
