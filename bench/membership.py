"""Cost and speed of spreading news, on real sockets, many nodes to a process.

``heard`` is the share of pairs of which one surely heard of the other within
the 14 s for which a word lasts; more than half is needed in an outage.
Run ``python -m bench.membership --sizes 10,20,40,80``. Bytes are those of the
frames; CURVE, TCP and IP add about 120 bytes to each message. A generation
counts as heard once a node has asked the teller for it, which fetches parts in
a daemon and is a mere note here.
"""

import resource
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer
import zmq

from camphoryard.coordination.currency import Currency
from camphoryard.coordination.gossip import (
    AllToAll,
    BoundedFanOut,
    Gossiper,
    GossipParts,
    GossipPolicy,
)
from camphoryard.coordination.messages import (
    Done,
    Gossip,
    GossipAnswer,
    Message,
    Reply,
)
from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import Generation, Incarnation, NodeId, WriteId, Zone
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.timeline import HybridClock
from camphoryard.transport.peers import CurveKeys, PeerNetwork
from camphoryard.transport.timer import TimerService
from standins.fleet import free_port

HOST = "127.0.0.1"
NODES_PER_ZONE = 17
LEASE_S = 1000.0
STALE_AFTER_S = 14.0
WARM_UP_S = 15.0
WINDOW_S = 20.0
CONVERGENCE_LIMIT_S = 30.0
TRIALS = 5
PAGE_BYTES = resource.getpagesize()
BYTES_PER_KB = 1024
PERCENT = 100


@dataclass(frozen=True, slots=True)
class Figures:
    """What one size cost; rates are for each node."""

    nodes: int
    sent_bytes_s: float
    messages_s: float
    core_percent: float
    memory_kb: float
    converged_s: float
    heard_percent: float


class BenchNode:
    """One node's network, gossip and currency."""

    def __init__(
        self,
        lease: NodeLease,
        keys: CurveKeys,
        executor: ThreadPoolExecutor,
        policy: GossipPolicy,
    ) -> None:
        self.lease = lease
        self.holder = ConfigurationHolder(STALE_AFTER_S)
        self.nodes = NodeTable()
        self.changed = threading.Event()
        self.network = PeerNetwork(lease.node, keys, executor, executor, HybridClock())
        self.currency = Currency(
            lease.node,
            self.holder,
            lambda: {item.node for item in self.nodes.all()},
            STALE_AFTER_S,
        )
        self.gossiper = Gossiper(
            GossipParts(
                lease,
                self.nodes,
                self.network,
                self.currency,
                self.digest,
                self.catch_up,
                lambda node: None,
            ),
            policy,
        )

    def digest(self) -> NodeDigest:
        """Return this node's digest."""
        return NodeDigest(
            self.lease.node,
            self.lease.incarnation,
            NodeState.SERVING,
            self.holder.current.generation,
            beat=time.monotonic_ns(),
        )

    def catch_up(self, node: NodeId) -> None:
        """Adopt the generation that ``node`` told of, and pass it on."""
        digest = self.nodes.digest(node)
        if digest is not None:
            self.adopt(digest.generation)

    def adopt(self, generation: Generation) -> None:
        """Put a generation in force and tell peers now."""
        if self.holder.adopt(Configuration(generation)):
            self.changed.set()
            self.gossiper.wake()

    def handle(self, message: Message) -> Reply:
        """Act on a peer's message."""
        match message:
            case Gossip() as gossip:
                self.gossiper.take(gossip)
            case GossipAnswer() as answer:
                self.gossiper.take_answer(answer)
        return Done()


def make_fleet(
    size: int, policy: GossipPolicy, executor: ThreadPoolExecutor
) -> list[BenchNode]:
    """Return nodes that listen and know each other's leases."""
    public, secret = zmq.curve_keypair()
    keys = CurveKeys(public, secret, frozenset({public}))
    zones = max(3, size // NODES_PER_ZONE)
    fleet = []
    ports: set[int] = set()
    while len(ports) < size:
        ports.add(free_port())
    for index, port in enumerate(sorted(ports)):
        lease = NodeLease(
            NodeId(f"node-{index:03}"),
            Incarnation(f"{index:032x}"),
            Zone(f"zone-{index % zones:02}"),
            HOST,
            port,
            public.decode(),
            NodeState.SERVING,
            LEASE_S,
            WriteId(""),
        )
        fleet.append(BenchNode(lease, keys, executor, policy))
    for node in fleet:
        node.network.listen(HOST, node.lease.port, node.handle)
        for other in fleet:
            node.nodes.introduce(other.lease)
            node.network.know(other.lease)
    return fleet


def measure(size: int, policy: GossipPolicy) -> Figures:
    """Return the figures of one size."""
    before_kb = _resident_kb()
    timer = TimerService()
    with ThreadPoolExecutor(size * 40 + 100) as executor:
        fleet = make_fleet(size, policy, executor)
        for node in fleet:
            executor.submit(node.gossiper.run, timer)
        time.sleep(WARM_UP_S)
        sent, messages = _traffic(fleet)
        cpu_s, started_s = time.process_time(), time.monotonic()
        time.sleep(WINDOW_S)
        took_s = time.monotonic() - started_s
        cpu_s = time.process_time() - cpu_s
        sent_after, messages_after = _traffic(fleet)
        memory_kb = (_resident_kb() - before_kb) / size
        heard = _heard_percent(fleet)
        converged_s = max(_converge(fleet, trial + 1) for trial in range(TRIALS))
        timer.close()
        for node in fleet:
            node.network.close()
    return Figures(
        size,
        (sent_after - sent) / took_s / size,
        (messages_after - messages) / took_s / size,
        cpu_s / took_s / size * PERCENT,
        memory_kb,
        converged_s,
        heard,
    )


def _traffic(fleet: list[BenchNode]) -> tuple[int, int]:
    counts = [node.network.traffic for node in fleet]
    return sum(item.sent_bytes for item in counts), sum(
        item.sent_messages for item in counts
    )


def _heard_percent(fleet: list[BenchNode]) -> float:
    """Return the share of pairs whose last sure word is within the limit."""
    ages_s = [
        node.currency.node_age_s(other.lease.node)
        for node in fleet
        for other in fleet
        if other is not node
    ]
    heard = [age_s for age_s in ages_s if age_s is not None and age_s < STALE_AFTER_S]
    return len(heard) / len(ages_s) * PERCENT


def _converge(fleet: list[BenchNode], generation: int) -> float:
    """Return how long a generation took from one node to all, in seconds."""
    for node in fleet:
        node.changed.clear()
    started_s = time.monotonic()
    fleet[generation % len(fleet)].adopt(Generation(generation))
    for node in fleet:
        left_s = started_s + CONVERGENCE_LIMIT_S - time.monotonic()
        if not node.changed.wait(max(0.0, left_s)):
            return float("inf")
    return time.monotonic() - started_s


def _resident_kb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_KB


def main(
    sizes: Annotated[str, typer.Option(help="Numbers of nodes.")] = "10,20,40,80",
    policy: Annotated[str, typer.Option(help="bounded or all.")] = "bounded",
) -> None:
    """Print a table of cost and speed by size."""
    chosen: GossipPolicy = BoundedFanOut() if policy == "bounded" else AllToAll()
    typer.echo("nodes  sent B/s  messages/s  core %  memory KB  converged s  heard %")
    for size in (int(item) for item in sizes.split(",")):
        got = measure(size, chosen)
        typer.echo(
            f"{got.nodes:5}  {got.sent_bytes_s:8.0f}  {got.messages_s:10.2f}"
            f"  {got.core_percent:6.2f}  {got.memory_kb:9.0f}"
            f"  {got.converged_s:11.2f}  {got.heard_percent:7.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
