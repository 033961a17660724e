"""Registration of a node in the store, and its removal when the node stops."""

import random
import threading
import time
from collections.abc import Callable
from typing import Protocol

from camphoryard.coordination.fleet.fleet_gossip import GossipTopology, Mesh, Star
from camphoryard.coordination.ports import DecisionLog, Records, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, NodeId, ObjectKey
from camphoryard.state.leadership import PeerKeys
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.store_eras import FIRST_ERA, NewestEra

RETRY_PERIOD_S = 0.5
RETRY_JITTER_S = 0.5
STAR_WATCH_PERIODS = 8
"""Periods between two watches of the nodes by a node of a large fleet."""
PEER_KEYS_KEY = ObjectKey("peers")
RESTORE_CHECK_PERIOD_S = 0.5
"""Period in which a node checks whether the store has reported a restore."""
KEYS_GRACE_S = 6.0
"""Time in which running nodes learn of a restore of the store and write the keys
again."""


class NodeRegistration:
    """Writes a node's entry, and deletes it when the node stops."""

    def __init__(self, records: Records[NodeLease], log: DecisionLog) -> None:
        self._records = records
        self._log = log
        self._lock = threading.Lock()
        self._written: Stored[NodeLease] | None = None
        self._has_left = False

    def run(self, timer: Timer, lease: NodeLease) -> None:
        """Retry until the entry is written or the timer service closes."""
        for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_JITTER_S):
            try:
                self.enter(lease)
                return
            except (ConflictError, StoreUnavailableError) as error:
                self._log("node_not_entered", error=str(error))

    def enter(self, lease: NodeLease) -> None:
        """Write the entry unless the store has it, or the node has left.

        Raises
        ------
        ConflictError, StoreUnavailableError
            As the records raise them.
        """
        with self._lock:
            if self._has_left:
                return
            stored = self._records.get(lease.node)
            if stored is None or stored.record != lease:
                version = stored.version if stored is not None else ABSENT
                version = self._records.put(lease.node, lease, version)
                stored = Stored(ObjectKey(lease.node), version, lease)
                self._log("node_entered", version=version)
            self._written = stored

    def leave(self) -> None:
        """Delete the entry, if it was written."""
        with self._lock:
            self._has_left = True
            if self._written is None:
                return
            try:
                self._records.delete(self._written.key, self._written.version)
            except (ConflictError, StoreUnavailableError) as error:
                # Peers detect the stop by missing heartbeats; the next start
                # overwrites the entry.
                self._log("node_not_removed", error=str(error))


def agree_on_keys(
    records: Records[PeerKeys],
    own: PeerKeys,
    timer: Timer,
    has_fleet: bool = False,
    clock: Callable[[], float] = time.monotonic,
) -> PeerKeys | None:
    """Return the key pair that the fleet shares, which is the first one written.

    Blocks until the store answers. Returns None if the timer service closes first.

    Parameters
    ----------
    has_fleet : bool
        Whether other nodes may be running. If the store has no keys then, it may have
        lost them, and those nodes have `KEYS_GRACE_S` from its first answer to write
        them again.
    """
    grace_s = KEYS_GRACE_S if has_fleet else 0.0
    waits_until_s: float | None = None
    for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_JITTER_S):
        try:
            stored = records.get(PEER_KEYS_KEY)
            if stored is not None and stored.record is not None:
                return stored.record
            if waits_until_s is None:
                waits_until_s = clock() + grace_s
            if stored is None and clock() < waits_until_s:
                continue
            # A record that nobody can read is replaced.
            version = stored.version if stored is not None else ABSENT
            records.put(PEER_KEYS_KEY, own, version)
            return own
        except (ConflictError, StoreUnavailableError):
            # Another node wrote its keys first, or the store is unavailable: retry.
            continue
    return None


def restore_keys(
    records: Records[PeerKeys], in_use: PeerKeys, log: DecisionLog
) -> None:
    """Write the fleet's key pair again if the store has lost it.

    Raises
    ------
    ConflictError, StoreUnavailableError
        As the records raise them.
    """
    stored = records.get(PEER_KEYS_KEY)
    if stored is None or stored.record is None:
        version = stored.version if stored is not None else ABSENT
        records.put(PEER_KEYS_KEY, in_use, version)
        log("keys_restored")
    elif stored.record != in_use:
        # Nodes with these keys cannot talk to this one until one side is restarted.
        log("keys_differ")


def run_after_restores(
    timer: Timer, newest_era: NewestEra, rewrite: Callable[[], None], log: DecisionLog
) -> None:
    """Call ``rewrite`` after each restore of the store until the timer closes.

    The first era that the store reports counts as well, since the store may have been
    restored after the records were first written.
    """
    rewritten = FIRST_ERA
    for _ in timer.every(RESTORE_CHECK_PERIOD_S):
        era = newest_era.current
        if era == rewritten:
            continue
        try:
            rewrite()
            rewritten = era
        except (ConflictError, StoreUnavailableError) as error:
            log("records_not_restored", error=str(error))


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
