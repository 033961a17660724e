"""How long a stream waits for its first event at each endpoint, by what came lately."""

import threading
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId

WINDOW_S = 2.0
"""How far back first events are counted."""
LEAST_PENDING = 4
"""With fewer requests before it a wait is no queue: one may just be long."""


@dataclass(slots=True)
class FirstEvents:
    """Requests of this node that wait for their first event, and those that got it.

    The wait of one more is the number that waits over the rate at which first
    events come (Little's law). Other nodes' requests wait as well and get theirs as
    well, so the quotient of this node's own figures estimates the wait of all.
    """

    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _pending_by_id: Counter[EndpointId] = field(default_factory=Counter)
    _came_by_id: defaultdict[EndpointId, deque[float]] = field(
        default_factory=lambda: defaultdict(deque)
    )

    def sent(self, endpoint: EndpointId) -> None:
        """Note a request that waits from now on."""
        with self._lock:
            self._pending_by_id[endpoint] += 1

    def came(self, endpoint: EndpointId) -> None:
        """Note that a waiting request got its first event."""
        with self._lock:
            self._pending_by_id[endpoint] -= 1
            self._came_by_id[endpoint].append(self.clock())

    def ended(self, endpoint: EndpointId) -> None:
        """Note that a waiting request ended without one."""
        with self._lock:
            self._pending_by_id[endpoint] -= 1

    def wait_s(self, endpoint: EndpointId) -> float:
        """Return about how long one more request would wait, in seconds."""
        since_s = self.clock() - WINDOW_S
        with self._lock:
            pending = self._pending_by_id[endpoint]
            came = self._came_by_id[endpoint]
            while came and came[0] < since_s:
                came.popleft()
            if pending < LEAST_PENDING:
                return 0.0
            return pending * WINDOW_S / max(1, len(came))
