"""Loading at owned endpoints, and asking for loads at any."""

from dataclasses import dataclass

from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.coordination.residency.endpoint_owner import EndpointOwner
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.coordination.residency.residency_client import (
    ResidencyClient,
    ResidencyClientContext,
)
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.node.platform import Platform
from camphoryard.node.policies import make_eviction_policy
from camphoryard.node.shared import Shared
from camphoryard.state.configuration import item_memory_mb


@dataclass(frozen=True, slots=True)
class Residency:
    """Loading at owned endpoints, asking for loads at any, and what is used."""

    owner: EndpointOwner
    client: ResidencyClient
    usage: ItemUsage


def make_residency(shared: Shared, platform: Platform) -> Residency:
    """Return the parts that load items."""
    limits = shared.settings.residency
    eviction = make_eviction_policy(shared.settings.decisions, limits)
    usage = ItemUsage(shared.identity.node, shared.table, shared.peers)
    occupancy = Occupancy(
        lambda item: item_memory_mb(shared.configuration.current, item),
        usage.last_used_s,
        shared.system_demand.by_item,
        shared.table,
        limits.min_residency_s,
    )
    owner = EndpointOwner(
        ResidencyContext(
            shared.identity,
            platform.endpoints,
            shared.table,
            shared.nodes,
            shared.vms,
            shared.configuration,
            shared.engines,
            shared.peers,
            shared.timeline,
            occupancy,
            eviction,
            limits.order_lifetime_s,
            limits.orders_may_be_copied,
        )
    )
    client = ResidencyClient(
        ResidencyClientContext(
            shared.identity.node,
            shared.nodes,
            shared.peers,
            shared.executors.loads,
            owner.start_loading,
            shared.timeline,
            shared.budget,
            usage,
            occupancy,
            eviction,
        )
    )
    return Residency(owner, client, usage)
