"""Tests of the TCP forwarder whose links can be cut."""

import socket
import threading

import pytest

from standins.fleet import HOST, Fleet, request
from standins.links import Link, Links, LinkState, forward

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


class LinksResetOnWait(Links):
    """Links that are reset, and opened again, when a connection begins to wait."""

    def wait_open(self, link, is_answer):
        """Reset and open the link, then wait."""
        self.set_state([link], LinkState.RESET)
        self.set_state([link], LinkState.OPEN)
        super().wait_open(link, is_answer)


@pytest.fixture
def server():
    """Return a listening socket that closes after the test."""
    with socket.create_server((HOST, 0)) as listener:
        listener.settimeout(10.0)
        yield listener


def start_forward(links, link, server):
    """Forward a new connection over a link to a server; return the caller's end."""
    with socket.create_server((HOST, 0)) as listener:
        caller = socket.create_connection(listener.getsockname(), 10.0)
        client, _ = listener.accept()
    arguments = (links, link, client, server.getsockname()[1])
    threading.Thread(target=forward, args=arguments, daemon=True).start()
    return caller


class TestForward:
    """Resets of a link while a connection over it is being set up."""

    @pytest.mark.parametrize("is_opened_again", [False, True])
    def test_reset_while_connecting(self, monkeypatch, server, is_opened_again):
        """Both ends break if the link is reset before the target has answered."""
        links, link = Links(), Link(NEAR, "target")
        connect = socket.create_connection

        def connect_then_reset(address, timeout_s):
            connection = connect(address, timeout_s)
            if address == server.getsockname():
                links.set_state([link], LinkState.RESET)
                if is_opened_again:
                    links.set_state([link], LinkState.OPEN)
            return connection

        monkeypatch.setattr(socket, "create_connection", connect_then_reset)
        caller = start_forward(links, link, server)
        called, _ = server.accept()
        called.settimeout(10.0)
        assert is_closed(called)
        assert is_closed(caller)

    def test_reset_while_held(self, server):
        """A connection that waits for its link breaks if the link is reset."""
        links, link = LinksResetOnWait(), Link(NEAR, "target")
        assert is_closed(start_forward(links, link, server))


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
