"""Tests of quotas over a fleet, under load and under failures."""

from itertools import chain

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from camphoryard.coordination.admission.quota_ledger import STOPPING_S
from camphoryard.coordination.admission.quota_shares import HOLDING_S
from camphoryard.coordination.fleet.quota_sharing import NO_ROOM_RETRY_S
from camphoryard.coordination.leadership.leader_lease import NO_TERM
from camphoryard.coordination.messages import QuotaGrant, QuotaRequest
from camphoryard.state.accounts import Account
from camphoryard.state.ids import AccountId, FencingNumber
from camphoryard.state.quotas import Admitted, OverQuota
from tests.fakes.quota_fleet import WINDOW_S, QuotaFleet, make_account
from tests.fakes.sharing_fleet import FAILURE, PERIOD_S, PRESS

LARGE, SMALL = AccountId("large"), AccountId("small")
NODES = 78
TOKENS = 1500
LEADER_GAP_S = 5.0
THREE = ["n5", "n6", "n7"]


def make_fleet(size=NODES):
    """Return a calm fleet with accounts of a large and of a small quota."""
    accounts = (
        make_account(LARGE, 140_000, 140_000),
        make_account(SMALL, 5_600, 5_600),
    )
    fleet = QuotaFleet(size, accounts)
    fleet.run(2 * WINDOW_S)
    return fleet


USUAL = {LARGE: 78_000, SMALL: 3_100}


def send_evenly(fleet, per_s_by_account, duration_s, nodes):
    """Send requests to nodes by turns, as many tokens a second of each account."""
    step_s = 0.5
    due_by_account = dict.fromkeys(per_s_by_account, 0.0)
    for _ in range(round(duration_s / step_s)):
        for account, per_s in per_s_by_account.items():
            due_by_account[account] += per_s * step_s / TOKENS
            while due_by_account[account] >= 1:
                due_by_account[account] -= 1
                node = nodes[(len(fleet.used) + len(fleet.refused)) % len(nodes)]
                fleet.send(node, account, TOKENS)
        fleet.run(step_s)


def use_up(fleet, account):
    """Send until all that the fleet may use of an account is used at one node.

    It takes seven seconds, as the limit of an account is not granted at once.
    """
    for _ in range(7):
        while isinstance(fleet.send("n1", account, TOKENS), Admitted):
            pass
        fleet.run(1.0)


def refused(fleet, account):
    """Return the share of an account's tokens that was refused."""
    sums = [
        sum(n for _, id, n in entries if id == account)
        for entries in (fleet.refused, fleet.used)
    ]
    return sums[0] / max(1, sum(sums))


class TestDemand:
    """Demand under the limit is served wherever it is."""

    @pytest.mark.parametrize("account", [LARGE, SMALL])
    def test_demand_at_three_of_78_nodes_is_served(self, account):
        """Load: all clients of an account sit on three nodes, at 8/9 of its limit."""
        fleet = make_fleet()
        per_s = fleet.account_by_id[account].quota.per_s * 8 / 9
        send_evenly(fleet, {account: per_s}, 20.0, THREE)
        assert refused(fleet, account) < 0.02

    def test_a_wave_that_moves_between_zones_is_served(self):
        """Load: the usual demand moves to another zone at once, each two seconds."""
        fleet = make_fleet()
        for zone in range(4):
            nodes = [f"n{node}" for node in range(zone, NODES, 4)]
            send_evenly(fleet, USUAL, 2.0, nodes)
        assert refused(fleet, LARGE) < 0.02
        assert refused(fleet, SMALL) < 0.02

    def test_an_account_at_eight_times_its_usual_hurts_no_other(self):
        """Load: one account sends 4.4 times its limit, another one its usual."""
        fleet = make_fleet()
        nodes = [f"n{node}" for node in range(NODES)]
        send_evenly(fleet, {LARGE: 8 * 78_000, SMALL: 3_100}, 6.0, nodes)
        assert refused(fleet, SMALL) == 0
        assert 0.9 <= fleet.most_used(LARGE) / fleet.limit(LARGE) <= 1.0

    def test_a_sudden_crowd_uses_the_limit_over_seconds(self):
        """Load: an account goes from its usual to 4.4 times its limit at once."""
        fleet = make_fleet()
        nodes = [f"n{node}" for node in range(NODES)]
        send_evenly(fleet, {LARGE: 78_000}, 2 * WINDOW_S, nodes)
        fleet.used.clear()
        send_evenly(fleet, {LARGE: 8 * 78_000}, 1.0, nodes)
        assert fleet.most_used(LARGE) < 0.55 * fleet.limit(LARGE)

    def test_a_burst_is_admitted_at_once(self):
        """Load: an account sends all of a burst, nearly half of its limit, at once."""
        fleet = QuotaFleet(4, [make_account(SMALL, 1_500, 10_000)])
        fleet.run(2.0)
        for _ in range(20):
            fleet.send("n1", SMALL, 500)
        assert not fleet.refused

    def test_no_requests_for_parts_in_numbers_while_a_limit_is_used_up(self):
        """Load: thousands of requests a second over the limit at each of four nodes."""
        fleet = make_fleet(4)
        fleet.asks = 0
        for _ in range(1000):
            fleet.send("n1", SMALL, TOKENS)
        assert fleet.asks < 50

    def test_an_account_without_a_quota_is_not_limited(self):
        """Nor are requests without an account."""
        fleet = make_fleet(4)
        quotas = fleet.node_by_id["n1"].quotas
        decisions = [quotas.admit(item, 10**9) for item in (None, Account("free"))]
        assert decisions == [Admitted(), Admitted()]

    def test_nothing_is_told_without_quotas(self):
        """Digests of fleets that have none stay as they were."""
        fleet = QuotaFleet(4, [Account(AccountId("free"))])
        fleet.run(2.0)
        node = fleet.node_by_id["n1"]
        assert node.sharing.report("n0", 1, 99) is None
        assert fleet.node_by_id["n0"].sharing.renewal("n1", 0) is None


class TestRefusal:
    """What the refused are told."""

    def test_retry_after_is_when_the_account_has_room(self):
        """A node that used all says when the first of that leaves the window."""
        fleet = make_fleet(4)
        use_up(fleet, SMALL)
        decision = fleet.send("n1", SMALL, TOKENS)
        assert decision.retry_after_s == pytest.approx(WINDOW_S - 7.0, abs=0.1)
        fleet.run(WINDOW_S - 6.5)
        assert isinstance(fleet.send("n1", SMALL, TOKENS), Admitted)

    def test_a_node_that_used_nothing_gives_a_short_time(self):
        """It does not know when others make room."""
        fleet = make_fleet(4)
        use_up(fleet, SMALL)
        assert fleet.send("n2", SMALL, 2 * TOKENS) == OverQuota(NO_ROOM_RETRY_S)

    def test_refused_requests_are_not_all_told_the_same_time(self):
        """Load: ten times what leaves the window first is refused at one node."""
        fleet = make_fleet(4)
        use_up(fleet, SMALL)
        times_s = [fleet.send("n1", SMALL, TOKENS).retry_after_s for _ in range(40)]
        assert times_s == sorted(times_s)
        assert times_s[-1] > times_s[0] + 1.0

    def test_refunded_units_can_be_used_again(self):
        """A request that was refused as not run costs nothing."""
        fleet = make_fleet(4)
        sharing = fleet.node_by_id["n1"].sharing
        for _ in range(100):
            decision = fleet.send("n1", SMALL, TOKENS)
            sharing.refund(decision)
        assert not fleet.refused

    def test_a_refusal_is_logged_with_what_the_node_holds(self):
        """On-call engineers see whether the account or its node was short."""
        fleet = make_fleet(4)
        fleet.send("n1", SMALL, 10**9)
        event, fields = fleet.node_by_id["n1"].log.lines[-1]
        assert (event, fields["account"], fields["units"]) == ("over_quota", SMALL, 1e9)
        assert {"limit", "spent", "parts", "even_parts"} <= fields.keys()


class TestConfiguration:
    """A new quota binds at each node that knows it."""

    def test_a_quota_lowered_far_below_what_is_sent_binds_after_a_window(self):
        """Load: a quota falls to a tenth while its account sends at the old limit."""
        fleet = make_fleet(8)
        nodes = [f"n{node}" for node in range(8)]
        send_evenly(fleet, {LARGE: 140_000}, 2 * WINDOW_S, nodes)
        fleet.account_by_id[LARGE] = make_account(LARGE, 14_000, 14_000)
        send_evenly(fleet, {LARGE: 140_000}, WINDOW_S, nodes)
        fleet.used.clear()
        send_evenly(fleet, {LARGE: 140_000}, 3 * WINDOW_S, nodes)
        assert 0.8 <= fleet.most_used(LARGE) / fleet.limit(LARGE) <= 1.0

    def test_a_raised_quota_is_served_at_once(self):
        """Load: a quota is raised ten times while its account sends far more."""
        fleet = make_fleet(8)
        nodes = [f"n{node}" for node in range(8)]
        send_evenly(fleet, {SMALL: 50_000}, WINDOW_S, nodes)
        fleet.account_by_id[SMALL] = make_account(SMALL, 56_000, 56_000)
        fleet.refused.clear()
        send_evenly(fleet, {SMALL: 50_000}, WINDOW_S, nodes)
        assert refused(fleet, SMALL) < 0.02


class TestFailures:
    """Admission goes on while nodes fail, and never exceeds the limit."""

    def test_usual_demand_is_served_while_the_leader_is_lost(self):
        """Load: the usual demand, without a leader for 5 s and under a new one."""
        fleet = make_fleet()
        send_evenly(fleet, USUAL, 10.0, THREE)
        fleet.lost.add("n0")
        send_evenly(fleet, USUAL, LEADER_GAP_S, THREE)
        fleet.lead("n1")
        send_evenly(fleet, USUAL, 30.0, THREE)
        assert refused(fleet, LARGE) < 0.02
        assert refused(fleet, SMALL) < 0.02

    def test_a_first_leader_of_a_fleet_that_ran_before_waits(self):
        """The store may have lost the record of its predecessors."""
        fleet = QuotaFleet(2, [make_account(SMALL)], is_first_start=False)
        fleet.run(WINDOW_S)
        assert isinstance(fleet.send("n1", SMALL, 500), OverQuota)
        fleet.run(WINDOW_S + HOLDING_S)
        assert isinstance(fleet.send("n1", SMALL, 500), Admitted)

    def test_a_fleet_that_lost_power_is_served_after_a_window(self):
        """Load: all processes end at once while an account is at its limit.

        The leader counts what its predecessors granted as free once all nodes that the
        store lists have reported, and what ended processes used has rested.
        """
        fleet = make_fleet(8)
        use_up(fleet, SMALL)
        for node in range(8):
            fleet.start(f"n{node}")
        fleet.lead("n1")
        fleet.run(WINDOW_S + STOPPING_S - 1.0)
        assert isinstance(fleet.send("n2", SMALL, TOKENS), OverQuota)
        fleet.run(2.5)
        assert isinstance(fleet.send("n2", SMALL, TOKENS), Admitted)

    def test_a_leader_in_doubt_goes_on_for_no_longer_than_its_grants(self):
        """Its successor counts what it does not know as free after that."""
        fleet = make_fleet(4)
        fleet.send("n1", SMALL, TOKENS)
        fleet.node_by_id["n0"].lease.is_renewed = False
        fleet.run(HOLDING_S - 1.0)
        assert isinstance(fleet.send("n1", SMALL, 5 * TOKENS), Admitted)
        fleet.run(1.5)
        assert isinstance(fleet.send("n1", SMALL, 5 * TOKENS), OverQuota)
        leader = fleet.node_by_id["n0"]
        request = QuotaRequest(leader.name, 0, FencingNumber(1), 10**6, {SMALL: 1})
        assert leader.answer(request) == QuotaGrant(NO_TERM, {})

    def test_usual_demand_is_served_while_nodes_are_killed_in_series(self):
        """Load: the usual demand, while a third of the others are killed by turns."""
        fleet = make_fleet()
        send_evenly(fleet, USUAL, 5.0, THREE)
        for node in range(10, 36):
            fleet.start(f"n{node}")
            send_evenly(fleet, USUAL, 0.5, THREE)
        assert refused(fleet, LARGE) < 0.02
        assert refused(fleet, SMALL) < 0.02

    def test_a_node_alone_serves_its_parts_until_they_lapse(self):
        """Load: usual demand at a node that is cut off; then its even part is left."""
        fleet = make_fleet(4)
        send_evenly(fleet, {LARGE: 40_000}, 10.0, ["n3"])
        fleet.lost.add("n3")
        send_evenly(fleet, {LARGE: 30_000}, HOLDING_S - 1.0, ["n3"])
        assert refused(fleet, LARGE) < 0.02
        fleet.run(WINDOW_S)
        fleet.used.clear()
        send_evenly(fleet, {LARGE: 40_000}, WINDOW_S, ["n3"])
        assert 0 < fleet.most_used(LARGE) <= fleet.limit(LARGE) / 40

    def test_a_node_that_wakes_uses_no_parts_that_have_lapsed(self):
        """The clock counts the time for which its VM was suspended."""
        fleet = make_fleet(4)
        fleet.send("n3", LARGE, 140_000)
        fleet.lost.add("n3")
        fleet.clock.advance(HOLDING_S + 0.1)
        assert isinstance(fleet.send("n3", LARGE, 140_000), OverQuota)

    def test_a_node_that_joins_is_served(self):
        """Load: the usual demand of an account goes to a node that has just started."""
        fleet = make_fleet(8)
        fleet.start("n9")
        fleet.run(2.0)
        send_evenly(fleet, {SMALL: 3_100}, 10.0, ["n9"])
        assert refused(fleet, SMALL) < 0.02


STEP = st.tuples(FAILURE, PRESS, PRESS)


class TestConstruction:
    """No order of events lets an account exceed its limit within a window."""

    @given(st.lists(STEP, min_size=3, max_size=10))
    @settings(max_examples=200, derandomize=True)
    def test_the_limit_holds_in_each_window(self, steps):
        """Load: far more than the limit at drawn nodes, under drawn failures.

        Nodes are killed and cut off, leaders doubted, messages late, reordered or lost.
        """
        fleet = QuotaFleet(3, [make_account("a", 10.0, 20.0)])
        fleet.run(1.0)
        for event in chain.from_iterable(steps):
            self.apply(fleet, event)
        assert fleet.most_used("a") <= fleet.limit("a")

    def apply(self, fleet, event):
        """Have one event happen."""
        match event:
            case "press", duration_s, nodes:
                for _ in range(round(duration_s / PERIOD_S)):
                    for node in sorted(nodes):
                        while isinstance(fleet.send(node, "a", 5), Admitted):
                            pass
                    fleet.run(PERIOD_S)
            case failure:
                fleet.strike(failure)
