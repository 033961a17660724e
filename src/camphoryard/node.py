"""The parts of one node and the factory functions that put them together."""

import functools
import math
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import structlog

from camphoryard.coordination.actions import ActionParts, act
from camphoryard.coordination.admission import (
    Admission,
    AdmissionPolicy,
    DeadlineFirst,
    FirstCome,
    Unlimited,
)
from camphoryard.coordination.breakers import Breakers
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.claim_settling import Settler
from camphoryard.coordination.claiming import ClaimParts
from camphoryard.coordination.concurrency_limits import ConcurrencyLimits
from camphoryard.coordination.configuring import Configurator
from camphoryard.coordination.currency import Currency
from camphoryard.coordination.demand import DemandMeter
from camphoryard.coordination.expiry import ExpiryParts, run_expiry
from camphoryard.coordination.explaining import explain
from camphoryard.coordination.gossip import (
    AllToAll,
    BoundedFanOut,
    Gossiper,
    GossipParts,
    GossipPolicy,
)
from camphoryard.coordination.inference import InferenceParts, infer
from camphoryard.coordination.job_running import JOBS_AT_ONCE, JobRunner, RunnerParts
from camphoryard.coordination.jobs import JobParts
from camphoryard.coordination.joining import Joiner, JoiningParts
from camphoryard.coordination.leaving import LeavingEndpoints, StayingServices
from camphoryard.coordination.load_estimates import LoadEstimates
from camphoryard.coordination.membership import MembershipParts
from camphoryard.coordination.merging import MergedTimeline, merge_timelines
from camphoryard.coordination.ownership import LeaseKeeper
from camphoryard.coordination.placement import (
    DemandPlacement,
    LoadOnDemand,
    PlacementPolicy,
    StaticPlacement,
)
from camphoryard.coordination.placing import Placer, PlacingParts
from camphoryard.coordination.ports import Engines, Records, Stored, VmList
from camphoryard.coordination.refusal_folding import RefusalFolder
from camphoryard.coordination.refusal_handover import RefusalHandover
from camphoryard.coordination.refusals import SECONDS_PER_MINUTE, RefusalCounter
from camphoryard.coordination.residency import (
    EndpointOwner,
    Identity,
    ResidencyDesk,
    ResidencyLimits,
    ResidencyParts,
)
from camphoryard.coordination.residency_client import ResidencyClient
from camphoryard.coordination.retry_budget import RetryBudget, RetryLimits
from camphoryard.coordination.risks import NodeView, SystemView, find_risks
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
from camphoryard.coordination.watching import (
    WATCH_WAIT_S,
    Follower,
    elected_watchers,
)
from camphoryard.coordination.weight_budget import (
    BudgetClient,
    BudgetPolicy,
    Paced,
    Unpaced,
)
from camphoryard.protocol.platform import (
    CLAIMS,
    ENDPOINT_RECORDS,
    HEADS,
    JOBS,
    LEASES,
    PARTS,
    REFUSALS,
)
from camphoryard.settings import (
    DecisionSettings,
    PeerSettings,
    PlatformSettings,
    SeedSettings,
    Settings,
)
from camphoryard.state.claims import Claim
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    EndpointId,
    Generation,
    Incarnation,
    NodeId,
    WriteId,
    Zone,
)
from camphoryard.state.jobs import Job
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.refusals import RefusalSheet
from camphoryard.state.requests import ActionAnswer, ActionRequest, InferenceRequest
from camphoryard.state.tables import ConfigurationHolder, EndpointTable, InFlightTable
from camphoryard.state.timeline import NANOSECONDS_PER_MILLISECOND, Event, HybridClock
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
NODE_TASKS = 32
CONFIRMATIONS_PER_LIMIT = 4
INCARNATION_CHARACTERS = 16

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
    budget: BudgetClient
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
    refusals: Records[RefusalSheet]
    open_jobs: Records[Job]
    finished_jobs: Records[Job]


@dataclass(frozen=True, slots=True)
class Residency:
    """Loading at owned endpoints, and asking for loads at any."""

    owner: EndpointOwner
    client: ResidencyClient


@dataclass(frozen=True, slots=True)
class Control:
    """Configuration and what nodes tell each other about it and themselves."""

    configurator: Configurator
    currency: Currency
    heads: Follower[ConfigurationHead]
    gossiper: Gossiper
    joiner: Joiner


@dataclass(frozen=True, slots=True)
class Serving:
    """The decisions about each request, and the front door before them."""

    admission: Admission
    suspects: Suspects
    inference: InferenceParts
    actions: ActionParts
    leaving: LeavingEndpoints
    door: FrontDoor


@dataclass(frozen=True, slots=True)
class Node:
    """All parts of one running node."""

    shared: Shared
    leases: LeaseKeeper
    followers: tuple[Follower[Any], ...]
    vm_list: VmList
    residency: Residency
    placer: Placer
    control: Control
    membership: MembershipParts
    admission: Admission
    door: FrontDoor
    settler: Settler
    refusal_folder: RefusalFolder
    background: tuple[Callable[[TimerService], None], ...]
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
        ThreadPoolExecutor(JOBS_AT_ONCE, "job"),
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


def make_gossip_policy(settings: PeerSettings) -> GossipPolicy:
    """Return the way of spreading news that the settings name."""
    match settings.gossip:
        case "all_to_all":
            return AllToAll()
        case "bounded_fan_out":
            return BoundedFanOut(
                settings.fan_out, settings.neighbours, settings.digests
            )


def make_seed_lease(seed: SeedSettings, lease_s: float) -> NodeLease:
    """Return what stands for a seed's lease until the seed tells its own."""
    return NodeLease(
        seed.id,
        Incarnation(""),
        Zone(""),
        seed.host,
        seed.port,
        seed.public_key,
        NodeState.STARTING,
        lease_s,
        WriteId(""),
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
    identity = Identity(
        settings.node.id, Incarnation(uuid4().hex[:INCARNATION_CHARACTERS])
    )
    executors = make_executors()
    client = HttpClient()
    clock = HybridClock()
    keys = make_curve_keys(settings.peers)
    nodes = NodeTable()
    in_flight = InFlightTable()
    estimates = LoadEstimates(identity.node, nodes, in_flight)
    serving = settings.serving
    limits = StreamLimits(serving.first_token_limit_s, serving.stall_s)
    peers = PeerNetwork(identity.node, keys, executors.peers, executors.handlers, clock)
    budget = make_budget_policy(settings.decisions)
    return Shared(
        settings,
        identity,
        executors,
        TimerService(),
        client,
        peers,
        HttpEngines(client, limits, estimates.polled),
        clock,
        Timeline(identity.node, clock, log_event),
        Metrics(),
        nodes,
        EndpointTable(),
        ConfigurationHolder(settings.configuration.stale_after_s),
        in_flight,
        estimates,
        VmTable(),
        DemandMeter(),
        BudgetClient(budget, identity.node, nodes, peers),
        RefusalCounter(identity.incarnation),
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
        ObjectRecords(api, "refusals/", REFUSALS),
        ObjectRecords(api, "jobs/open/", JOBS),
        ObjectRecords(api, "jobs/finished/", JOBS),
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
        shared.budget,
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


def make_placement_policy(settings: DecisionSettings) -> PlacementPolicy:
    """Return the placement policy that the settings name."""
    match settings.placement:
        case "static":
            return StaticPlacement()
        case "load_on_demand":
            return LoadOnDemand()
        case "demand":
            return DemandPlacement(move_cost_slots=settings.move_cost_slots)


def make_budget_policy(settings: DecisionSettings) -> BudgetPolicy:
    """Return how loads from the weight store are paced."""
    match settings.weight_budget:
        case "unpaced":
            return Unpaced()
        case "paced":
            return Paced(settings.weight_loads_per_s, settings.weight_loads_at_once)


def make_placer(shared: Shared, residency: Residency, serving: Serving) -> Placer:
    """Return the part that plans placement."""
    decisions = shared.settings.decisions

    def slots(endpoint: EndpointId) -> int:
        report = shared.estimates.report(endpoint)
        return (report.slots if report else 0) or decisions.engine_slots

    def takes_work(endpoint: EndpointId) -> bool:
        leaving = serving.leaving.is_leaving(endpoint)
        return not leaving and not shared.estimates.is_silent(endpoint)

    return Placer(
        PlacingParts(
            make_placement_policy(decisions),
            shared.identity.node,
            shared.nodes,
            shared.peers,
            shared.configuration,
            shared.table,
            shared.demand,
            shared.budget,
            slots,
            takes_work,
            residency.owner.start_moving,
            shared.executors.loads,
            shared.timeline,
        )
    )


def make_serving(
    shared: Shared, platform: Platform, residency: Residency, settler: Settler
) -> Serving:
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
        shared.demand,
        shared.engines,
        shared.timeline,
    )
    claiming = ClaimParts(
        shared.identity.incarnation,
        platform.claims,
        settler,
        shared.nodes,
        shared.timer,
        shared.timeline,
    )
    actions = ActionParts(
        shared.configuration,
        claiming,
        shared.in_flight,
        router,
        StayingServices(HttpServices(shared.client), leaving),
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
    return Serving(admission, suspects, inference, actions, leaving, door)


def make_job_parts(shared: Shared, platform: Platform) -> JobParts:
    """Return what jobs are accepted and found with."""
    return JobParts(
        shared.configuration,
        platform.open_jobs,
        platform.finished_jobs,
        shared.timeline,
    )


def make_job_runner(shared: Shared, jobs: JobParts, serving: Serving) -> JobRunner:
    """Return the part that runs jobs, as requests that are not a caller's own."""

    def run_inference(request: InferenceRequest) -> str:
        with serving.door.admitted():
            frames = infer(serving.inference, request, Cancellation())
            return "".join(frame.text for frame in frames)

    def run_action(request: ActionRequest) -> ActionAnswer:
        with serving.door.admitted():
            return act(serving.actions, request)

    return JobRunner(
        RunnerParts(
            shared.identity,
            shared.nodes,
            jobs,
            shared.timer,
            shared.executors.jobs,
            lambda: serving.door.state is NodeState.SERVING,
            run_inference,
            run_action,
        )
    )


def make_expiry(shared: Shared, platform: Platform) -> ExpiryParts:
    """Return what expires and who sees to it."""
    return ExpiryParts(
        shared.identity.node,
        shared.nodes,
        platform.claims,
        platform.finished_jobs,
        platform.refusals,
    )


def make_digest(shared: Shared, door: FrontDoor) -> NodeDigest:
    """Return what this node tells its peers now."""
    return NodeDigest(
        shared.identity.node,
        shared.identity.incarnation,
        door.state,
        shared.configuration.current.generation,
        shared.in_flight.by_id(),
        shared.estimates.polled_by_id(),
        time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND,
        shared.demand.by_item(),
    )


def view_nodes(
    shared: Shared, door: FrontDoor, currency: Currency
) -> tuple[NodeView, ...]:
    """Return all nodes known, sorted by id."""
    own = shared.identity.node
    alive = {lease.node for lease in shared.nodes.alive()}
    views = [
        NodeView(
            own, door.state, shared.configuration.current.generation, True, False, 0.0
        )
    ]
    for lease in shared.nodes.all():
        if lease.node == own:
            continue
        digest = shared.nodes.digest(lease.node)
        views.append(
            NodeView(
                lease.node,
                digest.state if digest else lease.state,
                digest.generation if digest else Generation(0),
                lease.node in alive,
                shared.vms.is_gone(lease.node),
                currency.node_age_s(lease.node),
            )
        )
    return tuple(sorted(views, key=lambda item: item.node))


def make_status(shared: Shared, door: FrontDoor, currency: Currency) -> Status:
    """Return the system as this node sees it now."""
    nodes = view_nodes(shared, door, currency)
    age_s = shared.configuration.confirmed_age_s()
    view = SystemView(
        shared.identity.node,
        shared.configuration.current,
        shared.configuration.is_current(),
        currency.store_age_s(),
        nodes,
        shared.table.by_id(),
        shared.refusals.by_key(),
        int(time.time() // SECONDS_PER_MINUTE),
    )
    return Status(
        view.own,
        door.state,
        view.configuration.generation,
        door.in_flight,
        None if math.isinf(age_s) else age_s,
        view.store_age_s,
        nodes,
        view.records_by_endpoint,
        view.refusals_by_key,
        find_risks(view),
    )


def make_currency(shared: Shared) -> Currency:
    """Return what dates the last confirmation of the configuration."""

    def members() -> set[NodeId]:
        known = {lease.node for lease in shared.nodes.all()}
        return {node for node in known if not shared.vms.is_gone(node)}

    return Currency(
        shared.identity.node,
        shared.configuration,
        members,
        shared.settings.configuration.stale_after_s,
    )


def make_heads(
    shared: Shared, platform: Platform, configurator: Configurator, currency: Currency
) -> Follower[ConfigurationHead]:
    """Return the task that follows the accepted configuration."""
    settings = shared.settings.configuration
    own = shared.settings.node
    confirm_s = settings.stale_after_s / CONFIRMATIONS_PER_LIMIT

    def answering(answers: bool) -> None:
        name = "object_api_answers" if answers else "object_api_silent"
        shared.timeline.record(name)

    def elected() -> bool:
        if not settings.watchers_per_zone:
            return True
        if shared.configuration.confirmed_age_s() > settings.stale_after_s / 2:
            return True
        alive = shared.nodes.alive()
        return own.id in elected_watchers(own.zone, alive, settings.watchers_per_zone)

    return Follower(
        platform.heads,
        configurator.take_head,
        currency.store_confirmed,
        elected,
        min(WATCH_WAIT_S, confirm_s),
        answering,
    )


def make_control(shared: Shared, platform: Platform, door: FrontDoor) -> Control:
    """Return the parts that agree on the configuration with other nodes."""
    settings = shared.settings.peers
    lease = make_lease(shared.settings, shared.identity)
    currency = make_currency(shared)

    def may_accept() -> None:
        members = {NodeId(item.key) for item in platform.leases.list().items}
        gone = {node for node in members if shared.vms.is_gone(node)}
        currency.require_majority(members - gone)

    configurator = Configurator(
        platform.heads,
        platform.contents,
        shared.configuration,
        shared.timeline,
        may_accept,
        lambda: gossiper.wake(),
    )
    heads = make_heads(shared, platform, configurator, currency)
    joiner = Joiner(
        JoiningParts(
            lease,
            [make_seed_lease(seed, settings.lease_s) for seed in settings.seeds],
            shared.nodes,
            shared.peers,
            shared.peers.know,
            configurator,
            shared.configuration,
            shared.table,
            heads.list_once,
            shared.executors.loads,
        )
    )
    gossiper = Gossiper(
        GossipParts(
            lease,
            shared.nodes,
            shared.peers,
            currency,
            functools.partial(make_digest, shared, door),
            joiner.catch_up,
            joiner.learn_leases,
        ),
        make_gossip_policy(settings),
        settings.gossip_period_s,
    )
    return Control(configurator, currency, heads, gossiper, joiner)


def make_membership(
    shared: Shared,
    residency: Residency,
    serving: Serving,
    control: Control,
    folder: RefusalFolder,
) -> MembershipParts:
    """Return the parts that handle messages of other nodes."""
    return MembershipParts(
        control.gossiper,
        control.joiner,
        control.configurator,
        shared.timeline,
        functools.partial(make_digest, shared, serving.door),
        ResidencyDesk(residency.owner, residency.client.used_elsewhere).handle,
        serving.suspects,
        folder.hold,
        residency.owner.start_moving,
        shared.budget.grant,
    )


def make_app(
    shared: Shared,
    door: FrontDoor,
    control: Control,
    folder: RefusalFolder,
    jobs: JobParts,
) -> App:
    """Return the WSGI application."""
    access = shared.settings.access

    def timeline(wanted: Mapping[str, str]) -> MergedTimeline:
        others = [
            lease.node
            for lease in shared.nodes.all()
            if lease.node != shared.identity.node
        ]
        return merge_timelines(
            shared.timeline, others, shared.peers, shared.executors.loads, wanted
        )

    operator = OperatorParts(
        control.configurator,
        shared.configuration,
        timeline,
        lambda caller, target: explain(
            shared.configuration.current, shared.table, caller, target
        ),
        functools.partial(make_status, shared, door, control.currency),
        shared.stop.set,
        folder.total,
    )
    return App(
        Access(access.operator_tokens, access.caller_token_by_id),
        door,
        operator,
        shared.metrics,
        jobs,
    )


def make_node(settings: Settings) -> Node:
    """Return a node with all parts joined, nothing running yet but the timer."""
    shared = make_shared(settings)
    platform = make_platform(settings.platform, shared.client)
    residency = make_residency(shared, platform)
    settler = Settler(platform.claims, shared.timeline)
    serving = make_serving(shared, platform, residency, settler)
    folder = RefusalFolder(platform.refusals, shared.refusals, shared.nodes)
    handover = RefusalHandover(
        shared.identity.node, shared.refusals, shared.nodes, shared.peers
    )
    jobs = make_job_parts(shared, platform)
    runner = make_job_runner(shared, jobs, serving)
    expiry = make_expiry(shared, platform)
    control = make_control(shared, platform, serving.door)
    followers = (
        control.heads,
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
        make_placer(shared, residency, serving),
        control,
        make_membership(shared, residency, serving, control, folder),
        serving.admission,
        serving.door,
        settler,
        folder,
        (
            settler.run,
            handover.run,
            folder.run,
            runner.run,
            functools.partial(run_expiry, expiry),
        ),
        make_app(shared, serving.door, control, folder, jobs),
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
