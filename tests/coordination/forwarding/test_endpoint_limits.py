"""Tests of limits that endpoints name, over several nodes that forward to them."""

from itertools import chain

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from camphoryard.coordination.admission.quota_shares import HOLDING_S
from camphoryard.coordination.fleet.quota_sharing import RETRY_SPREAD
from camphoryard.state.endpoint_limits import LIMIT_WINDOW_S, limit_units
from camphoryard.state.enums import Reason
from camphoryard.state.verdict import Verdict
from tests.fakes.engines import make_endpoint
from tests.fakes.limit_fleet import LimitFleet
from tests.fakes.sharing_fleet import FAILURE, PERIOD_S, PRESS

PER_S = 1.8
TOLD_S = 3 * PERIOD_S
"""Time in which news of one node reach all others by way of the leader."""


def make_fleet(per_s_by_endpoint, size=6, endpoints=("e1", "e2")):
    """Return a fleet whose nodes have learned of limits more than a window ago."""
    fleet = LimitFleet(size, endpoints)
    fleet.press(2.0, 2)
    fleet.per_s_by_endpoint.update(per_s_by_endpoint)
    fleet.press(2 * LIMIT_WINDOW_S, 2)
    fleet.refusals.clear()
    fleet.arrivals.clear()
    return fleet


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

    def test_an_endpoint_gets_most_of_what_it_takes(self):
        """Load: 24 requests a second at six nodes, for 20 s."""
        fleet = make_fleet({"e1": PER_S})
        fleet.press(20.0, 2)
        assert fleet.count("e1") >= 0.75 * PER_S * 20.0

    @pytest.mark.parametrize("per_s", [0.0, 0.05])
    def test_a_tiny_limit_lets_one_request_a_window_through(self, per_s):
        """An answer has to be able to end it."""
        fleet = make_fleet({"e1": per_s})
        fleet.press(5 * LIMIT_WINDOW_S, 2)
        assert fleet.most_in_window("e1") == 1
        assert fleet.count("e1") >= 3

    def test_nothing_is_sent_for_a_window_after_a_limit_is_learned(self):
        """What was sent before uses the limit as well, and is not counted."""
        fleet = LimitFleet(6, ["e1", "e2"])
        fleet.press(2.0, 2)
        fleet.per_s_by_endpoint["e1"] = PER_S
        fleet.press(TOLD_S, 2)
        fleet.arrivals.clear()
        fleet.press(LIMIT_WINDOW_S - TOLD_S, 2)
        assert fleet.count("e1") == 0

    def test_nothing_is_told_without_limits(self):
        """Digests of fleets whose endpoints name none stay as they were."""
        fleet = LimitFleet(3, ["e1"])
        fleet.press(2.0, 2)
        node = fleet.node_by_id["n1"]
        assert fleet.asks == 0
        assert node.sharing.report("n0", 1, 99) is None
        assert not node.digest().limit_by_endpoint


class TestRefusal:
    """Every endpoint of a service names a limit."""

    def test_callers_are_refused_at_once_with_a_time(self):
        """Load: 24 requests a second, where two endpoints take 3.6."""
        fleet = make_fleet({"e1": PER_S, "e2": PER_S})
        before_s = fleet.clock.now_s
        fleet.press(4.0, 2)
        assert fleet.clock.now_s - before_s == pytest.approx(4.0)
        assert fleet.refusals
        for refusal in fleet.refusals:
            assert refusal.reason is Reason.OVERLOADED
            assert refusal.verdict is Verdict.NOT_RUN
            assert 0 < refusal.retry_after_s <= LIMIT_WINDOW_S * (1 + RETRY_SPREAD)
        for name in ("e1", "e2"):
            assert 0 < fleet.most_in_window(name) <= limit_units(PER_S)

    def test_a_request_that_comes_back_in_time_is_served(self):
        """Load: one node, whose first request takes all that the endpoint takes."""
        fleet = LimitFleet(1, ["e1"])
        fleet.per_s_by_endpoint["e1"] = 0.25
        node = fleet.node_by_id["n0"]
        assert node.send() is None
        for _ in range(2):
            refusal = node.send()
            fleet.run(refusal.retry_after_s + PERIOD_S)
            assert node.send() is None

    def test_a_refusal_is_logged_with_what_the_node_holds(self):
        """On-call engineers see whether the limit or its node was short."""
        fleet = make_fleet({"e1": PER_S})
        fleet.press(4.0, 2)
        lines = chain.from_iterable(x.log.lines for x in fleet.node_by_id.values())
        fields = [item for event, item in lines if event == "limit_reached"]
        assert {"endpoint", "per_s", "spent", "parts"} <= fields[0].keys()


class TestChange:
    """A limit that changes."""

    def test_a_limit_that_falls_binds_after_a_window(self):
        """Load: an endpoint that took 8 requests a second takes one."""
        fleet = make_fleet({"e1": 8.0})
        fleet.per_s_by_endpoint["e1"] = 1.0
        fleet.press(LIMIT_WINDOW_S + 2 * PERIOD_S, 2)
        fleet.arrivals.clear()
        fleet.press(3 * LIMIT_WINDOW_S, 2)
        assert 0 < fleet.most_in_window("e1") <= 4

    def test_a_limit_that_ends_is_forgotten_by_all_nodes(self):
        """Also by those to which the endpoint has not answered since."""
        fleet = make_fleet({"e1": PER_S})
        fleet.per_s_by_endpoint["e1"] = None
        fleet.press(LIMIT_WINDOW_S, 2, ["n1"])
        assert not any(x.knows_limit("e1") for x in fleet.node_by_id.values())

    def test_a_limit_that_comes_back_begins_anew(self):
        """What was sent in between is not counted."""
        fleet = make_fleet({"e1": PER_S})
        fleet.per_s_by_endpoint["e1"] = None
        fleet.press(LIMIT_WINDOW_S, 2)
        fleet.per_s_by_endpoint["e1"] = PER_S
        fleet.press(TOLD_S, 2)
        fleet.arrivals.clear()
        fleet.press(LIMIT_WINDOW_S - TOLD_S, 2)
        assert fleet.count("e1") == 0
        fleet.press(3 * LIMIT_WINDOW_S, 2)
        assert 0 < fleet.most_in_window("e1") <= limit_units(PER_S)

    def test_a_restarted_endpoint_has_no_limit(self):
        """Its limit was that of the process before."""
        fleet = make_fleet({"e1": PER_S}, size=2)
        fleet.per_s_by_endpoint["e1"] = None
        for node in fleet.node_by_id.values():
            node.directory.observe(make_endpoint("e1", started_ms=2))
        assert not any(x.knows_limit("e1") for x in fleet.node_by_id.values())


class TestFailures:
    """Nodes that fail, join or cannot reach each other."""

    def test_nodes_go_elsewhere_and_return_while_the_leader_is_lost(self):
        """Load: 24 requests a second, without a leader for 5 s and under a new one."""
        fleet = make_fleet({"e1": PER_S})
        fleet.press(4.0, 2)
        fleet.lost.add("n0")
        fleet.press(5.0, 2)
        fleet.lead("n1")
        fleet.press(15.0, 2)
        assert not fleet.refusals
        fleet.arrivals.clear()
        fleet.press(10.0, 2)
        assert 0 < fleet.most_in_window("e1") <= limit_units(PER_S)
        assert fleet.count("e1") >= 0.5 * PER_S * 10.0

    def test_a_node_that_joins_holds_a_limit_that_it_did_not_hear(self):
        """Its peers tell it before the endpoint does."""
        fleet = make_fleet({"e1": PER_S})
        fleet.start("n9")
        fleet.run(2 * PERIOD_S)
        assert fleet.node_by_id["n9"].knows_limit("e1")
        fleet.press(4 * LIMIT_WINDOW_S, 2)
        assert 0 < fleet.most_in_window("e1") <= limit_units(PER_S)
        assert any(item.node == "n9" for item in fleet.arrivals)

    def test_a_node_alone_stops_once_its_parts_have_lapsed(self):
        """It serves elsewhere."""
        fleet = make_fleet({"e1": PER_S}, size=3)
        fleet.lost.add("n2")
        fleet.press(HOLDING_S + LIMIT_WINDOW_S, 2, ["n2"])
        fleet.arrivals.clear()
        fleet.press(LIMIT_WINDOW_S, 2, ["n2"])
        assert {item.endpoint for item in fleet.arrivals} == {"e2"}

    def test_a_request_that_was_not_sent_costs_nothing(self):
        """The endpoint takes one request a window, and none reached it."""
        fleet = make_fleet({"e1": 0.25}, size=1, endpoints=("e1",))
        fleet.run(LIMIT_WINDOW_S + PERIOD_S)
        node = fleet.node_by_id["n0"]
        fleet.unreachable = True
        assert node.send() is not None
        fleet.unreachable = False
        assert node.send() is None
        assert node.send() is not None


USES = 4
"""Requests that a pressed node may send in a period; 96 a window at three nodes."""
CHANGE = st.tuples(st.just("name"), st.sampled_from([None, 1.8, 0.3]), st.none())
STEP = st.tuples(FAILURE | CHANGE, PRESS, PRESS)


class TestConstruction:
    """No order of events lets nodes that know a limit exceed it within a window."""

    @given(st.lists(STEP, min_size=3, max_size=10))
    @settings(max_examples=200, derandomize=True)
    def test_the_limit_holds_in_each_window(self, steps):
        """Load: far more than the limit at drawn nodes, under drawn failures.

        Nodes are killed and cut off, leaders doubted, messages late, reordered or lost;
        the limit falls, ends and comes back.
        """
        fleet = LimitFleet(3, ["e1"])
        fleet.per_s_by_endpoint["e1"] = PER_S
        fleet.press(1.0, 1)
        for event in chain.from_iterable(steps):
            self.apply(fleet, event)
        assert fleet.most_in_window("e1") <= limit_units(PER_S)

    def apply(self, fleet, event):
        """Have one event happen."""
        match event:
            case "press", duration_s, nodes:
                for _ in range(round(duration_s / PERIOD_S)):
                    for node in sorted(nodes) * USES:
                        fleet.node_by_id[node].use("e1")
                    fleet.run(PERIOD_S)
            case "name", per_s, _:
                fleet.per_s_by_endpoint["e1"] = per_s
            case failure:
                fleet.strike(failure)
