"""Loading at owned endpoints, and asking for loads at any."""

from dataclasses import dataclass

from camphoryard.coordination.residency import (
    EndpointOwner,
    ResidencyLimits,
    ResidencyParts,
)
from camphoryard.coordination.residency_client import ResidencyClient
from camphoryard.node.platform import Platform
from camphoryard.node.shared import Shared


@dataclass(frozen=True, slots=True)
class Residency:
    """Loading at owned endpoints, and asking for loads at any."""

    owner: EndpointOwner
    client: ResidencyClient


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
            ResidencyLimits(
                limits.order_lifetime_s,
                limits.min_residency_s,
                limits.orders_may_be_copied,
            ),
        )
    )
    return Residency(owner, client)
