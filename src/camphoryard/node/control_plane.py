"""The control plane of a node: configuration, gossip and joining."""

import functools
from dataclasses import dataclass

from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.coordination.lost_records import LostRecordWriter
from camphoryard.coordination.membership.gossip import GossipContext, Gossiper
from camphoryard.coordination.membership.joining import Joiner, JoiningContext
from camphoryard.coordination.membership.peer_messages import PeerMessageContext
from camphoryard.coordination.membership.startup_announcement import StartupAnnouncer
from camphoryard.coordination.record_watcher import (
    WATCH_WAIT_S,
    RecordWatcher,
    elected_watchers,
)
from camphoryard.coordination.refusals.refusal_persistence import RefusalPersister
from camphoryard.coordination.residency.endpoint_owner import ResidencyHandler
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.node.platform import Platform
from camphoryard.node.policies import make_gossip_policy
from camphoryard.node.residency import Residency
from camphoryard.node.serving import Serving
from camphoryard.node.shared import SharedContext
from camphoryard.node.views import make_digest
from camphoryard.settings import SeedSettings, Settings
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import Incarnation, NodeId, WriteId, Zone
from camphoryard.state.nodes import NodeLease

CONFIRMATIONS_PER_LIMIT = 4


@dataclass(frozen=True, slots=True)
class ControlPlane:
    """Agreement on the configuration, gossip with peers, and joining the fleet."""

    configurator: Configurator
    freshness: ConfigurationFreshness
    head_watcher: RecordWatcher[ConfigurationHead]
    lost_changes: LostRecordWriter
    gossiper: Gossiper
    joiner: Joiner
    announcer: StartupAnnouncer


def make_seed_lease(seed: SeedSettings, lease_s: float) -> NodeLease:
    """Return a placeholder for a seed's lease, used until the seed sends its own."""
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
    """Return the initial lease of this node."""
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
        advertised_host=settings.peers.advertised_host,
        advertised_port=settings.peers.advertised_port,
    )


def make_freshness(shared: SharedContext) -> ConfigurationFreshness:
    """Return the tracker of when the configuration was last confirmed."""

    def members() -> set[NodeId]:
        all_nodes = {lease.node for lease in shared.nodes.all()}
        return {node for node in all_nodes if not shared.vms.is_gone(node)}

    return ConfigurationFreshness(
        shared.identity.node,
        shared.configuration,
        members,
        shared.settings.configuration.stale_after_s,
    )


def make_head_watcher(
    shared: SharedContext,
    platform: Platform,
    configurator: Configurator,
    freshness: ConfigurationFreshness,
) -> RecordWatcher[ConfigurationHead]:
    """Return the watcher of the accepted configuration's head."""
    settings = shared.settings.configuration
    own = shared.settings.node
    confirm_s = settings.stale_after_s / CONFIRMATIONS_PER_LIMIT

    def record_availability(is_available: bool) -> None:
        name = "object_api_answers" if is_available else "object_api_silent"
        shared.timeline.record(name)

    def is_elected() -> bool:
        if not settings.watchers_per_zone:
            return True
        if shared.configuration.confirmed_age_s() > settings.stale_after_s / 2:
            return True
        alive = shared.nodes.alive()
        return own.id in elected_watchers(own.zone, alive, settings.watchers_per_zone)

    return RecordWatcher(
        platform.heads,
        configurator.apply_head,
        freshness.store_confirmed,
        is_elected,
        min(WATCH_WAIT_S, confirm_s),
        record_availability,
    )


def make_control_plane(
    shared: SharedContext, platform: Platform, serving: Serving
) -> ControlPlane:
    """Return the control plane of a node."""
    settings = shared.settings.peers
    lease = make_lease(shared.settings, shared.identity)
    freshness = make_freshness(shared)

    def require_majority() -> None:
        members = {NodeId(item.key) for item in platform.leases.list().items}
        gone = {node for node in members if shared.vms.is_gone(node)}
        freshness.require_majority(members - gone)

    configurator = Configurator(
        platform.heads,
        platform.contents,
        shared.configuration,
        shared.timeline,
        require_majority,
        lambda: gossiper.wake(),
        shared.restores,
    )
    head_watcher = make_head_watcher(shared, platform, configurator, freshness)
    joiner = Joiner(
        JoiningContext(
            lease,
            [make_seed_lease(seed, settings.lease_s) for seed in settings.seeds],
            shared.nodes,
            shared.peers,
            shared.peers.set_address,
            configurator,
            shared.configuration,
            shared.endpoint_table,
            head_watcher.list_once,
            serving.suspects,
            shared.executors.loads,
        )
    )
    gossiper = Gossiper(
        GossipContext(
            lease,
            shared.nodes,
            shared.peers,
            freshness,
            functools.partial(make_digest, shared, serving.gateway, serving.suspects),
            joiner.catch_up,
            joiner.fetch_leases,
            serving.suspects.adopt,
        ),
        make_gossip_policy(settings),
        settings.gossip_period_s,
    )
    announcer = StartupAnnouncer(
        shared.identity.node,
        shared.nodes,
        joiner.announce,
        shared.executors.loads,
        serving.suspects.mark_synced,
    )
    return ControlPlane(
        configurator,
        freshness,
        head_watcher,
        LostRecordWriter(configurator.write_again, shared.restores),
        gossiper,
        joiner,
        announcer,
    )


def make_peer_message_context(
    shared: SharedContext,
    residency: Residency,
    serving: Serving,
    control_plane: ControlPlane,
    persister: RefusalPersister,
) -> PeerMessageContext:
    """Return the collaborators that handle messages from other nodes."""
    return PeerMessageContext(
        control_plane.gossiper,
        control_plane.joiner,
        control_plane.configurator,
        shared.timeline,
        functools.partial(make_digest, shared, serving.gateway, serving.suspects),
        ResidencyHandler(residency.owner, residency.usage.record_peer_use).handle,
        serving.suspects,
        persister.store_copy,
        residency.owner.start_move,
        shared.budget.grant,
    )
