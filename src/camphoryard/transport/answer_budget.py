"""Budget of the memory that whole answers take while they are read.

A faulty server may send bytes without end, on many connections at once. A large answer
reserves all that it may grow to before it is read on. If there is no room, it waits,
and its server with it, as TCP stops a sender that nobody reads. No server has more than
a share, so the answers of the others go on.
"""

import threading
import time
from collections import defaultdict
from collections.abc import Hashable
from typing import Generic, TypeVar

from camphoryard.coordination.cancellation import Cancellation

MAX_SMALL_ANSWER_BYTES = 64 << 10
"""Size up to which an answer needs no reservation."""
MAX_RESERVED_BYTES = 32 << 20
MAX_RESERVED_BYTES_PER_SERVER = 12 << 20

Server = TypeVar("Server", bound=Hashable)


class AnswerBudget(Generic[Server]):
    """Bytes reserved for answers, by the server that sends them; thread-safe.

    Parameters
    ----------
    max_bytes : int
        Maximum of all reservations together. A larger one waits until it is alone.
    max_bytes_per_server : int
        Maximum of those for the answers of one server, likewise.
    """

    def __init__(
        self,
        max_bytes: int = MAX_RESERVED_BYTES,
        max_bytes_per_server: int = MAX_RESERVED_BYTES_PER_SERVER,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_bytes_per_server = max_bytes_per_server
        self._changed = threading.Condition()
        self._reserved_bytes = 0
        self._reserved_bytes_by_server: defaultdict[Server, int] = defaultdict(int)

    @property
    def reserved_bytes(self) -> int:
        """Sum of all reservations."""
        return self._reserved_bytes

    def reserve(
        self,
        server: Server,
        count: int,
        deadline_s: float,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Reserve ``count`` bytes, waiting until there is room.

        Raises
        ------
        TimeoutError
            If there is none at the monotonic time ``deadline_s``.
        ConnectionAbortedError
            If the call is cancelled while it waits.
        """
        cancellation = cancellation or Cancellation()
        handle = cancellation.subscribe(self._wake)
        try:
            self._wait_and_reserve(server, count, deadline_s, cancellation)
        finally:
            cancellation.unsubscribe(handle)

    def release(self, server: Server, count: int) -> None:
        """Return reserved bytes."""
        with self._changed:
            self._reserved_bytes -= count
            self._reserved_bytes_by_server[server] -= count
            if not self._reserved_bytes_by_server[server]:
                del self._reserved_bytes_by_server[server]
            self._changed.notify_all()

    def _wait_and_reserve(
        self, server: Server, count: int, deadline_s: float, cancellation: Cancellation
    ) -> None:
        with self._changed:
            while not self._has_room(server, count):
                left_s = deadline_s - time.monotonic()
                if cancellation.cancelled:
                    raise ConnectionAbortedError("the call was aborted")
                if left_s <= 0:
                    raise TimeoutError("no memory for the answer in time")
                self._changed.wait(min(left_s, threading.TIMEOUT_MAX))
            self._reserved_bytes += count
            self._reserved_bytes_by_server[server] += count

    def _has_room(self, server: Server, count: int) -> bool:
        of_server = self._reserved_bytes_by_server.get(server, 0)
        return _fits(self._reserved_bytes, count, self._max_bytes) and _fits(
            of_server, count, self._max_bytes_per_server
        )

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()


def _fits(reserved: int, count: int, limit: int) -> bool:
    return not reserved or reserved + count <= limit
