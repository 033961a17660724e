"""Retry budgets: retries may be only a share of a group's requests."""

import threading
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """``share`` retries are earned by each request, up to ``reserve`` kept."""

    share: float = 0.2
    reserve: float = 20.0


@dataclass(slots=True)
class RetryBudget(Generic[KeyT]):
    """One token bucket for each group or service, full at first.

    Examples
    --------
    >>> budget = RetryBudget(RetryLimits(share=0.5, reserve=1))
    >>> budget.take("desk"), budget.take("desk")
    (True, False)
    """

    limits: RetryLimits = RetryLimits()
    _left_by_group: dict[KeyT, float] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def earn(self, group: KeyT) -> None:
        """Count one request of the group."""
        with self._lock:
            left = self._left(group) + self.limits.share
            self._left_by_group[group] = min(left, self.limits.reserve)

    def take(self, group: KeyT) -> bool:
        """Return whether one retry may be made, and pay for it."""
        with self._lock:
            left = self._left(group)
            if left < 1:
                return False
            self._left_by_group[group] = left - 1
            return True

    def _left(self, group: KeyT) -> float:
        return self._left_by_group.get(group, self.limits.reserve)
