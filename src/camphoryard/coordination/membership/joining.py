"""Learning of other nodes, suspects and the configuration from peers."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.configuration.configuring import Configurator
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.messages import (
    ConfigurationOffer,
    ConfigurationWanted,
    Joined,
    JoinWanted,
    RecordsFound,
    RecordsWanted,
    VersionedRecord,
)
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.state.errors import PeerUnreachableError, StoreUnavailableError
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable

ASK_TIMEOUT_S = 2.0
GREETING_TIMEOUT_S = 0.5
JOIN_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class JoiningContext:
    """What the joining tasks work with."""

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
    """Asks peers for leases and configurations, one question of a kind at a time."""

    def __init__(self, parts: JoiningContext) -> None:
        self._parts = parts
        self._catching_up = threading.Lock()
        self._learning = threading.Lock()

    def run(self, timer: Timer) -> None:
        """Ask the seeds until this node has a configuration."""
        for _ in timer.every(JOIN_PERIOD_S):
            if self._parts.configuration.current.generation:
                return
            for seed in self._parts.seeds:
                if seed.node == self._parts.lease.node:
                    continue
                if self._parts.nodes.find(seed.node) is None:
                    self._parts.set_address(seed)
                self._learn(seed.node)
                self._take_records(seed.node)
                self._catch_up(seed.node)

    def catch_up(self, node: NodeId) -> None:
        """Take a newer configuration from ``node`` in a task of its own."""
        self._parts.executor.submit(self._catch_up, node)

    def fetch_leases(self, node: NodeId, zones: tuple[Zone, ...] = ()) -> None:
        """Learn of the nodes that ``node`` knows in a task of its own."""
        self._parts.executor.submit(self._learn, node, zones)

    def announce(
        self,
        node: NodeId,
        timeout_s: float = GREETING_TIMEOUT_S,
        zones: tuple[Zone, ...] = (),
    ) -> bool:
        """Make this node known to ``node`` and learn from it; return whether it did.

        ``zones`` bounds the leases that are asked for; empty asks for all.
        """
        wanted = JoinWanted(self._parts.lease, zones)
        try:
            reply = self._parts.peers.ask(node, wanted, timeout_s)
        except PeerUnreachableError:
            return False
        if not isinstance(reply, Joined):
            return False
        for lease in reply.leases:
            self._introduce(lease)
        self._parts.suspects.merge(reply.suspects)
        return True

    def joined(self, wanted: JoinWanted) -> Joined:
        """Take in a node that asks, and return what is known here."""
        self._introduce(wanted.lease)
        known = self._parts.nodes.all()
        if wanted.zones:
            known = tuple(lease for lease in known if lease.zone in wanted.zones)
        return Joined((self._parts.lease, *known), self._parts.suspects.known())

    def records(self) -> RecordsFound:
        """Return the endpoint records seen here."""
        table = self._parts.table
        return RecordsFound(
            tuple(
                VersionedRecord(record, table.version(endpoint))
                for endpoint, record in table.by_id().items()
            )
        )

    def _take_records(self, node: NodeId) -> None:
        """Learn where models are resident, which the object API may not tell now."""
        try:
            reply = self._parts.peers.ask(node, RecordsWanted(), ASK_TIMEOUT_S)
        except PeerUnreachableError:
            return
        if isinstance(reply, RecordsFound):
            for found in reply.records:
                self._parts.table.observe(found.record, found.version)

    def _catch_up(self, node: NodeId) -> None:
        if not self._catching_up.acquire(blocking=False):
            return
        try:
            self._take_from(node)
        finally:
            self._catching_up.release()

    def _take_from(self, node: NodeId) -> None:
        configurator = self._parts.configurator
        wanted = ConfigurationWanted(configurator.known_keys())
        try:
            reply = self._parts.peers.ask(node, wanted, ASK_TIMEOUT_S)
            if isinstance(reply, ConfigurationOffer):
                configurator.take_offer(reply)
                return
        except (PeerUnreachableError, StoreUnavailableError):
            pass
        try:
            self._parts.list_heads()
        except StoreUnavailableError:
            return

    def _learn(self, node: NodeId, zones: tuple[Zone, ...] = ()) -> None:
        if not self._learning.acquire(blocking=False):
            return
        try:
            self.announce(node, ASK_TIMEOUT_S, zones)
        finally:
            self._learning.release()

    def _introduce(self, lease: NodeLease) -> None:
        if self._parts.nodes.observe_forwarded(lease):
            self._parts.set_address(lease)
