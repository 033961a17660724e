"""Tests of the room at endpoints that nodes share."""

import pytest

from camphoryard.state.endpoint_limits import LIMIT_WINDOW_S, limit_units
from tests.fakes.limit_fleet import LimitFleet


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
