"""Makes a node that has just started known to live peers, and learns from them."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor

from camphoryard.coordination.ports import Timer
from camphoryard.state.ids import NodeId
from camphoryard.state.nodes import NodeTable

GREETING_PERIOD_S = 0.1
GREETING_LIMIT_S = 2.0
MAX_GREETED = 16


class StartupAnnouncer:
    """Greets each live peer once; ``announce`` tells whether the peer answered.

    ``done`` is called when one has answered and none is left, or after a limit,
    since a node may be alone or all the leases it sees may be of dead nodes.
    """

    def __init__(
        self,
        node: NodeId,
        nodes: NodeTable,
        announce: Callable[[NodeId], bool],
        executor: Executor,
        done: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._greet = announce
        self._executor = executor
        self._done = done
        self._clock = clock
        self._greeted: set[NodeId] = set()
        self._answered = threading.Event()

    def run(self, timer: Timer) -> None:
        """Greet peers as they become known until done."""
        limit_s = self._clock() + GREETING_LIMIT_S
        for _ in timer.every(GREETING_PERIOD_S):
            if self.greet_new() or self._clock() >= limit_s:
                break
        self._done()

    def greet_new(self) -> bool:
        """Greet the live peers not greeted yet; return whether that was all."""
        new = self._new()
        if new:
            self._greeted.update(new)
            answers = self._executor.map(self._greet, new)
            if any(list(answers)):
                self._answered.set()
            return False
        return self._answered.is_set()

    def _new(self) -> list[NodeId]:
        alive = [lease.node for lease in self._nodes.alive()]
        new = [node for node in alive if node not in {self._node, *self._greeted}]
        return new[: MAX_GREETED - len(self._greeted)]
