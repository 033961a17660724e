"""Gossip of load, demand and leadership between nodes, several times per second.

In a small fleet every node sends its digest to every other node. In a large fleet all
nodes send to the leader, which sends each of them the sum of the others. The number of
messages then grows linearly with the number of nodes instead of quadratically.
"""

import math
import time
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.fleet.endpoint_relaying import EndpointRelaying
from camphoryard.coordination.fleet.quota_sharing import QuotaSharing
from camphoryard.coordination.leadership.leader_lease import LEASE_S
from camphoryard.coordination.messages import DigestWithAge, Gossip
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.coordination.routing.endpoint_limits import EndpointLimits
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.demand import ItemDemand
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_relay import EndpointRelay
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Generation,
    Incarnation,
    ItemId,
    ModelId,
    NodeId,
    Revision,
    Version,
)
from camphoryard.state.nodes import NodeDigest, NodeTable
from camphoryard.state.quotas import QuotaKind, QuotaRenewal, QuotaReport
from camphoryard.state.tables import InFlightTable

GOSSIP_PERIOD_S = 0.25
"""Period in which a node sends to all peers in a small fleet, and the leader to some of
them in a large one."""
STAR_REPORT_PERIODS = 2
"""Periods between two messages of a node to the leader in a large fleet."""
MAX_MESH_NODES = 13
"""Largest fleet in which all nodes send to all others. In larger fleets on the grown
test sites, this took most of a node's processor time."""
PEERS_PER_PERIOD = 64
"""Peers that the leader sends to in one period; larger fleets are served in rotation.
In the largest planned fleet, 330 nodes, each node is reached before it takes the leader
for unresponsive."""
STANDBY_NODES = 2
"""Nodes that watch whether the leader renews its lease."""
MAX_STANDBY_DOUBLINGS = 8
"""Limit on doublings of the standby nodes. The number doubles for each lease duration
without a digest of a leader; after the last doubling all nodes watch."""


@dataclass(frozen=True, slots=True)
class Mesh:
    """Every node sends to every other node."""


@dataclass(frozen=True, slots=True)
class Star:
    """Every node sends to the leader, which sends to each of the others."""


GossipTopology: TypeAlias = Mesh | Star


class RulesAnnouncements(Protocol):
    """The versions of the configuration that this node reads and hears of."""

    @property
    def position(self) -> Version:
        """Version of the newest configuration object that this node has read."""

    def hear(self, announced: Version) -> None:
        """Record the one that a leader has read."""


def relay_period_s(nodes: int) -> float:
    """Return the period in which the leader of a star of ``nodes`` sends to each."""
    return GOSSIP_PERIOD_S * math.ceil(nodes / PEERS_PER_PERIOD)


def gossip_topology(nodes: int) -> GossipTopology:
    """Return the gossip topology of a fleet of ``nodes`` nodes.

    Examples
    --------
    >>> gossip_topology(9)
    Mesh()
    """
    return Mesh() if nodes <= MAX_MESH_NODES else Star()


class FleetGossip:
    """Sends this node's digest to peers and records theirs.

    Parameters
    ----------
    term : callable
        Returns this node's term as the leader, or 0.
    unloads_by_endpoint : callable
        Returns the models that this node, as the leader, is having unloaded.
    on_unloads : callable
        Called with those that the leader reports.
    crashed_parts : CrashedParts
        Parts of prompts that are quarantined, which nodes that start learn from peers.
    crashes : CrashCounter
        Whole requests that are quarantined, which they learn the same way.
    directory : Directory
        Endpoints, some of which have said to one node that they leave.
    limits : EndpointLimits or None
        Limits that some of them have named to one node.
    quotas : collection of QuotaSharing
        Limits of each kind, of whose parts nodes and the leader tell each other.
    relaying : EndpointRelaying or None
        Changes of endpoints that the leader of a star passes on; None without.
    rules : RulesAnnouncements or None
        The configuration that the leader of a star announces; None without.
    link_mbps : float
        Bandwidth of this node's link, in 1e6 bits a second.
    """

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
        unloads_by_endpoint: Callable[[], Mapping[EndpointId, tuple[ModelId, ...]]],
        on_unloads: Callable[[Mapping[EndpointId, tuple[ModelId, ...]]], None],
        crashed_parts: CrashedParts,
        crashes: CrashCounter,
        directory: Directory,
        clock: Callable[[], float] = time.monotonic,
        quotas: Collection[QuotaSharing] = (),
        relaying: EndpointRelaying | None = None,
        rules: RulesAnnouncements | None = None,
        link_mbps: float = 0.0,
        limits: EndpointLimits | None = None,
    ) -> None:
        self._limits = limits
        self._rules = rules
        self._relaying = relaying
        self._link_mbps = link_mbps
        self._node = node
        self._incarnation = incarnation
        self._nodes = nodes
        self._peers = peers
        self._in_flight = in_flight
        self._demand = demand
        self._estimates = estimates
        self._term = term
        self._unloads_by_endpoint = unloads_by_endpoint
        self._on_unloads = on_unloads
        self._crashed_parts = crashed_parts
        self._crashes = crashes
        self._directory = directory
        self._clock = clock
        self._quotas = quotas
        self._beat = 0
        self._rotation = 0
        self._leader_observed_s = clock()

    def run(self, timer: Timer) -> None:
        """Send digests periodically until the timer service closes."""
        for _ in timer.every(GOSSIP_PERIOD_S):
            self.send_round()

    def send_round(self) -> None:
        """Send to the peers that are due in this period."""
        self._demand.sample()
        self._beat += 1
        leader = self.leader()
        if leader == self._node:
            for quotas in self._quotas:
                quotas.report_to_self(self._beat)
        match self.topology():
            case Mesh():
                self._send_to_all(leader)
            case Star() if leader == self._node:
                self._send_sums()
            case Star() if leader is not None and self._beat % STAR_REPORT_PERIODS == 0:
                if self._relaying is not None:
                    self._relaying.record_sent(self._beat)
                self._send_digest(
                    leader,
                    self._in_flight.by_id(),
                    self._demand.by_item(),
                    self._quota_reports(leader),
                )

    def receive(self, gossip: Gossip) -> None:
        """Record the digest of a peer."""
        digest = gossip.digests[0].digest
        if not self._nodes.observe_digest(digest):
            return
        if digest.quarantine_s_by_parts:
            self._crashed_parts.adopt(digest.quarantine_s_by_parts)
        if digest.quarantine_s_by_request:
            self._crashes.adopt(digest.quarantine_s_by_request)
        for endpoint, started_ms in digest.leaving_by_endpoint.items():
            self._directory.record_leaving(endpoint, started_ms)
        if self._limits is not None and digest.limit_by_endpoint:
            self._limits.adopt(digest.limit_by_endpoint)
        for quotas in self._quotas:
            quotas.receive(digest)
        if digest.duty_term:
            self._leader_observed_s = self._clock()
            self._on_unloads(digest.unloads_by_endpoint)
        if self._relaying is not None and self.topology() == Star():
            self._relaying.receive(digest)
        if self._rules is not None and self.topology() == Star():
            self._rules.hear(digest.rules_version)
        if not self._term() or self.topology() == Mesh():
            self._estimates.refresh()

    def size(self) -> int:
        """Return the number of nodes."""
        return len(self._nodes.all())

    def is_leader(self) -> bool:
        """Return whether this node is the leader."""
        return self.leader() == self._node

    def topology(self) -> GossipTopology:
        """Return how the fleet gossips at its present size."""
        return gossip_topology(self.size())

    def _send_to_all(self, leader: NodeId | None) -> None:
        """Send to all peers; demand, most of the bytes, is sent only to the leader."""
        in_flight = self._in_flight.by_id()
        for node in self._known_peers():
            if node == leader:
                demand, reports = self._demand.by_item(), self._quota_reports(node)
                self._send_digest(node, in_flight, demand, reports)
            else:
                self._send_digest(node, in_flight, {})

    def _send_sums(self) -> None:
        """Send to each peer the summed in-flight requests of all other nodes."""
        self._estimates.refresh()
        digests = [self._nodes.digest(lease.node) for lease in self._nodes.alive()]
        in_flight_by_node = {
            digest.node: digest.in_flight_by_endpoint
            for digest in digests
            if digest is not None
        }
        in_flight_by_node[self._node] = self._in_flight.by_id()
        total: Counter[EndpointId] = Counter()
        for counts in in_flight_by_node.values():
            total.update(counts)
        for node in self._next_peers():
            others = Counter(total)
            others.subtract(in_flight_by_node.get(node, {}))
            relay = None
            if self._relaying is not None:
                relay = self._relaying.relay_for(node, self._nodes.digest(node))
            in_flight = {id: n for id, n in others.items() if n > 0}
            self._send_digest(node, in_flight, {}, relay=relay)

    def _send_digest(
        self,
        node: NodeId,
        in_flight: Mapping[EndpointId, int],
        demand: Mapping[ItemId, ItemDemand],
        reports: Mapping[QuotaKind, QuotaReport] | None = None,
        relay: EndpointRelay | None = None,
    ) -> None:
        term = self._term()
        digest = NodeDigest(
            self._node,
            self._incarnation,
            NodeState.SERVING,
            Generation(0),
            in_flight,
            beat=self._beat,
            demand_by_item=demand,
            duty_term=term,
            unloads_by_endpoint=self._unloads_by_endpoint() if term else {},
            quarantine_s_by_parts=self._crashed_parts.quarantine_s_by_parts(),
            leaving_by_endpoint=self._directory.leaving_by_endpoint(),
            quota_report_by_kind=reports or {},
            quota_renewal_by_kind=self._quota_renewals(node) if term else {},
            endpoints_revision=(
                self._relaying.position if self._relaying else Revision(0)
            ),
            relay=relay,
            rules_version=self._rules.position if self._rules and term else Version(0),
            limit_by_endpoint=self._limits.by_endpoint() if self._limits else {},
            quarantine_s_by_request=self._crashes.quarantine_s_by_request(),
        )
        self._peers.send(node, Gossip(self._beat, (DigestWithAge(digest, 0.0),)))

    def _quota_reports(self, leader: NodeId) -> Mapping[QuotaKind, QuotaReport]:
        digest = self._nodes.digest(leader)
        if digest is None:
            return {}
        reports = (
            (item.kind, item.report(leader, digest.duty_term, self._beat))
            for item in self._quotas
        )
        return {kind: report for kind, report in reports if report is not None}

    def _quota_renewals(self, node: NodeId) -> Mapping[QuotaKind, QuotaRenewal]:
        lease = self._nodes.find(node)
        if lease is None:
            return {}
        renewals = (
            (item.kind, item.renewal(node, lease.incarnation)) for item in self._quotas
        )
        return {kind: renewal for kind, renewal in renewals if renewal is not None}

    def leader(self) -> NodeId | None:
        """Return the leader according to the digests of peers, or None."""
        terms = {self._node: self._term()}
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is not None and lease.node != self._node:
                terms[lease.node] = digest.duty_term
        node = max(terms, key=lambda item: terms[item])
        return node if terms[node] else None

    def newest_term(self) -> FencingNumber:
        """Return the newest term in the digests of peers, or 0."""
        digests = (self._nodes.digest(lease.node) for lease in self._nodes.alive())
        terms = (digest.duty_term for digest in digests if digest is not None)
        return max(terms, default=FencingNumber(0))

    def is_standby(self) -> bool:
        """Return whether this node watches the leader's lease.

        Only some nodes do, so that reads of the lease do not grow with the fleet. The
        longer no leader is observed, the more nodes watch, because the standby nodes
        may have failed too. In a star they are the nodes with the fastest links, as
        the leader sends to all others.
        """
        match self.topology():
            case Mesh():
                link_mbps_by_node = {item.node: 0.0 for item in self._nodes.alive()}
                watching = STANDBY_NODES
            case Star():
                link_mbps_by_node = {
                    item.node: item.link_mbps for item in self._nodes.all()
                }
                elapsed_leases = (self._clock() - self._leader_observed_s) / LEASE_S
                watching = STANDBY_NODES << min(
                    int(elapsed_leases), MAX_STANDBY_DOUBLINGS
                )
        link_mbps_by_node.setdefault(self._node, self._link_mbps)
        link_mbps_by_node.pop(self.leader() or NodeId(""), None)
        in_order = sorted(
            link_mbps_by_node,
            key=lambda node: (-link_mbps_by_node[node], _standby_order(node)),
        )
        return self._node in in_order[:watching]

    def _known_peers(self) -> list[NodeId]:
        return [item.node for item in self._nodes.all() if item.node != self._node]

    def _next_peers(self) -> list[NodeId]:
        peers = self._known_peers()
        if len(peers) <= PEERS_PER_PERIOD:
            return peers
        start = self._rotation % len(peers)
        self._rotation += PEERS_PER_PERIOD
        return (peers + peers)[start : start + PEERS_PER_PERIOD]


def _standby_order(node: NodeId) -> int:
    return xxh3_64_intdigest(f"standby/{node}".encode())
