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
MAX_ENDED_INCARNATIONS = 16


def rendezvous_owner(item: str, nodes: Sequence[NodeId]) -> NodeId:
    """Return the node with the highest hash for ``item``.

    When a node joins or leaves, only that node's share of the items moves.
    """
    return max(
        nodes, key=lambda node: (xxh3_64_intdigest(f"{node}/{item}".encode()), node)
    )


def owner_of(endpoint: EndpointId, nodes: NodeTable) -> NodeId | None:
    """Return the live, serving node that should own ``endpoint``, or None.

    An isolated node owns it only if all other candidates are isolated too.
    """
    for state in (NodeState.SERVING, NodeState.ISOLATED):
        found = [lease.node for lease in nodes.alive() if lease.state is state]
        if found:
            return rendezvous_owner(endpoint, found)
    return None


def lease_length_s(min_length_s: float, nodes: int) -> float:
    """Return the lease length, in s, that bounds the renewal rate of a large fleet."""
    return max(min_length_s, RENEWALS_PER_LEASE * nodes / FLEET_RENEWALS_PER_S)


class NodeLeaseRenewer:
    """Renews this node's lease in the object API.

    The lease length in ``lease`` is the minimum; it grows with the number of nodes.

    Parameters
    ----------
    records : Records of NodeLease
        Leases in the object API.
    nodes : NodeTable
        Updated at each renewal.
    lease : NodeLease
        Initial lease.
    is_isolated : callable
        Whether this node hears from too few others to receive load requests.
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
        self._min_length_s = lease.lease_s
        self._length_s = lease.lease_s
        self._renewed_s = float("-inf")
        self._version: Version = ABSENT

    def run(self, timer: Timer) -> None:
        """Renew until the timer service closes."""
        for _ in timer.every(self._min_length_s / RENEWALS_PER_LEASE):
            if self.is_due():
                self.renew()

    def is_due(self) -> bool:
        """Return whether the next tick would be too late to renew."""
        period_s = self._length_s / RENEWALS_PER_LEASE
        tick_s = self._min_length_s / RENEWALS_PER_LEASE
        return time.monotonic() - self._renewed_s > period_s - tick_s

    def renew(self) -> None:
        """Renew once; after an outage or a conflict the next tick tries again."""
        try:
            try:
                self._write()
            except ConflictError:
                self._refresh()
                self._write()
        except (ConflictError, StoreUnavailableError):
            self._nodes.mark_self_alive(self._lease.node)

    def set_state(self, state: NodeState) -> None:
        """Write a new state of this node to its lease."""
        self._lease = replace(self._lease, state=state)
        self.renew()

    def release(self) -> None:
        """Delete the lease, so that other nodes take over at once."""
        try:
            self._records.delete(self._lease.node, self._version)
        except (ConflictError, StoreUnavailableError):
            return

    def _write(self) -> None:
        started_s = time.monotonic()
        length_s = lease_length_s(self._min_length_s, len(self._nodes.all()))
        lease = replace(
            self._lease,
            state=self._state(),
            write_id=WriteId(uuid4().hex),
            lease_s=length_s,
        )
        self._version = write_resolved(self._records, lease.node, lease, self._version)
        self._length_s = length_s
        self._renewed_s = started_s
        self._nodes.observe(lease, self._version)

    def _state(self) -> NodeState:
        state = self._lease.state
        if state is NodeState.SERVING and self._is_isolated():
            return NodeState.ISOLATED
        return state

    def _refresh(self) -> None:
        stored = self._records.get(self._lease.node)
        self._version = stored.version if stored else ABSENT
        if stored is not None and stored.record is not None:
            self._mark_ended(stored.record)

    def _mark_ended(self, previous: NodeLease) -> None:
        """Mark a previous incarnation as ended if this one has bound its address."""
        lease = self._lease
        if previous.incarnation == lease.incarnation:
            return
        if (previous.host, previous.port) != (lease.host, lease.port):
            return
        ended = (*previous.ended, previous.incarnation)[-MAX_ENDED_INCARNATIONS:]
        self._lease = replace(lease, ended=ended)
