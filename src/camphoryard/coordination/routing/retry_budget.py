"""Retry budgets: retries are limited to a share of a group's requests."""

import threading
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Each request earns ``share`` retries; at most ``reserve`` are saved up."""

    share: float = 0.2
    reserve: float = 20.0


@dataclass(slots=True)
class RetryBudget(Generic[KeyT]):
    """One token bucket for each group or service, initially full.

    Examples
    --------
    >>> budget = RetryBudget(RetryLimits(share=0.5, reserve=1))
    >>> budget.take("desk"), budget.take("desk")
    (True, False)
    """

    limits: RetryLimits = RetryLimits()
    _tokens_by_group: dict[KeyT, float] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def earn(self, group: KeyT) -> None:
        """Add the share earned by one request of the group."""
        with self._lock:
            tokens = self._tokens(group) + self.limits.share
            self._tokens_by_group[group] = min(tokens, self.limits.reserve)

    def take(self, group: KeyT) -> bool:
        """Spend one retry of the group; return False if its budget is exhausted."""
        with self._lock:
            tokens = self._tokens(group)
            if tokens < 1:
                return False
            self._tokens_by_group[group] = tokens - 1
            return True

    def _tokens(self, group: KeyT) -> float:
        return self._tokens_by_group.get(group, self.limits.reserve)
