"""Tests of the leader's ledger of quotas."""

import pytest

from camphoryard.coordination.admission.quota_ledger import (
    AHEAD,
    BACKUP_SILENCE_S,
    BACKUPS,
    RESERVED_PARTS,
    QuotaLedger,
)
from camphoryard.coordination.admission.quota_shares import HOLDING_S
from camphoryard.coordination.admission.sharing_policy import account_policy
from camphoryard.coordination.leadership.leader_lease import LEASE_S
from camphoryard.state.ids import AccountId
from camphoryard.state.quotas import WHOLE, QuotaReport
from tests.fakes.engines import Clock

A = AccountId("a")
WINDOW_S = 8.0
POLICY = account_policy(WINDOW_S)
LENDABLE_PARTS = POLICY.lendable_parts
TERM = 3
MARGIN_S = 1.0


class Site:
    """A ledger and the reports that it gets."""

    def __init__(self, is_first=True):
        self.clock = Clock()
        self.ledger = QuotaLedger("n0", TERM, is_first, POLICY, self.clock)
        self.beat = 0

    def report(self, node, parts=0, settled=0, renews=True, term=TERM):
        """Receive a report."""
        self.beat += 1
        report = QuotaReport(term, settled, {A: parts} if parts else {})
        self.ledger.observe(node, "i", self.beat, report, renews)

    def grant(self, node, number, parts, is_spare=False):
        """Return what a node gets."""
        return self.ledger.grant(node, "i", number, {A: parts}, is_spare).get(A, 0)

    def is_renewed(self, node):
        """Return whether the last report of a node is renewed."""
        renewal = self.ledger.renewal(node, "i")
        return renewal is not None and renewal.beat == self.beat


@pytest.fixture
def site():
    """Return the ledger of a fleet's first leader, which n1 reports to."""
    site = Site()
    site.report("n1")
    return site


class TestGrant:
    """Parts are granted once."""

    def test_a_grant_is_held_until_a_report_without_it(self, site):
        """Also if the node has not reported it yet."""
        granted = site.grant("n1", 1, WHOLE // 2)
        assert granted >= WHOLE // 2
        site.report("n1", 0, settled=0)
        assert site.ledger.free_parts(A) == LENDABLE_PARTS - granted
        site.report("n1", 0, settled=1)
        assert site.ledger.free_parts(A) == LENDABLE_PARTS

    def test_a_request_that_comes_late_or_twice_gets_nothing(self, site):
        """The node has abandoned it, or the answer is on its way."""
        site.report("n1", 0, settled=3)
        assert [site.grant("n1", number, 1) for number in (3, 4, 4)] == [
            0,
            1 + AHEAD,
            0,
        ]

    def test_grants_ahead_of_the_need_leave_room_for_other_nodes(self, site):
        """Load: usual demand, half of the limit, at nodes that use nothing ahead."""
        need = WHOLE // 2 // 80
        for number in range(1, 161):
            assert site.grant("n1", number, need) >= need
            site.report("n1", settled=number)
            site.clock.advance(WINDOW_S / 80)

    def test_more_than_is_free_is_not_granted_in_part(self, site):
        """A request runs whole or not at all."""
        assert site.grant("n1", 1, LENDABLE_PARTS + 1) == 0

    def test_spare_parts_leave_a_reserve(self, site):
        """Nodes that need parts find some."""
        site.grant("n1", 1, WHOLE, is_spare=True)
        assert site.ledger.free_parts(A) == RESERVED_PARTS

    def test_an_unknown_process_gets_nothing(self, site):
        """It has to report first what it holds."""
        assert site.grant("n2", 1, 1) == 0


class TestSilence:
    """Parts of a process that is not heard of."""

    def test_they_are_free_once_they_have_lapsed_and_rested(self, site):
        """Not before."""
        granted = site.grant("n1", 1, WHOLE // 2)
        site.clock.advance(HOLDING_S + WINDOW_S)
        site.report("n2")
        assert site.ledger.free_parts(A) == LENDABLE_PARTS - granted
        site.clock.advance(MARGIN_S)
        site.report("n2")
        assert site.ledger.free_parts(A) == LENDABLE_PARTS

    def test_one_that_returns_late_with_parts_is_not_renewed(self, site):
        """They may be another's by now; it has to give them back first."""
        site.report("n2")
        site.grant("n1", 1, WHOLE // 2)
        site.clock.advance(HOLDING_S + WINDOW_S + MARGIN_S)
        site.report("n2")
        site.grant("n2", 1, LENDABLE_PARTS)
        for parts, is_renewed in ((WHOLE // 2, False), (1, False), (0, True)):
            site.report("n1", parts, settled=1)
            assert site.is_renewed("n1") is is_renewed


class TestSuccessor:
    """A leader that knows nothing of its predecessor's grants."""

    def test_it_grants_only_what_nodes_have_reported_and_given_back(self):
        """The rest may be held by nodes that it has not heard of."""
        site = Site(is_first=False)
        site.report("n1", WHOLE // 2)
        site.report("n2")
        assert site.ledger.free_parts(A) == 0
        site.report("n1", WHOLE // 4)
        assert site.ledger.free_parts(A) == WHOLE // 4

    def test_the_rest_is_free_when_all_earlier_grants_have_lapsed_and_rested(self):
        """Not before."""
        site = Site(is_first=False)
        site.clock.advance(LEASE_S + HOLDING_S + WINDOW_S)
        assert site.ledger.free_parts(A) == 0
        site.clock.advance(MARGIN_S)
        assert site.ledger.free_parts(A) == LENDABLE_PARTS

    def test_reports_of_another_term_are_ignored(self):
        """The node may still use grants of its earlier leader."""
        site = Site()
        site.report("n1", WHOLE // 2, term=TERM - 1)
        assert site.ledger.renewal("n1", "i") is None

    def test_nothing_is_renewed_while_the_lease_is_in_doubt(self, site):
        """A successor may count the parts as free after a while."""
        site.report("n1", renews=False)
        assert not site.is_renewed("n1")


class TestBackups:
    """Nodes that keep spare parts."""

    def test_they_are_heard_nodes_other_than_the_leader(self, site):
        """One that is silent is replaced."""
        nodes = [f"n{number}" for number in range(6)]
        for node in nodes:
            site.report(node)
        before = site.ledger.renewal("n1", "i").backups
        assert len(before) == BACKUPS
        assert "n0" not in before
        site.clock.advance(BACKUP_SILENCE_S)
        for node in nodes:
            if node != before[0]:
                site.report(node)
        after = site.ledger.renewal("n1", "i").backups
        assert len(after) == BACKUPS
        assert before[0] not in after
