"""Each node tells the others its load and demand, several times a second.

In a small fleet every node tells every other one. In a large one all tell the holder
of the duty, which tells each what the others told it: messages then grow with the
number of nodes, not with its square.
"""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.leadership.leader_lease import LEASE_S
from camphoryard.coordination.messages import Gossip, HeardDigest
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.demand import ItemDemand
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Generation,
    Incarnation,
    ItemId,
    NodeId,
)
from camphoryard.state.nodes import NodeDigest, NodeTable
from camphoryard.state.tables import InFlightTable

NEWS_PERIOD_S = 0.25
"""How often a node tells its peers in a small fleet, and the holder of the duty some
of them in a large one."""
STAR_PERIODS = 2
"""Periods between two messages of a node to the holder of the duty in a large fleet."""
MESH_NODES = 13
"""The largest fleet in which all tell all: beyond, news took most of a node's
processor time on the grown sites."""
PEERS_PER_PERIOD = 64
"""Peers that the holder tells in one period; more are told in turn. The largest fleet
planned, 330 nodes, is told within the time after which a peer counts as silent."""
STANDBYS = 2
"""Nodes that watch whether the holder of the duty renews it."""
MAX_DOUBLINGS = 8
"""Of the standbys, one for each lease without news of a holder; then all watch."""


@dataclass(frozen=True, slots=True)
class Mesh:
    """Every node tells every other one."""


@dataclass(frozen=True, slots=True)
class Star:
    """Every node tells the holder of the duty, which tells each of the others."""


NewsPaths: TypeAlias = Mesh | Star


def news_paths(nodes: int) -> NewsPaths:
    """Return how news go round in a fleet of so many nodes.

    Examples
    --------
    >>> news_paths(9)
    Mesh()
    """
    return Mesh() if nodes <= MESH_NODES else Star()


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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._nodes = nodes
        self._peers = peers
        self._in_flight = in_flight
        self._demand = demand
        self._estimates = estimates
        self._term = term
        self._clock = clock
        self._beat = 0
        self._turn = 0
        self._holder_heard_s = clock()

    def run(self, timer: Timer) -> None:
        """Tell until the timer service closes."""
        for _ in timer.every(NEWS_PERIOD_S):
            self.tell()

    def tell(self) -> None:
        """Tell the peers whose turn it is."""
        self._demand.sample()
        self._beat += 1
        holder = self.holder()
        match self._paths():
            case Mesh():
                self._tell_peers(holder)
            case Star() if holder == self._node:
                self._tell_sums()
            case Star() if holder is not None and self._beat % STAR_PERIODS == 0:
                self._tell(holder, self._in_flight.by_id(), self._demand.by_item())

    def heard(self, gossip: Gossip) -> None:
        """Take in the digest of a peer."""
        digest = gossip.digests[0].digest
        if not self._nodes.heard(digest):
            return
        if digest.duty_term:
            self._holder_heard_s = self._clock()
        if not self._term() or self._paths() == Mesh():
            self._estimates.refresh()

    def _paths(self) -> NewsPaths:
        return news_paths(len(self._nodes.all()))

    def _tell_peers(self, holder: NodeId | None) -> None:
        """Tell all peers; the demand, most of the bytes, only who orders engines."""
        in_flight = self._in_flight.by_id()
        for node in self._peers_known():
            demand = self._demand.by_item() if node == holder else {}
            self._tell(node, in_flight, demand)

    def _tell_sums(self) -> None:
        """Tell peers what this node and the others that told it have in flight."""
        self._estimates.refresh()
        digests = [self._nodes.digest(lease.node) for lease in self._nodes.alive()]
        in_flight_by_node = {
            digest.node: digest.in_flight_by_endpoint
            for digest in digests
            if digest is not None
        }
        in_flight_by_node[self._node] = self._in_flight.by_id()
        total: Counter[EndpointId] = Counter()
        for part in in_flight_by_node.values():
            total.update(part)
        for node in self._next_peers():
            others = Counter(total)
            others.subtract(in_flight_by_node.get(node, {}))
            self._tell(node, {id: n for id, n in others.items() if n > 0}, {})

    def _tell(
        self,
        node: NodeId,
        in_flight: Mapping[EndpointId, int],
        demand: Mapping[ItemId, ItemDemand],
    ) -> None:
        digest = NodeDigest(
            self._node,
            self._incarnation,
            NodeState.SERVING,
            Generation(0),
            in_flight,
            beat=self._beat,
            demand_by_item=demand,
            duty_term=self._term(),
        )
        self._peers.tell(node, Gossip(self._beat, (HeardDigest(digest, 0.0),)))

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

        Some nodes do, so that reads of its record do not grow with the fleet; the
        longer no holder is heard the more of them, as those may be gone as well.
        """
        match self._paths():
            case Mesh():
                nodes = {item.node for item in self._nodes.alive()}
                watching = STANDBYS
            case Star():
                nodes = {item.node for item in self._nodes.all()}
                silent_leases = (self._clock() - self._holder_heard_s) / LEASE_S
                watching = STANDBYS << min(int(silent_leases), MAX_DOUBLINGS)
        nodes.add(self._node)
        nodes.discard(self.holder() or NodeId(""))
        return self._node in sorted(nodes, key=_standby_rank)[:watching]

    def _peers_known(self) -> list[NodeId]:
        return [item.node for item in self._nodes.all() if item.node != self._node]

    def _next_peers(self) -> list[NodeId]:
        peers = self._peers_known()
        if len(peers) <= PEERS_PER_PERIOD:
            return peers
        start = self._turn % len(peers)
        self._turn += PEERS_PER_PERIOD
        return (peers + peers)[start : start + PEERS_PER_PERIOD]


def _standby_rank(node: NodeId) -> int:
    return xxh3_64_intdigest(f"standby/{node}".encode())
