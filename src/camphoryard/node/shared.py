"""The collaborators that most components of a node use."""

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from uuid import uuid4

import structlog

from camphoryard.coordination.jobs.job_runner import MAX_CONCURRENT_JOBS
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.demand import DemandMeter, SystemDemand
from camphoryard.coordination.placement.weight_budget import WeightBudgetClient
from camphoryard.coordination.ports import Engines
from camphoryard.coordination.refusals.refusals import RefusalCounter
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.node.policies import make_budget_policy
from camphoryard.protocol.platform import ERA_HEADER, VERSION_HEADER
from camphoryard.settings import PeerSettings, Settings
from camphoryard.state.ids import Incarnation
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable, InFlightTable
from camphoryard.state.timeline import Event, HybridClock
from camphoryard.state.vms import VmTable
from camphoryard.transport.endpoints import HttpEngines
from camphoryard.transport.http_client import HttpClient
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.peers import CurveKeys, PeerNetwork
from camphoryard.transport.stream_reading import StreamLimits, StreamReaders
from camphoryard.transport.timer import TimerService

CONNECTION_TASKS = 1024
PEER_TASKS = 400
ENDPOINT_TASKS = 256
STREAM_TASKS = 4500
HANDLER_TASKS = 32
LOAD_TASKS = 64
NODE_TASKS = 32
INCARNATION_CHARACTERS = 16
SETTLINGS_PER_LEASE = 2
"""A node calls the object API several times in each lease duration."""
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Executors:
    """Thread pools, one for each kind of task."""

    connections: ThreadPoolExecutor
    peers: ThreadPoolExecutor
    handlers: ThreadPoolExecutor
    endpoints: ThreadPoolExecutor
    streams: ThreadPoolExecutor
    loads: ThreadPoolExecutor
    node: ThreadPoolExecutor
    jobs: ThreadPoolExecutor


@dataclass(frozen=True, slots=True)
class SharedContext:
    """The collaborators that most components of a node use."""

    settings: Settings
    identity: Identity
    executors: Executors
    timer: TimerService
    client: HttpClient
    peers: PeerNetwork
    engines: Engines
    clock: HybridClock
    timeline: Timeline
    metrics: Metrics
    nodes: NodeTable
    endpoint_table: EndpointTable
    configuration: ConfigurationHolder
    in_flight: InFlightTable
    estimates: LoadEstimates
    vms: VmTable
    demand: DemandMeter
    system_demand: SystemDemand
    budget: WeightBudgetClient
    refusals: RefusalCounter
    restores: StoreRestores
    stop: threading.Event


def make_executors() -> Executors:
    """Return the thread pools of one node."""
    return Executors(
        ThreadPoolExecutor(CONNECTION_TASKS, "connection"),
        ThreadPoolExecutor(PEER_TASKS, "peer"),
        ThreadPoolExecutor(HANDLER_TASKS, "handler"),
        ThreadPoolExecutor(ENDPOINT_TASKS, "endpoint"),
        ThreadPoolExecutor(STREAM_TASKS, "stream"),
        ThreadPoolExecutor(LOAD_TASKS, "load"),
        ThreadPoolExecutor(NODE_TASKS, "node"),
        ThreadPoolExecutor(MAX_CONCURRENT_JOBS, "job"),
    )


def make_curve_keys(settings: PeerSettings) -> CurveKeys:
    """Return the CURVE keys in the settings."""
    accepted = frozenset(
        key.encode() for key in (settings.public_key, *settings.accepted_public_keys)
    )
    return CurveKeys(
        settings.public_key.encode(), settings.secret_key.encode(), accepted
    )


def log_event(event: Event) -> None:
    """Write one event as a log line of key=value pairs.

    The line's own fields (node, wall_ms, count) replace event fields of the same name:
    a duplicate keyword argument would fail the request that the event is about.
    """
    own = {
        "node": event.node,
        "wall_ms": event.stamp.wall_ms,
        "count": event.stamp.count,
    }
    log.info(event.name, **{**own, **event.fields, **own})


def make_shared_context(settings: Settings) -> SharedContext:
    """Return the shared collaborators, of which only the timer is running."""
    identity = Identity(
        settings.node.id, Incarnation(uuid4().hex[:INCARNATION_CHARACTERS])
    )
    executors = make_executors()
    source_host = settings.node.source_host
    client = HttpClient(source_host, {VERSION_HEADER, ERA_HEADER})
    clock = HybridClock()
    keys = make_curve_keys(settings.peers)
    nodes = NodeTable()
    in_flight = InFlightTable()
    estimates = LoadEstimates(identity.node, nodes, in_flight)
    serving = settings.serving
    readers = StreamReaders(executors.streams)
    limits = StreamLimits(serving.first_token_limit_s, serving.stall_s)
    peers = PeerNetwork(
        identity.node, keys, executors.peers, executors.handlers, clock, source_host
    )
    budget = make_budget_policy(settings.decisions)
    demand = DemandMeter()
    return SharedContext(
        settings,
        identity,
        executors,
        TimerService(),
        client,
        peers,
        HttpEngines(client, readers, limits, estimates.record_report),
        clock,
        Timeline(identity.node, clock, log_event),
        Metrics(),
        nodes,
        EndpointTable(),
        ConfigurationHolder(settings.configuration.stale_after_s),
        in_flight,
        estimates,
        VmTable(),
        demand,
        SystemDemand(identity.node, nodes, demand),
        WeightBudgetClient(budget, identity.node, nodes, peers),
        RefusalCounter(identity.incarnation),
        StoreRestores(settings.peers.lease_s / SETTLINGS_PER_LEASE),
        threading.Event(),
    )
