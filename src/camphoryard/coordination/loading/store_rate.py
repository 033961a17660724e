"""The weight store's rate: how soon another model may be loaded from it."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

SPARE_LOADS = 2.0
"""Loads that may start at once beside those that the rate allows: the platform
forgives three in its window, and one order that is carried out late is no surprise."""


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """In any ``window_s`` at most ``excess`` times the store's rate may be loaded."""

    window_s: float = 5.0
    excess: float = 1.0


class StoreRate:
    """A token bucket over the loads that one node orders; empty at first.

    A node that has just begun to order does not know what its predecessor loaded.
    """

    def __init__(
        self, limits: LoadLimits, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._left = 0.0
        self._filled_s = clock()

    def limit(self, limits: LoadLimits) -> None:
        """Put other limits in force."""
        with self._lock:
            self._limits = limits

    def reset(self, left: float) -> None:
        """Begin anew with ``left`` loads at once."""
        with self._lock:
            self._left = left
            self._filled_s = self._clock()

    def take(self, loads_per_s: float) -> bool:
        """Return whether a load may start now, and count it."""
        with self._lock:
            excess = self._limits.excess
            spare = loads_per_s * self._limits.window_s * max(0.0, excess - 1.0)
            now_s = self._clock()
            gained = (now_s - self._filled_s) * loads_per_s * min(1.0, excess)
            self._left = min(SPARE_LOADS + spare, self._left + gained)
            self._filled_s = now_s
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True
