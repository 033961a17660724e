"""The parts of one node and the factory functions that put them together."""

import functools
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import structlog

from camphoryard.coordination.actions import ActionParts
from camphoryard.coordination.admission import (
    Admission,
    AdmissionPolicy,
    DeadlineFirst,
    FirstCome,
    Unlimited,
)
from camphoryard.coordination.breakers import Breakers
from camphoryard.coordination.concurrency_limits import ConcurrencyLimits
from camphoryard.coordination.configuring import Configurator
from camphoryard.coordination.inference import InferenceParts
from camphoryard.coordination.leaving import LeavingEndpoints, StayingServices
from camphoryard.coordination.load_estimates import LoadEstimates
from camphoryard.coordination.membership import MembershipParts
from camphoryard.coordination.ownership import LeaseKeeper
from camphoryard.coordination.ports import Engines, Records, Stored, VmList
from camphoryard.coordination.refusals import RefusalCounter
from camphoryard.coordination.residency import (
    EndpointOwner,
    Identity,
    ResidencyDesk,
    ResidencyLimits,
    ResidencyParts,
)
from camphoryard.coordination.residency_client import ResidencyClient
from camphoryard.coordination.retry_budget import RetryBudget, RetryLimits
from camphoryard.coordination.routing import (
    LeastInFlight,
    PrefixAffinity,
    RoundRobin,
    Router,
    RoutingPolicy,
    TwoChoices,
)
from camphoryard.coordination.serving import FrontDoor, ServingParts
from camphoryard.coordination.status import Status
from camphoryard.coordination.suspects import Suspects
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.watching import Follower
from camphoryard.protocol.platform import (
    CLAIMS,
    ENDPOINT_RECORDS,
    HEADS,
    LEASES,
    PARTS,
)
from camphoryard.settings import (
    DecisionSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from camphoryard.state.claims import Claim
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    Generation,
    Incarnation,
    NodeId,
    WriteId,
)
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable, InFlightTable
from camphoryard.state.timeline import Event, HybridClock
from camphoryard.state.vms import VmTable
from camphoryard.transport.access import Access
from camphoryard.transport.app import App
from camphoryard.transport.endpoints import HttpEngines, HttpServices, StreamLimits
from camphoryard.transport.http_client import Address, HttpClient
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.object_api import ObjectApi, ObjectContents, ObjectRecords
from camphoryard.transport.operator_api import OperatorParts
from camphoryard.transport.peers import CurveKeys, PeerNetwork
from camphoryard.transport.timer import TimerService
from camphoryard.transport.vm_list import HttpVmList, NoVmList

CONNECTION_TASKS = 1024
PEER_TASKS = 400
ENDPOINT_TASKS = 256
HANDLER_TASKS = 32
LOAD_TASKS = 64
NODE_TASKS = 16

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Executors:
    """Named executors, one for each kind of task."""

    connections: ThreadPoolExecutor
    peers: ThreadPoolExecutor
    handlers: ThreadPoolExecutor
    endpoints: ThreadPoolExecutor
    loads: ThreadPoolExecutor
    node: ThreadPoolExecutor


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
    refusals: RefusalCounter
    stop: threading.Event


@dataclass(frozen=True, slots=True)
class Platform:
    """The kinds of records kept in the object API."""

    endpoints: Records[EndpointRecord]
    heads: Records[ConfigurationHead]
    contents: ObjectContents
    leases: Records[NodeLease]
    claims: Records[Claim]


@dataclass(frozen=True, slots=True)
class Residency:
    """Loading at owned endpoints, and asking for loads at any."""

    owner: EndpointOwner
    client: ResidencyClient


@dataclass(frozen=True, slots=True)
class Serving:
    """The decisions about each request, and the front door before them."""

    admission: Admission
    suspects: Suspects
    door: FrontDoor


@dataclass(frozen=True, slots=True)
class Node:
    """All parts of one running node."""

    shared: Shared
    leases: LeaseKeeper
    followers: tuple[Follower[Any], ...]
    vm_list: VmList
    residency: Residency
    membership: MembershipParts
    admission: Admission
    door: FrontDoor
    app: App


def make_executors() -> Executors:
    """Return the executors of one node."""
    return Executors(
        ThreadPoolExecutor(CONNECTION_TASKS, "connection"),
        ThreadPoolExecutor(PEER_TASKS, "peer"),
        ThreadPoolExecutor(HANDLER_TASKS, "handler"),
        ThreadPoolExecutor(ENDPOINT_TASKS, "endpoint"),
        ThreadPoolExecutor(LOAD_TASKS, "load"),
        ThreadPoolExecutor(NODE_TASKS, "node"),
    )


def make_routing_policy(settings: DecisionSettings) -> RoutingPolicy:
    """Return the routing policy that the settings name."""
    match settings.routing:
        case "round_robin":
            return RoundRobin()
        case "least_in_flight":
            return LeastInFlight()
        case "two_choices":
            return TwoChoices()
        case "prefix_affinity":
            return PrefixAffinity()


def make_admission_policy(settings: DecisionSettings) -> AdmissionPolicy:
    """Return the admission policy that the settings name."""
    match settings.admission:
        case "unlimited":
            return Unlimited()
        case "first_come":
            return FirstCome(settings.queue_limit)
        case "deadline_first":
            return DeadlineFirst(settings.queue_limit)


def make_curve_keys(settings: PeerSettings) -> CurveKeys:
    """Return the CURVE keys that the settings give."""
    accepted = frozenset(
        key.encode() for key in (settings.public_key, *settings.accepted_public_keys)
    )
    return CurveKeys(
        settings.public_key.encode(), settings.secret_key.encode(), accepted
    )


def make_lease(settings: Settings, identity: Identity) -> NodeLease:
    """Return the lease that this node starts with."""
    node = settings.node
    return NodeLease(
        node.id,
        identity.incarnation,
        node.zone,
        node.host,
        node.peer_port,
        settings.peers.public_key,
        NodeState.STARTING,
        settings.peers.lease_s,
        WriteId(""),
    )


def log_event(event: Event) -> None:
    """Write one event as a log line of key=value pairs."""
    log.info(
        event.name,
        node=event.node,
        wall_ms=event.stamp.wall_ms,
        count=event.stamp.count,
        **{f"{key}": value for key, value in event.fields.items()},
    )


def make_shared(settings: Settings) -> Shared:
    """Return the shared parts; only the timer runs yet."""
    identity = Identity(settings.node.id, Incarnation(uuid4().hex))
    executors = make_executors()
    client = HttpClient()
    clock = HybridClock()
    keys = make_curve_keys(settings.peers)
    nodes = NodeTable()
    in_flight = InFlightTable()
    estimates = LoadEstimates(identity.node, nodes, in_flight)
    serving = settings.serving
    limits = StreamLimits(serving.first_token_limit_s, serving.stall_s)
    return Shared(
        settings,
        identity,
        executors,
        TimerService(),
        client,
        PeerNetwork(identity.node, keys, executors.peers, executors.handlers),
        HttpEngines(client, limits, estimates.polled),
        clock,
        Timeline(identity.node, clock, log_event),
        Metrics(),
        nodes,
        EndpointTable(),
        ConfigurationHolder(),
        in_flight,
        estimates,
        VmTable(),
        RefusalCounter(),
        threading.Event(),
    )


def make_platform(settings: PlatformSettings, client: HttpClient) -> Platform:
    """Return the records kept in the object API that the settings name."""
    address = Address(settings.object_api_host, settings.object_api_port)
    api = ObjectApi(client, address, settings.object_api_token)
    return Platform(
        ObjectRecords(api, "endpoints/", ENDPOINT_RECORDS),
        ObjectRecords(api, "configuration/heads/", HEADS),
        ObjectContents(api, "configuration/parts/", PARTS),
        ObjectRecords(api, "nodes/", LEASES),
        ObjectRecords(api, "claims/", CLAIMS),
    )


def make_vm_list(settings: PlatformSettings, client: HttpClient) -> VmList:
    """Return the VM list that the settings name."""
    if not settings.vm_list_port:
        return NoVmList()
    return HttpVmList(client, Address(settings.vm_list_host, settings.vm_list_port))


def make_residency(shared: Shared, platform: Platform) -> Residency:
    """Return the parts that load items."""
    limits = shared.settings.residency
    client = ResidencyClient(
        shared.identity.node,
        shared.nodes,
        shared.table,
        shared.peers,
        shared.executors.loads,
        lambda endpoint, items: owner.start_loading(endpoint, items),
        shared.timeline,
    )
    owner = EndpointOwner(
        ResidencyParts(
            shared.identity,
            platform.endpoints,
            shared.table,
            shared.nodes,
            shared.vms,
            shared.configuration,
            shared.engines,
            shared.peers,
            shared.timeline,
            client.last_used_s,
            ResidencyLimits(limits.order_lifetime_s, limits.min_residency_s),
        )
    )
    return Residency(owner, client)


def make_serving(shared: Shared, platform: Platform, residency: Residency) -> Serving:
    """Return the front door with the tasks and decisions behind it."""
    decisions = shared.settings.decisions
    router = Router(make_routing_policy(decisions), shared.estimates.load)
    admission = Admission(
        make_admission_policy(decisions),
        decisions.engine_slots,
        router,
        shared.estimates,
        shared.in_flight,
    )
    shared.table.subscribe(admission.wake)
    leaving = LeavingEndpoints(shared.configuration, shared.estimates, shared.vms)
    suspects = Suspects(
        shared.identity.node, shared.nodes, shared.peers, shared.timeline
    )
    inference = InferenceParts(
        shared.configuration,
        shared.table,
        ConcurrencyLimits(shared.nodes),
        admission,
        Breakers(),
        leaving,
        RetryBudget(RetryLimits(decisions.retry_share)),
        suspects,
        residency.client,
        shared.engines,
        shared.timeline,
    )
    actions = ActionParts(
        shared.identity,
        shared.configuration,
        platform.claims,
        shared.in_flight,
        router,
        StayingServices(HttpServices(shared.client), leaving),
        shared.timeline,
    )
    door = FrontDoor(
        ServingParts(
            inference,
            actions,
            shared.configuration,
            shared.refusals,
            shared.timeline,
            shared.metrics.observe,
        )
    )
    return Serving(admission, suspects, door)


def make_digest(shared: Shared, door: FrontDoor) -> NodeDigest:
    """Return what this node tells its peers now."""
    return NodeDigest(
        shared.identity.node,
        shared.identity.incarnation,
        door.state,
        shared.configuration.current.generation,
        shared.in_flight.by_id(),
        shared.estimates.polled_by_id(),
    )


def make_status(shared: Shared, door: FrontDoor) -> Status:
    """Return the system as this node sees it now."""
    known = [shared.nodes.digest(lease.node) for lease in shared.nodes.alive()]
    own = make_digest(shared, door)
    others = [item for item in known if item and item.node != own.node]
    return Status(
        own.node,
        own.state,
        own.generation,
        door.in_flight,
        tuple(sorted([own, *others], key=lambda item: item.node)),
        shared.table.by_id(),
        shared.refusals.by_key(),
    )


def make_membership(
    shared: Shared,
    residency: Residency,
    serving: Serving,
    heads: Follower[ConfigurationHead],
) -> MembershipParts:
    """Return the parts that talk with other nodes."""

    def heard_generation(generation: Generation) -> None:
        if generation > shared.configuration.current.generation:
            shared.executors.loads.submit(heads.list_once)

    return MembershipParts(
        shared.nodes,
        shared.peers,
        shared.clock,
        functools.partial(make_digest, shared, serving.door),
        ResidencyDesk(residency.owner, residency.client.used_elsewhere).handle,
        heard_generation,
        serving.suspects,
    )


def make_app(shared: Shared, door: FrontDoor, configurator: Configurator) -> App:
    """Return the WSGI application."""
    access = shared.settings.access
    operator = OperatorParts(
        configurator,
        shared.configuration,
        shared.timeline,
        functools.partial(make_status, shared, door),
        shared.stop.set,
    )
    return App(
        Access(access.operator_tokens, access.caller_token_by_id),
        door,
        operator,
        shared.metrics,
    )


def make_node(settings: Settings) -> Node:
    """Return a node with all parts joined, nothing running yet but the timer."""
    shared = make_shared(settings)
    platform = make_platform(settings.platform, shared.client)
    residency = make_residency(shared, platform)
    serving = make_serving(shared, platform, residency)
    configurator = Configurator(
        platform.heads, platform.contents, shared.configuration, shared.timeline
    )
    heads = Follower(platform.heads, configurator.take_head)
    followers = (
        heads,
        Follower(platform.endpoints, functools.partial(_take_record, shared.table)),
        Follower(platform.leases, functools.partial(_take_lease, shared)),
    )
    return Node(
        shared,
        LeaseKeeper(
            platform.leases, shared.nodes, make_lease(settings, shared.identity)
        ),
        followers,
        make_vm_list(settings.platform, shared.client),
        residency,
        make_membership(shared, residency, serving, heads),
        serving.admission,
        serving.door,
        make_app(shared, serving.door, configurator),
    )


def _take_record(table: EndpointTable, stored: Stored[EndpointRecord]) -> None:
    if stored.record is not None:
        table.saw(stored.record, stored.version)


def _take_lease(shared: Shared, stored: Stored[NodeLease]) -> None:
    if stored.record is None:
        node = NodeId(stored.key)
        shared.nodes.forget(node)
        shared.peers.forget(node)
        return
    shared.nodes.saw(stored.record, stored.version)
    shared.peers.know(stored.record)
