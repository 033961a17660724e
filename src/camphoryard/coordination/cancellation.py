"""Cancellation of one request when its caller disconnects."""

import threading
from collections.abc import Callable


class Cancellation:
    """Cancellation flag of one request; setting it runs the callbacks at once.

    Examples
    --------
    >>> cancellation = Cancellation()
    >>> cancellation.cancel()
    >>> cancellation.cancelled
    True
    """

    def __init__(self) -> None:
        self.cancelled = False
        self._lock = threading.Lock()
        self._callback_by_handle: dict[int, Callable[[], None]] = {}
        self._last_handle = 0

    def cancel(self) -> None:
        """Cancel the request; later calls have no effect."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
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
