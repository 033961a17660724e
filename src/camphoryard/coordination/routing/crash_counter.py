"""Requests that were running at several endpoints when those crashed."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.state.ids import EndpointId, Fingerprint

FINGERPRINT_BYTES = 12
CRASHES_TO_BAR = 3
"""Two crashes of innocent requests that ran beside a guilty one are not rare."""
LIFE_S = 600.0
MAX_REQUESTS = 5_000


def fingerprint(request: ClientRequest) -> Fingerprint | None:
    """Return a digest of what would run, or None if nothing tells it from others.

    Requests without a body or a prompt of their own are often the same in many
    clients, and all would be barred for one.
    """
    if not request.body and not request.prompt_parts:
        return None
    parts = ",".join(f"{part.id}:{part.tokens}" for part in request.prompt_parts)
    text = f"{request.method}\0{request.host}\0{request.target}\0{parts}\0"
    digest = blake2b(text.encode() + request.body, digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


@dataclass(slots=True)
class _Crashes:
    """The endpoints that crashed, and when the last one did."""

    endpoints: set[EndpointId] = field(default_factory=set)
    at_s: float = 0.0


class CrashCounter:
    """Counts crashes by request, those that peers saw as well."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._crashes_by_request: OrderedDict[Fingerprint, _Crashes] = OrderedDict()

    def observe(self, request: Fingerprint, endpoint: EndpointId) -> int:
        """Count one crash; return how many endpoints have crashed by now."""
        with self._lock:
            crashes = self._crashes_by_request.setdefault(request, _Crashes())
            crashes.endpoints.add(endpoint)
            crashes.at_s = self._clock()
            self._crashes_by_request.move_to_end(request)
            while len(self._crashes_by_request) > MAX_REQUESTS:
                self._crashes_by_request.popitem(last=False)
            return len(crashes.endpoints)

    def is_quarantined(self, request: Fingerprint | None) -> bool:
        """Return whether a request has crashed too many endpoints of late."""
        if request is None:
            return False
        with self._lock:
            crashes = self._crashes_by_request.get(request)
        return (
            crashes is not None
            and len(crashes.endpoints) >= CRASHES_TO_BAR
            and self._clock() - crashes.at_s < LIFE_S
        )
