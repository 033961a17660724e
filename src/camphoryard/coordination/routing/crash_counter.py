"""Quarantine of requests that were running when several endpoints crashed."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.state.ids import EndpointId, Fingerprint

FINGERPRINT_BYTES = 12
QUARANTINE_CRASHES = 3
"""Two are too few: harmless requests often run twice beside the one that crashes
endpoints."""
QUARANTINE_S = 600.0
"""Length of a quarantine, counted from the last crash."""
MAX_RECORDED_REQUESTS = 5_000


def fingerprint(request: ClientRequest) -> Fingerprint | None:
    """Return a digest of the request, or None if it has neither body nor prompt.

    Many clients send identical requests without a body or prompt, so the quarantine
    of one would refuse those of all.
    """
    if not request.body and not request.prompt_parts:
        return None
    parts = ",".join(f"{part.id}:{part.tokens}" for part in request.prompt_parts)
    text = f"{request.method}\0{request.host}\0{request.target}\0{parts}\0"
    digest = blake2b(text.encode() + request.body, digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


@dataclass(slots=True)
class _Crashes:
    """Endpoints that crashed while one request ran, and the last crash's time."""

    endpoints: set[EndpointId] = field(default_factory=set)
    last_crash_s: float = 0.0


class CrashCounter:
    """Counts the crashed endpoints of each request, including crashes peers report."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._crashes_by_request: OrderedDict[Fingerprint, _Crashes] = OrderedDict()

    def observe(self, request: Fingerprint, endpoint: EndpointId) -> int:
        """Record a crash; return how many endpoints have crashed with ``request``."""
        with self._lock:
            crashes = self._crashes_by_request.setdefault(request, _Crashes())
            crashes.endpoints.add(endpoint)
            crashes.last_crash_s = self._clock()
            self._crashes_by_request.move_to_end(request)
            while len(self._crashes_by_request) > MAX_RECORDED_REQUESTS:
                self._crashes_by_request.popitem(last=False)
            return len(crashes.endpoints)

    def has_observed(self, request: Fingerprint, endpoint: EndpointId) -> bool:
        """Return whether a crash of ``endpoint`` with ``request`` is recorded."""
        with self._lock:
            crashes = self._crashes_by_request.get(request)
            return crashes is not None and endpoint in crashes.endpoints

    def is_quarantined(self, request: Fingerprint | None) -> bool:
        """Return whether too many endpoints have crashed recently with ``request``."""
        if request is None:
            return False
        with self._lock:
            crashes = self._crashes_by_request.get(request)
        return (
            crashes is not None
            and len(crashes.endpoints) >= QUARANTINE_CRASHES
            and self._clock() - crashes.last_crash_s < QUARANTINE_S
        )
