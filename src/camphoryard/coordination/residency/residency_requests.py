"""Pending load and unload requests of one endpoint."""

import math
import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import ItemId

START_LOAD_TIMEOUT_S = 1.5


class NoRoomError(CamphoryardError):
    """The item does not fit at this endpoint, not even after unloading others."""


class LoadFailedError(CamphoryardError):
    """The engine refused the load, or accepted it and did not complete it."""


class EngineUnresponsiveError(CamphoryardError):
    """The engine does not answer."""


class RequestExpiredError(CamphoryardError):
    """The request passed its deadline, or an opposite request replaced it."""


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """Load ``item``; ``deadline_s`` is on the monotonic clock.

    Items evicted for it may serve at most ``limit_slots`` of demand.
    """

    item: ItemId
    deadline_s: float
    limit_slots: float = math.inf
    completion: "Future[None]" = field(default_factory=Future, compare=False)


@dataclass(frozen=True, slots=True)
class UnloadRequest:
    """Unload ``item``; ``deadline_s`` is on the monotonic clock."""

    item: ItemId
    deadline_s: float
    completion: "Future[None]" = field(default_factory=Future, compare=False)


ResidencyRequest: TypeAlias = LoadRequest | UnloadRequest


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A completed request: it succeeded, or failed with ``error``."""

    request: ResidencyRequest
    error: CamphoryardError | None = None


class PendingRequests:
    """Pending requests by item, oldest first; equal requests are merged."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_item: dict[ItemId, ResidencyRequest] = {}

    def add(self, request: ResidencyRequest) -> "Future[None]":
        """Add a request; a pending opposite one for the item fails."""
        with self._lock:
            pending = self._by_item.get(request.item)
            if pending is not None and type(pending) is type(request):
                self._by_item[request.item] = _merged(pending, request)
                return pending.completion
            self._by_item[request.item] = request
        if pending is not None:
            pending.completion.set_exception(
                RequestExpiredError("replaced by an opposite request")
            )
        return request.completion

    def unexpired(self) -> tuple[ResidencyRequest, ...]:
        """Return the pending requests, after failing those past their deadline."""
        now_s = time.monotonic()
        with self._lock:
            requests = tuple(self._by_item.values())
        for request in requests:
            if request.deadline_s <= now_s:
                self.fail(
                    request, RequestExpiredError(f"{request.item}: deadline exceeded")
                )
        return tuple(request for request in requests if request.deadline_s > now_s)

    def complete(self, completed: CompletedRequest) -> None:
        """Complete a request, and resolve its future."""
        if completed.error is not None:
            self.fail(completed.request, completed.error)
        elif self._remove(completed.request):
            completed.request.completion.set_result(None)

    def fail(self, request: ResidencyRequest, error: CamphoryardError) -> None:
        """Fail a request with ``error``."""
        if self._remove(request):
            request.completion.set_exception(error)

    def fail_all(self, error: CamphoryardError) -> None:
        """Fail all pending requests with ``error``."""
        for request in self.unexpired():
            self.fail(request, error)

    def _remove(self, request: ResidencyRequest) -> bool:
        """Remove a request, also if it was merged with an equal one in the meantime."""
        with self._lock:
            pending = self._by_item.get(request.item)
            if pending is None or pending.completion is not request.completion:
                return False
            del self._by_item[request.item]
            return True


def _merged(pending: ResidencyRequest, other: ResidencyRequest) -> ResidencyRequest:
    """Return a pending request merged with an equal one."""
    deadline_s = max(pending.deadline_s, other.deadline_s)
    match pending, other:
        case LoadRequest(), LoadRequest():
            limit_slots = max(pending.limit_slots, other.limit_slots)
            return replace(pending, deadline_s=deadline_s, limit_slots=limit_slots)
        case _:
            return replace(pending, deadline_s=deadline_s)
