"""What a node knows of the traffic rules and of the endpoints that serve."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.ids import EndpointId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState, ServingEndpoint
from camphoryard.state.traffic import RequestedModel, TrafficRules

LEARNED_LIFE_S = 3.0
"""How long news of a load counts before the endpoint's own entry says so."""
UNHELD_LIFE_S = 0.5
"""How long an endpoint that declined an item is not asked for it again."""
MISSING_GRACE_S = 2.2
"""How long an endpoint that a listing after an outage lacks still counts; the
platform lets entries that lapsed meanwhile come back within about 2 s."""


@dataclass(frozen=True, slots=True)
class _Missing:
    """Until when, by the monotonic clock, a missing endpoint still counts."""

    until_s: float


class Directory:
    """Traffic rules and endpoints; waiting tasks wake when either changes.

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
        self._missing_by_id: dict[EndpointId, _Missing] = {}
        self._learned_until_s: dict[tuple[EndpointId, RequestedModel], float] = {}
        self._unheld_until_s: dict[tuple[EndpointId, RequestedModel], float] = {}
        self._has_endpoints = False
        self._subscribers: list[Callable[[], None]] = []

    @property
    def rules(self) -> TrafficRules | None:
        """The newest traffic rules, or None before the first are known."""
        return self._rules

    @property
    def is_ready(self) -> bool:
        """Whether both rules and a listing of the endpoints have been seen."""
        return self._rules is not None and self._has_endpoints

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` run after each change, outside the lock."""
        self._subscribers.append(callback)

    def adopt(self, rules: TrafficRules) -> bool:
        """Put ``rules`` in force if they are newer; return whether they were."""
        with self._changed:
            if self._rules is not None and rules.version <= self._rules.version:
                return False
            self._rules = rules
        self._tell()
        return True

    def replace_all(
        self, endpoints: Iterable[ServingEndpoint], after_outage: bool
    ) -> tuple[EndpointId, ...]:
        """Take in all endpoints; return those that are not among them any more.

        After an outage of the listing a missing endpoint counts for a while, as
        it may only have been unable to renew its entry.
        """
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        until_s = self._clock() + MISSING_GRACE_S
        with self._changed:
            gone = tuple(self._endpoints_by_id.keys() - by_id.keys())
            for id in gone:
                if after_outage:
                    self._missing_by_id.setdefault(id, _Missing(until_s))
                else:
                    self._forget(id)
            for endpoint in by_id.values():
                self._take(endpoint)
            self._has_endpoints = True
        self._tell()
        return gone

    def observe(self, endpoint: ServingEndpoint) -> None:
        """Take in one endpoint that has come or changed."""
        with self._changed:
            self._take(endpoint)
        self._tell()

    def remove(self, id: EndpointId) -> None:
        """Forget an endpoint."""
        with self._changed:
            self._forget(id)
        self._tell()

    def expire(self) -> tuple[EndpointId, ...]:
        """Forget the endpoints that have been missing for too long."""
        now_s = self._clock()
        with self._changed:
            lapsed = tuple(
                id for id, item in self._missing_by_id.items() if item.until_s <= now_s
            )
            for id in lapsed:
                self._forget(id)
        if lapsed:
            self._tell()
        return lapsed

    def record_loaded(self, id: EndpointId, wanted: RequestedModel) -> None:
        """Note that ``wanted`` has been loaded at an endpoint just now."""
        with self._changed:
            now_s = self._clock()
            _drop_lapsed(self._learned_until_s, now_s)
            self._learned_until_s[id, wanted] = now_s + LEARNED_LIFE_S
            self._unheld_until_s.pop((id, wanted), None)

    def record_declined(self, id: EndpointId, wanted: RequestedModel) -> None:
        """Note that an endpoint would not run ``wanted`` just now."""
        with self._changed:
            now_s = self._clock()
            _drop_lapsed(self._unheld_until_s, now_s)
            self._unheld_until_s[id, wanted] = now_s + UNHELD_LIFE_S
            self._learned_until_s.pop((id, wanted), None)

    def has_loaded(
        self, endpoint: ServingEndpoint, wanted: RequestedModel | None
    ) -> bool:
        """Return whether ``endpoint`` can run ``wanted``, by all that is known."""
        if wanted is None:
            return True
        key = endpoint.id, wanted
        with self._changed:
            now_s = self._clock()
            if self._unheld_until_s.get(key, 0.0) > now_s:
                return False
            if self._learned_until_s.get(key, 0.0) > now_s:
                return True
        return endpoint.has_loaded(wanted)

    def endpoints_by_id(self) -> Mapping[EndpointId, ServingEndpoint]:
        """Return a copy of the endpoints known."""
        with self._changed:
            return dict(self._endpoints_by_id)

    def find(self, id: EndpointId) -> ServingEndpoint | None:
        """Return an endpoint as it was last seen."""
        with self._changed:
            return self._endpoints_by_id.get(id)

    def ready(self, service: ServiceId) -> list[ServingEndpoint]:
        """Return the endpoints of ``service`` that take new work."""
        with self._changed:
            return [
                endpoint
                for endpoint in self._endpoints_by_id.values()
                if endpoint.service == service and endpoint.state is EndpointState.READY
            ]

    def loaded_endpoints(
        self, service: ServiceId, wanted: RequestedModel | None
    ) -> list[ServingEndpoint]:
        """Return the ready endpoints of ``service`` that hold ``wanted``."""
        return [item for item in self.ready(service) if self.has_loaded(item, wanted)]

    def wait_until(self, has_loaded: Callable[[], bool], deadline_s: float) -> bool:
        """Block until ``has_loaded()`` after some change, or the deadline passes."""
        with self._changed:
            while not has_loaded():
                left_s = deadline_s - self._clock()
                if left_s <= 0 or not self._changed.wait(left_s):
                    return has_loaded()
        return True

    def _take(self, endpoint: ServingEndpoint) -> None:
        self._missing_by_id.pop(endpoint.id, None)
        self._endpoints_by_id[endpoint.id] = endpoint

    def _forget(self, id: EndpointId) -> None:
        self._endpoints_by_id.pop(id, None)
        self._missing_by_id.pop(id, None)

    def _tell(self) -> None:
        with self._changed:
            self._changed.notify_all()
        for callback in self._subscribers:
            callback()


def _drop_lapsed(
    until_s_by_key: dict[tuple[EndpointId, RequestedModel], float], now_s: float
) -> None:
    for key in [key for key, until_s in until_s_by_key.items() if until_s <= now_s]:
        del until_s_by_key[key]
