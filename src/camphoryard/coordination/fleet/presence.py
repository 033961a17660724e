"""A node makes itself known in the store, and leaves it when it stops."""

import random
from typing import Protocol

from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.ports import Records, Stored, Timer
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, NodeId, ObjectKey, Version
from camphoryard.state.leadership import PeerKeys
from camphoryard.state.nodes import NodeLease, NodeTable

RETRY_PERIOD_S = 0.5
RETRY_SPREAD_S = 0.5
KEYS_KEY = ObjectKey("peers")


class PresenceKeeper:
    """Writes a node's entry once, and deletes it when the node stops."""

    def __init__(self, records: Records[NodeLease], log: DecisionLog) -> None:
        self._records = records
        self._log = log
        self._written: Stored[NodeLease] | None = None

    def run(self, timer: Timer, lease: NodeLease) -> None:
        """Try until the entry is written or the timer service closes."""
        for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_SPREAD_S):
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
            # Peers notice by the silence; the next start overwrites the entry.
            self._log("node_not_removed", error=str(error))

    def _write(self, lease: NodeLease) -> Version:
        stored = self._records.get(lease.node)
        version = stored.version if stored is not None else ABSENT
        return self._records.put(lease.node, lease, version)


def agree_on_keys(
    records: Records[PeerKeys], own: PeerKeys, timer: Timer
) -> PeerKeys | None:
    """Return the key pair that the fleet shares: the first one written.

    Blocks until the store answers; None if the timer service closes before.
    """
    for _ in timer.every(RETRY_PERIOD_S + random.random() * RETRY_SPREAD_S):
        try:
            stored = records.get(KEYS_KEY)
            if stored is not None and stored.record is not None:
                return stored.record
            records.put(KEYS_KEY, own, ABSENT)
            return own
        except (ConflictError, StoreUnavailableError):
            # Another node was faster, or the store is out: look again.
            continue
    return None


class PeerBook(Protocol):
    """Where peers are reached."""

    def know(self, lease: NodeLease) -> None:
        """Send to a peer at the place in its lease."""

    def forget(self, node: NodeId) -> None:
        """Send to a peer no more."""


def take_lease(nodes: NodeTable, peers: PeerBook, stored: Stored[NodeLease]) -> None:
    """Take in a node's entry, or its end."""
    if stored.record is None:
        node = NodeId(stored.key)
        nodes.forget(node)
        peers.forget(node)
        return
    nodes.observe(stored.record, stored.version)
    peers.know(stored.record)
