"""Fetching of node leases, suspects and the configuration from peers."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    JoinReply,
    JoinRequest,
    RecordsReply,
    RecordsRequest,
    VersionedRecord,
)
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.state.errors import PeerUnreachableError, StoreUnavailableError
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable

REQUEST_TIMEOUT_S = 2.0
ANNOUNCE_TIMEOUT_S = 0.5
JOIN_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class JoiningContext:
    """Collaborators of the joining tasks."""

    lease: NodeLease
    seeds: Sequence[NodeLease]
    nodes: NodeTable
    peers: Peers
    set_address: Callable[[NodeLease], None]
    configurator: Configurator
    configuration: ConfigurationHolder
    table: EndpointTable
    list_heads: Callable[[], object]
    suspects: Suspects
    executor: Executor


class Joiner:
    """Fetches leases and configurations from peers, one request of a kind at a time."""

    def __init__(self, context: JoiningContext) -> None:
        self._context = context
        self._catch_up_lock = threading.Lock()
        self._lease_fetch_lock = threading.Lock()

    def run(self, timer: Timer) -> None:
        """Send requests to the seeds until this node has a configuration."""
        for _ in timer.every(JOIN_PERIOD_S):
            if self._context.configuration.current.generation:
                return
            for seed in self._context.seeds:
                if seed.node == self._context.lease.node:
                    continue
                if self._context.nodes.find(seed.node) is None:
                    self._context.set_address(seed)
                self._fetch_leases(seed.node)
                self._fetch_records(seed.node)
                self._catch_up(seed.node)

    def catch_up(self, node: NodeId) -> None:
        """Fetch a newer configuration from ``node`` in a background task."""
        self._context.executor.submit(self._catch_up, node)

    def fetch_leases(self, node: NodeId, zones: tuple[Zone, ...] = ()) -> None:
        """Fetch the leases that ``node`` knows in a background task.

        ``zones`` limits the leases that are requested; empty requests all.
        """
        self._context.executor.submit(self._fetch_leases, node, zones)

    def announce(
        self,
        node: NodeId,
        timeout_s: float = ANNOUNCE_TIMEOUT_S,
        zones: tuple[Zone, ...] = (),
    ) -> bool:
        """Send this node's lease to ``node``; merge the leases and suspects returned.

        ``zones`` limits the leases that are requested; empty requests all. Returns
        whether ``node`` answered within ``timeout_s``.
        """
        request = JoinRequest(self._context.lease, zones)
        try:
            reply = self._context.peers.request(node, request, timeout_s)
        except PeerUnreachableError:
            return False
        if not isinstance(reply, JoinReply):
            return False
        for lease in reply.leases:
            self._merge_lease(lease)
        self._context.suspects.merge(reply.suspects)
        return True

    def handle_join(self, request: JoinRequest) -> JoinReply:
        """Add the requesting node; return the leases and suspects known here."""
        self._merge_lease(request.lease)
        leases = self._context.nodes.all()
        if request.zones:
            leases = tuple(lease for lease in leases if lease.zone in request.zones)
        return JoinReply((self._context.lease, *leases), self._context.suspects.known())

    def records(self) -> RecordsReply:
        """Return the endpoint records known here, with their versions."""
        table = self._context.table
        return RecordsReply(
            tuple(
                VersionedRecord(record, table.version(endpoint))
                for endpoint, record in table.by_id().items()
            )
        )

    def _fetch_records(self, node: NodeId) -> None:
        """Fetch endpoint records from a peer; the object API may be unavailable."""
        try:
            reply = self._context.peers.request(
                node, RecordsRequest(), REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        if isinstance(reply, RecordsReply):
            for found in reply.records:
                self._context.table.observe(found.record, found.version)

    def _catch_up(self, node: NodeId) -> None:
        if not self._catch_up_lock.acquire(blocking=False):
            return
        try:
            self._fetch_configuration(node)
        finally:
            self._catch_up_lock.release()

    def _fetch_configuration(self, node: NodeId) -> None:
        configurator = self._context.configurator
        request = ConfigurationRequest(configurator.known_keys())
        try:
            reply = self._context.peers.request(node, request, REQUEST_TIMEOUT_S)
            if isinstance(reply, ConfigurationOffer):
                configurator.apply_offer(reply)
                return
        except (PeerUnreachableError, StoreUnavailableError):
            pass
        try:
            self._context.list_heads()
        except StoreUnavailableError:
            return

    def _fetch_leases(self, node: NodeId, zones: tuple[Zone, ...] = ()) -> None:
        if not self._lease_fetch_lock.acquire(blocking=False):
            return
        try:
            self.announce(node, REQUEST_TIMEOUT_S, zones)
        finally:
            self._lease_fetch_lock.release()

    def _merge_lease(self, lease: NodeLease) -> None:
        if self._context.nodes.observe_forwarded(lease):
            self._context.set_address(lease)
