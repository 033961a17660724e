"""Tests of the counts by account."""

from camphoryard.coordination.forwarding.account_counts import AccountCounts
from camphoryard.state.accounts import Account
from camphoryard.state.enums import Reason
from camphoryard.state.ids import AccountId


class TestAccountCounts:
    """Counters and their labels."""

    def test_accounts_beyond_the_bound_share_a_label(self):
        """A configuration with many accounts does not grow the metrics."""
        counted = []
        counts = AccountCounts(lambda _, **labels: counted.append(labels), 2)
        for name in ("a", "b", "c", "d", "a"):
            counts.answered(Account(AccountId(name)))
        names = [labels["account"] for labels in counted]
        assert names == ["a", "b", "other", "other", "a"]

    def test_refusals_have_their_reason(self):
        """Requests of no account are not counted."""
        counted = []
        counts = AccountCounts(lambda name, **labels: counted.append((name, labels)))
        counts.refused(Account(AccountId("a")), Reason.OVERLOADED)
        counts.refused(None, Reason.OVERLOADED)
        counts.answered(None)
        labels = {"account": "a", "reason": "overloaded"}
        assert counted == [("account_requests_refused", labels)]
