"""What most parts of a node work with."""

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
from camphoryard.node.policies import make_budget_policy
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
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Executors:
    """Named executors, one for each kind of task."""

    connections: ThreadPoolExecutor
    peers: ThreadPoolExecutor
    handlers: ThreadPoolExecutor
    endpoints: ThreadPoolExecutor
    streams: ThreadPoolExecutor
    loads: ThreadPoolExecutor
    node: ThreadPoolExecutor
    jobs: ThreadPoolExecutor


@dataclass(frozen=True, slots=True)
class Shared:
    """What most parts of a node work with."""

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
    table: EndpointTable
    configuration: ConfigurationHolder
    in_flight: InFlightTable
    estimates: LoadEstimates
    vms: VmTable
    demand: DemandMeter
    system_demand: SystemDemand
    budget: WeightBudgetClient
    refusals: RefusalCounter
    stop: threading.Event


def make_executors() -> Executors:
    """Return the executors of one node."""
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
    """Return the CURVE keys that the settings give."""
    accepted = frozenset(
        key.encode() for key in (settings.public_key, *settings.accepted_public_keys)
    )
    return CurveKeys(
        settings.public_key.encode(), settings.secret_key.encode(), accepted
    )


def log_event(event: Event) -> None:
    """Write one event as a log line of key=value pairs.

    A field that is named like one of the line's own gives way to it: a line must not
    fail the request that it is about.
    """
    own = {
        "node": event.node,
        "wall_ms": event.stamp.wall_ms,
        "count": event.stamp.count,
    }
    log.info(event.name, **{**own, **event.fields, **own})


def make_shared(settings: Settings) -> Shared:
    """Return the shared parts; only the timer runs yet."""
    identity = Identity(
        settings.node.id, Incarnation(uuid4().hex[:INCARNATION_CHARACTERS])
    )
    executors = make_executors()
    source_host = settings.node.source_host
    client = HttpClient(source_host)
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
    return Shared(
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
        threading.Event(),
    )
