"""Limits that endpoints have named: which are in force, and since when."""

import math
import threading
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from camphoryard.coordination.ports import DecisionLog
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_limits import (
    EndpointLimit,
    limit_units,
    limited_start,
)
from camphoryard.state.ids import EndpointId, LimitedId
from camphoryard.state.quotas import WindowLimit
from camphoryard.state.serving_endpoints import ServingEndpoint

ROUNDING_FACTOR = 1.0 + 1e-6
"""Applied to units, as whole parts of a limit are granted and a sixth is none."""
UNLISTED_MEMORY_S = 600.0
"""How long the limit of an endpoint that is not listed is remembered."""


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """A limit of ``units`` in a window, known since the monotonic time ``since_s``."""

    id: LimitedId
    per_s: float
    units: float
    since_s: float


@dataclass(slots=True)
class _Known:
    """A limit, and when this node learned of it and was last told of it."""

    limit: EndpointLimit
    since_s: float
    listed_s: float
    named_s: float = -math.inf


@dataclass(slots=True)
class EndpointLimits:
    """Remembers the limits that endpoints name, to this node or to its peers.

    It is also the source of the limits that nodes share; see the Limits port.

    Parameters
    ----------
    directory : Directory
        Limits of endpoints that it does not list are not told to peers.
    log : callable
        Called with each limit that is new, changes or ends.
    clock : callable
        Return monotonic time, in seconds.
    """

    directory: Directory
    log: DecisionLog
    clock: Callable[[], float] = time.monotonic
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _known_by_id: dict[EndpointId, _Known] = field(default_factory=dict)

    def name(
        self, endpoint: ServingEndpoint, per_s: float, sent_s: float = math.inf
    ) -> None:
        """Record the limit that the answer to a request of ``sent_s`` names."""
        with self._lock:
            if self._knows_newer_start(endpoint):
                return
            known = self._known_of(endpoint)
            if known is not None and _is_outdated(known, per_s, sent_s):
                return
            if known is None or known.limit.per_s != per_s:
                known = self._change(endpoint, known, per_s)
            known.named_s = self.clock()

    def end(self, endpoint: ServingEndpoint, sent_s: float) -> None:
        """Record that the answer to a request of ``sent_s`` names no limit."""
        if endpoint.id not in self._known_by_id:
            return
        with self._lock:
            known = self._known_of(endpoint)
            if (
                known is not None
                and known.limit.per_s is not None
                and sent_s > known.named_s
            ):
                self._change(endpoint, known, None)

    def adopt(self, limit_by_endpoint: Mapping[EndpointId, EndpointLimit]) -> None:
        """Record the limits that a peer knows, as far as they are newer."""
        with self._lock:
            for endpoint, limit in limit_by_endpoint.items():
                known = self._known_by_id.get(endpoint)
                if known is None or limit.supersedes(known.limit):
                    self._store(endpoint, known, limit).named_s = self.clock()

    def in_force(self, endpoint: ServingEndpoint) -> LimitInForce | None:
        """Return the limit of an endpoint, or None without one.

        It may be that of a later start than ``endpoint`` shows, if peers have told.
        """
        # Read without the lock: most endpoints never name a limit.
        known = self._known_by_id.get(endpoint.id)
        if known is None or known.limit.started_ms < endpoint.started_ms:
            return None
        return _in_force(endpoint.id, known)

    def ids(self) -> Collection[LimitedId]:
        """Return the starts of endpoints that are limited; see the Limits port."""
        if not self._known_by_id:
            return ()
        with self._lock:
            return tuple(
                limited_start(id, known.limit.started_ms)
                for id, known in self._known_by_id.items()
                if known.limit.per_s is not None
            )

    def find(self, id: LimitedId) -> WindowLimit | None:
        """Return the limit of a start of an endpoint; see the Limits port."""
        endpoint = EndpointId(id.rpartition("/")[0])
        known = self._known_by_id.get(endpoint)
        limit = None if known is None else _in_force(endpoint, known)
        if limit is None or limit.id != id:
            return None
        return WindowLimit(limit.units)

    def by_endpoint(self) -> Mapping[EndpointId, EndpointLimit]:
        """Return the limits of the listed endpoints, ended ones too, for peers.

        Those of earlier starts are forgotten.
        """
        if not self._known_by_id:
            return {}
        listed = self.directory.endpoints_by_id()
        now_s = self.clock()
        with self._lock:
            for id, known in tuple(self._known_by_id.items()):
                endpoint = listed.get(id)
                if endpoint is None:
                    is_over = now_s - known.listed_s > UNLISTED_MEMORY_S
                else:
                    known.listed_s = now_s
                    is_over = endpoint.started_ms > known.limit.started_ms
                if is_over:
                    del self._known_by_id[id]
            return {
                id: known.limit
                for id, known in self._known_by_id.items()
                if id in listed
            }

    def _knows_newer_start(self, endpoint: ServingEndpoint) -> bool:
        """Return whether ``endpoint`` is a view from before its last restart."""
        known = self._known_by_id.get(endpoint.id)
        return known is not None and known.limit.started_ms > endpoint.started_ms

    def _known_of(self, endpoint: ServingEndpoint) -> _Known | None:
        """Return what is known of this start of an endpoint."""
        known = self._known_by_id.get(endpoint.id)
        if known is None or known.limit.started_ms != endpoint.started_ms:
            return None
        return known

    def _change(
        self, endpoint: ServingEndpoint, known: _Known | None, per_s: float | None
    ) -> _Known:
        version = known.limit.version + 1 if known is not None else 1
        limit = EndpointLimit(endpoint.started_ms, version, per_s)
        return self._store(endpoint.id, known, limit)

    def _store(
        self, endpoint: EndpointId, before: _Known | None, limit: EndpointLimit
    ) -> _Known:
        """Replace a limit; one that was in force and changes does not begin anew."""
        now_s = self.clock()
        known = _Known(limit, now_s, now_s)
        if before is not None and before.limit.started_ms == limit.started_ms:
            known.named_s = before.named_s
            if before.limit.per_s is not None:
                known.since_s = before.since_s
        self._known_by_id[endpoint] = known
        if limit.per_s is None:
            self.log("endpoint_limit_ended", endpoint=endpoint, version=limit.version)
        else:
            self.log(
                "endpoint_limited",
                endpoint=endpoint,
                per_s=limit.per_s,
                version=limit.version,
            )
        return known


def _is_outdated(known: _Known, per_s: float, sent_s: float) -> bool:
    """Return whether a larger limit may be older than the one that is known."""
    if known.limit.per_s is None or per_s <= known.limit.per_s:
        return False
    return sent_s <= known.named_s


def _in_force(endpoint: EndpointId, known: _Known) -> LimitInForce | None:
    limit = known.limit
    if limit.per_s is None:
        return None
    id = limited_start(endpoint, limit.started_ms)
    units = limit_units(limit.per_s) * ROUNDING_FACTOR
    return LimitInForce(id, limit.per_s, units, known.since_s)
