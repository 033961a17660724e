"""Node leases, and which node owns which endpoint."""

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from uuid import uuid4

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.ports import Records, Timer
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, EndpointId, NodeId, Version, WriteId
from camphoryard.state.nodes import NodeLease, NodeTable

RENEWALS_PER_LEASE = 4
FLEET_RENEWALS_PER_S = 60.0
KEPT_ENDED = 16


def rendezvous_owner(item: str, nodes: Sequence[NodeId]) -> NodeId:
    """Return the node with the highest hash for ``item``.

    When a node comes or goes, only its own share of the items moves.
    """
    return max(
        nodes, key=lambda node: (xxh3_64_intdigest(f"{node}/{item}".encode()), node)
    )


def owner_of(endpoint: EndpointId, nodes: NodeTable) -> NodeId | None:
    """Return the live, serving node that should own ``endpoint``.

    An isolated one owns it only if every other is isolated too.
    """
    for state in (NodeState.SERVING, NodeState.ISOLATED):
        found = [lease.node for lease in nodes.alive() if lease.state is state]
        if found:
            return rendezvous_owner(endpoint, found)
    return None


def lease_length_s(least_s: float, nodes: int) -> float:
    """Return how long a lease lasts, so that a large fleet's renewals stay bounded."""
    return max(least_s, RENEWALS_PER_LEASE * nodes / FLEET_RENEWALS_PER_S)


class NodeLeaseRenewer:
    """Keeps this node's lease in the object API renewed.

    The length in ``lease`` is the least one; it grows with the number of nodes.

    Parameters
    ----------
    records : Records of NodeLease
        The leases in the object API.
    nodes : NodeTable
        Told of each renewal.
    lease : NodeLease
        The lease to begin with.
    is_isolated : callable
        Whether this node hears too few others to be asked for loads by them.
    """

    def __init__(
        self,
        records: Records[NodeLease],
        nodes: NodeTable,
        lease: NodeLease,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._is_isolated = is_isolated
        self._records = records
        self._nodes = nodes
        self._lease = lease
        self._least_s = lease.lease_s
        self._length_s = lease.lease_s
        self._renewed_s = float("-inf")
        self._version: Version = ABSENT

    def run(self, timer: Timer) -> None:
        """Renew until the timer service closes."""
        for _ in timer.every(self._least_s / RENEWALS_PER_LEASE):
            if self.is_due():
                self.renew()

    def is_due(self) -> bool:
        """Return whether a tick from now would be too late to renew."""
        period_s = self._length_s / RENEWALS_PER_LEASE
        tick_s = self._least_s / RENEWALS_PER_LEASE
        return time.monotonic() - self._renewed_s > period_s - tick_s

    def renew(self) -> None:
        """Renew once; an outage is met by trying again at the next tick."""
        try:
            try:
                self._write()
            except ConflictError:
                self._reread()
                self._write()
        except (ConflictError, StoreUnavailableError):
            self._nodes.mark_self_alive(self._lease.node)

    def enter(self, state: NodeState) -> None:
        """Say in the lease what this node is doing now."""
        self._lease = replace(self._lease, state=state)
        self.renew()

    def release(self) -> None:
        """Delete the lease, so that others take over at once."""
        try:
            self._records.delete(self._lease.node, self._version)
        except (ConflictError, StoreUnavailableError):
            return

    def _write(self) -> None:
        asked_s = time.monotonic()
        length_s = lease_length_s(self._least_s, len(self._nodes.all()))
        lease = replace(
            self._lease,
            state=self._state(),
            write_id=WriteId(uuid4().hex),
            lease_s=length_s,
        )
        self._version = write_resolved(self._records, lease.node, lease, self._version)
        self._length_s = length_s
        self._renewed_s = asked_s
        self._nodes.observe(lease, self._version)

    def _state(self) -> NodeState:
        state = self._lease.state
        if state is NodeState.SERVING and self._is_isolated():
            return NodeState.ISOLATED
        return state

    def _reread(self) -> None:
        stored = self._records.get(self._lease.node)
        self._version = stored.version if stored else ABSENT
        if stored is not None and stored.record is not None:
            self._follow(stored.record)

    def _follow(self, earlier: NodeLease) -> None:
        """Name an earlier start as ended if this one has bound its address."""
        lease = self._lease
        if earlier.incarnation == lease.incarnation:
            return
        if (earlier.host, earlier.port) != (lease.host, lease.port):
            return
        ended = (*earlier.ended, earlier.incarnation)[-KEPT_ENDED:]
        self._lease = replace(lease, ended=ended)
