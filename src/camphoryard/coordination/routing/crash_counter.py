"""Quarantine of requests that were running when several endpoints crashed.

Many clients may send the same request, so a sound one may be at endpoints that crash
for another reason, again and again. An answer shows that a request is sound, and only
the crashes since then count against it. One that has been answered before counts as
sound until its answers are missed: its service has answered so many other requests that
one to it would have been among them.
"""

import math
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.told_quarantines import (
    choose_adopted,
    choose_told,
)
from camphoryard.state.ids import EndpointId, Fingerprint, ServiceId

FINGERPRINT_BYTES = 12
QUARANTINE_CRASHES = 3
"""Two are too few: harmless requests often run twice beside the one that crashes
endpoints."""
QUARANTINE_S = 600.0
"""Length of a quarantine, counted from the last crash."""
MIN_MISSED_ANSWERS = 5.0
"""Answers that a request would have had by its share of the answers before its crashes,
after which they are missed."""
MIN_OTHER_ANSWERS = 20
"""Minimum number of other requests that its service answers meanwhile."""
MAX_RECORDED_REQUESTS = 5_000
MAX_ANSWERED_REQUESTS = 10_000
MAX_RECENT_ANSWERS = 1_000


def _log_nothing(event: str, **fields: object) -> None:
    pass


def fingerprint(request: ClientRequest) -> Fingerprint:
    """Return a digest of the request, which is the same for all clients."""
    parts = ",".join(f"{part.id}:{part.tokens}" for part in request.prompt_parts)
    text = f"{request.method}\0{request.host}\0{request.target}\0{parts}\0"
    digest = blake2b(text.encode() + request.body, digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


@dataclass(slots=True)
class _Crashes:
    """Starts of endpoints that crashed while one request ran, since its last answer.

    ``share`` is that of the request among the answers of its service before the first
    of them. ``is_missed`` is True once its own answers are missed.
    """

    service: ServiceId | None = None
    at_s_by_start: dict[tuple[EndpointId, int], float] = field(default_factory=dict)
    share: float = 0.0
    is_missed: bool = False

    def discard_before(self, answered_s: float) -> None:
        """Discard the crashes up to an answer."""
        self.at_s_by_start = {
            start: at_s
            for start, at_s in self.at_s_by_start.items()
            if at_s > answered_s
        }
        self.is_missed = False


class CrashCounter:
    """Counts the crashed endpoints of each request, including crashes peers report.

    Parameters
    ----------
    clock : callable
        Returns monotonic time, in seconds.
    log : callable
        Called with each quarantine that is adopted from a peer.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        log: DecisionLog = _log_nothing,
    ) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._crashes_by_request: OrderedDict[Fingerprint, _Crashes] = OrderedDict()
        self._conclusive: set[Fingerprint] = set()
        """Requests with so many crashes that they may be quarantined."""
        self._adopted_until_s_by_request: OrderedDict[Fingerprint, float] = (
            OrderedDict()
        )
        self._answered_s_by_request: OrderedDict[Fingerprint, float] = OrderedDict()
        self._recent_answers: deque[tuple[float, ServiceId, Fingerprint]] = deque(
            maxlen=MAX_RECENT_ANSWERS
        )

    def observe(
        self,
        request: Fingerprint,
        endpoint: EndpointId,
        started_ms: int = 0,
        service: ServiceId | None = None,
        answered_ago_s: float | None = None,
    ) -> int:
        """Record a crash; return how many endpoints have crashed with ``request``.

        ``started_ms`` tells starts of the endpoint apart, and ``answered_ago_s`` is the
        time since the reporting node has seen the request answered, if it ever has.
        """
        with self._lock:
            now_s = self._clock()
            crashes = self._crashes_by_request.setdefault(request, _Crashes())
            if not crashes.at_s_by_start:
                crashes.service = service
                crashes.share = self._share(request, service)
            crashes.at_s_by_start.setdefault((endpoint, started_ms), now_s)
            if answered_ago_s is not None:
                self._record_answered(request, now_s - answered_ago_s)
            self._crashes_by_request.move_to_end(request)
            while len(self._crashes_by_request) > MAX_RECORDED_REQUESTS:
                oldest, _ = self._crashes_by_request.popitem(last=False)
                self._conclusive.discard(oldest)
            if len(crashes.at_s_by_start) >= QUARANTINE_CRASHES:
                self._conclusive.add(request)
            return len(crashes.at_s_by_start)

    def record_answered(self, request: Fingerprint, service: ServiceId) -> None:
        """Record that an endpoint has answered a request: it is sound."""
        with self._lock:
            now_s = self._clock()
            self._recent_answers.append((now_s, service, request))
            self._record_answered(request, now_s)

    def answered_ago_s(self, request: Fingerprint) -> float | None:
        """Return the time since the last known answer to a request, or None."""
        with self._lock:
            answered_s = self._answered_s_by_request.get(request)
            return None if answered_s is None else self._clock() - answered_s

    def has_observed(
        self, request: Fingerprint, endpoint: EndpointId, started_ms: int = 0
    ) -> bool:
        """Return whether a crash of ``endpoint`` with ``request`` is recorded."""
        with self._lock:
            crashes = self._crashes_by_request.get(request)
            return (
                crashes is not None and (endpoint, started_ms) in crashes.at_s_by_start
            )

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Return whether too many endpoints have crashed recently with ``request``."""
        with self._lock:
            self._update_missed(request)
            return self._left_s(request, self._clock()) > 0

    def quarantine_s_by_request(self) -> Mapping[Fingerprint, float]:
        """Return the quarantined requests to tell, with the time left in seconds."""
        with self._lock:
            now_s = self._clock()
            requests = [*self._conclusive, *self._adopted_until_s_by_request]
            left_s_by_request = {item: self._left_s(item, now_s) for item in requests}
            for request, left_s in left_s_by_request.items():
                if left_s <= 0:
                    self._adopted_until_s_by_request.pop(request, None)
        return choose_told(left_s_by_request)

    def adopt(self, quarantine_s_by_request: Mapping[Fingerprint, float]) -> None:
        """Quarantine the requests of a peer, unless this node has seen one answered."""
        adopted = []
        with self._lock:
            now_s = self._clock()
            lasting = choose_adopted(quarantine_s_by_request, QUARANTINE_S)
            for request, left_s in lasting.items():
                if request in self._answered_s_by_request:
                    continue
                if self._left_s(request, now_s) > 0:
                    continue
                self._adopted_until_s_by_request[request] = now_s + left_s
                self._adopted_until_s_by_request.move_to_end(request)
                adopted.append((request, left_s))
            while len(self._adopted_until_s_by_request) > MAX_RECORDED_REQUESTS:
                self._adopted_until_s_by_request.popitem(last=False)
        for request, left_s in adopted:
            self._log("request_quarantined", fingerprint=request, left_s=round(left_s))

    def _left_s(self, request: Fingerprint, now_s: float) -> float:
        """Return the time left of a quarantine, in seconds; 0 or less without one."""
        adopted_until_s = self._adopted_until_s_by_request.get(request, -math.inf)
        return max(adopted_until_s - now_s, self._own_left_s(request, now_s))

    def _own_left_s(self, request: Fingerprint, now_s: float) -> float:
        """Return the same for the crashes that this node knows of."""
        if request not in self._conclusive:
            return 0.0
        crashes = self._crashes_by_request[request]
        if request in self._answered_s_by_request and not crashes.is_missed:
            return 0.0
        return max(crashes.at_s_by_start.values()) + QUARANTINE_S - now_s

    def _update_missed(self, request: Fingerprint) -> None:
        """Decide whether the answers of a request are missed.

        That takes too long for each digest, so it is done as requests arrive.
        """
        if request in self._conclusive and request in self._answered_s_by_request:
            crashes = self._crashes_by_request[request]
            crashes.is_missed = crashes.is_missed or self._is_missed(crashes)

    def _record_answered(self, request: Fingerprint, answered_s: float) -> None:
        known_s = self._answered_s_by_request.get(request, -math.inf)
        self._answered_s_by_request[request] = max(known_s, answered_s)
        self._answered_s_by_request.move_to_end(request)
        while len(self._answered_s_by_request) > MAX_ANSWERED_REQUESTS:
            self._answered_s_by_request.popitem(last=False)
        self._adopted_until_s_by_request.pop(request, None)
        crashes = self._crashes_by_request.get(request)
        if crashes is not None:
            crashes.discard_before(answered_s)
            if len(crashes.at_s_by_start) < QUARANTINE_CRASHES:
                self._conclusive.discard(request)

    def _share(self, request: Fingerprint, service: ServiceId | None) -> float:
        """Return the share of a request among the recent answers of its service."""
        answered = [item for _, of, item in self._recent_answers if of == service]
        return answered.count(request) / len(answered) if answered else 0.0

    def _is_missed(self, crashes: _Crashes) -> bool:
        """Return whether a request is not answered although it would have been."""
        first_s = min(crashes.at_s_by_start.values())
        others = sum(
            at_s >= first_s and service == crashes.service
            for at_s, service, _ in self._recent_answers
        )
        if others < MIN_OTHER_ANSWERS:
            return False
        return not crashes.share or others * crashes.share >= MIN_MISSED_ANSWERS
