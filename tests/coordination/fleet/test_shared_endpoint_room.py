"""Tests of the room at endpoints that nodes share."""

import pytest

from camphoryard.state.endpoint_limits import LIMIT_WINDOW_S, limit_units
from tests.fakes.engines import make_endpoint
from tests.fakes.limit_fleet import LimitFleet
from tests.fakes.sharing_fleet import PERIOD_S


class TestWholeRequests:
    """Limits of some whole requests in a window."""

    # Guards against requests refused although the limit has room for them.
    @pytest.mark.parametrize("per_s", [0.75, 1.5, 1.75])
    def test_nodes_may_send_as_many_as_a_limit_takes(self, per_s):
        """Load: one request at a time, each at another node, as the limit allows."""
        fleet = LimitFleet(7, ["e1"])
        fleet.per_s_by_endpoint["e1"] = per_s
        fleet.node_by_id["n0"].use("e1")
        fleet.run(4 * LIMIT_WINDOW_S)
        fleet.arrivals.clear()
        for name in list(fleet.node_by_id)[: int(limit_units(per_s))]:
            fleet.node_by_id[name].use("e1")
            fleet.clock.advance(1.05 * LIMIT_WINDOW_S / limit_units(per_s))
        assert fleet.count("e1") == limit_units(per_s)


class TestMemory:
    """What is remembered of endpoints that are gone."""

    # Guards against memory that grows with each endpoint that named a limit.
    def test_nothing_is_remembered_of_endpoints_that_are_gone(self):
        """Load: 50 endpoints that named a limit, one after the other."""
        fleet = LimitFleet(1, [])
        node = fleet.node_by_id["n0"]
        room = node.context.room
        for number in range(50):
            endpoint = make_endpoint(f"e{number}")
            node.directory.observe(endpoint)
            node.notices.limits.name(endpoint, 1.0)
            fleet.run(LIMIT_WINDOW_S + 2 * PERIOD_S)
            room.take_report(endpoint)
            node.directory.remove(endpoint.id)
        fleet.run(700.0)
        ledger = node.sharing._ledger
        sizes = [len(room._reported_s), len(ledger._held), len(ledger._pace_by_id)]
        assert max(sizes) < 50
