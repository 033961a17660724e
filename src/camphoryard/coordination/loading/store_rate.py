"""The weight store's rate: how soon another model may be loaded from it."""

import threading
import time
from collections.abc import Callable

BURST_LOADS = 2.0
"""Loads that may start at once; the platform forgives three in its window."""


class StoreRate:
    """A token bucket over the loads that one node orders; empty at first.

    A node that has just begun to order does not know what its predecessor loaded.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._left = 0.0
        self._filled_s = clock()

    def reset(self, left: float) -> None:
        """Begin anew with ``left`` loads at once."""
        with self._lock:
            self._left = left
            self._filled_s = self._clock()

    def take(self, loads_per_s: float) -> bool:
        """Return whether a load may start now, and count it."""
        with self._lock:
            now_s = self._clock()
            gained = (now_s - self._filled_s) * loads_per_s
            self._left = min(BURST_LOADS, self._left + gained)
            self._filled_s = now_s
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True
