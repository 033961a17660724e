"""The requests that a node is forwarding at the moment."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Generic, TypeVar

Request = TypeVar("Request")


class InProgress(Generic[Request]):
    """Registry of the requests whose tasks have not ended yet.

    Examples
    --------
    >>> in_progress = InProgress[str]()
    >>> with in_progress.tracked("r1"):
    ...     in_progress.all()
    ('r1',)
    >>> in_progress.all()
    ()
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._request_by_handle: dict[int, Request] = {}
        self._last_handle = 0

    def all(self) -> tuple[Request, ...]:
        """Return the requests in progress, the oldest first."""
        with self._lock:
            return tuple(self._request_by_handle.values())

    @contextmanager
    def tracked(self, request: Request) -> Iterator[None]:
        """Register a request while its task runs."""
        with self._lock:
            self._last_handle += 1
            handle = self._last_handle
            self._request_by_handle[handle] = request
        try:
            yield
        finally:
            with self._lock:
                del self._request_by_handle[handle]
