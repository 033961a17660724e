"""Retry budgets that bound the retries within any window of time."""

import math
import threading
import time
from collections import deque
from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

SAFETY_FACTOR = 0.85
"""Part of the bound that is used: a node counts only its own requests, and at other
moments than the endpoints do."""


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """Retries in any ``window_s``: ``share`` of the requests, plus ``reserve``."""

    share: float
    reserve: float
    window_s: float


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """What one node's part of a budget is made of now.

    ``requests`` and ``retries`` are those of the window, ``nodes`` divide the reserve.
    """

    requests: int
    retries: int
    nodes: int


@dataclass(slots=True)
class _Counts:
    """Monotonic times of the requests and retries within the window.

    ``reserve_used_s`` is the time of the last retry that needed the reserve.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    reserve_used_s: float = -math.inf


class RetryWindow(Generic[KeyT]):
    """One node's part of the fleet's retry budget, by service.

    The live nodes divide the reserve evenly; the share applies to the requests
    that this node received. A process that replaces another one has to
    `hold_reserve` until it knows for which services that one has used the reserve.

    Parameters
    ----------
    limits : RepeatLimits
        The limits of the whole fleet.
    node_count : callable
        Return how many nodes divide the reserve.
    clock : callable
        Return monotonic time, in seconds.
    """

    def __init__(
        self,
        limits: RepeatLimits,
        node_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._node_count = node_count
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_key: dict[KeyT, _Counts] = {}
        self._held_since_s = -math.inf
        self._held_keys: frozenset[KeyT] | None = frozenset()

    def limit(self, limits: RepeatLimits) -> None:
        """Replace the limits."""
        with self._lock:
            self._limits = limits

    def hold_reserve(self) -> None:
        """Use none of the reserve for the time of a window."""
        with self._lock:
            self._held_since_s = self._clock()
            self._held_keys = None

    def release_reserve(self, used_before: Collection[KeyT]) -> None:
        """Hold the reserve only for the keys of which it was used before."""
        with self._lock:
            self._held_keys = frozenset(used_before)

    def reserve_users(self) -> frozenset[KeyT]:
        """Return the keys of which the reserve was used within the window.

        Those of an earlier process are among them while the reserve is held for them.
        """
        with self._lock:
            since_s = self._clock() - self._limits.window_s
            used = {
                key
                for key, counts in self._counts_by_key.items()
                if counts.reserve_used_s > since_s
            }
            held = self._held_keys if self._held_since_s > since_s else None
            return frozenset(used.union(held or ()))

    def earn(self, key: KeyT) -> None:
        """Count one request of ``key``."""
        with self._lock:
            counts = self._counts(key)
            counts.requests.append(self._clock())

    def take(self, key: KeyT) -> bool:
        """Count one retry; return False if the retry budget is exhausted."""
        with self._lock:
            if not self._has_left(key):
                return False
            counts = self._counts(key)
            counts.retries.append(self._clock())
            if len(counts.retries) > self._earned(counts) * SAFETY_FACTOR:
                counts.reserve_used_s = self._clock()
            return True

    def has_left(self, key: KeyT) -> bool:
        """Return whether the budget allows a retry now, without counting one."""
        with self._lock:
            return self._has_left(key)

    def usage(self, key: KeyT) -> RetryUsage:
        """Return what the budget of ``key`` is made of now."""
        with self._lock:
            counts = self._counts(key)
            return RetryUsage(
                len(counts.requests), len(counts.retries), self._node_count()
            )

    def _has_left(self, key: KeyT) -> bool:
        counts = self._counts(key)
        allowed = self._earned(counts) + self._reserve(key)
        return len(counts.retries) + 1 <= allowed * SAFETY_FACTOR

    def _earned(self, counts: _Counts) -> float:
        return self._limits.share * len(counts.requests)

    def _reserve(self, key: KeyT) -> float:
        """Return this node's part of the reserve, or 0 while it is held."""
        is_held = self._held_keys is None or key in self._held_keys
        if is_held and self._clock() - self._held_since_s < self._limits.window_s:
            return 0.0
        return self._limits.reserve / max(1, self._node_count())

    def _counts(self, key: KeyT) -> _Counts:
        counts = self._counts_by_key.setdefault(key, _Counts())
        since_s = self._clock() - self._limits.window_s
        for times_s in (counts.requests, counts.retries):
            while times_s and times_s[0] <= since_s:
                times_s.popleft()
        return counts
