"""Counts of the requests of each client account."""

from typing import Protocol

from camphoryard.state.accounts import Account
from camphoryard.state.enums import Reason
from camphoryard.state.ids import AccountId

MAX_LABELLED_ACCOUNTS = 64
"""Accounts that a process counts by name; each takes a line for each reason."""
OTHER_ACCOUNTS = "other"


class LabelledCount(Protocol):
    """Counts one event under labels."""

    def __call__(self, name: str, /, **labels: str) -> None:
        """Count the event."""


def _ignore(name: str, /, **labels: str) -> None:
    """Count nothing."""


class AccountCounts:
    """Counts answered and refused requests under a bounded number of names.

    Requests of no account are not counted here. The first accounts that send requests
    are counted by name, all later ones together.

    Parameters
    ----------
    count : callable
        Called with the name of a counter and its labels.
    max_accounts : int
        How many accounts are counted by name.
    """

    def __init__(
        self,
        count: LabelledCount = _ignore,
        max_accounts: int = MAX_LABELLED_ACCOUNTS,
    ) -> None:
        self._count = count
        self._max_accounts = max_accounts
        self._named: set[AccountId] = set()

    def answered(self, account: Account | None) -> None:
        """Count a request that was answered."""
        if account is not None:
            self._count("account_requests_answered", account=self._label(account.id))

    def refused(self, account: Account | None, reason: Reason) -> None:
        """Count a request that was refused or not answered to its end."""
        if account is not None:
            self._count(
                "account_requests_refused",
                account=self._label(account.id),
                reason=reason.value,
            )

    def _label(self, id: AccountId) -> str:
        if id not in self._named:
            if len(self._named) >= self._max_accounts:
                return OTHER_ACCOUNTS
            self._named.add(id)
        return id
