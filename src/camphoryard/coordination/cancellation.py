"""Cancellation of one request, from the connection that its caller holds."""

import threading
from collections.abc import Callable


class Cancellation:
    """Set once when the caller goes away; callbacks then run at once.

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
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._count = 0

    def cancel(self) -> None:
        """Cancel; later calls change nothing."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callbacks = tuple(self._callbacks.values())
        for callback in callbacks:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> int:
        """Have ``callback`` run on cancellation; return a handle to drop it."""
        with self._lock:
            self._count += 1
            handle = self._count
            if not self.cancelled:
                self._callbacks[handle] = callback
                return handle
        callback()
        return handle

    def unsubscribe(self, handle: int) -> None:
        """Forget a callback."""
        with self._lock:
            self._callbacks.pop(handle, None)
