"""Tests of the room of a server for connections."""

import pytest

from camphoryard.coordination.admission.client_memory import ConnectionId
from camphoryard.coordination.admission.connection_room import (
    MAX_CONNECTIONS,
    MIN_READ_BYTES,
    READ_BYTES,
    SILENCE_S,
    Silence,
    SilentConnection,
    connections_to_close,
    max_connections,
    read_bytes,
)

IDLE, WITHIN = Silence.BETWEEN_REQUESTS, Silence.WITHIN_REQUEST


class TestMaxConnections:
    """How many clients may connect."""

    @pytest.mark.parametrize(
        ("max_fds", "limit"), [(0, MAX_CONNECTIONS), (4100, 1560), (300, 40), (100, 16)]
    )
    def test_leaves_descriptors_for_others(self, max_fds, limit):
        """For files, endpoints, the store and peers."""
        assert max_connections(max_fds) == limit


class TestConnectionsToClose:
    """Which connections a full server closes."""

    def test_idle_before_stalled_and_none_that_is_active(self):
        """The load: more clients than descriptors, which stay open."""
        silences = [(WITHIN, 9.0), (IDLE, 2.0), (IDLE, 3.0), (IDLE, SILENCE_S / 2)]
        connections = [
            SilentConnection(ConnectionId(number), silence, silent_s)
            for number, (silence, silent_s) in enumerate(silences)
        ]
        closed = connections_to_close(connections, 100)
        assert [item.connection for item in closed] == [2, 1, 0]
        assert len(connections_to_close(connections, 4)) == 1


class TestReadBytes:
    """How much is read at a time from costly connections."""

    def test_a_crowd_of_small_chunks_shares_each_pass(self):
        """The load: one client, and a crowd, that send chunks of one byte."""
        assert read_bytes(1) == READ_BYTES
        assert read_bytes(1000) == MIN_READ_BYTES
