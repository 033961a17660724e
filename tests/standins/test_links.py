"""Tests of the TCP forwarder whose links can be cut."""

import socket

import pytest

from standins.fleet import HOST, Fleet, request

NEAR, FAR = "127.0.0.2", "127.0.0.3"


class ForwardedServer:
    """A listening socket behind the forwarder, reachable from two addresses."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.start_standin("links", "links")
        fleet.wait_ready(("links",))
        self.server = socket.create_server((HOST, 0))
        fleet.forward("target", self.server.getsockname()[1])

    def connect(self, source):
        """Return both ends of a connection from ``source``."""
        address = (HOST, self.fleet.port_for_nodes("target"))
        caller = socket.create_connection(address, 10.0, (source, 0))
        called, _ = self.server.accept()
        called.settimeout(10.0)
        return caller, called

    def set_state(self, source, state):
        """Set the state of the link from ``source``."""
        change = {
            "state": state,
            "links": [{"source": source, "target": "target"}],
        }
        request(self.fleet.port("links"), "POST", "/control", change)


@pytest.fixture
def forwarded():
    """Return a forwarded server; its processes stop after the test."""
    with Fleet() as fleet:
        server = ForwardedServer(fleet)
        yield server
        server.server.close()


class TestLinks:
    """Behaviour of a link in each state."""

    def test_black_hole_buffers_until_opened(self, forwarded):
        """Bytes arrive late, even after the sender closed; other links still work."""
        near, at_near = forwarded.connect(NEAR)
        far, at_far = forwarded.connect(FAR)
        forwarded.set_state(NEAR, "black hole")
        near.sendall(b"late")
        near.close()
        far.sendall(b"in time")
        assert at_far.recv(16) == b"in time"
        at_near.setblocking(False)
        with pytest.raises(BlockingIOError):
            at_near.recv(16)
        at_near.settimeout(10.0)
        forwarded.set_state(NEAR, "open")
        assert at_near.recv(16) == b"late"

    def test_answers_held_until_opened(self, forwarded):
        """The request arrives, but the answer only after the link is opened again."""
        caller, called = forwarded.connect(NEAR)
        forwarded.set_state(NEAR, "answers held")
        caller.sendall(b"write")
        assert called.recv(16) == b"write"
        called.sendall(b"done")
        caller.setblocking(False)
        with pytest.raises(BlockingIOError):
            caller.recv(16)
        caller.settimeout(10.0)
        forwarded.set_state(NEAR, "open")
        assert caller.recv(16) == b"done"

    def test_reset_breaks_connections(self, forwarded):
        """Open connections break at both ends, and new ones immediately."""
        caller, called = forwarded.connect(NEAR)
        forwarded.set_state(NEAR, "reset")
        for end in (caller, called):
            assert is_closed(end)
        assert closes_on_connect((HOST, forwarded.fleet.port_for_nodes("target")))


def is_closed(connection):
    """Return whether a connection is closed or reset by the peer."""
    try:
        return not connection.recv(16)
    except ConnectionError:
        return True


def closes_on_connect(address):
    """Return whether a new connection breaks, possibly while it is being set up.

    A reset that follows a FIN during setup is reported as EPIPE.
    """
    try:
        with socket.create_connection(address, 10.0, (NEAR, 0)) as connection:
            return is_closed(connection)
    except ConnectionError:
        return True
