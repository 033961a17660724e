"""Cancellation of one request when its caller disconnects or its node stops."""

import threading
from collections.abc import Callable
from enum import Enum


class CancellationCause(Enum):
    """Why a request was cancelled."""

    DISCONNECTED = "disconnected"
    STOPPING = "stopping"


class Cancellation:
    """Cancellation flag of one request; setting it runs the callbacks at once.

    Examples
    --------
    >>> cancellation = Cancellation()
    >>> cancellation.cancel()
    >>> cancellation.cancelled
    True
    >>> cancellation.cause
    <CancellationCause.DISCONNECTED: 'disconnected'>
    """

    def __init__(self) -> None:
        self.cause: CancellationCause | None = None
        self._lock = threading.Lock()
        self._callback_by_handle: dict[int, Callable[[], None]] = {}
        self._last_handle = 0

    @property
    def cancelled(self) -> bool:
        """Whether the request is cancelled."""
        return self.cause is not None

    def cancel(self, cause: CancellationCause = CancellationCause.DISCONNECTED) -> None:
        """Cancel the request; later calls have no effect."""
        with self._lock:
            if self.cancelled:
                return
            self.cause = cause
            callbacks = tuple(self._callback_by_handle.values())
        for callback in callbacks:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> int:
        """Run ``callback`` on cancellation; return a handle for ``unsubscribe``.

        If the request is already cancelled, ``callback`` runs at once.
        """
        with self._lock:
            self._last_handle += 1
            handle = self._last_handle
            if not self.cancelled:
                self._callback_by_handle[handle] = callback
                return handle
        callback()
        return handle

    def unsubscribe(self, handle: int) -> None:
        """Remove a callback."""
        with self._lock:
            self._callback_by_handle.pop(handle, None)
