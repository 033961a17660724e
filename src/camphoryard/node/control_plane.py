"""Configuration, and what nodes tell each other about it and themselves."""

import functools
from dataclasses import dataclass

from camphoryard.coordination.configuration.configurator import Configurator
from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
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
from camphoryard.node.shared import Shared
from camphoryard.node.views import make_digest
from camphoryard.settings import SeedSettings, Settings
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import Incarnation, NodeId, WriteId, Zone
from camphoryard.state.nodes import NodeLease

CONFIRMATIONS_PER_LIMIT = 4


@dataclass(frozen=True, slots=True)
class Control:
    """Configuration and what nodes tell each other about it and themselves."""

    configurator: Configurator
    freshness: ConfigurationFreshness
    heads: RecordWatcher[ConfigurationHead]
    gossiper: Gossiper
    joiner: Joiner
    greeter: StartupAnnouncer


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
        advertised_host=settings.peers.advertised_host,
        advertised_port=settings.peers.advertised_port,
    )


def make_freshness(shared: Shared) -> ConfigurationFreshness:
    """Return what dates the last confirmation of the configuration."""

    def members() -> set[NodeId]:
        known = {lease.node for lease in shared.nodes.all()}
        return {node for node in known if not shared.vms.is_gone(node)}

    return ConfigurationFreshness(
        shared.identity.node,
        shared.configuration,
        members,
        shared.settings.configuration.stale_after_s,
    )


def make_heads(
    shared: Shared,
    platform: Platform,
    configurator: Configurator,
    freshness: ConfigurationFreshness,
) -> RecordWatcher[ConfigurationHead]:
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

    return RecordWatcher(
        platform.heads,
        configurator.apply_head,
        freshness.store_confirmed,
        elected,
        min(WATCH_WAIT_S, confirm_s),
        answering,
    )


def make_control(shared: Shared, platform: Platform, serving: Serving) -> Control:
    """Return the parts that agree on the configuration with other nodes."""
    settings = shared.settings.peers
    lease = make_lease(shared.settings, shared.identity)
    freshness = make_freshness(shared)

    def may_accept() -> None:
        members = {NodeId(item.key) for item in platform.leases.list().items}
        gone = {node for node in members if shared.vms.is_gone(node)}
        freshness.require_majority(members - gone)

    configurator = Configurator(
        platform.heads,
        platform.contents,
        shared.configuration,
        shared.timeline,
        may_accept,
        lambda: gossiper.wake(),
    )
    heads = make_heads(shared, platform, configurator, freshness)
    joiner = Joiner(
        JoiningContext(
            lease,
            [make_seed_lease(seed, settings.lease_s) for seed in settings.seeds],
            shared.nodes,
            shared.peers,
            shared.peers.set_address,
            configurator,
            shared.configuration,
            shared.table,
            heads.list_once,
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
            functools.partial(make_digest, shared, serving.door),
            joiner.catch_up,
            joiner.fetch_leases,
        ),
        make_gossip_policy(settings),
        settings.gossip_period_s,
    )
    greeter = StartupAnnouncer(
        shared.identity.node,
        shared.nodes,
        joiner.announce,
        shared.executors.loads,
        serving.suspects.mark_synced,
    )
    return Control(configurator, freshness, heads, gossiper, joiner, greeter)


def make_membership(
    shared: Shared,
    residency: Residency,
    serving: Serving,
    control: Control,
    folder: RefusalPersister,
) -> PeerMessageContext:
    """Return the parts that handle messages of other nodes."""
    return PeerMessageContext(
        control.gossiper,
        control.joiner,
        control.configurator,
        shared.timeline,
        functools.partial(make_digest, shared, serving.door),
        ResidencyHandler(residency.owner, residency.usage.record_peer_use).handle,
        serving.suspects,
        folder.store_copy,
        residency.owner.start_move,
        shared.budget.grant,
    )
