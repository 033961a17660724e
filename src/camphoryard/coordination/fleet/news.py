"""Each node tells the others its load and demand, several times a second."""

from collections.abc import Callable
from dataclasses import replace

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.messages import Gossip, HeardDigest
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import FencingNumber, Generation, Incarnation, NodeId
from camphoryard.state.nodes import NodeDigest, NodeTable
from camphoryard.state.tables import InFlightTable

NEWS_PERIOD_S = 0.25
"""How often a node tells its peers in a small fleet."""
STANDBYS = 2
"""Nodes that watch whether the holder of the duty renews it."""
PEERS_PER_PERIOD = 12
"""Peers told in one period; larger fleets are told in turn, each less often."""


class NewsTeller:
    """Tells peers this node's digest and takes in theirs."""

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        nodes: NodeTable,
        peers: Peers,
        in_flight: InFlightTable,
        demand: DemandMeter,
        estimates: LoadEstimates,
        term: Callable[[], FencingNumber],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._nodes = nodes
        self._peers = peers
        self._in_flight = in_flight
        self._demand = demand
        self._estimates = estimates
        self._term = term
        self._beat = 0
        self._turn = 0

    def run(self, timer: Timer) -> None:
        """Tell until the timer service closes."""
        for _ in timer.every(NEWS_PERIOD_S):
            self.tell()

    def tell(self) -> None:
        """Tell the peers whose turn it is."""
        self._demand.sample()
        self._beat += 1
        brief = NodeDigest(
            self._node,
            self._incarnation,
            NodeState.SERVING,
            Generation(0),
            self._in_flight.by_id(),
            beat=self._beat,
            duty_term=self._term(),
        )
        full = replace(brief, demand_by_item=self._demand.by_item())
        holder = self.holder()
        for node in self._next_peers():
            # Only who orders engines needs the demand, most of a digest's bytes.
            digest = full if node == holder else brief
            self._peers.tell(node, Gossip(self._beat, (HeardDigest(digest, 0.0),)))

    def heard(self, gossip: Gossip) -> None:
        """Take in the digest of a peer."""
        if self._nodes.heard(gossip.digests[0].digest):
            self._estimates.refresh()

    def holder(self) -> NodeId | None:
        """Return the node that has the duty, as far as peers tell."""
        terms = {self._node: self._term()}
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is not None and lease.node != self._node:
                terms[lease.node] = digest.duty_term
        node = max(terms, key=lambda item: terms[item])
        return node if terms[node] else None

    def newest_term(self) -> FencingNumber:
        """Return the newest term that peers tell of, or 0."""
        digests = (self._nodes.digest(lease.node) for lease in self._nodes.alive())
        terms = (digest.duty_term for digest in digests if digest is not None)
        return max(terms, default=FencingNumber(0))

    def stands_by(self) -> bool:
        """Return whether this node watches the holder of the duty.

        Some nodes do, so that reads of its record do not grow with the fleet.
        """
        nodes = {item.node for item in self._nodes.alive()} | {self._node}
        nodes.discard(self.holder() or NodeId(""))
        ranked = sorted(nodes, key=_standby_rank)
        return self._node in ranked[:STANDBYS]

    def _next_peers(self) -> list[NodeId]:
        peers = [item.node for item in self._nodes.all() if item.node != self._node]
        if len(peers) <= PEERS_PER_PERIOD:
            return peers
        start = self._turn % len(peers)
        self._turn += PEERS_PER_PERIOD
        return (peers + peers)[start : start + PEERS_PER_PERIOD]


def _standby_rank(node: NodeId) -> int:
    return xxh3_64_intdigest(f"standby/{node}".encode())
