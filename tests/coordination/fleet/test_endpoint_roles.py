"""Tests of which nodes read the endpoints from the store."""

import math
from dataclasses import dataclass

import pytest

from camphoryard.coordination.fleet.endpoint_roles import (
    RELAY_CALLS_PER_BATCH,
    EndpointReading,
    EndpointRole,
    endpoint_role,
)
from camphoryard.coordination.fleet.fleet_gossip import (
    MAX_MESH_NODES,
    PEERS_PER_PERIOD,
    gossip_topology,
)
from tests.fakes.engines import Clock, RecordedLog

LARGE = MAX_MESH_NODES + 1


@dataclass
class State:
    """What a node knows of its fleet and of its own view."""

    nodes: int = LARGE
    leads: bool = False
    stands_by: bool = False
    fresh: bool = True
    held_ids: tuple[str, ...] = ()
    position: int = 7
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

    def endpoints_age_s(self):
        """Return how old the view may be."""
        return 0.5

    def held(self):
        """Return the restored endpoints that do not count yet."""
        return self.held_ids


class TestEndpointReading:
    """When a node calls the store."""

    BATCH_S = 1.5

    def calls(self, ticks=4 * RELAY_CALLS_PER_BATCH, **changes):
        """Return in how many of the ticks of four batches a call is made."""
        state, clock = State(**changes), Clock()
        reading = EndpointReading(
            state, state, state, self.BATCH_S, RecordedLog(), clock
        )
        due = 0
        for period in range(ticks):
            due += reading.reads_store() and reading.is_due(period)
            clock.advance(reading.tick_s)
        return due

    @pytest.mark.parametrize(
        ("changes", "calls"),
        [
            ({}, 0),
            ({"fresh": False}, 4),
            ({"nodes": MAX_MESH_NODES}, 4),
            ({"leads": True}, 4 * RELAY_CALLS_PER_BATCH),
        ],
    )
    def test_calls(self, changes, calls):
        """Of 78 nodes one calls often, and two standby nodes as before."""
        assert self.calls(**changes) == calls

    def test_call_after_one_that_waited_is_made_at_once(self):
        """The next batch has begun meanwhile."""
        state, clock = State(fresh=False), Clock()
        reading = EndpointReading(
            state, state, state, self.BATCH_S, RecordedLog(), clock
        )
        assert reading.is_due(0)
        assert not reading.is_due(1)
        clock.advance(self.BATCH_S)
        assert reading.is_due(2)

    @pytest.mark.parametrize(("leads", "wait_s"), [(True, 0.25), (False, math.inf)])
    def test_only_the_leader_waits_for_a_short_time(self, leads, wait_s):
        """Its view would age at its nodes while nothing changes."""
        state = State(leads=leads)
        reading = EndpointReading(state, state, state, self.BATCH_S, RecordedLog())
        assert reading.max_wait_s() == wait_s

    def test_changes_of_role_are_logged_once(self):
        """On-call sees since when a node reads the store itself."""
        state, log = State(), RecordedLog()
        reading = EndpointReading(state, state, state, self.BATCH_S, log)
        for fresh in (True, True, False):
            state.fresh = fresh
            reading.reads_store()
        assert [fields["role"] for _, fields in log.lines] == ["follows", "watches"]


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
