"""Hands this node's counts of refusals to another node as they come.

One message carries whatever was counted since the last one, so that their
number does not grow with the refusals.
"""

import threading
import time

from camphoryard.coordination.messages import Done, RefusalsCounted
from camphoryard.coordination.ownership import rendezvous_owner
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.refusals import RefusalCounter
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import Incarnation, NodeId
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalSheet

HANDOVER_PERIOD_S = 1.0
HANDOVER_PAUSE_S = 0.1
REPLY_TIMEOUT_S = 0.2
PASSED_OVER_S = 5.0


class RefusalHandover:
    """Hands counts to one peer, and to the next one when it does not reply."""

    def __init__(
        self, node: NodeId, counter: RefusalCounter, nodes: NodeTable, peers: Peers
    ) -> None:
        self._node = node
        self._counter = counter
        self._nodes = nodes
        self._peers = peers
        self._holder: Incarnation | None = None
        self._passed_over_until_s: dict[NodeId, float] = {}
        self._pause = threading.Event()

    def run(self, timer: Timer) -> None:
        """Hand over after each refusal until the timer service closes."""
        ticks = timer.every(HANDOVER_PERIOD_S)
        self._counter.subscribe(ticks.wake)
        for _ in ticks:
            if self.hand_over():
                self._pause.wait(HANDOVER_PAUSE_S)

    def hand_over(self) -> bool:
        """Hand over what is not yet; return whether there was anything.

        A new holder, or the same one started anew, gets all that the object
        API does not have.
        """
        while (holder := self._choose()) is not None:
            if holder.incarnation != self._holder:
                self._counter.hand_all_again()
                self._holder = holder.incarnation
            unhanded = self._counter.unhanded()
            if unhanded is None:
                return False
            if self._ask(holder.node, unhanded.sheet):
                self._counter.handed(unhanded.number)
                return True
            self._passed_over_until_s[holder.node] = time.monotonic() + PASSED_OVER_S
        self._counter.give_up_handing()
        return False

    def _choose(self) -> NodeLease | None:
        """Return the peer to hold this node's counts."""
        now_s = time.monotonic()
        peer_by_id = {
            lease.node: lease
            for lease in self._nodes.alive()
            if lease.node != self._node
            and self._passed_over_until_s.get(lease.node, 0.0) <= now_s
        }
        if not peer_by_id:
            return None
        return peer_by_id[rendezvous_owner(f"refusals/{self._node}", list(peer_by_id))]

    def _ask(self, holder: NodeId, sheet: RefusalSheet) -> bool:
        try:
            reply = self._peers.ask(holder, RefusalsCounted(sheet), REPLY_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return isinstance(reply, Done)
