"""Stand-in for a replica of the users' platform, one process each.

It registers in the store, answers requests with bodies that tell what they answer,
and writes a journal of what has reached it. The framing of answers varies: with a
length, in chunks, or ended by the connection. A prompt part that begins with
``deadly`` ends the process as soon as the answer to it has begun. A request for a model
that is not loaded gets 421; orders of models go into the journal. Faults at
``POST /control``: ``leaving`` (all answers say so), ``rest_ms`` (requests are turned
away for so long) and ``garble`` (share of answers in percent that are cut, failed or
sent twice).
"""

import json
import os
import random
import socket
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import typer

from standins.entry_platform import OPERATOR
from standins.fleet import HOST, request
from standins.replica_engine import ReplicaEngine

EVENTS = 8
EVENT_PERIOD_S = 0.02
WORK_S = 0.01
DEADLY = "deadly"
HEAD_END = b"\r\n\r\n"
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000


def plain_body(id: str) -> bytes:
    """Return the body that answers a plain request."""
    return f"done {id}\n".encode()


def event(id: str, number: int) -> bytes:
    """Return one event of the stream that answers a request."""
    text = "end" if number == EVENTS else str(number)
    return f"id: {number}\ndata: {id} {text}\n\n".encode()


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it reached the replica; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("attempt-id", "")

    @property
    def parts(self) -> tuple[str, ...]:
        """The parts of its prompt."""
        text = self.headers.get("prompt-prefix", "")
        return tuple(item.partition(":")[0] for item in text.split(",") if item)


class ConnectionEndedError(Exception):
    """The connection is to be closed now."""


@dataclass(slots=True)
class Replica:
    """One start of a replica."""

    id: str
    journal: Path
    rng: random.Random
    is_leaving: bool = False
    rest_until_s: float = 0.0
    garble_percent: int = 0
    engine: ReplicaEngine = field(default_factory=ReplicaEngine)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, event: str, call: Call, **fields: Any) -> None:
        """Write a line of the journal."""
        line = {
            "event": event,
            "id": call.id,
            "at_s": time.monotonic(),
            "parts": call.parts,
            **fields,
        }
        with self.lock, self.journal.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def serve(self, connection: socket.socket) -> None:
        """Answer the calls of one connection, one after the other."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        with connection:
            try:
                while (call := _read_call(reader)) is not None:
                    self.answer(connection, call)
            except (ConnectionEndedError, OSError):
                return

    def answer(self, connection: socket.socket, call: Call) -> None:
        """Answer one call; raises ConnectionEndedError if it ends the connection."""
        if call.path == "/control":
            self._control(json.loads(call.body))
            connection.sendall(_whole(200, {}, b"{}"))
            return
        if call.headers.get("expect-instance", self.id) != self.id:
            connection.sendall(_whole(421, {"Instance-Id": self.id}, b""))
            return
        if call.path in ("/order", "/report"):
            self._answer_leader(connection, call)
            return
        rest_s = self.rest_until_s - time.monotonic()
        self.record("arrived", call, rest_s=max(0.0, rest_s), leaving=self.is_leaving)
        headers = {"Attempt-Id": call.id}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if rest_s > 0:
            refused = {"Not-Executed": "1", "Retry-After": f"{rest_s:.3f}"}
            connection.sendall(_whole(503, {**headers, **refused}, b""))
            return
        model = call.headers.get("model")
        if model is not None and model not in self.engine.models:
            connection.sendall(_whole(421, headers, b""))
            return
        self.record("ran", call)
        headers["Server-Seal"] = f"s.{self.id}"
        with self.lock:
            garbles = self.rng.randrange(PERCENT) < self.garble_percent
            garbling = self.rng.choice(("fail", "head", "body", "twice"))
            framing = self.rng.choice(("length", "chunks", "end"))
        if call.path.startswith("/chat/"):
            is_chunked = framing != "end"
            self._stream(
                connection, call, headers, garbling if garbles else "", is_chunked
            )
            return
        time.sleep(WORK_S)
        body = plain_body(call.id)
        match garbling if garbles else "":
            case "fail":
                connection.sendall(_whole(500, headers, b"failed\n"))
            case "head":
                connection.sendall(_whole(200, headers, body)[:-20].split(b"Con")[0])
                raise ConnectionEndedError
            case "body":
                connection.sendall(_whole(200, headers, body)[:-3])
                raise ConnectionEndedError
            case "twice":
                connection.sendall(_whole(200, headers, body))
                time.sleep(WORK_S)
                connection.sendall(_whole(200, headers, body))
            case _:
                _send(connection, framing, headers, body)

    def _answer_leader(self, connection: socket.socket, call: Call) -> None:
        """Answer an order or the request of a report."""
        if call.path == "/report":
            report = json.dumps(self.engine.report()).encode()
            connection.sendall(_whole(200, {}, report))
            return
        order = json.loads(call.body)
        status = self.engine.order(order)
        self.record(
            "order",
            call,
            holder=order["holder"],
            fence=order["fence-token"],
            opcode=order["opcode"],
            model=order["model"],
            status=status,
        )
        connection.sendall(_whole(status, {}, b"{}"))

    def _stream(
        self,
        connection: socket.socket,
        call: Call,
        headers: Mapping[str, str],
        garbling: str,
        is_chunked: bool,
    ) -> None:
        if garbling == "fail":
            connection.sendall(_whole(500, headers, b"failed\n"))
            return
        head = _head(200, {**headers, "Content-Type": "text/event-stream"}, is_chunked)
        if garbling == "head":
            connection.sendall(head[:-10])
            raise ConnectionEndedError
        connection.sendall(head)
        if any(part.startswith(DEADLY) for part in call.parts):
            os._exit(1)
        first = int(call.headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            data = event(call.id, number)
            if garbling == "body" and number == EVENTS // 2:
                connection.sendall(_chunk(data[:9]) if is_chunked else data[:9])
                raise ConnectionEndedError
            connection.sendall(_chunk(data) if is_chunked else data)
            time.sleep(EVENT_PERIOD_S)
        if not is_chunked:
            raise ConnectionEndedError
        connection.sendall(b"0\r\n\r\n")

    def _control(self, faults: Mapping[str, int]) -> None:
        if "leaving" in faults:
            self.is_leaving = bool(faults["leaving"])
        if "rest_ms" in faults:
            rest_s = faults["rest_ms"] / MILLISECONDS_PER_SECOND
            self.rest_until_s = time.monotonic() + rest_s
        if "garble" in faults:
            self.garble_percent = faults["garble"]


def _read_call(reader: Any) -> Call | None:
    """Return the next call of a connection, or None at its end."""
    first = reader.readline()
    if not first:
        return None
    method, path, _ = first.decode().split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Call(method, path, headers, body)


def _head(status: int, headers: Mapping[str, str], is_chunked: bool) -> bytes:
    framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, framing]).encode() + HEAD_END


def _whole(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    length = f"Content-Length: {len(body)}"
    return "\r\n".join([*lines, length]).encode() + HEAD_END + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _send(
    connection: socket.socket, framing: str, headers: Mapping[str, str], body: bytes
) -> None:
    """Send a whole answer in one of three framings."""
    match framing:
        case "length":
            connection.sendall(_whole(200, headers, body))
        case "chunks":
            chunks = _chunk(body[:4]) + _chunk(body[4:]) + b"0\r\n\r\n"
            connection.sendall(_head(200, headers, True) + chunks)
        case _:
            connection.sendall(_head(200, headers, False) + body)
            raise ConnectionEndedError


def main(
    port: Annotated[int, typer.Option()],
    id: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    store_port: Annotated[int, typer.Option()],
    journal: Annotated[Path, typer.Option()],
    seed: Annotated[int, typer.Option()] = 0,
) -> None:
    """Register in the store and serve until the process ends."""
    replica = Replica(id, journal, random.Random(f"{seed}/{id}"))
    with socket.create_server((HOST, port), backlog=512) as listener:
        entry = {
            "service": service,
            "address": f"{HOST}:{port}",
            "zone": "zone-a",
            "slots": 64,
            "state": "ready",
            "born": int(time.time() * MILLISECONDS_PER_SECOND),
        }
        body = {"metadata": {"name": id}, "spec": entry}
        path = f"/objects/servers/{id}"
        request(store_port, "PUT", path, body, headers=OPERATOR)
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=replica.serve, args=(connection,), daemon=True
            ).start()


if __name__ == "__main__":
    typer.run(main)
