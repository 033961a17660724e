"""Estimates of how long a stream will wait for its first event at an endpoint."""

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, Urgency

WINDOW_S = 2.0
"""Period over which the rate of first events is measured."""
MIN_QUEUED_REQUESTS = 4
"""With fewer, a long wait may be due to one slow request rather than a queue."""


@dataclass(frozen=True, slots=True, eq=False)
class PendingRequest:
    """A request, sent at ``sent_s``, that has no first event yet."""

    endpoint: EndpointId
    urgency: Urgency
    sent_s: float


@dataclass(slots=True)
class _Queue:
    """Pending requests at one endpoint and the times of recent first events."""

    pending: set[PendingRequest] = field(default_factory=set)
    received_s: deque[float] = field(default_factory=deque)

    def ahead_of(self, urgency: Urgency) -> list[PendingRequest]:
        """Return the pending requests that are at least as urgent."""
        return [request for request in self.pending if request.urgency <= urgency]


@dataclass(slots=True)
class FirstEventTracker:
    """Tracks this node's requests until their first event, by endpoint.

    Endpoints admit more urgent requests first, so only pending requests that are
    at least as urgent are ahead of a new one.
    """

    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _queue_by_id: dict[EndpointId, _Queue] = field(default_factory=dict)

    def sent(self, endpoint: EndpointId, urgency: Urgency) -> PendingRequest:
        """Record a request as sent; return the handle for ``received`` or ``ended``."""
        request = PendingRequest(endpoint, urgency, self.clock())
        with self._lock:
            self._queue(endpoint).pending.add(request)
        return request

    def received(self, request: PendingRequest) -> None:
        """Record that a pending request received its first event."""
        with self._lock:
            queue = self._queue(request.endpoint)
            queue.pending.discard(request)
            queue.received_s.append(self.clock())

    def ended(self, request: PendingRequest) -> None:
        """Record that a pending request ended without a first event."""
        with self._lock:
            self._queue(request.endpoint).pending.discard(request)

    def wait_s(self, endpoint: EndpointId, urgency: Urgency) -> float:
        """Return the estimated wait of a new request for its first event, in seconds.

        The estimate is the number of pending requests divided by the rate of first
        events (Little's law). Other nodes' requests add to both in proportion, so
        the quotient of this node's own figures estimates the wait at the endpoint.
        """
        now_s = self.clock()
        with self._lock:
            queue = self._queue(endpoint)
            ahead = queue.ahead_of(urgency)
            estimate_s = len(ahead) * WINDOW_S / max(1, len(queue.received_s))
            oldest_s = max((now_s - request.sent_s for request in ahead), default=0.0)
            return max(estimate_s, oldest_s)

    def has_queue(self, endpoint: EndpointId, urgency: Urgency) -> bool:
        """Return whether enough requests are pending to count as a queue."""
        with self._lock:
            return len(self._queue(endpoint).ahead_of(urgency)) >= MIN_QUEUED_REQUESTS

    def _queue(self, endpoint: EndpointId) -> _Queue:
        """Return an endpoint's queue, without first events older than the window."""
        queue = self._queue_by_id.setdefault(endpoint, _Queue())
        since_s = self.clock() - WINDOW_S
        while queue.received_s and queue.received_s[0] < since_s:
            queue.received_s.popleft()
        return queue
