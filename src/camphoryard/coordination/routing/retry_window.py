"""Repeats of requests, bounded over any span of time by what clients sent."""

import threading
import time
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

SAFETY = 0.85
"""Part of the bound that is used: nodes count their own requests only, and see them
at other moments than endpoints do."""


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """At most ``share`` of the requests and ``reserve`` more in any ``window_s``."""

    share: float
    reserve: float
    window_s: float


@dataclass(slots=True)
class _Counts:
    """When requests came and repeats were made, within the window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryWindow(Generic[KeyT]):
    """One node's part of the fleet's budget of repeats, by service.

    The reserve is shared evenly by the nodes alive; the share of the requests is of
    those that this node has.

    Parameters
    ----------
    nodes : callable
        How many nodes share the reserve.
    """

    def __init__(
        self,
        limits: RepeatLimits,
        nodes: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._nodes = nodes
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_key: dict[KeyT, _Counts] = {}

    def limit(self, limits: RepeatLimits) -> None:
        """Put other limits in force."""
        with self._lock:
            self._limits = limits

    def earn(self, key: KeyT) -> None:
        """Count one request."""
        with self._lock:
            counts = self._counts(key)
            counts.requests.append(self._clock())

    def take(self, key: KeyT) -> bool:
        """Return whether one repeat may be made now, and count it."""
        with self._lock:
            if not self._has_left(key):
                return False
            self._counts(key).repeats.append(self._clock())
            return True

    def has_left(self, key: KeyT) -> bool:
        """Return whether a repeat could be made now, and count none."""
        with self._lock:
            return self._has_left(key)

    def _has_left(self, key: KeyT) -> bool:
        counts = self._counts(key)
        allowed = self._limits.share * len(counts.requests)
        allowed += self._limits.reserve / max(1, self._nodes())
        return len(counts.repeats) + 1 <= allowed * SAFETY

    def _counts(self, key: KeyT) -> _Counts:
        counts = self._counts_by_key.setdefault(key, _Counts())
        since_s = self._clock() - self._limits.window_s
        for times in (counts.requests, counts.repeats):
            while times and times[0] <= since_s:
                times.popleft()
        return counts
