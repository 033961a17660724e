"""Construction of an entry daemon from its components."""

import functools
import math
import sys
import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn
from uuid import uuid4

import msgspec
import zmq

from camphoryard.coordination.admission.client_memory import (
    ClientMemory,
    make_client_memory,
)
from camphoryard.coordination.admission.quota_shares import QuotaShares
from camphoryard.coordination.admission.sharing_policy import account_policy
from camphoryard.coordination.dispatch.dispatcher import Dispatcher, DispatcherContext
from camphoryard.coordination.dispatch.turns import (
    FleetTurns,
    TurnsContext,
    record_message,
)
from camphoryard.coordination.fleet.account_quotas import (
    AccountLimits,
    SharedAccountQuotas,
)
from camphoryard.coordination.fleet.crash_sharing import CrashSharing
from camphoryard.coordination.fleet.endpoint_relaying import EndpointRelaying
from camphoryard.coordination.fleet.endpoint_roles import EndpointReading, endpoint_role
from camphoryard.coordination.fleet.fleet_gossip import (
    FleetGossip,
    Mesh,
    Star,
    gossip_topology,
)
from camphoryard.coordination.fleet.fleet_size import FleetSize
from camphoryard.coordination.fleet.node_registration import (
    NodeRegistration,
    apply_lease,
    is_node_watch_due,
)
from camphoryard.coordination.fleet.quota_sharing import QuotaSharing
from camphoryard.coordination.fleet.retry_recorder import RetryRecorder
from camphoryard.coordination.fleet.rules_following import (
    RulesFetcher,
    RulesFollowing,
)
from camphoryard.coordination.fleet.shared_endpoint_room import (
    SharedEndpointRoom,
    endpoint_policy,
)
from camphoryard.coordination.forwarding.account_counts import AccountCounts
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
    QuotaRequest,
    QuotaTake,
    Reply,
)
from camphoryard.coordination.placement.demand import DemandMeter, SystemDemand
from camphoryard.coordination.ports import Records
from camphoryard.coordination.record_watcher import RecordWatcher
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.coordination.routing.endpoint_notices import EndpointNotices
from camphoryard.coordination.routing.first_events import FirstEventTracker
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.retry_window import RetryWindow
from camphoryard.entry.reloading import LiveSettings
from camphoryard.entry.settings import EntrySettings
from camphoryard.platform.dialect import SINGLE_ANSWER_FIELDS, PlatformDialect
from camphoryard.platform.engines import PlatformEngines
from camphoryard.platform.settings import read_entry_settings
from camphoryard.platform.store import (
    ERA_HEADER,
    MAX_WAIT_S,
    WATCH_GRACE_S,
    StoreRecords,
)
from camphoryard.platform.traffic import (
    CONFIG_KIND,
    ENDPOINT_KIND,
    decode_endpoint,
    decode_rules,
)
from camphoryard.state.directory import Directory
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    RunEnded,
    Withdrawn,
)
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import Incarnation, NodeId, ObjectKey, ServiceId, WriteId
from camphoryard.state.leadership import LeadershipRecord, PeerKeys
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.quotas import QuotaKind
from camphoryard.state.retry_reserve import RetryReserveUse
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.store_eras import NewestEra
from camphoryard.state.tables import InFlightTable
from camphoryard.state.timeline import HybridClock
from camphoryard.state.traffic import TrafficRules
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
"""More than the nodes of the largest planned fleet: each peer has its own task."""
HANDLER_TASKS = 256
NODE_TASKS = 64
RANKS_SHOWN = range(5)
"""Ranks whose waiting requests are shown; engines know no more of them."""
ENDPOINT_BATCH_S = 2.0
"""Maximum time in which changes of endpoints are batched into one watch call. The loads
that change them take seconds."""
ENDPOINT_BATCH_DRAIN_FRACTION = 0.5
"""Maximum of the same time as a fraction of ``drain_s``, the time within which requests
to a draining endpoint must stop."""
RELAY_AGE_DRAIN_FRACTION = 0.6
"""How old a relayed view of the endpoints may become before a node lists the store, as
a fraction of ``drain_s``. The rest is for noticing it and for the listing."""
MIN_WATCH_WAIT_S = 0.5
APPLY_FRACTION = 0.75
"""Part of the time for a new configuration that a watch may take up after an outage.
Endpoints that are missing after an outage have a grace period, so the endpoints must
be listed before that time begins."""
RULES_FETCH_APPLY_FRACTION = 0.5
"""Period of the fetches of the configuration beside a silent watch without a leader, as
a fraction of the time for a new configuration."""
RELIST_TIME_S = 0.5
"""Time from a failed watch to the listing that follows it."""
NODES_WAIT_S = 5.0
"""How long one watch of the nodes may wait. Peers that end are noticed by their gossip;
only nodes that join are learned from the store."""
NODES_BATCH_S = 1.0
"""Time in which changes of nodes are batched into one watch call. Without it, each node
would fetch every start separately while the whole fleet restarts."""
PEER_TIMEOUT_S = 1.5
"""Time without gossip after which a peer counts as unresponsive; six gossip periods."""
LEADERSHIP_KEY = ObjectKey("ordering")
NODE_KIND = "camphoryard-nodes"
LEADERSHIP_KIND = "camphoryard-duties"
KEY_KIND = "camphoryard-keys"
RETRY_KIND = "camphoryard-retries"
INCARNATION_CHARACTERS = 16
DEMAND_TIME_CONSTANT_S = 2.0
"""Time constant of the demand estimate that model placement follows."""


@dataclass(frozen=True, slots=True)
class Executors:
    """Thread pools, one for each kind of task."""

    connections: ThreadPoolExecutor
    peers: ThreadPoolExecutor
    handlers: ThreadPoolExecutor
    node: ThreadPoolExecutor


@dataclass(frozen=True, slots=True)
class Entry:
    """The components of one entry daemon."""

    live_settings: LiveSettings
    log: LineLog
    metrics: Metrics
    timer: TimerService
    newest_era: NewestEra
    client: HttpClient
    store_client: HttpClient
    client_memory: ClientMemory
    directory: Directory
    feed: DirectoryFeed
    watchers: tuple[RecordWatcher[Any], ...]
    rules_fetcher: RulesFetcher
    peers: PeerNetwork
    keys: Records[PeerKeys]
    own_keys: PeerKeys
    lease: NodeLease
    registration: NodeRegistration
    gossip: FleetGossip
    leader_lease: LeaderLease
    load_controller: LoadController
    item_locator: ItemLocator
    dispatcher: Dispatcher
    crash_sharing: CrashSharing
    retry_recorder: RetryRecorder
    quotas_by_kind: Mapping[QuotaKind, QuotaSharing]
    app: FrontApp
    readiness: ReadinessApp
    executors: Executors
    stop: threading.Event

    @property
    def settings(self) -> EntrySettings:
        """The current settings."""
        return self.live_settings.current


def make_entry(path: Path) -> Entry:
    """Return an entry daemon of which only the timer is running.

    Raises
    ------
    SettingsError
        If the settings file is unreadable or invalid; the message names the field.
    """
    settings = read_entry_settings(path)
    log = LineLog(settings.node, sys.stdout)
    live_settings = LiveSettings(path, settings, read_entry_settings, log)
    metrics = Metrics()
    timer = TimerService()
    # Answers of endpoints never wait for memory that those of the store take, or the
    # other way round.
    client = HttpClient(single_fields=SINGLE_ANSWER_FIELDS)
    store_client = HttpClient(single_fields={ERA_HEADER})
    metrics.add_gauge("endpoint_connections_opened", lambda: client.opened_connections)
    metrics.add_gauge("endpoint_answers_skipped", lambda: client.skipped_answers)
    metrics.add_gauge("endpoint_connections_unread", lambda: client.unread_connections)
    client_memory = make_client_memory(settings.vm_limits.memory_mb)
    metrics.add_gauge("client_memory_bytes", lambda: client_memory.held_bytes)
    executors = _make_executors()
    directory = Directory()
    feed = DirectoryFeed(directory, log)
    in_flight = InFlightTable()
    nodes = NodeTable()
    fleet_size = FleetSize(nodes)
    demand = DemandMeter(fast_time_constant_s=DEMAND_TIME_CONSTANT_S)
    crashed_parts = CrashedParts(log)
    crash_counter = CrashCounter(log=log)
    notices = EndpointNotices(directory, log)
    estimates = LoadEstimates(settings.node, nodes, in_flight)
    incarnation = Incarnation(uuid4().hex[:INCARNATION_CHARACTERS])
    own_keys = _make_keys()
    relaying = EndpointRelaying(
        incarnation,
        feed,
        directory,
        settings.bounds.drain_s * RELAY_AGE_DRAIN_FRACTION,
    )
    peers = PeerNetwork(
        settings.node, None, executors.peers, executors.handlers, HybridClock()
    )
    newest_era = NewestEra()
    records = functools.partial(_make_records, store_client, settings, log, newest_era)
    leases = records(NODE_KIND, NodeLease)
    gossip: FleetGossip
    load_controller: LoadController
    nodes_watcher: RecordWatcher[NodeLease]
    leader_lease = LeaderLease(
        records(LEADERSHIP_KIND, LeadershipRecord),
        LEADERSHIP_KEY,
        settings.node,
        incarnation,
        settings.bounds.handover_s,
        settings.bounds.engines_check_fences,
        newest_era,
        lambda: gossip.newest_term(),
        lambda: gossip.is_standby(),
        log,
    )
    account_limits = AccountLimits(
        lambda: directory.rules.accounts if directory.rules else None,
        settings.bounds.quota_window_s,
    )
    quota_policy = account_policy(settings.bounds.quota_window_s)
    shares = QuotaShares(
        quota_policy,
        lambda: fleet_size.count() if math.isfinite(nodes_watcher.age_s()) else 0,
    )
    make_sharing = functools.partial(
        QuotaSharing,
        settings.node,
        incarnation,
        is_first_start=settings.is_first_start,
        peers=peers,
        lease=leader_lease,
        log=log,
        count=metrics.count,
        listed=lambda: _listed_nodes(nodes, nodes_watcher, newest_era),
    )
    quotas = make_sharing(
        QuotaKind.ACCOUNT, quota_policy, limits=account_limits, shares=shares
    )
    limit_sharing = make_sharing(
        QuotaKind.ENDPOINT,
        endpoint_policy(),
        limits=notices.limits,
        shares=QuotaShares(endpoint_policy(), fleet_size.count),
    )
    room = SharedEndpointRoom(limit_sharing, notices.limits, log, metrics.count)
    metrics.add_gauge("quota_renewal_age_seconds", shares.renewed_age_s)
    rules_wait_s = (
        watch_wait_s(settings.bounds.stable_window_s)
        + settings.bounds.apply_s * APPLY_FRACTION
    )
    rules_following = RulesFollowing(
        lambda: endpoint_role(gossip, relaying, directory),
        rules_wait_s,
        settings.bounds.apply_s * RULES_FETCH_APPLY_FRACTION,
        lambda: feed.rules_version,
    )
    gossip = FleetGossip(
        settings.node,
        incarnation,
        nodes,
        peers,
        in_flight,
        demand,
        estimates,
        lambda: leader_lease.claimed_term,
        lambda: load_controller.unloads_by_endpoint(),
        directory.record_unloads,
        crashed_parts,
        crash_counter,
        directory,
        quotas=(quotas, limit_sharing),
        relaying=relaying,
        link_mbps=settings.vm_limits.link_mbps,
        rules=rules_following,
        limits=notices.limits,
    )
    system_demand = SystemDemand(settings.node, nodes, demand)
    load_controller = LoadController(
        LoadControlContext(
            settings.node,
            directory,
            leader_lease,
            PlatformEngines(client, notices, room),
            system_demand.by_item,
            estimates.load,
            executors.node,
            timer,
            log,
            metrics.count,
            settings.bounds.load_limits,
        )
    )
    item_locator = ItemLocator(
        ItemLocatorContext(
            settings.node, directory, load_controller, peers, gossip.leader, demand, log
        )
    )
    crash_sharing = CrashSharing(
        settings.node, nodes, peers, crash_counter, crashed_parts, gossip.leader, log
    )
    dialect = PlatformDialect()
    retries: RetryWindow[ServiceId] = RetryWindow(
        settings.bounds.repeat_limits,
        fleet_size.count,
    )
    retries.hold_reserve()
    live_settings.subscribe(lambda bounds: retries.limit(bounds.repeat_limits))
    live_settings.subscribe(lambda bounds: load_controller.limit(bounds.load_limits))
    nodes_watcher = RecordWatcher(
        leases,
        functools.partial(apply_lease, nodes, peers),
        wait_s=NODES_WAIT_S,
        batch_s=NODES_BATCH_S,
        is_due=lambda period: is_node_watch_due(
            gossip_topology(len(nodes.all())),
            settings.node,
            gossip.leader(),
            period,
        ),
        name="nodes",
        log=log,
    )
    retry_recorder = RetryRecorder(
        settings.node,
        records(RETRY_KIND, RetryReserveUse),
        retries,
        newest_era,
        fleet_size,
        lambda: math.isfinite(nodes_watcher.age_s()),
        log,
    )
    reading = EndpointReading(
        gossip,
        relaying,
        directory,
        min(ENDPOINT_BATCH_S, settings.bounds.drain_s * ENDPOINT_BATCH_DRAIN_FRACTION),
        log,
    )
    rules = _make_rules_records(store_client, settings, log, newest_era)
    watchers = (
        RecordWatcher(
            rules,
            feed.apply_rules,
            wait_s=MAX_WAIT_S,
            max_wait_s=rules_following.max_wait_s,
            name="configuration",
            log=log,
        ),
        _make_endpoints_watcher(
            store_client,
            settings,
            log,
            newest_era,
            feed,
            relaying,
            reading,
        ),
        nodes_watcher,
    )
    for watcher in watchers:
        metrics.add_gauge(f"{watcher.name}_age_seconds", watcher.age_s)
    # A view may also be kept up to date by the leader.
    metrics.add_gauge("endpoints_age_seconds", directory.endpoints_age_s)
    dispatcher = Dispatcher(
        DispatcherContext(
            directory,
            lambda: {settings.node, *(lease.node for lease in nodes.alive())},
            lambda: bool(leader_lease.claimed_term),
            estimates.load,
            log,
            metrics.observe,
            metrics.count,
        )
    )
    for rank in RANKS_SHOWN:
        metrics.add_gauge(
            f"turns_waiting_rank_{rank}",
            functools.partial(dispatcher.count_waiting, rank),
        )
    turns = FleetTurns(
        TurnsContext(
            settings.node,
            directory,
            dispatcher,
            peers,
            gossip.leader,
            lambda: len(nodes.all()),
            log,
            metrics.count,
        )
    )
    context = ForwardingContext(
        directory,
        EndpointChooser(
            settings.zone, estimates.load, lambda: _choice_policy(len(nodes.all()))
        ),
        in_flight,
        Breakers(),
        FirstEventTracker(),
        retries,
        HttpUpstream(client, dialect),
        item_locator,
        crash_counter,
        crashed_parts,
        notices,
        crash_sharing.send,
        log,
        metrics.observe,
        metrics.count,
        account_counts=AccountCounts(metrics.count_labelled),
        quotas=SharedAccountQuotas(quotas, account_limits, log, metrics.count),
        turns=turns,
        room=room,
    )
    return Entry(
        live_settings,
        log,
        metrics,
        timer,
        newest_era,
        client,
        store_client,
        client_memory,
        directory,
        feed,
        watchers,
        RulesFetcher(rules, feed.apply_rules, rules_following, log),
        peers,
        records(KEY_KIND, PeerKeys),
        own_keys,
        _make_node_lease(settings, incarnation),
        NodeRegistration(leases, log),
        gossip,
        leader_lease,
        load_controller,
        item_locator,
        dispatcher,
        crash_sharing,
        retry_recorder,
        {item.kind: item for item in (quotas, limit_sharing)},
        FrontApp(context, dialect),
        ReadinessApp(lambda: directory.is_ready, metrics),
        executors,
        threading.Event(),
    )


def handle(entry: Entry, message: Message) -> Reply:
    """Handle a message from a peer and return the reply."""
    match message:
        case Gossip() as gossip:
            entry.gossip.receive(gossip)
            return Done()
        case ItemRequest() as item_request:
            return answer_item_request(entry.load_controller, item_request)
        case DispatchRequest() as dispatch_request:
            return entry.dispatcher.ask(dispatch_request)
        case FirstEventSeen() | RunEnded() | Withdrawn():
            record_message(entry.dispatcher, message)
            return Done()
        case CrashReport() as report:
            entry.crash_sharing.receive(report)
            return Done()
        case QuotaRequest() as quota_request:
            return entry.quotas_by_kind[quota_request.kind].answer(quota_request)
        case QuotaTake() as quota_take:
            return entry.quotas_by_kind[quota_take.kind].take_for_peer(quota_take)
        case _:
            return Declined("unexpected message type for an entry daemon")


def _make_rules_records(
    client: HttpClient, settings: EntrySettings, log: LineLog, newest_era: NewestEra
) -> StoreRecords[TrafficRules]:
    """Return the operators' configuration."""
    store = Address(settings.store.host, settings.store.port)
    return StoreRecords(
        client, store, CONFIG_KIND, decode_rules, _reject_write, log, newest_era
    )


def _make_endpoints_watcher(
    client: HttpClient,
    settings: EntrySettings,
    log: LineLog,
    newest_era: NewestEra,
    feed: DirectoryFeed,
    relaying: EndpointRelaying,
    reading: EndpointReading,
) -> RecordWatcher[ServingEndpoint]:
    """Return the watcher that keeps the endpoints up to date."""
    store = Address(settings.store.host, settings.store.port)
    return RecordWatcher(
        StoreRecords(
            client,
            store,
            ENDPOINT_KIND,
            decode_endpoint,
            _reject_write,
            log,
            newest_era,
        ),
        feed.apply_endpoint,
        relaying.confirm,
        is_elected=reading.reads_store,
        wait_s=watch_wait_s(settings.bounds.stable_window_s),
        on_availability_change=feed.record_availability,
        batch_s=reading.tick_s,
        is_due=reading.is_due,
        on_listing=relaying.apply_listing,
        on_changes=relaying.apply_changes,
        max_wait_s=reading.max_wait_s,
        name="endpoints",
        log=log,
    )


def watch_wait_s(within_s: float) -> float:
    """Return how long a watch may wait, in seconds.

    A watch that the store will never answer delays the next listing until its wait and
    grace are over, so that the view is current again ``within_s`` seconds later.
    """
    return max(MIN_WATCH_WAIT_S, within_s - WATCH_GRACE_S - RELIST_TIME_S)


def _choice_policy(nodes: int) -> ChoicePolicy:
    """Return how endpoints are chosen in a fleet of ``nodes`` nodes."""
    match gossip_topology(nodes):
        case Mesh():
            return LeastLoaded()
        case Star():
            return ByFreeSlots()


def _listed_nodes(
    nodes: NodeTable, watcher: RecordWatcher[NodeLease], newest_era: NewestEra
) -> frozenset[NodeId] | None:
    """Return the nodes in the store, or None before a listing or after a restore.

    A restored store may have lost nodes that live.
    """
    if newest_era.has_changed or not math.isfinite(watcher.age_s()):
        return None
    return frozenset(lease.node for lease in nodes.all())


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


def _make_node_lease(settings: EntrySettings, incarnation: Incarnation) -> NodeLease:
    return NodeLease(
        settings.node,
        incarnation,
        settings.zone,
        settings.host,
        settings.peer_ports[0],
        "",
        NodeState.SERVING,
        PEER_TIMEOUT_S,
        WriteId(incarnation),
        link_mbps=settings.vm_limits.link_mbps,
    )


def _make_records(
    client: HttpClient,
    settings: EntrySettings,
    log: LineLog,
    newest_era: NewestEra,
    kind: str,
    record_type: Any,
) -> StoreRecords[Any]:
    """Return the records of a kind that only camphoryard uses, encoded as JSON."""
    decoder = msgspec.json.Decoder(record_type)
    return StoreRecords(
        client,
        Address(settings.store.host, settings.store.port),
        kind,
        lambda _, spec: decoder.decode(spec),
        msgspec.json.encode,
        log,
        newest_era,
    )


def _reject_write(record: object) -> NoReturn:
    raise TypeError(f"{type(record).__name__} is read-only: the platform writes it")
