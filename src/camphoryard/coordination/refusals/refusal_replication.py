"""Replicates this node's refusal counts to other nodes.

One message to each replica carries everything counted since the last one, so that
the number of messages does not grow with the number of refusals.
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

REPLICAS = 2
REPLICATION_PERIOD_S = 1.0
REPLICATION_PAUSE_S = 0.1
REPLY_TIMEOUT_S = 0.5
UNRESPONSIVE_PEER_SKIP_S = 5.0


class RefusalReplicator:
    """Replicates counts to peers, preferring other zones and responsive peers."""

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
        self._number_by_replica: dict[Incarnation, int] = {}
        self._skipped_until_s: dict[NodeId, float] = {}
        self._pause = threading.Event()

    def run(self, timer: Timer) -> None:
        """Replicate after each refusal until the timer service closes."""
        ticks = timer.every(REPLICATION_PERIOD_S)
        self._counter.subscribe(ticks.wake)
        for _ in ticks:
            if self.replicate():
                self._pause.wait(REPLICATION_PAUSE_S)

    def replicate(self) -> bool:
        """Send each replica the counts it lacks; return whether any were sent.

        A new or restarted replica is sent all counts that are not persisted in the
        object API.
        """
        number = self._counter.number
        number_by_replica: dict[Incarnation, int] = {}
        replicas: list[NodeLease] = []
        has_sent = False
        while (
            len(replicas) < REPLICAS and (replica := self._choose(replicas)) is not None
        ):
            replicated_number = self._number_by_replica.get(replica.incarnation, 0)
            unreplicated = self._counter.unreplicated(replicated_number)
            if unreplicated is not None:
                if not self._send(replica.node, unreplicated.refusal_counts):
                    until_s = time.monotonic() + UNRESPONSIVE_PEER_SKIP_S
                    self._skipped_until_s[replica.node] = until_s
                    continue
                replicated_number = unreplicated.number
                has_sent = True
            number_by_replica[replica.incarnation] = replicated_number
            replicas.append(replica)
        self._number_by_replica = number_by_replica
        self._counter.mark_replicated(number)
        return has_sent

    def transfer(self, copies: Iterable[RefusalCounts]) -> bool:
        """Replicate this node's counts and ``copies`` of other nodes' counts.

        A stopping node does so with the counts that it could not persist.

        Returns
        -------
        bool
            Whether at least one peer has each of them.
        """
        self.replicate()
        is_own_replicated = (
            not self._counter.unpersisted().counts or self._number_by_replica
        )
        return bool(is_own_replicated) and all(
            [self._transfer(refusal_counts) for refusal_counts in copies]
        )

    def _transfer(self, refusal_counts: RefusalCounts) -> bool:
        """Send counts to up to ``REPLICAS`` peers; return whether any accepted them."""
        contacted: list[NodeLease] = []
        replicas = 0
        while replicas < REPLICAS and (peer := self._choose(contacted)) is not None:
            contacted.append(peer)
            replicas += self._send(peer.node, refusal_counts)
        return replicas > 0

    def _choose(self, replicas: Sequence[NodeLease]) -> NodeLease | None:
        """Return another peer as a replica, or None.

        Peers in a zone without a replica are preferred.
        """
        now_s = time.monotonic()
        taken = {self._node, *(lease.node for lease in replicas)}
        zones = {self._zone, *(lease.zone for lease in replicas)}
        free = [
            lease
            for lease in self._candidates()
            if lease.node not in taken
            and self._skipped_until_s.get(lease.node, 0.0) <= now_s
        ]
        elsewhere = [lease for lease in free if lease.zone not in zones]
        peer_by_id = {lease.node: lease for lease in elsewhere or free}
        if not peer_by_id:
            return None
        return peer_by_id[rendezvous_owner(f"refusals/{self._node}", list(peer_by_id))]

    def _candidates(self) -> Sequence[NodeLease]:
        """Return the live nodes, or all known ones if no peer is known to be alive.

        After a process pause the leases of all peers appear expired at first.
        """
        alive = self._nodes.alive()
        if any(lease.node != self._node for lease in alive):
            return alive
        return self._nodes.all()

    def _send(self, replica: NodeId, refusal_counts: RefusalCounts) -> bool:
        try:
            reply = self._peers.request(
                replica, RefusalCountsCopy(refusal_counts), REPLY_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return isinstance(reply, Done)
