"""Budget of the memory that a process holds for its clients.

It covers requests that are being received or handled, and answers that are not read
yet. A large request reserves its whole size before it is read on; without room it
waits. While requests wait, those that make no progress give way.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, TypeAlias

ConnectionId = NewType("ConnectionId", int)

BYTES_PER_MB = 1_000_000
CLIENT_MEMORY_FRACTION = 0.25
"""Part of a VM's memory that is for its clients."""
DEFAULT_MEMORY_MB = 300
"""Memory of a VM whose settings name none."""
LARGE_FRACTION = 0.75
"""Part of the budget that large requests may take together."""
MAX_SMALL_REQUEST_BYTES = 64 << 10
"""Size up to which a request counts with the bytes received, not the whole size."""
MAX_WAIT_S = 2.0
"""Maximum time that a request waits for room. Clients leave earlier if their request
is not read and may be repeated."""
STALL_S = 1.0
"""Time without progress after which a request gives way to those that wait."""


class Stage(Enum):
    """What happens to the request of a connection."""

    IDLE = "idle"
    RECEIVING = "receiving"
    WAITING = "waiting"
    HANDLED = "handled"


class Cause(Enum):
    """Why a client is turned away; a label of metrics and log lines."""

    NO_MEMORY = "no_memory"
    STALLED = "stalled"
    UNREAD_ANSWER = "unread_answer"
    TOO_SLOW = "too_slow"
    NO_CONNECTIONS = "no_connections"


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse a request that is not complete; it was never passed on."""

    connection: ConnectionId
    cause: Cause
    held_bytes: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection whose answer is not read."""

    connection: ConnectionId
    cause: Cause
    held_bytes: int


Relief: TypeAlias = RefuseRequest | CloseConnection


@dataclass(slots=True)
class _Holding:
    """What is held for one connection; ``progress_s`` is a monotonic time."""

    progress_s: float
    stage: Stage = Stage.IDLE
    request_bytes: int = 0
    wanted_bytes: int = 0
    unread_bytes: int = 0
    waiting_since_s: float = 0.0

    @property
    def is_large(self) -> bool:
        return self.request_bytes > MAX_SMALL_REQUEST_BYTES


@dataclass(slots=True)
class ClientMemory:
    """Bytes held for each connection; thread-safe.

    All times are monotonic, in seconds.

    Parameters
    ----------
    max_bytes : int
        Maximum of all that is held together.
    """

    max_bytes: int
    _lock: threading.RLock = field(default_factory=threading.RLock)
    _holding_by_connection: dict[ConnectionId, _Holding] = field(default_factory=dict)
    _waiting: dict[ConnectionId, None] = field(default_factory=dict)
    _held_bytes: int = 0
    _large_bytes: int = 0
    _last_connection: int = 0

    @property
    def held_bytes(self) -> int:
        """Sum of all that is held."""
        return self._held_bytes

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for room."""
        return bool(self._waiting)

    def add_connection(self, now_s: float) -> ConnectionId:
        """Return the id of a new connection."""
        with self._lock:
            self._last_connection += 1
            connection = ConnectionId(self._last_connection)
            self._holding_by_connection[connection] = _Holding(now_s)
        return connection

    def remove_connection(self, connection: ConnectionId) -> None:
        """Release what is held for a connection; later calls for it do nothing."""
        with self._lock:
            holding = self._holding_by_connection.pop(connection, None)
            if holding is not None:
                self._resize(connection, holding, 0)
                self._held_bytes -= holding.unread_bytes

    def receive(self, connection: ConnectionId, size: int, now_s: float) -> bool:
        """Hold ``size`` bytes for the request being received.

        Returns
        -------
        bool
            Whether it may be read on. Otherwise it waits, and the call is to be
            repeated once something is released.
        """
        with self._lock:
            holding = self._holding_by_connection.get(connection)
            if holding is None:
                return True
            if size <= holding.request_bytes or self._has_room(
                connection, holding, size
            ):
                self._resize(connection, holding, max(size, holding.request_bytes))
                holding.stage = Stage.RECEIVING
                holding.progress_s = now_s
                return True
            if holding.stage is not Stage.WAITING:
                holding.stage = Stage.WAITING
                holding.waiting_since_s = now_s
                self._waiting[connection] = None
            holding.wanted_bytes = size
            return False

    def settle(self, connection: ConnectionId, size: int) -> None:
        """Hold ``size`` bytes for requests received whole; they never give way."""
        with self._lock:
            holding = self._holding_by_connection.get(connection)
            if holding is not None:
                self._resize(connection, holding, size)
                holding.stage = Stage.HANDLED if size else Stage.IDLE

    def hold_unread(
        self, connection: ConnectionId, size: int, now_s: float
    ) -> CloseConnection | None:
        """Hold ``size`` bytes of unread answers.

        Returns
        -------
        CloseConnection or None
            The connection to close, which then holds nothing any more.
        """
        with self._lock:
            holding = self._holding_by_connection.get(connection)
            if holding is None:
                return None
            if size < holding.unread_bytes or not holding.unread_bytes:
                holding.progress_s = now_s
            self._held_bytes += size - holding.unread_bytes
            holding.unread_bytes = size
            if self._held_bytes <= self.max_bytes:
                return None
            return self._largest_unread(now_s)

    def relieve(self, now_s: float) -> tuple[Relief, ...]:
        """Return which requests are refused for those that wait."""
        with self._lock:
            wanted = sum(self._wanted_bytes(item) for item in self._waiting)
            stalled: list[Relief] = []
            for connection, holding in self._stalled(now_s):
                if wanted <= 0:
                    break
                wanted -= holding.request_bytes
                stalled.append(
                    RefuseRequest(connection, Cause.STALLED, holding.request_bytes)
                )
            freed_bytes = sum(item.held_bytes for item in stalled)
            return (*stalled, *self._overdue(freed_bytes, now_s))

    def _stalled(self, now_s: float) -> Iterable[tuple[ConnectionId, _Holding]]:
        found = [
            (connection, holding)
            for connection, holding in self._holding_by_connection.items()
            if holding.stage is Stage.RECEIVING
            and holding.request_bytes
            and now_s - holding.progress_s >= STALL_S
        ]
        return sorted(
            found,
            key=lambda item: item[1].request_bytes * (now_s - item[1].progress_s),
            reverse=True,
        )

    def _overdue(self, freed_bytes: int, now_s: float) -> Iterable[Relief]:
        """Yield the requests that waited too long, but not those that get room now."""
        for connection in self._waiting:
            holding = self._holding_by_connection[connection]
            freed_bytes -= self._wanted_bytes(connection)
            is_overdue = now_s - holding.waiting_since_s >= MAX_WAIT_S
            if is_overdue and freed_bytes < 0:
                yield RefuseRequest(connection, Cause.NO_MEMORY, holding.request_bytes)

    def _largest_unread(self, now_s: float) -> CloseConnection | None:
        connection, holding = max(
            self._holding_by_connection.items(),
            key=lambda item: (
                item[1].unread_bytes * max(now_s - item[1].progress_s, 0.0),
                item[1].unread_bytes,
            ),
        )
        if not holding.unread_bytes:
            return None
        self.remove_connection(connection)
        return CloseConnection(connection, Cause.UNREAD_ANSWER, holding.unread_bytes)

    def _wanted_bytes(self, connection: ConnectionId) -> int:
        holding = self._holding_by_connection[connection]
        return holding.wanted_bytes - holding.request_bytes

    def _has_room(self, connection: ConnectionId, holding: _Holding, size: int) -> bool:
        """Return whether a request may grow; those that wait come first."""
        if size <= MAX_SMALL_REQUEST_BYTES:
            return self._held_bytes - holding.request_bytes + size <= self.max_bytes
        if next(iter(self._waiting), connection) != connection:
            return False
        others = self._large_bytes - (holding.request_bytes if holding.is_large else 0)
        large_limit = int(self.max_bytes * LARGE_FRACTION)
        if others + size > large_limit:
            return not others
        held = self._held_bytes - holding.request_bytes
        return held + size <= self.max_bytes

    def _resize(self, connection: ConnectionId, holding: _Holding, size: int) -> None:
        """Set the size of a request that does not wait, or not any longer."""
        self._waiting.pop(connection, None)
        if holding.is_large:
            self._large_bytes -= holding.request_bytes
        self._held_bytes += size - holding.request_bytes
        holding.request_bytes = size
        if holding.is_large:
            self._large_bytes += size


def make_client_memory(memory_mb: int = 0) -> ClientMemory:
    """Return the budget of a process on a VM; 0 MB if the VM's memory is unknown."""
    vm_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    return ClientMemory(int(vm_bytes * CLIENT_MEMORY_FRACTION))
