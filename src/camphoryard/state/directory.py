"""A node's view of the traffic rules and of the serving endpoints."""

import math
import threading
import time
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from camphoryard.state.ids import EndpointId, ModelId, ServiceId
from camphoryard.state.serving_endpoints import (
    UNKNOWN_START_MS,
    EndpointState,
    ServingEndpoint,
)
from camphoryard.state.traffic import RequestedModel, TrafficRules

KeyT = TypeVar("KeyT", bound=Hashable)

LOADED_REPORT_LIFETIME_S = 3.0
"""How long a finished load counts before the endpoint's own entry shows it."""
DECLINED_LIFETIME_S = 1.5
"""How long no request for an item goes to an endpoint that declined it."""
UNLOADING_LIFETIME_S = 2.0
"""How long a model counts as being unloaded after the leader's last word of it; the
endpoint's own entry shows the unload by then."""
UNLISTED_MEMORY_S = 600.0
"""How long it is remembered that an endpoint leaves once it is not listed."""
BEAT_INTERVAL_S = 1.2
"""How often an endpoint writes its entry; after three such times of silence the entry
is removed."""
HOLD_S = 4 * BEAT_INTERVAL_S
"""How long an endpoint that had been removed counts as draining when a restored store
lists it again."""
MISSING_GRACE_S = 2.2
"""How long an endpoint missing from a listing after an outage still counts;
entries that expired or were lost reappear within about 2 s."""


@dataclass(frozen=True, slots=True)
class _MissingEndpoint:
    """When, on the monotonic clock, a missing endpoint stops counting."""

    until_s: float


@dataclass(frozen=True, slots=True)
class _HeldEndpoint:
    """A restored entry, and the time up to which it does not count as it says."""

    endpoint: ServingEndpoint
    until_s: float


class Directory:
    """Traffic rules and endpoints; changes wake the waiting tasks.

    Parameters
    ----------
    clock : callable
        The monotonic clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._rules: TrafficRules | None = None
        self._endpoints_by_id: dict[EndpointId, ServingEndpoint] = {}
        self._missing_by_id: dict[EndpointId, _MissingEndpoint] = {}
        self._loaded_until_s: dict[tuple[EndpointId, RequestedModel], float] = {}
        self._declined_until_s: dict[tuple[EndpointId, RequestedModel], float] = {}
        self._unloading_until_s: dict[tuple[EndpointId, ModelId], float] = {}
        self._leaving_start_ms: dict[EndpointId, int] = {}
        self._removed_start_ms: dict[EndpointId, int] = {}
        self._unlisted_until_s: dict[EndpointId, float] = {}
        self._held_by_id: dict[EndpointId, _HeldEndpoint] = {}
        self._has_endpoints = False
        self._confirmed_s = -math.inf
        self._subscribers: list[Callable[[], None]] = []

    @property
    def rules(self) -> TrafficRules | None:
        """The newest traffic rules, or None before the first version arrives."""
        return self._rules

    @property
    def is_ready(self) -> bool:
        """Whether the rules and a listing of the endpoints have arrived."""
        return self._rules is not None and self._has_endpoints

    def confirm_endpoints(self, at_s: float) -> None:
        """Record that all changes of endpoints up to ``at_s`` have been applied.

        Restored endpoints that are still listed then count as their entries say, once
        their time is over.
        """
        with self._changed:
            self._confirmed_s = max(self._confirmed_s, at_s)
            released = [
                item for item in self._held_by_id.values() if item.until_s <= at_s
            ]
            for item in released:
                self._store_confirmed(item.endpoint)
        if released:
            self._notify()

    def endpoints_age_s(self) -> float:
        """Return how old the view of the endpoints may be; infinite without one."""
        return self._clock() - self._confirmed_s

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` after each change, outside the lock."""
        self._subscribers.append(callback)

    def adopt(self, rules: TrafficRules) -> bool:
        """Adopt ``rules`` if they are newer; return whether they were."""
        with self._changed:
            if self._rules is not None and rules.version <= self._rules.version:
                return False
            self._rules = rules
        self._notify()
        return True

    def replace_all(
        self,
        endpoints: Iterable[ServingEndpoint],
        after_outage: bool,
        is_restored: bool = False,
    ) -> tuple[EndpointId, ...]:
        """Replace all endpoints by a listing; return the ids that it lacks.

        After an outage of the listing, a missing endpoint counts for
        MISSING_GRACE_S, since it may only have been unable to renew its entry, or its
        entry may have been lost.

        The first listing of a store that was restored from an older copy may bring back
        endpoints that had been removed, or earlier starts of them. They count as
        draining until a watch shows that they write their entries, or they are still
        listed after HOLD_S.
        """
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        now_s = self._clock()
        until_s = now_s + MISSING_GRACE_S
        with self._changed:
            if is_restored:
                self._missing_by_id.clear()
            missing = tuple(self._endpoints_by_id.keys() - by_id.keys())
            for id in missing:
                if after_outage and id not in self._held_by_id:
                    self._missing_by_id.setdefault(id, _MissingEndpoint(until_s))
                else:
                    self._remove(id)
            for endpoint in by_id.values():
                held = self._held_by_id.get(endpoint.id)
                if is_restored and self._is_over(endpoint):
                    self._hold(endpoint, now_s + HOLD_S)
                elif held is not None and self._is_over(endpoint):
                    self._hold(endpoint, held.until_s)
                else:
                    self._store_confirmed(endpoint)
            self._has_endpoints = True
        self._notify()
        return missing

    def observe(self, endpoint: ServingEndpoint) -> None:
        """Record one new or changed endpoint."""
        with self._changed:
            self._store_confirmed(endpoint)
        self._notify()

    def remove(self, id: EndpointId) -> None:
        """Remove an endpoint."""
        with self._changed:
            self._remove(id)
        self._notify()

    def expire(self) -> tuple[EndpointId, ...]:
        """Remove the endpoints missing for too long; return their ids.

        What is known of endpoints that have not been listed for UNLISTED_MEMORY_S is
        forgotten.
        """
        now_s = self._clock()
        with self._changed:
            expired = tuple(
                id for id, item in self._missing_by_id.items() if item.until_s <= now_s
            )
            for id in expired:
                self._remove(id)
            for id in _drop_expired(self._unlisted_until_s, now_s):
                self._leaving_start_ms.pop(id, None)
                self._removed_start_ms.pop(id, None)
        if expired:
            self._notify()
        return expired

    def record_loaded(self, id: EndpointId, requested: RequestedModel) -> None:
        """Record that an endpoint has just loaded ``requested``."""
        with self._changed:
            now_s = self._clock()
            _drop_expired(self._loaded_until_s, now_s)
            self._loaded_until_s[id, requested] = now_s + LOADED_REPORT_LIFETIME_S
            self._declined_until_s.pop((id, requested), None)
            self._unloading_until_s.pop((id, requested.model), None)

    def record_declined(self, id: EndpointId, requested: RequestedModel) -> None:
        """Record that an endpoint has just declined to run ``requested``."""
        with self._changed:
            now_s = self._clock()
            _drop_expired(self._declined_until_s, now_s)
            self._declined_until_s[id, requested] = now_s + DECLINED_LIFETIME_S
            self._loaded_until_s.pop((id, requested), None)

    def record_leaving(self, id: EndpointId, started_ms: int) -> bool:
        """Record that an endpoint says it leaves; return whether that is new.

        It counts as draining, whatever its entry says, until a later start of it is
        listed.
        """
        with self._changed:
            endpoint = self._endpoints_by_id.get(id)
            if endpoint is not None and endpoint.started_ms > started_ms:
                return False
            if self._leaves(id, started_ms):
                return False
            self._leaving_start_ms[id] = started_ms
            if endpoint is not None:
                self._endpoints_by_id[id] = self._as_it_counts(endpoint)
            else:
                until_s = self._clock() + UNLISTED_MEMORY_S
                self._unlisted_until_s.setdefault(id, until_s)
        self._notify()
        return True

    def leaving_by_endpoint(self) -> Mapping[EndpointId, int]:
        """Return the listed endpoints that leave, with their start times."""
        with self._changed:
            return {
                id: started_ms
                for id, started_ms in self._leaving_start_ms.items()
                if id in self._endpoints_by_id
            }

    def held(self) -> tuple[EndpointId, ...]:
        """Return the restored endpoints that do not count as their entries say."""
        with self._changed:
            return tuple(self._held_by_id)

    def record_unloads(
        self, unloads_by_endpoint: Mapping[EndpointId, tuple[ModelId, ...]]
    ) -> None:
        """Record the models that the leader is having unloaded."""
        with self._changed:
            now_s = self._clock()
            until_s = now_s + UNLOADING_LIFETIME_S
            _drop_expired(self._unloading_until_s, now_s)
            for id, models in unloads_by_endpoint.items():
                for model in models:
                    self._unloading_until_s[id, model] = until_s

    def has_loaded(
        self, endpoint: ServingEndpoint, requested: RequestedModel | None
    ) -> bool:
        """Return whether ``endpoint`` has ``requested`` loaded.

        Recent loads, unloads and declined requests take precedence over the
        endpoint's own entry, which is updated later.
        """
        if requested is None:
            return True
        key = endpoint.id, requested
        with self._changed:
            now_s = self._clock()
            if self._declined_until_s.get(key, 0.0) > now_s:
                return False
            if self._loaded_until_s.get(key, 0.0) > now_s:
                return True
            model_key = endpoint.id, requested.model
            if self._unloading_until_s.get(model_key, 0.0) > now_s:
                return False
        return endpoint.has_loaded(requested)

    def endpoints_by_id(self) -> Mapping[EndpointId, ServingEndpoint]:
        """Return a copy of the endpoints by id."""
        with self._changed:
            return dict(self._endpoints_by_id)

    def find(self, id: EndpointId) -> ServingEndpoint | None:
        """Return the last recorded state of an endpoint, or None."""
        with self._changed:
            return self._endpoints_by_id.get(id)

    def ready(self, service: ServiceId) -> list[ServingEndpoint]:
        """Return the endpoints of ``service`` that accept new requests."""
        with self._changed:
            return [
                endpoint
                for endpoint in self._endpoints_by_id.values()
                if endpoint.service == service and endpoint.state is EndpointState.READY
            ]

    def loaded_endpoints(
        self, service: ServiceId, requested: RequestedModel | None
    ) -> list[ServingEndpoint]:
        """Return the ready endpoints of ``service`` with ``requested`` loaded."""
        return [
            item for item in self.ready(service) if self.has_loaded(item, requested)
        ]

    def wait_until(self, condition: Callable[[], bool], deadline_s: float) -> bool:
        """Block until ``condition()`` holds; return False at the deadline."""
        with self._changed:
            while not condition():
                left_s = deadline_s - self._clock()
                if left_s <= 0 or not self._changed.wait(left_s):
                    return condition()
        return True

    def _store_confirmed(self, endpoint: ServingEndpoint) -> None:
        """Store an endpoint that is known to be there."""
        self._held_by_id.pop(endpoint.id, None)
        self._removed_start_ms.pop(endpoint.id, None)
        self._store(endpoint)

    def _hold(self, endpoint: ServingEndpoint, until_s: float) -> None:
        """Store a restored endpoint whose start is known to be over."""
        self._removed_start_ms.setdefault(endpoint.id, endpoint.started_ms)
        self._held_by_id[endpoint.id] = _HeldEndpoint(endpoint, until_s)
        self._store(endpoint)

    def _is_over(self, endpoint: ServingEndpoint) -> bool:
        """Return whether this start of an endpoint was removed, or a later one seen."""
        known = self._endpoints_by_id.get(endpoint.id)
        if known is not None and known.started_ms > endpoint.started_ms:
            return True
        removed_ms = self._removed_start_ms.get(endpoint.id)
        return removed_ms is not None and removed_ms >= endpoint.started_ms

    def _store(self, endpoint: ServingEndpoint) -> None:
        id = endpoint.id
        self._missing_by_id.pop(id, None)
        self._unlisted_until_s.pop(id, None)
        if not self._leaves(id, endpoint.started_ms):
            self._leaving_start_ms.pop(id, None)
            is_draining = endpoint.state is EndpointState.DRAINING
            if is_draining and endpoint.started_ms != UNKNOWN_START_MS:
                self._leaving_start_ms[id] = endpoint.started_ms
        self._endpoints_by_id[id] = self._as_it_counts(endpoint)

    def _leaves(self, id: EndpointId, started_ms: int) -> bool:
        """Return whether this start of an endpoint, or a later one, leaves."""
        leaving_ms = self._leaving_start_ms.get(id)
        return leaving_ms is not None and leaving_ms >= started_ms

    def _as_it_counts(self, endpoint: ServingEndpoint) -> ServingEndpoint:
        """Return an endpoint as draining if it is held or known to leave."""
        if endpoint.id in self._held_by_id or self._leaves(
            endpoint.id, endpoint.started_ms
        ):
            return replace(endpoint, state=EndpointState.DRAINING)
        return endpoint

    def _remove(self, id: EndpointId) -> None:
        self._missing_by_id.pop(id, None)
        self._held_by_id.pop(id, None)
        endpoint = self._endpoints_by_id.pop(id, None)
        if endpoint is not None:
            self._removed_start_ms[id] = endpoint.started_ms
            self._unlisted_until_s[id] = self._clock() + UNLISTED_MEMORY_S

    def _notify(self) -> None:
        with self._changed:
            self._changed.notify_all()
        for callback in self._subscribers:
            callback()


def _drop_expired(until_s_by_key: dict[KeyT, float], now_s: float) -> list[KeyT]:
    """Remove the keys whose time is over; return them."""
    expired = [key for key, until_s in until_s_by_key.items() if until_s <= now_s]
    for key in expired:
        del until_s_by_key[key]
    return expired
