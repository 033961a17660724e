"""Room of an HTTP server for connections, and how much it reads from each."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from operator import attrgetter

from camphoryard.coordination.admission.client_memory import ConnectionId

FDS_FOR_FILES = 200
"""Descriptors that the platform reserves for files."""
CLIENT_FRACTION = 0.4
"""Part of the other descriptors that is for clients. Endpoints need as many; the rest
is for the store, peers, readiness and metrics."""
MAX_CONNECTIONS = 2000
MIN_CONNECTIONS = 16
SILENCE_S = 1.0
"""Time without a byte after which a full server may close a connection."""
CLOSED_FRACTION = 0.25
"""Maximum part of the connections that a full server closes at a time."""
READ_BYTES = 8192
MIN_READ_BYTES = 256


class Silence(Enum):
    """What a silent connection waits for; the order in which they are closed."""

    BETWEEN_REQUESTS = 0
    WITHIN_REQUEST = 1


@dataclass(frozen=True, slots=True)
class SilentConnection:
    """A connection that received nothing for ``silent_s``, with no request handled."""

    connection: ConnectionId
    silence: Silence
    silent_s: float


def max_connections(max_fds: int) -> int:
    """Return how many clients may connect; ``max_fds`` 0 means no limit is known."""
    if not max_fds:
        return MAX_CONNECTIONS
    for_clients = int((max_fds - FDS_FOR_FILES) * CLIENT_FRACTION)
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, for_clients))


def connections_to_close(
    connections: Iterable[SilentConnection], limit: int
) -> list[SilentConnection]:
    """Return the connections that a full server with ``limit`` of them closes."""
    found = [item for item in connections if item.silent_s >= SILENCE_S]
    found.sort(key=attrgetter("silent_s"), reverse=True)
    found.sort(key=lambda item: item.silence.value)
    return found[: max(1, int(limit * CLOSED_FRACTION))]


def read_bytes(costly_connections: int) -> int:
    """Return how much to read at a time from each connection that is costly to parse.

    Together they take a bounded part of each pass over all connections.
    """
    return max(MIN_READ_BYTES, READ_BYTES // max(1, costly_connections))
