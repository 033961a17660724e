"""What endpoints say of themselves in answers: that they leave, rest or have limits."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.endpoint_limits import EndpointLimits
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId
from camphoryard.state.serving_endpoints import ServingEndpoint

MAX_REST_S = 60.0
"""Longest rest that is heeded; an endpoint that still wants one says so again."""
RETURN_SPREAD = 0.25
MAX_RETURN_SPREAD_S = 1.0
"""Nodes return to an endpoint one after the other, over this share of its rest."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The endpoint takes no new requests until its next start."""


@dataclass(frozen=True, slots=True)
class Resting:
    """The endpoint wants nothing from this node for ``wait_s`` seconds."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Limited:
    """The endpoint takes ``per_s`` requests a second from all nodes together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class Unlimited:
    """The endpoint names no limit."""


Notice: TypeAlias = Leaving | Resting | Limited | Unlimited


@dataclass(slots=True)
class EndpointNotices:
    """Heeds the notices of endpoints.

    Parameters
    ----------
    directory : Directory
        Told of endpoints that leave.
    log : callable
        Called with each notice that changes something.
    clock : callable
        Return monotonic time, in seconds.
    """

    directory: Directory
    log: DecisionLog
    clock: Callable[[], float] = time.monotonic
    rng: random.Random = field(default_factory=random.Random)
    limits: EndpointLimits = field(init=False)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _rest_until_s: dict[EndpointId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.limits = EndpointLimits(self.directory, self.log, self.clock)

    def heed(
        self,
        endpoint: ServingEndpoint,
        notices: Iterable[Notice],
        sent_s: float = -math.inf,
    ) -> None:
        """Heed the notices in an answer of ``endpoint`` that has just arrived.

        ``sent_s`` is the monotonic time at which its request was sent.
        """
        for notice in notices:
            match notice:
                case Leaving():
                    if self.directory.record_leaving(endpoint.id, endpoint.started_ms):
                        self.log("endpoint_leaving", endpoint=endpoint.id)
                case Resting(wait_s):
                    self._rest(endpoint.id, wait_s)
                case Limited(per_s):
                    self.limits.name(endpoint, per_s, sent_s)
                case Unlimited():
                    self.limits.end(endpoint, sent_s)

    def rest_left_s(self, endpoint: EndpointId) -> float:
        """Return how long an endpoint still wants nothing, in seconds."""
        with self._lock:
            until_s = self._rest_until_s.get(endpoint)
        return 0.0 if until_s is None else max(0.0, until_s - self.clock())

    def _rest(self, endpoint: EndpointId, wait_s: float) -> None:
        wait_s = min(wait_s, MAX_REST_S)
        spread_s = min(wait_s * RETURN_SPREAD, MAX_RETURN_SPREAD_S)
        now_s = self.clock()
        until_s = now_s + wait_s + self.rng.random() * spread_s
        with self._lock:
            self._rest_until_s = {
                id: end_s for id, end_s in self._rest_until_s.items() if end_s > now_s
            }
            until_s = max(until_s, self._rest_until_s.get(endpoint, 0.0))
            self._rest_until_s[endpoint] = until_s
        self.log("endpoint_resting", endpoint=endpoint, wait_s=round(wait_s, 3))
