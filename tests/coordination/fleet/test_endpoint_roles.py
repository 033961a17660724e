"""Tests of which nodes read the endpoints from the store."""

from dataclasses import dataclass

import pytest

from camphoryard.coordination.fleet.endpoint_roles import EndpointRole, endpoint_role
from camphoryard.coordination.fleet.fleet_gossip import (
    MAX_MESH_NODES,
    PEERS_PER_PERIOD,
    gossip_topology,
)

LARGE = MAX_MESH_NODES + 1


@dataclass
class State:
    """What a node knows of its fleet and of its own view."""

    nodes: int = LARGE
    leads: bool = False
    stands_by: bool = False
    fresh: bool = True
    held_ids: tuple[str, ...] = ()
    max_age_s: float = 1.8

    def size(self):
        """Return the number of nodes."""
        return self.nodes

    def topology(self):
        """Return the topology of a fleet of this size."""
        return gossip_topology(self.nodes)

    def is_leader(self):
        """Return whether this node leads."""
        return self.leads

    def is_standby(self):
        """Return whether this node watches the lease of the leader."""
        return self.stands_by

    def is_fresh(self):
        """Return whether relays arrive in time."""
        return self.fresh

    def held(self):
        """Return the restored endpoints that do not count yet."""
        return self.held_ids


class TestEndpointRole:
    """The role of a node."""

    @pytest.mark.parametrize(
        ("changes", "role"),
        [
            ({}, EndpointRole.FOLLOWS),
            ({"nodes": 2 * PEERS_PER_PERIOD}, EndpointRole.FOLLOWS),
            ({"leads": True}, EndpointRole.RELAYS),
            ({"nodes": MAX_MESH_NODES}, EndpointRole.WATCHES),
            ({"nodes": MAX_MESH_NODES, "leads": True}, EndpointRole.WATCHES),
            ({"nodes": 2 * PEERS_PER_PERIOD + 1}, EndpointRole.WATCHES),
            ({"stands_by": True}, EndpointRole.WATCHES),
            ({"fresh": False}, EndpointRole.WATCHES),
            ({"held_ids": ("e1",)}, EndpointRole.WATCHES),
        ],
    )
    def test_role(self, changes, role):
        """Only in a large fleet whose leader is heard in time does a node follow."""
        state = State(**changes)
        assert endpoint_role(state, state, state) is role
