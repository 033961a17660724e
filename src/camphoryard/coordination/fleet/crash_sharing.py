"""Sharing of crash reports among the nodes of a fleet.

A node that reports to all others needs a task and a connection for each of them. When
endpoints crash in a large fleet, many nodes report at once, so there the reports go
by way of the leader, which is connected to all nodes anyway.
"""

from collections.abc import Callable

from camphoryard.coordination.fleet.fleet_gossip import Mesh, Star, gossip_topology
from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.ports import DecisionLog, Peers
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.state.ids import NodeId
from camphoryard.state.nodes import NodeTable

MILLISECONDS_PER_SECOND = 1000


class CrashSharing:
    """Sends this node's crash reports to peers and records theirs.

    Parameters
    ----------
    leader : callable
        Returns the node that leads, or None.
    """

    def __init__(
        self,
        node: NodeId,
        nodes: NodeTable,
        peers: Peers,
        crashes: CrashCounter,
        crashed_parts: CrashedParts,
        leader: Callable[[], NodeId | None],
        log: DecisionLog,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._peers = peers
        self._crashes = crashes
        self._crashed_parts = crashed_parts
        self._leader = leader
        self._log = log

    def send(self, report: CrashReport) -> None:
        """Send a report of a crash that this node observed."""
        leader = self._leader()
        match gossip_topology(len(self._nodes.all())):
            case Star() if leader is None:
                # This node still counts the crash; its peers count those they see.
                self._log("crash_not_shared", fingerprint=report.fingerprint)
            case Star() if leader != self._node:
                assert leader is not None
                self._peers.send(leader, report)
            case _:
                self._send_to_all(report)

    def receive(self, report: CrashReport) -> None:
        """Record a peer's report; the leader of a large fleet passes a new one on."""
        is_new = not self._crashes.has_observed(
            report.fingerprint, report.endpoint, report.started_ms
        )
        crashes = self._crashes.observe(
            report.fingerprint,
            report.endpoint,
            report.started_ms,
            report.service,
            _answered_ago_s(report),
        )
        self._crashed_parts.observe(report)
        self._log(
            "crash_told",
            fingerprint=report.fingerprint,
            endpoint=report.endpoint,
            crashes=crashes,
        )
        match gossip_topology(len(self._nodes.all())):
            case Star() if is_new and self._leader() == self._node:
                self._send_to_all(report)
            case Star() | Mesh():
                pass

    def _send_to_all(self, report: CrashReport) -> None:
        for lease in self._nodes.all():
            if lease.node != self._node:
                self._peers.send(lease.node, report)


def _answered_ago_s(report: CrashReport) -> float | None:
    if report.answered_ms is None:
        return None
    return report.answered_ms / MILLISECONDS_PER_SECOND
