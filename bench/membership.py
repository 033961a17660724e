"""Cost and speed of spreading news, on real sockets, nodes spread over processes.

``heard`` is the share of pairs of which one surely heard of the other within
the 14 s for which a word lasts; more than half is needed in an outage. Run
``python -m bench.membership --sizes 40,80,160,330 --processes 6``. Bytes are
those of the frames; CURVE, TCP and IP add about 120 bytes to each message. A
generation counts as heard once a node has asked the teller for it, which
fetches parts in a daemon and is a mere note here.
"""

import resource
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated

import typer
import zmq

from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.coordination.membership.gossip import (
    AllToAll,
    BoundedFanOut,
    GossipContext,
    Gossiper,
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
from standins.fleet import free_port, release_port

HOST = "127.0.0.1"
NODES_PER_ZONE = 17
LEASE_S = 1000.0
STALE_AFTER_S = 14.0
WARM_UP_S = 15.0
WINDOW_S = 15.0
START_S_PER_NODE = 0.1
TRIALS = 3
TRIAL_S = 10.0
THREADS_PER_NODE = 40
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
    oldest_s: float


@dataclass(frozen=True, slots=True)
class Share:
    """The nodes that one process runs, and when all processes begin to measure.

    ``measured_s`` is on the monotonic clock, which the processes of one machine
    have in common.
    """

    index: int
    count: int
    policy: GossipPolicy
    leases: tuple[NodeLease, ...]
    public_key: bytes
    secret_key: bytes
    measured_s: float

    def has(self, node: int) -> bool:
        """Return whether this process runs the node of that number."""
        return node % self.count == self.index


@dataclass(frozen=True, slots=True)
class ShareFigures:
    """What the nodes of one process did; ``age_s`` has a word for each pair."""

    sent_bytes: int
    sent_messages: int
    cpu_s: float
    memory_kb: float
    ages_s: tuple[float | None, ...]
    news_s_by_trial: tuple[float, ...]


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
        self.adopted_s_by_generation: dict[Generation, float] = {}
        self.network = PeerNetwork(lease.node, keys, executor, executor, HybridClock())
        self.freshness = ConfigurationFreshness(
            lease.node,
            self.holder,
            lambda: {item.node for item in self.nodes.all()},
            STALE_AFTER_S,
        )
        self.gossiper = Gossiper(
            GossipContext(
                lease,
                self.nodes,
                self.network,
                self.freshness,
                self.digest,
                self.catch_up,
                lambda node, zones: None,
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
            self.adopted_s_by_generation[generation] = time.monotonic()
            self.gossiper.wake()

    def handle(self, message: Message) -> Reply:
        """Act on a peer's message."""
        match message:
            case Gossip() as gossip:
                self.gossiper.handle_gossip(gossip)
            case GossipAnswer() as answer:
                self.gossiper.handle_answer(answer)
        return Done()


def make_leases(size: int, public_key: bytes) -> tuple[NodeLease, ...]:
    """Return the leases of a fleet, on ports that are free now."""
    zones = max(3, size // NODES_PER_ZONE)
    ports: set[int] = set()
    while len(ports) < size:
        ports.add(free_port())
    return tuple(
        NodeLease(
            NodeId(f"node-{index:03}"),
            Incarnation(f"{index:016x}"),
            Zone(f"zone-{index % zones:02}"),
            HOST,
            port,
            public_key.decode(),
            NodeState.SERVING,
            LEASE_S,
            WriteId(""),
        )
        for index, port in enumerate(sorted(ports))
    )


def make_nodes(share: Share, executor: ThreadPoolExecutor) -> list[BenchNode]:
    """Return the nodes of a share, listening and knowing the whole fleet."""
    keys = CurveKeys(share.public_key, share.secret_key, frozenset({share.public_key}))
    nodes = [
        BenchNode(lease, keys, executor, share.policy)
        for index, lease in enumerate(share.leases)
        if share.has(index)
    ]
    for node in nodes:
        node.network.listen(HOST, node.lease.port, node.handle)
        for lease in share.leases:
            node.nodes.observe_forwarded(lease)
            node.network.set_address(lease)
    return nodes


def run_share(share: Share) -> ShareFigures:
    """Run the nodes of one process and return what they did."""
    before_kb = _resident_kb()
    timer = TimerService()
    with ThreadPoolExecutor(len(share.leases) * THREADS_PER_NODE) as executor:
        nodes = make_nodes(share, executor)
        for node in nodes:
            executor.submit(node.gossiper.run, timer)
        _sleep_until(share.measured_s)
        sent, messages = _traffic(nodes)
        cpu_s = time.process_time()
        _sleep_until(share.measured_s + WINDOW_S)
        cpu_s = time.process_time() - cpu_s
        sent_after, messages_after = _traffic(nodes)
        memory_kb = _resident_kb() - before_kb
        ages_s = tuple(
            node.freshness.node_age_s(lease.node)
            for node in nodes
            for lease in share.leases
            if lease is not node.lease
        )
        for trial in range(TRIALS):
            _sleep_until(_told_s(share, trial))
            if share.has(trial):
                nodes[trial // share.count].adopt(Generation(trial + 1))
        _sleep_until(_told_s(share, TRIALS))
        news_s = tuple(_news_s(share, nodes, trial) for trial in range(TRIALS))
        timer.close()
        for node in nodes:
            node.network.close()
    return ShareFigures(
        sent_after - sent, messages_after - messages, cpu_s, memory_kb, ages_s, news_s
    )


def measure(size: int, policy: GossipPolicy, processes: int) -> Figures:
    """Return the figures of one size."""
    public_key, secret_key = zmq.curve_keypair()
    leases = make_leases(size, public_key)
    measured_s = time.monotonic() + WARM_UP_S + size * START_S_PER_NODE
    shares = [
        Share(index, processes, policy, leases, public_key, secret_key, measured_s)
        for index in range(processes)
    ]
    with ProcessPoolExecutor(processes, get_context("spawn")) as executor:
        parts = list(executor.map(run_share, shares))
    for lease in leases:
        release_port(lease.port)
    ages_s = [age_s for part in parts for age_s in part.ages_s]
    heard = [age_s for age_s in ages_s if age_s is not None and age_s < STALE_AFTER_S]
    return Figures(
        size,
        sum(part.sent_bytes for part in parts) / WINDOW_S / size,
        sum(part.sent_messages for part in parts) / WINDOW_S / size,
        sum(part.cpu_s for part in parts) / WINDOW_S / size * PERCENT,
        sum(part.memory_kb for part in parts) / size,
        max(news_s for part in parts for news_s in part.news_s_by_trial),
        len(heard) / len(ages_s) * PERCENT,
        max(float("inf") if age_s is None else age_s for age_s in ages_s),
    )


def _told_s(share: Share, trial: int) -> float:
    """Return when the first node hears of a trial's generation."""
    return share.measured_s + WINDOW_S + trial * TRIAL_S


def _news_s(share: Share, nodes: list[BenchNode], trial: int) -> float:
    """Return how long a generation took to the last of these nodes."""
    adopted_s = [
        node.adopted_s_by_generation.get(Generation(trial + 1), float("inf"))
        for node in nodes
    ]
    return max(adopted_s) - _told_s(share, trial)


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _traffic(nodes: list[BenchNode]) -> tuple[int, int]:
    counts = [node.network.traffic for node in nodes]
    return sum(item.sent_bytes for item in counts), sum(
        item.sent_messages for item in counts
    )


def _resident_kb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_KB


def main(
    sizes: Annotated[str, typer.Option(help="Numbers of nodes.")] = "10,20,40,80",
    policy: Annotated[str, typer.Option(help="bounded or all.")] = "bounded",
    processes: Annotated[int, typer.Option(help="Processes to spread over.")] = 4,
    digests: Annotated[int, typer.Option(help="Digests a message, bounded.")] = 12,
) -> None:
    """Print a table of cost and speed by size."""
    chosen: GossipPolicy = AllToAll()
    if policy == "bounded":
        chosen = BoundedFanOut(digests=digests)
    typer.echo(
        "nodes  sent B/s  messages/s  core %  memory KB  news s  heard %  oldest s"
    )
    for size in (int(item) for item in sizes.split(",")):
        got = measure(size, chosen, processes)
        typer.echo(
            f"{got.nodes:5}  {got.sent_bytes_s:8.0f}  {got.messages_s:10.2f}"
            f"  {got.core_percent:6.2f}  {got.memory_kb:9.0f}"
            f"  {got.converged_s:6.2f}  {got.heard_percent:7.1f}"
            f"  {got.oldest_s:8.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
