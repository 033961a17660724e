"""Stand-in for a replica of the users' platform, one process each.

It registers in the store, answers requests with bodies that tell what they answer,
and writes a journal of what has reached it. The framing of answers varies: with a
length, in chunks, or ended by the connection. A prompt part that begins with
``deadly`` ends the process as soon as the answer to it has begun. A request for a model
that is not loaded gets 421; orders of models go into the journal. A run ends as soon
as its connection does.

Faults at ``POST /control``: ``leaving`` (all answers say so), ``limit_per_s`` (all
answers name it, 0 for none), ``rest_ms`` (requests are turned away for so long),
``slow_ms`` (period of the events of a stream) and shares of requests in percent:
``garble`` (the answer is cut, failed or sent twice), ``fail`` (500 after the run),
``shed`` (declined with 503), ``mute`` (run without an answer) and ``reset`` (the
connection is reset within the run). A share of the refusals is sent once more: at once
(``echo``), some time after it on an idle connection (``late``) or while a later request
of the connection runs (``stale``), which is the refusal of that very request if there
is one.
"""

import json
import math
import os
import random
import select
import signal
import socket
import struct
import sys
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
REQUEST_ID = "Attempt-Id"
HEAD_END = b"\r\n\r\n"
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000
MUTE_S = 10.0
"""Time for which a run without an answer lasts, unless its connection ends."""
BARE_SHARE = 0.5
"""Share of the repeated refusals of other requests that have no request id."""
STALE_LEAD_S = 0.1
"""Time between a refusal that is sent again and the answer after it."""
END_S = 1.0
"""Longest time for which a replica that is told to end goes on with its runs."""
LATE_S = 0.2
"""Time after which a refusal is sent again on an idle connection."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SHARES = ("garble", "fail", "shed", "mute", "reset", "echo", "late", "stale")
"""Faults that strike a share of the requests or refusals, in percent."""


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
    def left_s(self) -> float:
        """The time in which its client wants an answer; infinite if it has none."""
        return float(self.headers.get("deadline-ms", math.inf)) / (
            MILLISECONDS_PER_SECOND
        )

    @property
    def parts(self) -> tuple[str, ...]:
        """The parts of its prompt."""
        text = self.headers.get("prompt-prefix", "")
        return tuple(item.partition(":")[0] for item in text.split(",") if item)


class ConnectionEndedError(Exception):
    """The connection is to be closed now."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal as it may be sent once more."""

    call: Call
    status: int
    headers: Mapping[str, str]

    def data(self, is_bare: bool = False) -> bytes:
        """Return its bytes, without the id of its request if it is bare."""
        kept = {k: v for k, v in self.headers.items() if not is_bare or k != REQUEST_ID}
        return _whole(self.status, kept, b"")


@dataclass(slots=True)
class Replica:
    """One start of a replica."""

    id: str
    journal: Path
    rng: random.Random
    is_leaving: bool = False
    limit_per_s: float = 0.0
    rest_until_s: float = 0.0
    event_period_s: float = EVENT_PERIOD_S
    percent_by_fault: dict[str, float] = field(default_factory=dict)
    is_ending: bool = False
    running: int = 0
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
        refusal_by_id: dict[str, Refusal] = {}
        with connection, reader:
            try:
                while not self.is_ending:
                    if (call := _read_call(reader)) is None:
                        return
                    refusal = self.answer(connection, call, refusal_by_id)
                    if refusal is not None:
                        # The last one comes last, also if its request came before.
                        refusal_by_id.pop(call.id, None)
                        refusal_by_id[call.id] = refusal
                        self._repeat_unasked(connection, refusal)
            except (ConnectionEndedError, OSError):
                return

    def answer(
        self,
        connection: socket.socket,
        call: Call,
        refusal_by_id: dict[str, Refusal],
    ) -> Refusal | None:
        """Answer one call; raises ConnectionEndedError if it ends the connection.

        Returns the refusal, if it was one. ``refusal_by_id`` are the earlier ones of
        the connection by the id of their request, the last one last.
        """
        headers = {REQUEST_ID: call.id} if call.id else {}
        if call.path == "/control":
            self._control(json.loads(call.body))
            connection.sendall(_whole(200, {}, b"{}"))
            return None
        if call.headers.get("expect-instance", self.id) != self.id:
            other = {"Not-Executed": "1", "Instance-Id": self.id}
            return self._refuse(connection, Refusal(call, 421, {**headers, **other}))
        if call.path in ("/order", "/report"):
            self._answer_leader(connection, call)
            return None
        rest_s = self.rest_until_s - time.monotonic()
        self.record(
            "arrived",
            call,
            rest_s=max(0.0, rest_s),
            leaving=self.is_leaving,
            limit_per_s=self.limit_per_s,
            left_s=call.left_s,
            account=call.headers.get("tenant"),
            credentials="authorization" in call.headers,
        )
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.limit_per_s:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        if rest_s > 0:
            refused = {"Not-Executed": "1", "Retry-After": f"{rest_s:.3f}"}
            return self._refuse(connection, Refusal(call, 503, {**headers, **refused}))
        model = call.headers.get("model")
        if model is not None and model not in self.engine.models:
            return self._refuse(connection, Refusal(call, 421, headers))
        if self._strikes("shed"):
            declined = {**headers, "Not-Executed": "1"}
            return self._refuse(connection, Refusal(call, 503, declined))
        self.record("ran", call)
        with self.lock:
            self.running += 1
        try:
            if refusal_by_id and self._strikes("stale"):
                last = next(reversed(refusal_by_id.values()))
                self._repeat(connection, refusal_by_id.get(call.id, last), call.id)
                _wait(connection, STALE_LEAD_S)
            self._run(connection, call, headers)
        finally:
            self.record("ended", call)
            with self.lock:
                self.running -= 1
        return None

    def _run(
        self, connection: socket.socket, call: Call, headers: dict[str, str]
    ) -> None:
        """Run a call and answer it."""
        headers["Server-Seal"] = f"s.{self.id}"
        if self._strikes("mute"):
            _wait(connection, MUTE_S)
            raise ConnectionEndedError
        if self._strikes("reset"):
            _wait(connection, WORK_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ConnectionEndedError
        garbles, fails = self._strikes("garble"), self._strikes("fail")
        with self.lock:
            garbling = self.rng.choice(("fail", "head", "body", "twice"))
            framing = self.rng.choice(("length", "chunks", "end"))
        garbling = garbling if garbles else ""
        if call.path.startswith("/chat/") and not fails:
            is_chunked = framing != "end"
            self._stream(connection, call, headers, garbling, is_chunked)
            return
        _wait(connection, WORK_S)
        body = plain_body(call.id)
        match "fail" if fails else garbling:
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

    def _strikes(self, fault: str) -> bool:
        """Return whether a fault strikes the next request."""
        with self.lock:
            return self.rng.randrange(PERCENT) < self.percent_by_fault.get(fault, 0)

    def _refuse(self, connection: socket.socket, refusal: Refusal) -> Refusal:
        """Decline a call."""
        connection.sendall(refusal.data())
        return refusal

    def _repeat_unasked(self, connection: socket.socket, refusal: Refusal) -> None:
        """Send a refusal again before the next request of the connection."""
        if self._strikes("echo"):
            self._repeat(connection, refusal)
        if self._strikes("late") and not _is_readable(connection, LATE_S):
            self._repeat(connection, refusal)

    def _repeat(
        self, connection: socket.socket, refusal: Refusal, beside: str = ""
    ) -> None:
        """Send a refusal again, while the request ``beside`` runs if there is one."""
        with self.lock:
            is_bare = self.rng.random() < BARE_SHARE and refusal.call.id != beside
        connection.sendall(refusal.data(is_bare))
        status = refusal.status
        self.record(
            "repeated", refusal.call, status=status, beside=beside, bare=is_bare
        )

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
            _wait(connection, self.event_period_s)
        if not is_chunked:
            raise ConnectionEndedError
        connection.sendall(b"0\r\n\r\n")

    def end(self) -> None:
        """Return once all runs have ended, or after some time."""
        self.is_ending = True
        until_s = time.monotonic() + END_S
        while self.running and time.monotonic() < until_s:
            time.sleep(WORK_S)

    def _control(self, faults: Mapping[str, float]) -> None:
        if "leaving" in faults:
            self.is_leaving = bool(faults["leaving"])
        if "limit_per_s" in faults:
            self.limit_per_s = faults["limit_per_s"]
        if "rest_ms" in faults:
            rest_s = faults["rest_ms"] / MILLISECONDS_PER_SECOND
            self.rest_until_s = time.monotonic() + rest_s
        if "slow_ms" in faults:
            period_s = faults["slow_ms"] / MILLISECONDS_PER_SECOND
            self.event_period_s = period_s or EVENT_PERIOD_S
        with self.lock:
            self.percent_by_fault.update(
                {name: faults[name] for name in SHARES if name in faults}
            )


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


def _wait(connection: socket.socket, for_s: float) -> None:
    """Work for some time; raises ConnectionEndedError if the caller closes."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    if poll.poll(for_s * MILLISECONDS_PER_SECOND):
        raise ConnectionEndedError


def _is_readable(connection: socket.socket, for_s: float) -> bool:
    """Return whether a call or the end of the connection comes within some time."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(for_s * MILLISECONDS_PER_SECOND))


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
    signal.signal(signal.SIGTERM, lambda *_: sys.exit())
    try:
        _listen(replica, port, service, store_port)
    finally:
        replica.end()


def _listen(replica: Replica, port: int, service: str, store_port: int) -> None:
    # Another replica may take the address over while this one still has it.
    with socket.create_server((HOST, port), backlog=512, reuse_port=True) as listener:
        entry = {
            "service": service,
            "address": f"{HOST}:{port}",
            "zone": "zone-a",
            "slots": 64,
            "state": "ready",
            "born": int(time.time() * MILLISECONDS_PER_SECOND),
        }
        body = {"metadata": {"name": replica.id}, "spec": entry}
        path = f"/objects/servers/{replica.id}"
        request(store_port, "PUT", path, body, headers=OPERATOR)
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=replica.serve, args=(connection,), daemon=True
            ).start()


if __name__ == "__main__":
    typer.run(main)
