"""Stand-in for the network: forwards TCP connections over links that can be cut.

A link leads from a source, identified by the IP address that it connects from, to a
target, identified by the port of this process that it connects to. The state of a link
applies to open connections and to new ones. Bytes buffered by a black-holed link are
delivered when the link is opened again, even if the sender has closed since.
"""

import contextlib
import socket
import struct
import threading
from dataclasses import dataclass, field
from enum import Enum

import typer

from standins.web import Request, Response, json_response, run

HOST = "127.0.0.1"
BUFFER_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
RESET = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """How a link treats the bytes sent over it."""

    OPEN = "open"
    BLACK_HOLE = "black hole"
    ANSWERS_HELD = "answers held"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Link:
    """A source, by IP address, and a target, by name."""

    source: str
    target: str


@dataclass(slots=True)
class Links:
    """States and open sockets of all links."""

    changed: threading.Condition = field(default_factory=threading.Condition)
    state_by_link: dict[Link, LinkState] = field(default_factory=dict)
    sockets_by_link: dict[Link, set[socket.socket]] = field(default_factory=dict)

    def handle(self, request: Request) -> Response:
        """Start forwarding for a target, or set the state of links."""
        change = request.json()
        if "to_port" in change:
            server = socket.create_server((HOST, change["port"]), backlog=512)
            threading.Thread(
                target=_accept,
                args=(self, change["target"], server, change["to_port"]),
                daemon=True,
            ).start()
        else:
            links = [Link(**link) for link in change["links"]]
            self.set_state(links, LinkState(change["state"]))
        return json_response({})

    def set_state(self, links: list[Link], state: LinkState) -> None:
        """Set the state of links; RESET also breaks their open connections."""
        with self.changed:
            for link in links:
                self.state_by_link[link] = state
                if state is LinkState.RESET:
                    for connection in self.sockets_by_link.pop(link, set()):
                        _reset(connection)
            self.changed.notify_all()

    def state(self, link: Link) -> LinkState:
        """Return the current state of a link."""
        return self.state_by_link.get(link, LinkState.OPEN)

    def add_client(self, link: Link, client: socket.socket) -> None:
        """Register the client's end of a connection, so that a reset breaks it."""
        with self.changed:
            self.sockets_by_link.setdefault(link, set()).add(client)

    def add_server_side(
        self, link: Link, client: socket.socket, server_side: socket.socket
    ) -> None:
        """Register the target's end of a connection.

        Raises
        ------
        ConnectionResetError
            If the link was reset after the client's end was registered.
        """
        with self.changed:
            sockets = self.sockets_by_link.get(link, set())
            if client not in sockets:
                raise ConnectionResetError
            sockets.add(server_side)

    def remove_sockets(self, link: Link, *sockets: socket.socket) -> None:
        """Unregister the sockets of a connection."""
        with self.changed:
            self.sockets_by_link.get(link, set()).difference_update(sockets)

    def wait_open(self, link: Link, is_answer: bool) -> None:
        """Block while this direction is held; raises ConnectionResetError on RESET."""
        holding_states = {LinkState.BLACK_HOLE}
        if is_answer:
            holding_states.add(LinkState.ANSWERS_HELD)
        with self.changed:
            self.changed.wait_for(lambda: self.state(link) not in holding_states)
            if self.state(link) is LinkState.RESET:
                raise ConnectionResetError


def _reset(connection: socket.socket) -> None:
    """Close a socket so that the peer receives a TCP reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()


def _accept(links: Links, target: str, server: socket.socket, to_port: int) -> None:
    """Accept connections for a target, with one thread for each."""
    while True:
        client, (source, _) = server.accept()
        threading.Thread(
            target=forward,
            args=(links, Link(source, target), client, to_port),
            daemon=True,
        ).start()


def forward(links: Links, link: Link, client: socket.socket, to_port: int) -> None:
    """Forward one connection over a link until it ends or is reset."""
    links.add_client(link, client)
    try:
        links.wait_open(link, is_answer=False)
        server_side = socket.create_connection((HOST, to_port), CONNECT_TIMEOUT_S)
    except OSError:
        links.remove_sockets(link, client)
        _reset(client)
        return
    try:
        server_side.settimeout(None)
        for connection in (client, server_side):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        links.add_server_side(link, client, server_side)
    except OSError:
        links.remove_sockets(link, client)
        _reset(client)
        _reset(server_side)
        return
    answers = threading.Thread(
        target=_pump, args=(links, link, server_side, client, True), daemon=True
    )
    answers.start()
    _pump(links, link, client, server_side, False)
    answers.join()
    links.remove_sockets(link, client, server_side)
    client.close()
    server_side.close()


def _pump(
    links: Links,
    link: Link,
    from_socket: socket.socket,
    to_socket: socket.socket,
    is_answer: bool,
) -> None:
    """Copy bytes in one direction until end of stream or a reset."""
    try:
        while data := from_socket.recv(BUFFER_BYTES):
            links.wait_open(link, is_answer)
            to_socket.sendall(data)
        links.wait_open(link, is_answer)
        to_socket.shutdown(socket.SHUT_WR)
    except OSError:
        _reset(from_socket)
        _reset(to_socket)


def main(port: int = 7900) -> None:
    """Forward until the process ends."""
    run(Links().handle, HOST, port)


if __name__ == "__main__":
    typer.run(main)
