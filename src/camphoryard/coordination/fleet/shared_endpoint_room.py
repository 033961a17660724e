"""Room at endpoints that name a limit, shared by all nodes."""

import math
import random
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.admission.quota_shares import ASK_PAUSE_S, Short
from camphoryard.coordination.admission.sharing_policy import SharingPolicy
from camphoryard.coordination.fleet.quota_sharing import RETRY_SPREAD, QuotaSharing
from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.endpoint_limits import (
    EndpointLimits,
    LimitInForce,
)
from camphoryard.coordination.routing.endpoint_room import NoRoom
from camphoryard.state.endpoint_limits import LIMIT_WINDOW_S
from camphoryard.state.ids import LimitedId
from camphoryard.state.quotas import Admitted
from camphoryard.state.serving_endpoints import ServingEndpoint

REQUEST_UNITS = 1.0


def endpoint_policy() -> SharingPolicy:
    """Return how the limits of endpoints are shared.

    They are too small to divide evenly, and so short that unused parts are missed.
    """
    return SharingPolicy(LIMIT_WINDOW_S)


@dataclass(slots=True)
class SharedEndpointRoom:
    """Takes room at endpoints from what all nodes share; see the EndpointRoom port.

    Requests that were sent before this node knew of a limit use it as well. They are
    not counted, so that the node sends nothing until all of them have rested.

    Parameters
    ----------
    sharing : QuotaSharing
        The limits, shared under `endpoint_policy`.
    limits : EndpointLimits
        Those that this node knows.
    log : callable
        Called with each endpoint that is closed for lack of room.
    count : callable
        Count an event by its name.
    clock : callable
        Return monotonic time, in seconds, as for ``limits``.
    spread : callable
        Return a random number from 0 to 1.
    """

    sharing: QuotaSharing
    limits: EndpointLimits
    log: DecisionLog
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic
    spread: Callable[[], float] = random.random
    _lock: threading.Lock = field(default_factory=threading.Lock)
    # Replaced as a whole, so that they are read without the lock.
    _closed_until_s: Mapping[LimitedId, float] = field(default_factory=dict)
    _reported_s: Mapping[LimitedId, float] = field(default_factory=dict)

    def take(self, endpoint: ServingEndpoint) -> Admitted | NoRoom:
        """Count a request that is to be sent now; see the EndpointRoom port."""
        limit = self.limits.in_force(endpoint)
        if limit is None:
            return Admitted()
        left_s = self._closed_s(limit)
        if left_s > 0:
            return NoRoom(left_s)
        match self.sharing.use(limit.id, limit.units, REQUEST_UNITS):
            case Admitted() as admitted:
                return admitted
            case Short():
                self._close(endpoint, limit)
                return NoRoom(ASK_PAUSE_S)

    def take_report(self, endpoint: ServingEndpoint) -> Admitted | NoRoom:
        """Count a request for a report, of which one is sent in a window."""
        limit = self.limits.in_force(endpoint)
        if limit is None:
            return Admitted()
        now_s = self.clock()
        left_s = self._reported_s.get(limit.id, -LIMIT_WINDOW_S) + LIMIT_WINDOW_S
        if left_s > now_s:
            return NoRoom(left_s - now_s)
        taken = self.take(endpoint)
        match taken:
            case Admitted():
                with self._lock:
                    since_s = now_s - LIMIT_WINDOW_S
                    self._reported_s = {
                        **_later_than(since_s, self._reported_s),
                        limit.id: now_s,
                    }
            case NoRoom():
                pass
        return taken

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request has used; see the EndpointRoom port."""
        self.sharing.refund(admitted)

    def closed_s(self, endpoint: ServingEndpoint) -> float:
        """Return how long this node will have no room; see the EndpointRoom port."""
        limit = self.limits.in_force(endpoint)
        return 0.0 if limit is None else self._closed_s(limit)

    def retry_after_s(self, endpoint: ServingEndpoint) -> float:
        """Return when a refused request may come back; see the EndpointRoom port."""
        limit = self.limits.in_force(endpoint)
        if limit is None:
            return 0.0
        opens_in_s = self._opens_in_s(limit)
        if opens_in_s > 0:
            return opens_in_s + LIMIT_WINDOW_S * RETRY_SPREAD * self.spread()
        room_in_s = self.sharing.room_in_s(limit.id, limit.units, REQUEST_UNITS)
        if math.isinf(room_in_s):
            # Other nodes hold all parts; one more request rests each share of a window.
            room_in_s = self.sharing.policy.rest_s / math.floor(limit.units)
        room_in_s = max(self._closed_s(limit), room_in_s)
        return self.sharing.expect_return(limit.id, REQUEST_UNITS, room_in_s)

    def _opens_in_s(self, limit: LimitInForce) -> float:
        """Return when what was sent before the limit was known has rested."""
        return limit.since_s + self.sharing.policy.rest_s - self.clock()

    def _closed_s(self, limit: LimitInForce) -> float:
        until_s = self._closed_until_s.get(limit.id)
        left_s = 0.0 if until_s is None else until_s - self.clock()
        return max(0.0, left_s, self._opens_in_s(limit))

    def _close(self, endpoint: ServingEndpoint, limit: LimitInForce) -> None:
        now_s = self.clock()
        until_s = now_s + ASK_PAUSE_S
        with self._lock:
            self._closed_until_s = {
                **_later_than(now_s, self._closed_until_s),
                limit.id: until_s,
            }
        usage = self.sharing.usage(limit.id)
        self.count("endpoint_limit_reached")
        self.log(
            "limit_reached",
            endpoint=endpoint.id,
            per_s=limit.per_s,
            units=limit.units,
            spent=usage.spent,
            parts=usage.parts,
            renewed_age_s=round(usage.renewed_age_s, 2),
        )


def _later_than(
    since_s: float, time_s_by_id: Mapping[LimitedId, float]
) -> Mapping[LimitedId, float]:
    """Return the times that are later than ``since_s``."""
    return {id: at_s for id, at_s in time_s_by_id.items() if at_s > since_s}
