"""Events of the time line, stamped by a hybrid logical clock."""

import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.ids import NodeId

NANOSECONDS_PER_MILLISECOND = 1_000_000


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Hybrid logical time: wall milliseconds, then a counter."""

    wall_ms: int
    count: int


@dataclass(frozen=True, slots=True)
class Event:
    """One line of the time line."""

    stamp: Stamp
    node: NodeId
    name: str
    fields: Mapping[str, str] = field(default_factory=dict)


class HybridClock:
    """Clock whose stamps never go back and follow what was heard from peers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return a stamp later than any given or heard before."""
        return self.observe(Stamp(0, 0))

    def observe(self, stamp: Stamp) -> Stamp:
        """Return a stamp later than ``stamp`` and any given before."""
        wall_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        with self._lock:
            latest = max(self._last, stamp)
            if wall_ms > latest.wall_ms:
                self._last = Stamp(wall_ms, 0)
            else:
                self._last = Stamp(latest.wall_ms, latest.count + 1)
            return self._last
