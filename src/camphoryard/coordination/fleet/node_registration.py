"""Registration of a node in the store, and its removal when the node stops."""

import random
from typing import Protocol

from camphoryard.coordination.fleet.fleet_gossip import GossipTopology, Mesh, Star
from camphoryard.coordination.ports import DecisionLog, Records, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, NodeId, ObjectKey, Version
from camphoryard.state.leadership import PeerKeys
from camphoryard.state.nodes import NodeLease, NodeTable

RETRY_PERIOD_S = 0.5
RETRY_JITTER_S = 0.5
STAR_WATCH_PERIODS = 8
"""Periods between two watches of the nodes by a node of a large fleet."""
PEER_KEYS_KEY = ObjectKey("peers")


class NodeRegistration:
    """Writes a node's entry once and deletes it when the node stops."""

    def __init__(self, records: Records[NodeLease], log: DecisionLog) -> None:
        self._records = records
        self._log = log
        self._written: Stored[NodeLease] | None = None

    def run(self, timer: Timer, lease: NodeLease) -> None:
        """Retry until the entry is written or the timer service closes."""
        for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_JITTER_S):
            try:
                version = self._write(lease)
                self._written = Stored(ObjectKey(lease.node), version, lease)
                self._log("node_entered", version=version)
                return
            except (ConflictError, StoreUnavailableError) as error:
                self._log("node_not_entered", error=str(error))

    def leave(self) -> None:
        """Delete the entry, if it was written."""
        if self._written is None:
            return
        try:
            self._records.delete(self._written.key, self._written.version)
        except (ConflictError, StoreUnavailableError) as error:
            # Peers detect the stop by missing heartbeats; the next start overwrites
            # the entry.
            self._log("node_not_removed", error=str(error))

    def _write(self, lease: NodeLease) -> Version:
        stored = self._records.get(lease.node)
        version = stored.version if stored is not None else ABSENT
        return self._records.put(lease.node, lease, version)


def agree_on_keys(
    records: Records[PeerKeys], own: PeerKeys, timer: Timer
) -> PeerKeys | None:
    """Return the key pair that the fleet shares, which is the first one written.

    Blocks until the store answers. Returns None if the timer service closes first.
    """
    for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_JITTER_S):
        try:
            stored = records.get(PEER_KEYS_KEY)
            if stored is not None and stored.record is not None:
                return stored.record
            # A record that nobody can read is replaced.
            version = stored.version if stored is not None else ABSENT
            records.put(PEER_KEYS_KEY, own, version)
            return own
        except (ConflictError, StoreUnavailableError):
            # Another node wrote its keys first, or the store is unavailable: retry.
            continue
    return None


def is_node_watch_due(
    topology: GossipTopology, node: NodeId, leader: NodeId | None, period: int
) -> bool:
    """Return whether ``node`` fetches the changes of nodes in a period.

    In a large fleet only the leader needs them soon, to gossip with new nodes, and a
    node that knows no leader: if all fetched each start, the calls of a restart would
    grow with the square of the fleet.
    """
    match topology:
        case Mesh():
            return True
        case Star():
            return leader in (None, node) or period % STAR_WATCH_PERIODS == 0


class PeerAddresses(Protocol):
    """Addresses of peers."""

    def set_address(self, lease: NodeLease) -> None:
        """Send to a peer at the address in its lease."""

    def forget(self, node: NodeId) -> None:
        """Stop sending to a peer."""


def apply_lease(
    nodes: NodeTable, peers: PeerAddresses, stored: Stored[NodeLease]
) -> None:
    """Apply a node's entry or its removal."""
    if stored.record is None:
        node = NodeId(stored.key)
        nodes.forget(node)
        peers.forget(node)
        return
    nodes.observe(stored.record, stored.version)
    peers.set_address(stored.record)
