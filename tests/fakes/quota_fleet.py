"""Nodes that share the quotas of accounts."""

from collections import deque

from camphoryard.coordination.admission.sharing_policy import account_policy
from camphoryard.coordination.fleet.account_quotas import (
    AccountLimits,
    SharedAccountQuotas,
)
from camphoryard.state.accounts import Account, Accounts, Quota, QuotaUnit
from camphoryard.state.ids import AccountId
from camphoryard.state.quotas import Admitted, QuotaKind, window_limit
from tests.fakes.sharing_fleet import SharingFleet, SharingNode

WINDOW_S = 8.0


def make_account(name="a", per_s=100.0, burst=100.0):
    """Return an account with a quota of tokens."""
    return Account(AccountId(name), quota=Quota(QuotaUnit.TOKENS, per_s, burst))


class QuotaNode(SharingNode):
    """One process of a node, with the quotas of accounts."""

    def __init__(self, fleet, name, incarnation):
        super().__init__(fleet, name, incarnation)
        limits = AccountLimits(lambda: Accounts(fleet.account_by_id, {}), WINDOW_S)
        self.sharing = self.make_sharing(
            QuotaKind.ACCOUNT, account_policy(WINDOW_S), limits
        )
        self.quotas = SharedAccountQuotas(
            self.sharing, limits, self.log, lambda name: None
        )


class QuotaFleet(SharingFleet):
    """A fleet with one leader, and what its nodes have admitted."""

    def __init__(self, size, accounts, is_first_start=True):
        super().__init__(size, QuotaNode, is_first_start)
        self.account_by_id = {account.id: account for account in accounts}
        self.used, self.refused = [], []
        self.start_all()

    def send(self, node, account, tokens):
        """Send a request to a node; return the decision."""
        item = self.account_by_id[AccountId(account)]
        decision = self.node_by_id[node].quotas.admit(item, tokens)
        entry = self.clock.now_s, item.id, tokens
        match decision:
            case Admitted():
                self.used.append(entry)
            case _:
                self.refused.append(entry)
        return decision

    def most_used(self, account):
        """Return the most that an account has used within a window."""
        most, total, window = 0, 0, deque()
        for at_s, id, tokens in self.used:
            if id == account:
                window.append((at_s, tokens))
                total += tokens
            while window and window[0][0] < at_s - WINDOW_S:
                total -= window.popleft()[1]
            most = max(most, total)
        return most

    def limit(self, account):
        """Return what an account may use within a window."""
        return window_limit(self.account_by_id[account].quota, WINDOW_S)
