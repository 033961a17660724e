"""Tests of limits that endpoints name, over several nodes that forward to them."""

from tests.fakes.limit_fleet import LIMIT_WINDOW_S, LimitFleet

PER_S = 1.8


class TestDemand:
    """Demand far beyond what an endpoint takes."""

    # Guards against LIMIT: each node chose an endpoint by load and heeded no limit.
    def test_nodes_together_send_no_more_than_an_endpoint_names(self):
        """Load: six nodes send 48 requests a second, where one endpoint takes 1.8."""
        fleet = LimitFleet(6, ["e1", "e2"])
        fleet.press(2.0, 2)
        fleet.per_s_by_endpoint["e1"] = PER_S
        fleet.press(4 * LIMIT_WINDOW_S, 2)
        assert 0 < fleet.most_in_window("e1") <= PER_S * LIMIT_WINDOW_S
        assert not fleet.refusals
