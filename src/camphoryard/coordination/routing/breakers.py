"""Circuit breakers: an endpoint that fails is ejected for a short time."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.state.ids import EndpointId

EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
PROBE_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Ejection:
    """``length_s`` doubles with each failed probe; a probe holds ``until_s``."""

    until_s: float
    length_s: float


class Breakers:
    """Ejections by endpoint; after one has lapsed a single probe goes through.

    Parameters
    ----------
    now_s : callable
        The monotonic clock, in seconds.
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
        """Note a request sent; at an ejected endpoint it is the only probe."""
        with self._lock:
            ejection = self._ejection_by_id.get(endpoint)
            if ejection is not None:
                probed_until_s = self._now_s() + PROBE_LIMIT_S
                self._ejection_by_id[endpoint] = _Ejection(
                    probed_until_s, ejection.length_s
                )

    def failed(self, endpoint: EndpointId) -> None:
        """Eject an endpoint, for twice as long after each failed probe."""
        now_s = self._now_s()
        with self._lock:
            known = self._ejection_by_id.get(endpoint)
            length_s = min(known.length_s * 2, MAX_EJECTION_S) if known else EJECTION_S
            self._ejection_by_id[endpoint] = _Ejection(now_s + length_s, length_s)

    def succeeded(self, endpoint: EndpointId) -> None:
        """End an ejection: the endpoint answered."""
        with self._lock:
            self._ejection_by_id.pop(endpoint, None)
