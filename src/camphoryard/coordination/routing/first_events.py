"""How long a stream waits for its first event at each endpoint, by what came lately."""

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, Urgency

WINDOW_S = 2.0
"""How far back first events are counted."""
LEAST_PENDING = 4
"""With fewer requests before it a wait is no queue: one may just be long."""


@dataclass(frozen=True, slots=True, eq=False)
class PendingEvent:
    """A request that has waited for its first event since ``sent_s``."""

    endpoint: EndpointId
    urgency: Urgency
    sent_s: float


@dataclass(slots=True)
class _Queue:
    """The requests that wait at one endpoint, and when first events came."""

    pending: set[PendingEvent] = field(default_factory=set)
    received: deque[float] = field(default_factory=deque)

    def before(self, urgency: Urgency) -> list[PendingEvent]:
        """Return the requests that wait and are not less urgent."""
        return [item for item in self.pending if item.urgency <= urgency]


@dataclass(slots=True)
class FirstEventTracker:
    """Requests of this node that wait for their first event, and those that got it.

    Endpoints admit more urgent requests first, so only those that are not less
    urgent are before one more.
    """

    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _queue_by_id: dict[EndpointId, _Queue] = field(default_factory=dict)

    def sent(self, endpoint: EndpointId, urgency: Urgency) -> PendingEvent:
        """Note a request that waits from now on; return what ends its wait."""
        item = PendingEvent(endpoint, urgency, self.clock())
        with self._lock:
            self._queue(endpoint).pending.add(item)
        return item

    def received(self, item: PendingEvent) -> None:
        """Note that a waiting request got its first event."""
        with self._lock:
            queue = self._queue(item.endpoint)
            queue.pending.discard(item)
            queue.received.append(self.clock())

    def ended(self, item: PendingEvent) -> None:
        """Note that a waiting request ended without one."""
        with self._lock:
            self._queue(item.endpoint).pending.discard(item)

    def wait_s(self, endpoint: EndpointId, urgency: Urgency) -> float:
        """Return about how long one more request would wait, in seconds.

        It is the number that waits over the rate at which first events come
        (Little's law). Other nodes' requests wait as well and get theirs as well,
        so the quotient of this node's own figures estimates the wait of all.
        """
        now_s = self.clock()
        with self._lock:
            queue = self._queue(endpoint)
            before = queue.before(urgency)
            estimate_s = len(before) * WINDOW_S / max(1, len(queue.received))
            oldest_s = max((now_s - item.sent_s for item in before), default=0.0)
            return max(estimate_s, oldest_s)

    def has_queue(self, endpoint: EndpointId, urgency: Urgency) -> bool:
        """Return whether so many wait that their wait is no chance."""
        with self._lock:
            return len(self._queue(endpoint).before(urgency)) >= LEAST_PENDING

    def _queue(self, endpoint: EndpointId) -> _Queue:
        """Return the queue of an endpoint without arrivals that are too old."""
        queue = self._queue_by_id.setdefault(endpoint, _Queue())
        since_s = self.clock() - WINDOW_S
        while queue.received and queue.received[0] < since_s:
            queue.received.popleft()
        return queue
