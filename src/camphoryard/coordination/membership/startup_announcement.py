"""Announcement of a node that has just started to its live peers."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor

from camphoryard.coordination.ports import Timer
from camphoryard.state.ids import NodeId
from camphoryard.state.nodes import NodeTable

ANNOUNCEMENT_PERIOD_S = 0.1
ANNOUNCEMENT_TIMEOUT_S = 2.0
MAX_ANNOUNCED_PEERS = 16


class StartupAnnouncer:
    """Announces this node once to each live peer.

    It is done when a peer has answered and none is left, or after a timeout: the
    node may be alone, or all the leases it reads may belong to dead nodes.

    Parameters
    ----------
    node : NodeId
        This node.
    nodes : NodeTable
        The known nodes.
    announce : callable
        Announce this node to a peer; return whether the peer answered.
    executor : Executor
        Runs the announcements.
    done : callable
        Called once, when the announcement is done.
    clock : callable
        Return monotonic time, in seconds.
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
        self._announce = announce
        self._executor = executor
        self._done = done
        self._clock = clock
        self._announced: set[NodeId] = set()
        self._answered = threading.Event()

    def run(self, timer: Timer) -> None:
        """Announce this node to peers as they become known, until done."""
        deadline_s = self._clock() + ANNOUNCEMENT_TIMEOUT_S
        for _ in timer.every(ANNOUNCEMENT_PERIOD_S):
            if self.announce_to_new_peers() or self._clock() >= deadline_s:
                break
        self._done()

    def announce_to_new_peers(self) -> bool:
        """Announce this node to new live peers.

        Returns whether no peer was left and one has answered.
        """
        new = self._new_peers()
        if new:
            self._announced.update(new)
            answers = self._executor.map(self._announce, new)
            if any(list(answers)):
                self._answered.set()
            return False
        return self._answered.is_set()

    def _new_peers(self) -> list[NodeId]:
        alive = [lease.node for lease in self._nodes.alive()]
        new = [node for node in alive if node not in {self._node, *self._announced}]
        return new[: MAX_ANNOUNCED_PEERS - len(self._announced)]
