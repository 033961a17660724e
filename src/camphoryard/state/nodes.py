"""Leases and digests of nodes, and the table of the live nodes."""

import math
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_limits import EndpointLimit
from camphoryard.state.endpoint_relay import EndpointRelay
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    ABSENT,
    EndpointId,
    FencingNumber,
    Fingerprint,
    Generation,
    Incarnation,
    ItemId,
    ModelId,
    NodeId,
    PromptPartId,
    Revision,
    Version,
    WriteId,
    Zone,
)
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.quotas import QuotaKind, QuotaRenewal, QuotaReport

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class NodeLease:
    """A node's durable lease; the node is alive while it renews the lease.

    ``ended`` lists the node's earlier incarnations that have provably ended,
    because this one has bound their address. ``host`` and ``port`` are that
    address; peers connect to the advertised address, if there is one. ``link_mbps``
    is the bandwidth of the VM's link in 1e6 bits a second, 0 if it is not known.
    """

    node: NodeId
    incarnation: Incarnation
    zone: Zone
    host: str
    port: int
    public_key: str
    state: NodeState
    lease_s: float
    write_id: WriteId
    ended: tuple[Incarnation, ...] = ()
    advertised_host: str = ""
    advertised_port: int = 0
    link_mbps: float = 0.0

    def __post_init__(self) -> None:
        for port in (self.port, self.advertised_port):
            if not 0 <= port <= MAX_PORT:
                raise ValueError(f"port {port} is not from 0 to {MAX_PORT}")
        for host in (self.host, self.advertised_host):
            if not (host.isascii() and host.isprintable()):
                raise ValueError(f"host {host!r} has control characters")
        if not 0 <= self.lease_s < math.inf:
            raise ValueError(f"a lease of {self.lease_s} s")


@dataclass(frozen=True, slots=True)
class NodeDigest:
    """State that a node gossips about itself, about every second.

    ``beat`` grows with each digest of one incarnation of the node. ``duty_term``
    is the term of its leadership, or 0 if it is not the leader. ``unloads_by_endpoint``
    are the models that a leader is having unloaded, which take no more requests.
    ``quarantine_s_by_parts`` are the sets of parts of prompts that are refused if they
    come together, ``quarantine_s_by_request`` the whole requests that are, both with
    the time left in seconds. ``leaving_by_endpoint`` are the listed endpoints that say
    they leave, with the time of their start. The quota reports tell the leader what the
    node holds of the limits of each kind; the renewals are the leader's answers.
    ``endpoints_revision`` is that of the node's view of the endpoints, ``relay`` what
    the receiver's view lacks. ``rules_version`` is that of the newest configuration
    object that a leader has read. ``limit_by_endpoint`` are the limits that listed
    endpoints have named, and those that have ended.
    """

    node: NodeId
    incarnation: Incarnation
    state: NodeState
    generation: Generation
    in_flight_by_endpoint: Mapping[EndpointId, int] = field(default_factory=dict)
    report_by_endpoint: Mapping[EndpointId, LoadReport] = field(default_factory=dict)
    beat: int = 0
    demand_by_item: Mapping[ItemId, ItemDemand] = field(default_factory=dict)
    duty_term: FencingNumber = FencingNumber(0)
    unloads_by_endpoint: Mapping[EndpointId, tuple[ModelId, ...]] = field(
        default_factory=dict
    )
    quarantine_s_by_parts: Mapping[frozenset[PromptPartId], float] = field(
        default_factory=dict
    )
    leaving_by_endpoint: Mapping[EndpointId, int] = field(default_factory=dict)
    quota_report_by_kind: Mapping[QuotaKind, QuotaReport] = field(default_factory=dict)
    quota_renewal_by_kind: Mapping[QuotaKind, QuotaRenewal] = field(
        default_factory=dict
    )
    endpoints_revision: Revision = Revision(0)
    relay: EndpointRelay | None = None
    rules_version: Version = Version(0)
    limit_by_endpoint: Mapping[EndpointId, EndpointLimit] = field(default_factory=dict)
    quarantine_s_by_request: Mapping[Fingerprint, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _ObservedLease:
    lease: NodeLease
    version: Version
    at_s: float


class NodeTable:
    """Leases by node, with the time of the last renewal on the local clock.

    A lease is alive for its duration after the last renewal that this node has
    observed, so clocks of different machines are never compared.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[NodeId, _ObservedLease] = {}
        self._digest_by_id: dict[NodeId, NodeDigest] = {}
        self._released: set[Incarnation] = set()
        self._left_s_by_id: dict[NodeId, float] = {}
        self._stored_incarnation_by_id: dict[NodeId, Incarnation] = {}
        self._superseded: set[Incarnation] = set()

    def observe(self, lease: NodeLease, version: Version) -> None:
        """Record a lease; an older or equal version changes nothing.

        Neither does that of an incarnation that the store has shown to be superseded,
        which it shows again if it is restored from an older copy.
        """
        with self._lock:
            if lease.incarnation in self._superseded:
                return
            known = self._by_id.get(lease.node)
            if known is not None and known.version >= version:
                return
            # A forwarded lease may be newer than the first one that the store shows.
            stored = self._stored_incarnation_by_id.get(lease.node)
            if stored is not None and stored != lease.incarnation:
                self._superseded.add(stored)
            self._stored_incarnation_by_id[lease.node] = lease.incarnation
            self._store(lease, version)

    def observe_forwarded(self, lease: NodeLease) -> bool:
        """Record a lease that a peer forwarded; return whether it was new.

        It neither replaces a lease that is alive nor revives an expired one of
        the same incarnation.
        """
        now_s = time.monotonic()
        with self._lock:
            known = self._by_id.get(lease.node)
            version = ABSENT
            if known is not None:
                alive = now_s - known.at_s < known.lease.lease_s
                if alive or known.lease.incarnation == lease.incarnation:
                    return False
                version = known.version
            self._store(lease, version)
            return True

    def observe_digest(self, digest: NodeDigest) -> bool:
        """Record a digest, which also renews the lease of its incarnation.

        Returns whether it was new: an older or equal beat changes nothing.
        """
        with self._lock:
            known = self._by_id.get(digest.node)
            if known is None or known.lease.incarnation != digest.incarnation:
                return False
            before = self._digest_by_id.get(digest.node)
            if before is not None and before.beat >= digest.beat:
                return False
            self._digest_by_id[digest.node] = digest
            self._store(known.lease, known.version)
            return True

    def _store(self, lease: NodeLease, version: Version) -> None:
        known = self._by_id.get(lease.node)
        if known is not None and known.lease.incarnation != lease.incarnation:
            self._digest_by_id.pop(lease.node, None)
        self._by_id[lease.node] = _ObservedLease(lease, version, time.monotonic())

    def has_lease(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether the recorded lease of ``node`` is of ``incarnation``."""
        with self._lock:
            known = self._by_id.get(node)
        return known is not None and known.lease.incarnation == incarnation

    def all(self) -> tuple[NodeLease, ...]:
        """Return all leases, expired ones too, sorted by node."""
        with self._lock:
            observed = list(self._by_id.values())
        return tuple(sorted((item.lease for item in observed), key=lambda x: x.node))

    def count_with_left(self, within_s: float) -> int:
        """Return the number of all nodes, and of those that left within some time."""
        since_s = time.monotonic() - within_s
        with self._lock:
            for node, left_s in tuple(self._left_s_by_id.items()):
                if left_s <= since_s:
                    del self._left_s_by_id[node]
            return len(self._by_id.keys() | self._left_s_by_id.keys())

    def mark_self_alive(self, node: NodeId) -> None:
        """Count this node itself as alive while it cannot renew its lease."""
        with self._lock:
            known = self._by_id.get(node)
            if known is not None:
                observed = _ObservedLease(known.lease, known.version, time.monotonic())
                self._by_id[node] = observed

    def confirm_alive_at(self, at_s_by_node: Mapping[NodeId, float]) -> None:
        """Count the recorded leases as renewed at these monotonic times."""
        with self._lock:
            for node, at_s in at_s_by_node.items():
                known = self._by_id.get(node)
                if known is not None and known.at_s < at_s:
                    self._by_id[node] = _ObservedLease(known.lease, known.version, at_s)

    def digest(self, node: NodeId) -> NodeDigest | None:
        """Return the last digest of ``node``, or None."""
        with self._lock:
            return self._digest_by_id.get(node)

    def forget(self, node: NodeId) -> None:
        """Remove a node whose lease was deleted, which only its holder does."""
        with self._lock:
            known = self._by_id.pop(node, None)
            if known is not None:
                self._released.add(known.lease.incarnation)
                self._left_s_by_id[node] = time.monotonic()
            self._digest_by_id.pop(node, None)

    def has_ended(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of ``node`` has provably ended."""
        with self._lock:
            known = self._by_id.get(node)
            is_superseded = known is not None and incarnation in known.lease.ended
            return is_superseded or incarnation in self._released

    def alive(self) -> tuple[NodeLease, ...]:
        """Return the leases that have not expired, sorted by node."""
        now_s = time.monotonic()
        with self._lock:
            observed = [
                item
                for item in self._by_id.values()
                if now_s - item.at_s < item.lease.lease_s
            ]
        return tuple(sorted((item.lease for item in observed), key=lambda x: x.node))

    def last_alive_age_s(self, node: NodeId) -> float | None:
        """Return the seconds since ``node`` was last confirmed alive, or None."""
        with self._lock:
            known = self._by_id.get(node)
        return None if known is None else time.monotonic() - known.at_s

    def find(self, node: NodeId) -> NodeLease | None:
        """Return the last lease of ``node``, expired or not, or None."""
        with self._lock:
            known = self._by_id.get(node)
        return known.lease if known else None
