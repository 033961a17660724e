"""Parts of shared limits, and what nodes tell each other about them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from camphoryard.state.accounts import Quota
from camphoryard.state.ids import FencingNumber, LimitedId, NodeId

WHOLE = 1_000_000_000
"""Parts that a limit is divided into. Counting whole parts keeps sums
over many nodes exact."""


class QuotaKind(Enum):
    """What limits apply to; the values are parts of names in logs and metrics."""

    ACCOUNT = "quota"
    ENDPOINT = "endpoint_limit"


@dataclass(frozen=True, slots=True)
class WindowLimit:
    """Units that may be used in any window, ``burst`` of them at once."""

    units: float
    burst: float = 0.0


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
    """Units of a limit that a request has used; ``units`` is 0 once given back."""

    id: LimitedId
    units: float
    at_s: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may run; ``spend`` is None if none of this node's units are used."""

    spend: Spend | None = None


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request is over the quota of its account, which has room later."""

    retry_after_s: float


QuotaDecision: TypeAlias = Admitted | OverQuota


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What a node holds of the limits of one kind, as it tells the leader.

    ``term`` is that of the leader; the node uses no grant of an older one any more.
    All its requests for grants up to number ``settled`` are answered or abandoned, and
    the parts that they brought are among those in ``parts_by_id``.
    """

    term: FencingNumber
    settled: int
    parts_by_id: Mapping[LimitedId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaRenewal:
    """What the leader answers to the reports of a node.

    ``beat`` is that of the newest report whose parts are renewed. Nodes keep no unused
    parts of the ``scarce`` limits. The ``backups`` keep spare parts, from which they
    admit requests of others while there is no leader.
    """

    beat: int
    scarce: tuple[LimitedId, ...] = ()
    backups: tuple[NodeId, ...] = ()
