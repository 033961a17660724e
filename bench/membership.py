"""Measures the cost and speed of gossip on real sockets, with nodes in processes.

Run ``python -m bench.membership --sizes 40,80,160,330 --processes 6``. ``alive %`` is
the share of node pairs in which one confirmed the other alive within the last 14 s, the
time for which a confirmation is valid; a node needs more than half in an outage. Bytes
are those of the frames; CURVE, TCP and IP add about 120 bytes to each message. A
generation counts as adopted as soon as a node would request it from the sender; a
daemon would then fetch its parts, which this bench leaves out.
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
from standins.fleet import release_port, reserve_port

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
    """Results for one number of nodes; rates are per node."""

    nodes: int
    sent_bytes_s: float
    messages_s: float
    core_percent: float
    memory_kb: float
    spread_s: float
    alive_percent: float
    oldest_age_s: float


@dataclass(frozen=True, slots=True)
class Share:
    """The nodes that one process runs, and when all processes start to measure.

    ``window_start_s`` is on the monotonic clock, which all processes of a machine
    share.
    """

    index: int
    count: int
    policy: GossipPolicy
    leases: tuple[NodeLease, ...]
    public_key: bytes
    secret_key: bytes
    window_start_s: float

    def runs_node(self, node: int) -> bool:
        """Return whether this process runs the node with this index."""
        return node % self.count == self.index


@dataclass(frozen=True, slots=True)
class ShareFigures:
    """Results of one process; ``ages_s`` has one age of confirmation per pair."""

    sent_bytes: int
    sent_messages: int
    cpu_s: float
    memory_kb: float
    ages_s: tuple[float | None, ...]
    spread_s_by_trial: tuple[float, ...]


class BenchNode:
    """Network, gossip and configuration freshness of one node."""

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
                lambda quarantines: None,
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
        """Adopt the generation in the digest of ``node`` and gossip it."""
        digest = self.nodes.digest(node)
        if digest is not None:
            self.adopt(digest.generation)

    def adopt(self, generation: Generation) -> None:
        """Adopt a generation and gossip it immediately."""
        if self.holder.adopt(Configuration(generation)):
            self.adopted_s_by_generation[generation] = time.monotonic()
            self.gossiper.wake()

    def handle(self, message: Message) -> Reply:
        """Handle a message from a peer."""
        match message:
            case Gossip() as gossip:
                self.gossiper.handle_gossip(gossip)
            case GossipAnswer() as answer:
                self.gossiper.handle_answer(answer)
        return Done()


def make_leases(size: int, public_key: bytes) -> tuple[NodeLease, ...]:
    """Return the leases of all nodes, on reserved ports."""
    zones = max(3, size // NODES_PER_ZONE)
    ports: set[int] = set()
    while len(ports) < size:
        ports.add(reserve_port())
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
    """Return the nodes of a share; each listens and has the leases of all nodes."""
    keys = CurveKeys(share.public_key, share.secret_key, frozenset({share.public_key}))
    nodes = [
        BenchNode(lease, keys, executor, share.policy)
        for index, lease in enumerate(share.leases)
        if share.runs_node(index)
    ]
    for node in nodes:
        node.network.listen(HOST, node.lease.port, node.handle)
        for lease in share.leases:
            node.nodes.observe_forwarded(lease)
            node.network.set_address(lease)
    return nodes


def run_share(share: Share) -> ShareFigures:
    """Run the nodes of one process and return their results."""
    before_kb = _resident_kb()
    timer = TimerService()
    with ThreadPoolExecutor(len(share.leases) * THREADS_PER_NODE) as executor:
        nodes = make_nodes(share, executor)
        for node in nodes:
            executor.submit(node.gossiper.run, timer)
        _sleep_until(share.window_start_s)
        sent, messages = _traffic(nodes)
        cpu_s = time.process_time()
        _sleep_until(share.window_start_s + WINDOW_S)
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
            _sleep_until(_trial_start_s(share, trial))
            if share.runs_node(trial):
                nodes[trial // share.count].adopt(Generation(trial + 1))
        _sleep_until(_trial_start_s(share, TRIALS))
        spread_s = tuple(_spread_s(share, nodes, trial) for trial in range(TRIALS))
        timer.close()
        for node in nodes:
            node.network.close()
    return ShareFigures(
        sent_after - sent, messages_after - messages, cpu_s, memory_kb, ages_s, spread_s
    )


def measure(size: int, policy: GossipPolicy, processes: int) -> Figures:
    """Return the results for ``size`` nodes."""
    public_key, secret_key = zmq.curve_keypair()
    leases = make_leases(size, public_key)
    window_start_s = time.monotonic() + WARM_UP_S + size * START_S_PER_NODE
    shares = [
        Share(index, processes, policy, leases, public_key, secret_key, window_start_s)
        for index in range(processes)
    ]
    with ProcessPoolExecutor(processes, get_context("spawn")) as executor:
        share_figures = list(executor.map(run_share, shares))
    for lease in leases:
        release_port(lease.port)
    ages_s = [age_s for item in share_figures for age_s in item.ages_s]
    confirmed_ages_s = [
        age_s for age_s in ages_s if age_s is not None and age_s < STALE_AFTER_S
    ]
    return Figures(
        size,
        sum(item.sent_bytes for item in share_figures) / WINDOW_S / size,
        sum(item.sent_messages for item in share_figures) / WINDOW_S / size,
        sum(item.cpu_s for item in share_figures) / WINDOW_S / size * PERCENT,
        sum(item.memory_kb for item in share_figures) / size,
        max(spread_s for item in share_figures for spread_s in item.spread_s_by_trial),
        len(confirmed_ages_s) / len(ages_s) * PERCENT,
        max(float("inf") if age_s is None else age_s for age_s in ages_s),
    )


def _trial_start_s(share: Share, trial: int) -> float:
    """Return when the first node adopts the generation of a trial."""
    return share.window_start_s + WINDOW_S + trial * TRIAL_S


def _spread_s(share: Share, nodes: list[BenchNode], trial: int) -> float:
    """Return the seconds until the last of these nodes adopted the generation."""
    adopted_s = [
        node.adopted_s_by_generation.get(Generation(trial + 1), float("inf"))
        for node in nodes
    ]
    return max(adopted_s) - _trial_start_s(share, trial)


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
    policy: Annotated[str, typer.Option(help="bounded or all")] = "bounded",
    processes: Annotated[int, typer.Option(help="Number of processes.")] = 4,
    digests: Annotated[
        int, typer.Option(help="Digests in each message of the bounded policy.")
    ] = 12,
) -> None:
    """Print a table of cost and speed by number of nodes."""
    gossip_policy: GossipPolicy = AllToAll()
    if policy == "bounded":
        gossip_policy = BoundedFanOut(digests=digests)
    typer.echo(
        "nodes  sent B/s  messages/s  core %  memory KB  spread s  alive %  oldest s"
    )
    for size in (int(item) for item in sizes.split(",")):
        figures = measure(size, gossip_policy, processes)
        typer.echo(
            f"{figures.nodes:5}  {figures.sent_bytes_s:8.0f}"
            f"  {figures.messages_s:10.2f}"
            f"  {figures.core_percent:6.2f}  {figures.memory_kb:9.0f}"
            f"  {figures.spread_s:8.2f}  {figures.alive_percent:7.1f}"
            f"  {figures.oldest_age_s:8.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
