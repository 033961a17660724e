"""The weight store's rate, shared out by grants before loads start.

One node, found by rendezvous hashing, holds the budget and gives out start times.
A node that cannot reach it paces itself by its own even share.
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
ASK_TIMEOUT_S = 0.5
LONGEST_WAIT_S = 10.0
LONGEST_BACKGROUND_WAIT_S = 0.5
LOAD_HOLD_S = 1.0
KEPT_FOR_URGENT = 1


@dataclass(frozen=True, slots=True)
class Unpaced:
    """Start loads at once; the weight store makes them wait."""


@dataclass(frozen=True, slots=True)
class Paced:
    """Start at most ``loads_per_s``, and hold at most ``at_once``."""

    loads_per_s: float
    at_once: int


BudgetPolicy: TypeAlias = Unpaced | Paced


class WeightBudget:
    """Start times for loads, at the node that holds the budget.

    An urgent load reserves the next start; a background load is granted only
    if it may start soon and leaves room for an urgent one.
    """

    def __init__(
        self, policy: Paced, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._lock = threading.Lock()
        self._next_start_s = clock()
        self._ends_s: list[float] = []

    def ask(self, urgent: bool) -> float | None:
        """Return in how many seconds a load may start, or None if it may not."""
        with self._lock:
            now_s = self._clock()
            self._ends_s = [end_s for end_s in self._ends_s if end_s > now_s]
            start_s = max(now_s, self._next_start_s, self._free_s(urgent, now_s))
            longest_s = LONGEST_WAIT_S if urgent else LONGEST_BACKGROUND_WAIT_S
            if start_s - now_s > longest_s:
                return None
            self._next_start_s = start_s + 1 / self._policy.loads_per_s
            self._ends_s.append(start_s + LOAD_HOLD_S)
            return start_s - now_s

    def _free_s(self, urgent: bool, now_s: float) -> float:
        """Return when few enough loads are under way, on the clock."""
        kept = 0 if urgent else KEPT_FOR_URGENT
        limit = max(1, self._policy.at_once - kept)
        ends_s = sorted(self._ends_s)
        return ends_s[-limit] if len(ends_s) >= limit else now_s


class WeightBudgetClient:
    """Asks the holder of the budget, here or at a peer, for grants."""

    def __init__(
        self, policy: BudgetPolicy, node: NodeId, nodes: NodeTable, peers: Peers
    ) -> None:
        self._policy = policy
        self._node = node
        self._nodes = nodes
        self._peers = peers
        self._budget_by_share: dict[int, WeightBudget] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def ask(self, urgent: bool) -> float | None:
        """Return in how many seconds a load may start, or None if not now."""
        match self._policy:
            case Unpaced():
                return 0.0
            case Paced() as paced:
                return self._ask_holder(paced, urgent)

    def wait_for_urgent_start(self) -> None:
        """Block until an urgent load may start, or for so long that it may anyhow."""
        start_in_s = self.ask(urgent=True)
        if start_in_s is None:
            start_in_s = LONGEST_WAIT_S
        self.pause(start_in_s)

    def pause(self, start_in_s: float) -> None:
        """Block until a granted load may start."""
        self._closed.wait(start_in_s)

    def close(self) -> None:
        """Let every waiting load go."""
        self._closed.set()

    def grant(self, urgent: bool) -> Reply:
        """Answer a peer that takes this node for the holder."""
        match self._policy:
            case Unpaced():
                return LoadGrant(0.0)
            case Paced() as paced:
                start_in_s = self._budget(paced, 1).ask(urgent)
        if start_in_s is None:
            return Declined("the weight store is busy")
        return LoadGrant(start_in_s)

    def _ask_holder(self, paced: Paced, urgent: bool) -> float | None:
        serving = [
            lease.node
            for lease in self._nodes.alive()
            if lease.state is NodeState.SERVING
        ]
        if not serving or rendezvous_owner(BUDGET_KEY, serving) == self._node:
            return self._budget(paced, 1).ask(urgent)
        holder = rendezvous_owner(BUDGET_KEY, serving)
        try:
            reply = self._peers.ask(holder, LoadGrantRequest(urgent), ASK_TIMEOUT_S)
        except PeerUnreachableError:
            return self._budget(paced, len(serving)).ask(urgent)
        return reply.start_in_s if isinstance(reply, LoadGrant) else None

    def _budget(self, paced: Paced, nodes: int) -> WeightBudget:
        """Return this node's budget of an even share among ``nodes``."""
        with self._lock:
            known = self._budget_by_share.get(nodes)
            if known is None:
                at_once = max(1, paced.at_once // nodes)
                known = WeightBudget(Paced(paced.loads_per_s / nodes, at_once))
                self._budget_by_share[nodes] = known
            return known
