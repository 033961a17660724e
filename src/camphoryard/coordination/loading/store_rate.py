"""Rate limit of loads from the weight store."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

BURST_LOADS = 2.0
"""Loads that may start at once above the rate: the platform tolerates three excess
loads per window, and one order may take effect late."""


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """Limit of ``excess`` times the store's rate in any ``window_s`` seconds."""

    window_s: float = 5.0
    excess: float = 1.0


class StoreRateLimiter:
    """A token bucket over the loads that one node orders; initially empty.

    A new leader does not know what its predecessor loaded.
    """

    def __init__(
        self, limits: LoadLimits, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = 0.0
        self._refilled_s = clock()

    def set_limits(self, limits: LoadLimits) -> None:
        """Change the limits."""
        with self._lock:
            self._limits = limits

    def reset(self, tokens: float) -> None:
        """Set the bucket to ``tokens`` loads."""
        with self._lock:
            self._tokens = tokens
            self._refilled_s = self._clock()

    def try_acquire(self, loads_per_s: float) -> bool:
        """Return whether a load may start now; count it if so."""
        with self._lock:
            excess = self._limits.excess
            extra_burst = loads_per_s * self._limits.window_s * max(0.0, excess - 1.0)
            now_s = self._clock()
            refill = (now_s - self._refilled_s) * loads_per_s * min(1.0, excess)
            self._tokens = min(BURST_LOADS + extra_burst, self._tokens + refill)
            self._refilled_s = now_s
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
