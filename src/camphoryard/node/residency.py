"""Construction of the components that load models and adapters."""

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
from camphoryard.node.shared import SharedContext
from camphoryard.state.configuration import item_memory_mb


@dataclass(frozen=True, slots=True)
class Residency:
    """Loading at owned endpoints, load requests for any endpoint, and item usage.

    An item is a model or an adapter.
    """

    owner: EndpointOwner
    client: ResidencyClient
    usage: ItemUsage


def make_residency(shared: SharedContext, platform: Platform) -> Residency:
    """Return the components that load items."""
    limits = shared.settings.residency
    eviction = make_eviction_policy(shared.settings.decisions, limits)
    usage = ItemUsage(shared.identity.node, shared.endpoint_table, shared.peers)
    occupancy = Occupancy(
        lambda item: item_memory_mb(shared.configuration.current, item),
        usage.last_used_s,
        shared.system_demand.by_item,
        shared.endpoint_table,
        limits.min_residency_s,
    )
    owner = EndpointOwner(
        ResidencyContext(
            shared.identity,
            platform.endpoints,
            shared.endpoint_table,
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
            shared.restores,
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
