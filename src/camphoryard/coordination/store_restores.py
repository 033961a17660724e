"""Restores of the store from an older copy, and the time until they have settled.

After a restore each node writes again what it knows of the lost records. Until all
have had the time, a missing record does not prove that there was none.
"""

import threading
import time
from collections.abc import Callable

from camphoryard.state.ids import StoreEra, Version
from camphoryard.state.store_eras import FIRST_ERA, era_of


class StoreRestores:
    """The newest era of the store, and whether the nodes had time to write again.

    A node that starts cannot know how long ago the current era began, so for it too
    that era settles first.

    Parameters
    ----------
    settling_s : float
        Time in seconds in which each running node hears of a restore and writes again.
    clock : callable
        Monotonic clock.
    """

    def __init__(
        self, settling_s: float = 0.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settling_s = settling_s
        self._clock = clock
        self._changed = threading.Condition()
        self._era = FIRST_ERA
        self._settled_s = float("-inf")
        self._subscribers: list[Callable[[], None]] = []

    @property
    def era(self) -> StoreEra:
        """The newest era of the store."""
        return self._era

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` at each later era; it must not call the store."""
        self._subscribers.append(callback)

    def observe(self, era: StoreEra) -> None:
        """Record a later era and notify the subscribers."""
        with self._changed:
            if era <= self._era:
                return
            self._era = era
            self._settled_s = self._clock() + self._settling_s
            self._changed.notify_all()
        for callback in self._subscribers:
            callback()

    def is_settled(self) -> bool:
        """Return whether the lost records that running nodes know are written again."""
        return self.settling_left_s() <= 0

    def settling_left_s(self) -> float:
        """Return the seconds until the newest era has settled, or 0."""
        with self._changed:
            return max(0.0, self._settled_s - self._clock())

    def wait_settled(self, deadline_s: float) -> bool:
        """Block until the newest era has settled.

        Returns False, at once, if that is later than monotonic ``deadline_s``.
        """
        with self._changed:
            while (left_s := self._settled_s - self._clock()) > 0:
                if self._settled_s > deadline_s:
                    return False
                self._changed.wait(left_s)
        return True

    def is_confirmed(self, version: Version) -> bool:
        """Return whether a record of ``version`` is in the latest era, and settled.

        Another node may hold a record that was lost in place of one that is not.
        """
        return era_of(version) == self._era and self.is_settled()
