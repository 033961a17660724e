"""Tests of the start of stand-ins and daemons."""

import socket

import pytest

from standins.fleet import HOST, Fleet, StartError, release_port, reserve_port


class TestFreePort:
    """Ports given out to processes about to start."""

    def test_held_against_others(self):
        """Nobody else can claim a port that was given out."""
        port = reserve_port()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((HOST, port))

    def test_the_started_process_listens(self):
        """A process that shares its address listens on the held port."""
        port = reserve_port()
        with socket.socket() as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            server.bind((HOST, port))
            server.listen()
            with socket.create_connection((HOST, port), timeout=5.0) as connection:
                assert connection.getpeername() == (HOST, port)

    def test_released(self):
        """A released port can be claimed again."""
        port = reserve_port()
        release_port(port)
        with socket.socket() as other:
            other.bind((HOST, port))


class TestFleet:
    """Waiting for started processes."""

    def test_process_that_ends(self):
        """Waiting for a process that has ended says so, with its last lines."""
        with Fleet() as fleet:
            fleet.start_standin("object-api", "object_api", "--no-such-option")
            with pytest.raises(StartError, match="no-such-option"):
                fleet.wait_ready(["object-api"])
