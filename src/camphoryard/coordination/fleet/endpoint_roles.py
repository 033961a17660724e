"""Which nodes read the endpoints from the store, and which hear of them."""

from enum import Enum

from camphoryard.coordination.fleet.endpoint_relaying import EndpointRelaying
from camphoryard.coordination.fleet.fleet_gossip import (
    FleetGossip,
    Star,
    relay_period_s,
)
from camphoryard.state.directory import Directory

MAX_RELAY_SHARE = 1 / 3
"""Largest period of the leader's relays to one node, as a share of the age that its
view may reach. With a longer one, late messages would often end the following."""


class EndpointRole(Enum):
    """Where a node gets the endpoints from."""

    RELAYS = "relays"
    """Reads them from the store, often, and passes changes on."""
    FOLLOWS = "follows"
    """Hears of them from the leader."""
    WATCHES = "watches"
    """Reads them from the store for itself."""


def endpoint_role(
    gossip: FleetGossip, relaying: EndpointRelaying, directory: Directory
) -> EndpointRole:
    """Return the role of a node at this moment.

    A node follows only in a star whose leader reaches it often, while the relays are
    fresh. Restored endpoints that are held need the watch, as only their writes show
    that they are there.
    """
    match gossip.topology():
        case Star() if gossip.is_leader():
            return EndpointRole.RELAYS
        case Star() if (
            relaying.is_fresh()
            and relay_period_s(gossip.size()) <= relaying.max_age_s * MAX_RELAY_SHARE
            and not gossip.is_standby()
            and not directory.held()
        ):
            return EndpointRole.FOLLOWS
        case _:
            return EndpointRole.WATCHES
