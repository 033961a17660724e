"""Hands this node's counts of refusals to other nodes as they come.

One message to each holder carries whatever was counted since the last one, so
that their number does not grow with the refusals.
"""

import threading
import time
from collections.abc import Iterable, Sequence

from camphoryard.coordination.messages import Done, RefusalCountsCopy
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.refusals.refusals import RefusalCounter
from camphoryard.coordination.residency.ownership import rendezvous_owner
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import Incarnation, NodeId, Zone
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCounts

HOLDERS = 2
HANDOVER_PERIOD_S = 1.0
HANDOVER_PAUSE_S = 0.1
REPLY_TIMEOUT_S = 0.5
PASSED_OVER_S = 5.0


class RefusalReplicator:
    """Hands counts to peers in other zones, and to others when they are silent."""

    def __init__(
        self,
        node: NodeId,
        zone: Zone,
        counter: RefusalCounter,
        nodes: NodeTable,
        peers: Peers,
    ) -> None:
        self._node = node
        self._zone = zone
        self._counter = counter
        self._nodes = nodes
        self._peers = peers
        self._number_by_holder: dict[Incarnation, int] = {}
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
        """Have each holder know all counts; return whether one was sent any.

        A new holder, or the same one started anew, gets all that the object
        API does not have.
        """
        number = self._counter.number
        number_by_holder: dict[Incarnation, int] = {}
        holders: list[NodeLease] = []
        was_sent = False
        while len(holders) < HOLDERS and (holder := self._choose(holders)) is not None:
            held_number = self._number_by_holder.get(holder.incarnation, 0)
            unhanded = self._counter.unhanded(held_number)
            if unhanded is not None:
                if not self._ask(holder.node, unhanded.sheet):
                    until_s = time.monotonic() + PASSED_OVER_S
                    self._passed_over_until_s[holder.node] = until_s
                    continue
                held_number = unhanded.number
                was_sent = True
            number_by_holder[holder.incarnation] = held_number
            holders.append(holder)
        self._number_by_holder = number_by_holder
        self._counter.handed(number)
        return was_sent

    def transfer(self, sheets: Iterable[RefusalCounts]) -> bool:
        """Hand over what this node still counted, and what it holds of others.

        A stopping node does so with what it could not write itself.

        Returns
        -------
        bool
            Whether some peer has each of them now.
        """
        self.hand_over()
        is_own_held = not self._counter.unfolded().counts or self._number_by_holder
        return bool(is_own_held) and all([self._pass_on(sheet) for sheet in sheets])

    def _pass_on(self, sheet: RefusalCounts) -> bool:
        """Hand a sheet to as many peers as hold one; return whether any took it."""
        asked: list[NodeLease] = []
        holders = 0
        while holders < HOLDERS and (peer := self._choose(asked)) is not None:
            asked.append(peer)
            holders += self._ask(peer.node, sheet)
        return holders > 0

    def _choose(self, holders: Sequence[NodeLease]) -> NodeLease | None:
        """Return another peer to hold this node's counts, or None.

        It is one in a zone that has none yet, if there is such a zone.
        """
        now_s = time.monotonic()
        taken = {self._node, *(lease.node for lease in holders)}
        zones = {self._zone, *(lease.zone for lease in holders)}
        free = [
            lease
            for lease in self._candidates()
            if lease.node not in taken
            and self._passed_over_until_s.get(lease.node, 0.0) <= now_s
        ]
        elsewhere = [lease for lease in free if lease.zone not in zones]
        peer_by_id = {lease.node: lease for lease in elsewhere or free}
        if not peer_by_id:
            return None
        return peer_by_id[rendezvous_owner(f"refusals/{self._node}", list(peer_by_id))]

    def _candidates(self) -> Sequence[NodeLease]:
        """Return the live peers, or all known ones if none is heard.

        A node that was paused hears of nobody at first.
        """
        alive = self._nodes.alive()
        if any(lease.node != self._node for lease in alive):
            return alive
        return self._nodes.all()

    def _ask(self, holder: NodeId, sheet: RefusalCounts) -> bool:
        try:
            reply = self._peers.ask(holder, RefusalCountsCopy(sheet), REPLY_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return isinstance(reply, Done)
