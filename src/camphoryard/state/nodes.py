"""Nodes of the system and the table of those that are alive."""

import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.demand import ItemDemand
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    ABSENT,
    EndpointId,
    FencingNumber,
    Generation,
    Incarnation,
    ItemId,
    NodeId,
    Version,
    WriteId,
    Zone,
)
from camphoryard.state.load_reports import LoadReport


@dataclass(frozen=True, slots=True)
class NodeLease:
    """A node's durable lease; it counts as alive while the lease is renewed.

    ``ended`` names earlier starts of the node that are proved to be over, since
    this start has bound the address that they had bound. ``host`` and ``port``
    are that address; peers connect to the advertised one, if there is one.
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


@dataclass(frozen=True, slots=True)
class NodeDigest:
    """What a node tells its peers about itself every second or so.

    ``beat`` grows with each digest of one start of the node. ``duty_term`` is the
    term in which it orders engines, or 0.
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


@dataclass(frozen=True, slots=True)
class _Seen:
    lease: NodeLease
    version: Version
    at_s: float


class NodeTable:
    """Leases by node, each dated by this node's own monotonic clock.

    A lease is alive while a renewal was seen within its length, so clocks of
    different machines are never compared.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[NodeId, _Seen] = {}
        self._digest_by_id: dict[NodeId, NodeDigest] = {}
        self._released: set[Incarnation] = set()

    def observe(self, lease: NodeLease, version: Version) -> None:
        """Take in a lease; an older or equal version changes nothing."""
        with self._lock:
            known = self._by_id.get(lease.node)
            if known is not None and known.version >= version:
                return
            self._take(lease, version)

    def observe_forwarded(self, lease: NodeLease) -> bool:
        """Take in a lease that a peer passed on; return whether it was news.

        It stands back behind a lease seen in the object API that is alive.
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
            self._take(lease, version)
            return True

    def heard(self, digest: NodeDigest) -> bool:
        """Take in a digest, which counts like a renewal of the same start.

        Returns whether it was news: an older or equal beat changes nothing.
        """
        with self._lock:
            known = self._by_id.get(digest.node)
            if known is None or known.lease.incarnation != digest.incarnation:
                return False
            before = self._digest_by_id.get(digest.node)
            if before is not None and before.beat >= digest.beat:
                return False
            self._digest_by_id[digest.node] = digest
            self._take(known.lease, known.version)
            return True

    def _take(self, lease: NodeLease, version: Version) -> None:
        known = self._by_id.get(lease.node)
        if known is not None and known.lease.incarnation != lease.incarnation:
            self._digest_by_id.pop(lease.node, None)
        self._by_id[lease.node] = _Seen(lease, version, time.monotonic())

    def has_lease(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether a lease of this start of ``node`` was seen."""
        with self._lock:
            known = self._by_id.get(node)
        return known is not None and known.lease.incarnation == incarnation

    def all(self) -> tuple[NodeLease, ...]:
        """Return all leases seen, lapsed or not, sorted by node."""
        with self._lock:
            seen = list(self._by_id.values())
        return tuple(sorted((item.lease for item in seen), key=lambda x: x.node))

    def mark_self_alive(self, node: NodeId) -> None:
        """Count this node itself as alive while its lease cannot be renewed."""
        with self._lock:
            known = self._by_id.get(node)
            if known is not None:
                seen = _Seen(known.lease, known.version, time.monotonic())
                self._by_id[node] = seen

    def confirm_alive_at(self, at_s_by_node: Mapping[NodeId, float]) -> None:
        """Count known starts of nodes as renewed at these monotonic times."""
        with self._lock:
            for node, at_s in at_s_by_node.items():
                known = self._by_id.get(node)
                if known is not None and known.at_s < at_s:
                    self._by_id[node] = _Seen(known.lease, known.version, at_s)

    def digest(self, node: NodeId) -> NodeDigest | None:
        """Return the last digest heard of ``node``."""
        with self._lock:
            return self._digest_by_id.get(node)

    def forget(self, node: NodeId) -> None:
        """Drop a node whose lease was deleted, which only its own start does."""
        with self._lock:
            known = self._by_id.pop(node, None)
            if known is not None:
                self._released.add(known.lease.incarnation)
            self._digest_by_id.pop(node, None)

    def has_ended(self, node: NodeId, incarnation: Incarnation) -> bool:
        """Return whether this start of ``node`` is proved to be over."""
        with self._lock:
            known = self._by_id.get(node)
            is_followed = known is not None and incarnation in known.lease.ended
            return is_followed or incarnation in self._released

    def alive(self) -> tuple[NodeLease, ...]:
        """Return the leases not yet lapsed, sorted by node."""
        now_s = time.monotonic()
        with self._lock:
            seen = [
                item
                for item in self._by_id.values()
                if now_s - item.at_s < item.lease.lease_s
            ]
        return tuple(sorted((item.lease for item in seen), key=lambda x: x.node))

    def last_alive_age_s(self, node: NodeId) -> float | None:
        """Return how long ago ``node`` was last seen alive, or None if never."""
        with self._lock:
            known = self._by_id.get(node)
        return None if known is None else time.monotonic() - known.at_s

    def find(self, node: NodeId) -> NodeLease | None:
        """Return the last lease seen of ``node``, alive or not."""
        with self._lock:
            known = self._by_id.get(node)
        return known.lease if known else None
