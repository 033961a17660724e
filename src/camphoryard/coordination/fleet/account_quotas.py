"""Quotas of accounts over the fleet."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from camphoryard.coordination.admission.quota_shares import Short
from camphoryard.coordination.fleet.quota_sharing import QuotaSharing
from camphoryard.coordination.ports import DecisionLog
from camphoryard.state.accounts import Account, Accounts
from camphoryard.state.ids import AccountId, LimitedId
from camphoryard.state.quotas import (
    Admitted,
    OverQuota,
    QuotaDecision,
    WindowLimit,
    window_limit,
)


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """The quotas of accounts; see the Limits port.

    Parameters
    ----------
    accounts : callable
        Return the accounts of the configuration in force, or None.
    window_s : float
        The window within which quotas hold, in seconds.
    """

    accounts: Callable[[], Accounts | None]
    window_s: float

    def ids(self) -> Collection[LimitedId]:
        """Return the accounts that have a quota."""
        accounts = self.accounts()
        if accounts is None:
            return ()
        return tuple(
            LimitedId(account.id)
            for account in accounts.by_id.values()
            if account.quota
        )

    def find(self, id: LimitedId) -> WindowLimit | None:
        """Return the quota of an account, or None without one."""
        accounts = self.accounts()
        account = accounts.by_id.get(AccountId(id)) if accounts else None
        return None if account is None else self.of(account)

    def of(self, account: Account) -> WindowLimit | None:
        """Return the quota of ``account``, or None without one."""
        if account.quota is None:
            return None
        units = window_limit(account.quota, self.window_s)
        return WindowLimit(units, account.quota.burst)


@dataclass(frozen=True, slots=True)
class SharedAccountQuotas:
    """Admits requests to accounts up to their quotas; see the AccountQuotas port."""

    sharing: QuotaSharing
    limits: AccountLimits
    log: DecisionLog
    count: Callable[[str], None]

    def admit(self, account: Account | None, tokens: int) -> QuotaDecision:
        """Decide on a request; see the AccountQuotas port."""
        if account is None or account.quota is None:
            return Admitted()
        limit = self.limits.of(account)
        assert limit is not None
        id, units = LimitedId(account.id), account.quota.cost(tokens)
        match self.sharing.use(id, limit.units, units):
            case Admitted() as admitted:
                return admitted
            case Short(_, room_in_s):
                retry_after_s = self.sharing.expect_return(id, units, room_in_s)
                self._log_refused(id, units, limit.units, retry_after_s)
                return OverQuota(retry_after_s)

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request has used; see the AccountQuotas port."""
        self.sharing.refund(admitted)

    def _log_refused(
        self, id: LimitedId, units: float, limit: float, retry_after_s: float
    ) -> None:
        usage = self.sharing.usage(id)
        self.count("requests_over_quota")
        self.log(
            "over_quota",
            account=id,
            units=units,
            limit=limit,
            spent=usage.spent,
            parts=usage.parts,
            even_parts=usage.even_parts,
            renewed_age_s=round(usage.renewed_age_s, 2),
            retry_after_s=round(retry_after_s, 3),
        )
