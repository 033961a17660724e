"""All parts of one entry daemon, joined."""

import functools
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn
from uuid import uuid4

import msgspec
import zmq

from camphoryard.coordination.fleet.fleet_gossip import (
    FleetGossip,
    Mesh,
    Star,
    gossip_topology,
)
from camphoryard.coordination.fleet.node_registration import (
    NodeRegistration,
    apply_lease,
)
from camphoryard.coordination.forwarding.context import ForwardingContext
from camphoryard.coordination.forwarding.endpoint_chooser import (
    ByFreeSlots,
    ChoicePolicy,
    EndpointChooser,
    LeastLoaded,
)
from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.leadership.leader_lease import LeaderLease
from camphoryard.coordination.loading.item_locator import (
    ItemLocator,
    ItemLocatorContext,
    answer_item_request,
)
from camphoryard.coordination.loading.load_controller import (
    LoadControlContext,
    LoadController,
)
from camphoryard.coordination.messages import (
    CrashReport,
    Declined,
    Done,
    Gossip,
    ItemRequest,
    Message,
    Reply,
)
from camphoryard.coordination.placement.demand import DemandMeter, SystemDemand
from camphoryard.coordination.ports import Records
from camphoryard.coordination.record_watcher import RecordWatcher
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.first_events import FirstEventTracker
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.retry_window import RetryWindow
from camphoryard.entry.reloading import LiveSettings
from camphoryard.entry.settings import EntrySettings
from camphoryard.platform.dialect import PlatformDialect
from camphoryard.platform.engines import PlatformEngines
from camphoryard.platform.settings import read_entry_settings
from camphoryard.platform.store import StoreRecords
from camphoryard.platform.traffic import (
    CONFIG_KIND,
    ENDPOINT_KIND,
    decode_endpoint,
    decode_rules,
)
from camphoryard.state.directory import Directory
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import Incarnation, NodeId, ObjectKey, ServiceId, WriteId
from camphoryard.state.leadership import LeadershipRecord, PeerKeys
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import InFlightTable
from camphoryard.state.timeline import HybridClock
from camphoryard.transport.front import FrontApp
from camphoryard.transport.http_client import Address, HttpClient
from camphoryard.transport.log_lines import LineLog
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.peers import PeerNetwork
from camphoryard.transport.readiness import ReadinessApp
from camphoryard.transport.timer import TimerService
from camphoryard.transport.upstream import HttpUpstream

CONNECTION_TASKS = 512
PEER_TASKS = 512
"""More than the nodes of the largest fleet planned: each peer has a task."""
HANDLER_TASKS = 256
NODE_TASKS = 64
ENDPOINT_BATCH_S = 2.0
"""Between two watches of the endpoints at most: loads, which change them, take
seconds."""
ENDPOINT_BATCH_SHARE = 0.5
"""The same at most as part of the time after which an endpoint that leaves must get
no more requests."""
ENDPOINT_WAIT_S = 10.0
RULES_WAIT_S = 30.0
NODES_WAIT_S = 30.0
NODES_BATCH_S = 1.0
"""Between two watches of the nodes: while all are started anew, each would otherwise
read each start by itself."""
PEER_SILENCE_S = 1.5
"""After how long without news a peer counts as silent; six periods of news."""
ORDERING_DUTY = ObjectKey("ordering")
NODE_KIND = "camphoryard-nodes"
DUTY_KIND = "camphoryard-duties"
KEY_KIND = "camphoryard-keys"
INCARNATION_CHARACTERS = 16
DEMAND_FAST_S = 2.0
"""Time constant of the demand that moves of models follow."""
LEAST_NODES = 4
"""Nodes that the reserve of repeats is shared by before all are known."""


@dataclass(frozen=True, slots=True)
class Executors:
    """Named executors, one for each kind of task."""

    connections: ThreadPoolExecutor
    peers: ThreadPoolExecutor
    handlers: ThreadPoolExecutor
    node: ThreadPoolExecutor


@dataclass(frozen=True, slots=True)
class Entry:
    """All parts of one running entry daemon."""

    live: LiveSettings
    log: LineLog
    metrics: Metrics
    timer: TimerService
    client: HttpClient
    directory: Directory
    feed: DirectoryFeed
    followers: tuple[RecordWatcher[Any], ...]
    peers: PeerNetwork
    keys: Records[PeerKeys]
    own_keys: PeerKeys
    lease: NodeLease
    presence: NodeRegistration
    news: FleetGossip
    duty: LeaderLease
    orderer: LoadController
    seeker: ItemLocator
    crashes: CrashCounter
    app: FrontApp
    readiness: ReadinessApp
    executors: Executors
    stop: threading.Event

    @property
    def settings(self) -> EntrySettings:
        """The settings in force."""
        return self.live.current


def make_entry(path: Path) -> Entry:
    """Return an entry daemon with all parts joined; only the timer runs yet.

    Raises
    ------
    SettingsError
        If the settings file cannot be read; names the field.
    """
    settings = read_entry_settings(path)
    log = LineLog(settings.node, sys.stdout)
    live = LiveSettings(path, settings, read_entry_settings, log)
    metrics = Metrics()
    timer = TimerService()
    client = HttpClient()
    executors = _make_executors()
    directory = Directory()
    feed = DirectoryFeed(directory, log)
    in_flight = InFlightTable()
    nodes = NodeTable()
    demand = DemandMeter(fast_time_constant_s=DEMAND_FAST_S)
    estimates = LoadEstimates(settings.node, nodes, in_flight)
    incarnation = Incarnation(uuid4().hex[:INCARNATION_CHARACTERS])
    own_keys = _make_keys()
    peers = PeerNetwork(
        settings.node, None, executors.peers, executors.handlers, HybridClock()
    )
    records = functools.partial(_records, client, settings, log)
    leases = records(NODE_KIND, NodeLease)
    news: FleetGossip
    duty = LeaderLease(
        records(DUTY_KIND, LeadershipRecord),
        ORDERING_DUTY,
        settings.node,
        incarnation,
        settings.bounds.handover_s,
        settings.bounds.engines_check_fences,
        lambda: news.newest_term(),
        lambda: news.is_standby(),
        log,
    )
    news = FleetGossip(
        settings.node,
        incarnation,
        nodes,
        peers,
        in_flight,
        demand,
        estimates,
        lambda: duty.claimed_term,
    )
    system_demand = SystemDemand(settings.node, nodes, demand)
    orderer = LoadController(
        LoadControlContext(
            settings.node,
            directory,
            duty,
            PlatformEngines(client),
            system_demand.by_item,
            estimates.load,
            executors.node,
            timer,
            log,
            metrics.count,
            settings.bounds.load_limits,
        )
    )
    seeker = ItemLocator(
        ItemLocatorContext(
            settings.node, directory, orderer, peers, news.leader, demand, log
        )
    )
    crashes = CrashCounter()
    dialect = PlatformDialect()
    retries: RetryWindow[ServiceId] = RetryWindow(
        settings.bounds.repeat_limits, lambda: max(len(nodes.all()), LEAST_NODES)
    )
    live.subscribe(lambda bounds: retries.limit(bounds.repeat_limits))
    live.subscribe(lambda bounds: orderer.limit(bounds.load_limits))
    parts = ForwardingContext(
        directory,
        EndpointChooser(
            settings.zone, estimates.load, lambda: _choice_policy(len(nodes.all()))
        ),
        in_flight,
        Breakers(),
        FirstEventTracker(),
        retries,
        HttpUpstream(client, dialect),
        seeker,
        crashes,
        functools.partial(_tell_all, nodes, peers, settings.node),
        log,
        metrics.observe,
        metrics.count,
    )
    return Entry(
        live,
        log,
        metrics,
        timer,
        client,
        directory,
        feed,
        (
            *_make_feeders(client, settings, log, feed),
            RecordWatcher(
                leases,
                functools.partial(apply_lease, nodes, peers),
                wait_s=NODES_WAIT_S,
                batch_s=NODES_BATCH_S,
            ),
        ),
        peers,
        records(KEY_KIND, PeerKeys),
        own_keys,
        _make_lease(settings, incarnation),
        NodeRegistration(leases, log),
        news,
        duty,
        orderer,
        seeker,
        crashes,
        FrontApp(parts, dialect),
        ReadinessApp(lambda: directory.is_ready, metrics),
        executors,
        threading.Event(),
    )


def handle(entry: Entry, message: Message) -> Reply:
    """Act on a peer's message and return the reply."""
    match message:
        case Gossip() as gossip:
            entry.news.receive(gossip)
            return Done()
        case ItemRequest() as wanted:
            return answer_item_request(entry.orderer, wanted)
        case CrashReport(request, endpoint):
            crashes = entry.crashes.observe(request, endpoint)
            entry.log(
                "crash_told", fingerprint=request, endpoint=endpoint, crashes=crashes
            )
            return Done()
        case _:
            return Declined("not a message between entry daemons")


def _make_feeders(
    client: HttpClient, settings: EntrySettings, log: LineLog, feed: DirectoryFeed
) -> tuple[RecordWatcher[Any], ...]:
    """Return the tasks that follow the operator's rules and the endpoints."""
    store = Address(settings.store.host, settings.store.port)
    rules = StoreRecords(client, store, CONFIG_KIND, decode_rules, _unwritten, log)
    endpoints = StoreRecords(
        client, store, ENDPOINT_KIND, decode_endpoint, _unwritten, log
    )
    return (
        RecordWatcher(rules, feed.apply_rules, wait_s=RULES_WAIT_S),
        RecordWatcher(
            endpoints,
            feed.apply_endpoint,
            wait_s=ENDPOINT_WAIT_S,
            answering=feed.answering,
            batch_s=min(
                ENDPOINT_BATCH_S, settings.bounds.drain_s * ENDPOINT_BATCH_SHARE
            ),
            on_listing=feed.apply_listing,
        ),
    )


def _choice_policy(nodes: int) -> ChoicePolicy:
    """Return how endpoints are chosen in a fleet of so many nodes."""
    match gossip_topology(nodes):
        case Mesh():
            return LeastLoaded()
        case Star():
            return ByFreeSlots()


def _make_executors() -> Executors:
    return Executors(
        ThreadPoolExecutor(CONNECTION_TASKS, "connection"),
        ThreadPoolExecutor(PEER_TASKS, "peer"),
        ThreadPoolExecutor(HANDLER_TASKS, "handler"),
        ThreadPoolExecutor(NODE_TASKS, "node"),
    )


def _make_keys() -> PeerKeys:
    public, secret = zmq.curve_keypair()
    return PeerKeys(public.decode(), secret.decode())


def _make_lease(settings: EntrySettings, incarnation: Incarnation) -> NodeLease:
    return NodeLease(
        settings.node,
        incarnation,
        settings.zone,
        settings.host,
        settings.peer_ports[0],
        "",
        NodeState.SERVING,
        PEER_SILENCE_S,
        WriteId(incarnation),
    )


def _records(
    client: HttpClient, settings: EntrySettings, log: LineLog, kind: str, form: Any
) -> StoreRecords[Any]:
    """Return the records of one of our own kinds, kept as JSON."""
    decoder = msgspec.json.Decoder(form)
    return StoreRecords(
        client,
        Address(settings.store.host, settings.store.port),
        kind,
        lambda _, spec: decoder.decode(spec),
        msgspec.json.encode,
        log,
    )


def _tell_all(
    nodes: NodeTable, peers: PeerNetwork, own: NodeId, message: Message
) -> None:
    for lease in nodes.all():
        if lease.node != own:
            peers.send(lease.node, message)


def _unwritten(record: object) -> NoReturn:
    raise TypeError(f"{type(record).__name__} is written by the platform only")
