"""Stand-in for the network: forwards TCP over links that can be cut.

A link goes from a source, known by the IP number that it connects from, to a
target, known by the port here that it connects to. A link's state holds for
open connections and for new ones. What a black-holed link holds is
delivered when it heals, however late, even if its sender has closed since.
"""

import contextlib
import socket
import struct
import threading
from dataclasses import dataclass, field
from enum import Enum

import typer

from standins.web import Answered, Asked, answer, run

HOST = "127.0.0.1"
BUFFER_BYTES = 65_536
CONNECT_LIMIT_S = 5.0
RESET = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What a link does with the bytes given to it."""

    OPEN = "open"
    BLACK_HOLE = "black hole"
    ANSWERS_HELD = "answers held"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Link:
    """From where to where."""

    source: str
    target: str


@dataclass(slots=True)
class Links:
    """All links, their states and the connections open over each."""

    changed: threading.Condition = field(default_factory=threading.Condition)
    state_by_link: dict[Link, LinkState] = field(default_factory=dict)
    sockets_by_link: dict[Link, set[socket.socket]] = field(default_factory=dict)

    def handle(self, asked: Asked) -> Answered:
        """Forward for one more target, or set the state of links."""
        change = asked.json()
        if "to_port" in change:
            server = socket.create_server((HOST, change["port"]), backlog=512)
            threading.Thread(
                target=_accept,
                args=(self, change["target"], server, change["to_port"]),
                daemon=True,
            ).start()
        else:
            links = [Link(**link) for link in change["links"]]
            self.put(links, LinkState(change["state"]))
        return answer({})

    def put(self, links: list[Link], state: LinkState) -> None:
        """Set the state of links; a reset one breaks what is open over it."""
        with self.changed:
            for link in links:
                self.state_by_link[link] = state
                if state is LinkState.RESET:
                    for broken in self.sockets_by_link.pop(link, set()):
                        _reset(broken)
            self.changed.notify_all()

    def state(self, link: Link) -> LinkState:
        """Return what a link does now."""
        return self.state_by_link.get(link, LinkState.OPEN)

    def opened(self, link: Link, *sockets: socket.socket) -> None:
        """Note the sockets of a connection over a link."""
        with self.changed:
            self.sockets_by_link.setdefault(link, set()).update(sockets)

    def closed(self, link: Link, *sockets: socket.socket) -> None:
        """Forget the sockets of a connection."""
        with self.changed:
            self.sockets_by_link.get(link, set()).difference_update(sockets)

    def wait_open(self, link: Link, is_answer: bool) -> None:
        """Block while bytes in this direction are held; raises if link is reset."""
        held = {LinkState.BLACK_HOLE}
        if is_answer:
            held.add(LinkState.ANSWERS_HELD)
        with self.changed:
            self.changed.wait_for(lambda: self.state(link) not in held)
            if self.state(link) is LinkState.RESET:
                raise ConnectionResetError


def _reset(broken: socket.socket) -> None:
    """Close a socket so that the other side sees a reset."""
    with contextlib.suppress(OSError):
        broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        broken.shutdown(socket.SHUT_RDWR)
        broken.close()


def _accept(links: Links, target: str, server: socket.socket, to_port: int) -> None:
    """Accept for a target, one task for each connection, until the process ends."""
    while True:
        caller, (source, _) = server.accept()
        threading.Thread(
            target=_forward,
            args=(links, Link(source, target), caller, to_port),
            daemon=True,
        ).start()


def _forward(links: Links, link: Link, caller: socket.socket, to_port: int) -> None:
    try:
        links.wait_open(link, is_answer=False)
        called = socket.create_connection((HOST, to_port), CONNECT_LIMIT_S)
    except OSError:
        _reset(caller)
        return
    called.settimeout(None)
    for end in (caller, called):
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    links.opened(link, caller, called)
    answers = threading.Thread(
        target=_pump, args=(links, link, called, caller, True), daemon=True
    )
    answers.start()
    _pump(links, link, caller, called, False)
    answers.join()
    links.closed(link, caller, called)
    caller.close()
    called.close()


def _pump(
    links: Links,
    link: Link,
    taken_from: socket.socket,
    given_to: socket.socket,
    is_answer: bool,
) -> None:
    """Pass bytes on in one direction until its end or a reset."""
    try:
        while data := taken_from.recv(BUFFER_BYTES):
            links.wait_open(link, is_answer)
            given_to.sendall(data)
        links.wait_open(link, is_answer)
        given_to.shutdown(socket.SHUT_WR)
    except OSError:
        _reset(taken_from)
        _reset(given_to)


def main(port: int = 7900) -> None:
    """Forward until the process ends."""
    run(Links().handle, HOST, port)


if __name__ == "__main__":
    typer.run(main)
