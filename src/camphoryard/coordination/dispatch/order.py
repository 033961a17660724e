"""Order of the requests that wait for an engine."""

import math
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeAlias, TypeVar

from camphoryard.coordination.dispatch.engine_ledger import Owner
from camphoryard.coordination.dispatch.engine_work import memory_tokens
from camphoryard.state.dispatch import DispatchRequest
from camphoryard.state.ids import AccountId

USUAL_TIME_CONSTANT_S = 60.0
"""Time constant of the average that an account's demand is compared with."""
MIN_USUAL_SHARE = 0.01
"""Share of all demand that an account may have without having had it before."""
OUTPUT_TOKEN_WORK = 10
"""A token of an answer costs an engine about as much as this many of a prompt."""
NEGLECTED_RANK = -1
"""Rank of requests whose own rank has too little of the work in hand."""

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class UrgentFirst:
    """Order by rank; within a rank, accounts within their share of the work go first.

    A request is raised by one rank for each ``aging_s`` seconds that it has waited. An
    account is beyond its share if it has more than ``share_margin`` times its usual
    part of the work in hand. Requests of a rank go before all others while it has less
    than ``min_rank_share`` of its usual part of the work in hand.
    """

    aging_s: float = 5.0
    share_margin: float = 1.25
    min_rank_share: float = 0.35


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits, with monotonic times in seconds.

    Its first event is late after ``due_s``, its client leaves at ``leaves_s``. It waits
    since ``since_s``. ``first_event_s`` is the time to its first event at the best
    endpoint, as last expected.
    """

    request: DispatchRequest
    since_s: float
    due_s: float
    leaves_s: float
    first_event_s: float = 0.0

    @property
    def work_tokens(self) -> int:
        """Work of the request, in prompt tokens."""
        return work_tokens(self.request)

    def can_meet_objective(self, now_s: float) -> bool:
        """Return whether the first event is on time if the request goes now."""
        return now_s + self.first_event_s <= self.due_s


SortKey: TypeAlias = tuple[bool, int, int, int, float, int]


def work_tokens(request: DispatchRequest) -> int:
    """Return the work of a request, in prompt tokens."""
    work = request.work
    return work.prompt_tokens + OUTPUT_TOKEN_WORK * work.output_tokens


def current_rank(
    waiting: Waiting, now_s: float, policy: UrgentFirst, shares: "WorkShares"
) -> int:
    """Return the rank of a request, raised by its wait or if it is neglected."""
    if waiting.request.rank in shares.neglected_ranks:
        return NEGLECTED_RANK
    steps = int((now_s - waiting.since_s) / policy.aging_s)
    return max(0, waiting.request.rank - steps)


def sort_key(
    waiting: Waiting, now_s: float, policy: UrgentFirst, shares: "WorkShares"
) -> SortKey:
    """Return the key by which waiting requests are sorted; the smallest goes first.

    Answers that have begun go first, then urgent requests. Within a rank, those of
    accounts beyond their share go last, and within these groups those that will be
    late, of which the ones that were refused before go first. The time left and the
    work decide the rest.
    """
    is_on_time = waiting.can_meet_objective(now_s)
    return (
        not waiting.request.has_begun,
        current_rank(waiting, now_s, policy, shares),
        shares.excess(waiting),
        0 if is_on_time else 1 if waiting.request.has_returned else 2,
        waiting.due_s if is_on_time else waiting.leaves_s,
        waiting.work_tokens,
    )


@dataclass(frozen=True, slots=True)
class WorkShares:
    """Work in hand of each account beside the work that it may have.

    ``in_hand`` and ``allowed`` are tokens by rank and account. An account is allowed
    its part of the usual demand of those that wait or run; parts not used are lent.
    ``neglected_ranks`` have far less of the work in hand than of the usual demand.
    """

    in_hand: Mapping[Owner, int]
    allowed: Mapping[Owner, float]
    neglected_ranks: frozenset[int] = frozenset()

    def excess(self, waiting: Waiting) -> int:
        """Return how often an account has doubled its share; 0 within it.

        One request beyond the share is not held against an account, as most small ones
        have either none or one.
        """
        key = waiting.request.rank, waiting.request.account
        allowed = self.allowed.get(key, math.inf)
        beyond = self.in_hand.get(key, 0) - memory_tokens(waiting.request)
        if beyond <= allowed:
            return 0
        return 1 + int(math.log2(beyond / max(1.0, allowed)))


def work_shares(
    in_hand: Mapping[Owner, int],
    waiting: Iterable[Waiting],
    usual: "UsualDemand",
    policy: UrgentFirst,
) -> WorkShares:
    """Return the shares of the accounts that run or wait, in each rank."""
    waiting_owners = {(item.request.rank, item.request.account) for item in waiting}
    owners = waiting_owners | in_hand.keys()
    total_by_rank: Counter[int] = Counter()
    for (rank, _), tokens in in_hand.items():
        total_by_rank[rank] += tokens
    usual_by_owner = {owner: usual.by_account.share(owner[1]) for owner in owners}
    usual_by_rank: defaultdict[int, float] = defaultdict(float)
    for (rank, _), share in usual_by_owner.items():
        usual_by_rank[rank] += share
    allowed = {
        owner: policy.share_margin
        * total_by_rank[owner[0]]
        * share
        / usual_by_rank[owner[0]]
        for owner, share in usual_by_owner.items()
    }
    return WorkShares(
        in_hand, allowed, _neglected_ranks(total_by_rank, waiting, usual, policy)
    )


def _neglected_ranks(
    total_by_rank: Mapping[int, int],
    waiting: Iterable[Waiting],
    usual: "UsualDemand",
    policy: UrgentFirst,
) -> frozenset[int]:
    """Return the ranks that have too little in hand, also with one request more."""
    total = sum(total_by_rank.values())
    next_by_rank: dict[int, int] = {}
    for item in waiting:
        next_by_rank.setdefault(item.request.rank, memory_tokens(item.request))
    return frozenset(
        rank
        for rank, tokens in next_by_rank.items()
        if total_by_rank.get(rank, 0) + tokens
        <= total * usual.by_rank.share(rank) * policy.min_rank_share
    )


@dataclass(slots=True)
class AverageWork(Generic[KeyT]):
    """Average work that is asked for under each key, over about a minute."""

    clock: Callable[[], float] = time.monotonic
    _tokens_by_key: dict[KeyT, float] = field(default_factory=dict)
    _updated_s: float = -math.inf

    def record(self, key: KeyT, tokens: int) -> None:
        """Record the work of one request."""
        self._decay()
        self._tokens_by_key[key] = self._tokens_by_key.get(key, 0.0) + tokens

    def share(self, key: KeyT) -> float:
        """Return the key's share of all work, at least `MIN_USUAL_SHARE`."""
        total = sum(self._tokens_by_key.values())
        if not total:
            return MIN_USUAL_SHARE
        return max(MIN_USUAL_SHARE, self._tokens_by_key.get(key, 0.0) / total)

    def _decay(self) -> None:
        """Let the recorded work fade, and drop keys that have next to none."""
        now_s = self.clock()
        factor = math.exp((self._updated_s - now_s) / USUAL_TIME_CONSTANT_S)
        self._updated_s = now_s
        self._tokens_by_key = {
            key: faded
            for key, tokens in self._tokens_by_key.items()
            if (faded := tokens * factor) >= 1.0
        }


class UsualDemand:
    """Average work that each account, and each rank, asks for."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.by_account: AverageWork[AccountId | None] = AverageWork(clock)
        self.by_rank: AverageWork[int] = AverageWork(clock)

    def record(self, request: DispatchRequest) -> None:
        """Record a request that asks for its turn."""
        tokens = memory_tokens(request)
        self.by_account.record(request.account, tokens)
        self.by_rank.record(request.rank, tokens)
