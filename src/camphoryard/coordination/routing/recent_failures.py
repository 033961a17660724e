"""Endpoints whose last answers were failures."""

import threading
import time
from collections.abc import Callable

from camphoryard.state.ids import EndpointId

RECENT_S = 1.0
"""Time for which a failure tells that the next request would fail as well."""


class RecentFailures:
    """Endpoints that have failed or declined a request and answered none since.

    Parameters
    ----------
    clock : callable
        Return monotonic time, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._failed_s_by_id: dict[EndpointId, float] = {}

    def failed(self, endpoint: EndpointId) -> None:
        """Record that an endpoint has failed or declined a request."""
        with self._lock:
            self._failed_s_by_id[endpoint] = self._clock()

    def succeeded(self, endpoint: EndpointId) -> None:
        """Record that an endpoint has answered a request."""
        with self._lock:
            self._failed_s_by_id.pop(endpoint, None)

    def has_failed(self, endpoint: EndpointId) -> bool:
        """Return whether the last answer of an endpoint was a recent failure."""
        with self._lock:
            failed_s = self._failed_s_by_id.get(endpoint)
        return failed_s is not None and self._clock() - failed_s < RECENT_S
