"""Tests of the forwarder whose links can be cut."""

import socket

import pytest

from standins.fleet import HOST, Fleet, request

NEAR, FAR = "127.0.0.2", "127.0.0.3"


class Wire:
    """A forwarder before a listening socket, and callers from two addresses."""

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

    def put(self, source, state):
        """Set the state of the link from ``source``."""
        change = {
            "state": state,
            "links": [{"source": source, "target": "target"}],
        }
        request(self.fleet.port("links"), "POST", "/control", change)


@pytest.fixture
def wire():
    """Return a wire; its processes end after the test."""
    with Fleet() as fleet:
        made = Wire(fleet)
        yield made
        made.server.close()


class TestLinks:
    """What a link in each state does with bytes."""

    def test_black_hole_holds_until_it_heals(self, wire):
        """Even what its sender has given up is delivered; other links go on."""
        near, at_near = wire.connect(NEAR)
        far, at_far = wire.connect(FAR)
        wire.put(NEAR, "black hole")
        near.sendall(b"late")
        near.close()
        far.sendall(b"in time")
        assert at_far.recv(16) == b"in time"
        at_near.setblocking(False)
        with pytest.raises(BlockingIOError):
            at_near.recv(16)
        at_near.settimeout(10.0)
        wire.put(NEAR, "open")
        assert at_near.recv(16) == b"late"

    def test_answers_held(self, wire):
        """What was asked arrives, and the answer does not until the link heals."""
        caller, called = wire.connect(NEAR)
        wire.put(NEAR, "answers held")
        caller.sendall(b"write")
        assert called.recv(16) == b"write"
        called.sendall(b"done")
        caller.setblocking(False)
        with pytest.raises(BlockingIOError):
            caller.recv(16)
        caller.settimeout(10.0)
        wire.put(NEAR, "open")
        assert caller.recv(16) == b"done"

    def test_reset(self, wire):
        """Open connections break at both ends, new ones at once."""
        caller, called = wire.connect(NEAR)
        wire.put(NEAR, "reset")
        for end in (caller, called):
            assert ended(end)
        assert ended_at_once((HOST, wire.fleet.port_for_nodes("target")))


def ended(end):
    """Return whether nothing more comes over a connection."""
    try:
        return not end.recv(16)
    except ConnectionError:
        return True


def ended_at_once(address):
    """Return whether a new connection breaks, be it while it is still being made.

    A reset that follows an end before the connection is made is EPIPE there.
    """
    try:
        with socket.create_connection(address, 10.0, (NEAR, 0)) as end:
            return ended(end)
    except ConnectionError:
        return True
