"""Parts of the quotas of accounts, and what nodes tell each other about them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.state.accounts import Quota
from camphoryard.state.ids import AccountId, FencingNumber, NodeId

WHOLE = 1_000_000_000
"""Parts that the limit of an account is divided into. Counting whole parts keeps sums
over many nodes exact."""


def window_limit(quota: Quota, window_s: float) -> float:
    """Return how many units an account may use in any window of ``window_s`` seconds.

    Examples
    --------
    >>> from camphoryard.state.accounts import QuotaUnit
    >>> window_limit(Quota(QuotaUnit.TOKENS, 100.0, 50.0), 8.0)
    850.0
    """
    return quota.per_s * window_s + quota.burst


@dataclass(slots=True, eq=False)
class Spend:
    """Units of an account that a request has used; ``units`` is 0 once given back."""

    account: AccountId
    units: float
    at_s: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may run; ``spend`` is None if its account has no quota."""

    spend: Spend | None = None


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request is over the quota of its account, which has room later."""

    retry_after_s: float


QuotaDecision: TypeAlias = Admitted | OverQuota


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What a node holds of the limits of accounts, as it tells the leader.

    ``term`` is that of the leader; the node uses no grant of an older one any more.
    All its requests for grants up to number ``settled`` are answered or abandoned, and
    the parts that they brought are among those in ``parts_by_account``.
    """

    term: FencingNumber
    settled: int
    parts_by_account: Mapping[AccountId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaRenewal:
    """What the leader answers to the reports of a node.

    ``beat`` is that of the newest report whose parts are renewed. Nodes keep no unused
    parts of the ``scarce`` accounts. The ``backups`` keep spare parts, from which they
    admit requests of others while there is no leader.
    """

    beat: int
    scarce: tuple[AccountId, ...] = ()
    backups: tuple[NodeId, ...] = ()
