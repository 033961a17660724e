"""Circuit breakers: a failing endpoint gets no requests for a short time."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.state.ids import EndpointId

EJECTION_S = 1.0
"""Length of the first ejection of an endpoint."""
MAX_EJECTION_S = 8.0
PROBE_TIMEOUT_S = 5.0
"""Time after which another probe may be sent if one has no result yet."""


@dataclass(frozen=True, slots=True)
class _Ejection:
    """No request is allowed before ``until_s``, on the monotonic clock.

    ``length_s`` doubles with each failed probe. A probe in flight extends
    ``until_s``, so that no second one is sent beside it.
    """

    until_s: float
    length_s: float


class Breakers:
    """Ejects failing endpoints; after an ejection expires one probe is allowed.

    Parameters
    ----------
    now_s : callable
        Return monotonic time, in seconds.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._ejection_by_id: dict[EndpointId, _Ejection] = {}

    def allows(self, endpoint: EndpointId) -> bool:
        """Return whether a request may be sent to ``endpoint`` now."""
        with self._lock:
            ejection = self._ejection_by_id.get(endpoint)
        return ejection is None or ejection.until_s <= self._now_s()

    def started(self, endpoint: EndpointId) -> None:
        """Record that a request was sent; to an ejected endpoint it is the probe."""
        with self._lock:
            ejection = self._ejection_by_id.get(endpoint)
            if ejection is not None:
                probe_until_s = self._now_s() + PROBE_TIMEOUT_S
                self._ejection_by_id[endpoint] = _Ejection(
                    probe_until_s, ejection.length_s
                )

    def failed(self, endpoint: EndpointId) -> None:
        """Eject an endpoint; each failure doubles the ejection up to the maximum."""
        now_s = self._now_s()
        with self._lock:
            previous = self._ejection_by_id.get(endpoint)
            length_s = (
                min(previous.length_s * 2, MAX_EJECTION_S) if previous else EJECTION_S
            )
            self._ejection_by_id[endpoint] = _Ejection(now_s + length_s, length_s)

    def succeeded(self, endpoint: EndpointId) -> None:
        """End the ejection of an endpoint that answered."""
        with self._lock:
            self._ejection_by_id.pop(endpoint, None)
