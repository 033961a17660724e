"""Tests of the room at endpoints that nodes share."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.admission.quota_shares import HOLDING_S
from camphoryard.coordination.routing.endpoint_room import NoRoom
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


DEADLINE_S = 5.0


class HookedTime(float):
    """A time that calls the hooks of its clock when it is added to or compared."""

    before_add = before_compare = staticmethod(lambda: None)

    def __add__(self, other):
        """Return the sum."""
        self.before_add()
        return float(self) + other

    def __lt__(self, other):
        """Return whether this time is the earlier one."""
        self.before_compare()
        return float(self) < float(other)


class TestThreads:
    """Requests that are denied at the same time."""

    # Guards against requests that end with an error of the node instead of a refusal.
    def test_requests_denied_at_once_are_told_so(self):
        """Load: one is denied between the two steps by which another one is."""
        names = ("e1", "e2", "e3")
        fleet = LimitFleet(1, names)
        node = fleet.node_by_id["n0"]
        room, endpoints = node.context.room, fleet.endpoint_by_id
        for name in names:
            fleet.per_s_by_endpoint[name] = 0.25
            node.use(name)
        fleet.run(2 * LIMIT_WINDOW_S)
        for name in names:
            node.use(name)
        assert isinstance(room.take(endpoints["e1"]), NoRoom)

        compares, added = threading.Event(), threading.Event()
        first, second = (HookedTime(fleet.clock.now_s) for _ in range(2))
        main = threading.current_thread()
        room.clock = lambda: first if threading.current_thread() is main else second

        def wait_until_added():
            compares.set()
            added.wait(DEADLINE_S)

        second.before_compare = wait_until_added
        with ThreadPoolExecutor(1) as executor:
            denied = []

            def deny_another():
                denied.append(executor.submit(room.take, endpoints["e3"]))
                compares.wait(DEADLINE_S)

            first.before_add = deny_another
            assert isinstance(room.take(endpoints["e2"]), NoRoom)
            added.set()
            assert isinstance(denied[0].result(DEADLINE_S), NoRoom)


class TestUncertainLease:
    """A leader that cannot renew its lease, as the store is away."""

    # Guards against services that are refused for as long as the store is away.
    def test_an_endpoint_that_takes_requests_again_gets_some(self):
        """It always gets one in a window, as only an answer ends its limit."""
        fleet = LimitFleet(3, ["e1"])
        fleet.per_s_by_endpoint["e1"] = 1.0
        fleet.press(4 * LIMIT_WINDOW_S, 1)
        fleet.node_by_id["n0"].lease.is_renewed = False
        fleet.press(2 * HOLDING_S, 1)
        fleet.per_s_by_endpoint["e1"] = None
        fleet.arrivals.clear()
        fleet.press(10 * LIMIT_WINDOW_S, 1)
        assert fleet.count("e1") > 0


class TestRetryAfter:
    """When a refused request may come back."""

    # Guards against callers that are told to come back before there is room.
    def test_a_request_refused_by_a_node_without_parts_may_come_back_in_time(self):
        """Load: another node has sent the one request of the window."""
        fleet = LimitFleet(2, ["e1"])
        fleet.per_s_by_endpoint["e1"] = 0.25
        fleet.node_by_id["n0"].use("e1")
        fleet.run(4 * LIMIT_WINDOW_S)
        assert fleet.node_by_id["n0"].send() is None
        refusal = fleet.node_by_id["n1"].send()
        fleet.run(refusal.retry_after_s + PERIOD_S)
        assert fleet.node_by_id["n1"].send() is None
