"""Replicas and clients for the cases about parts of prompts that crash replicas."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import harness as h

EVENTS = 20
EVENT_PERIOD_S = 0.02
BACK_AFTER_S = 2.0
"""A crashed replica is back after some seconds."""
ROUTE = {
    "name": "spot-explain",
    "host": h.HOST_NAME,
    "path-prefix": "/spot/",
    "kind": "streaming",
    "resumable": True,
    "timeout-ms": 10000,
    "goal-ms": 500,
    "gap-target-ms": 300,
    "priority": 0,
    "max-attempts": 2,
    "service": "assist-models",
}
LEASE_ROUTE = {
    **ROUTE,
    "name": "lease-digest",
    "path-prefix": "/lease/",
    "resumable": False,
    "timeout-ms": 25000,
    "goal-ms": 6000,
    "priority": 1,
    "max-attempts": 1,
}
CONFIG = {
    "version": 3,
    "routes": [ROUTE, LEASE_ROUTE],
    "services": [{"name": "assist-models", "max-conns": 360, "health-path": "/health"}],
    "limits": h.LIMITS,
}


def event(id: str, number: int) -> bytes:
    """Return one event of the stream that answers a request."""
    text = "end" if number == EVENTS else "text"
    return f"id: {number}\ndata: {id} {number} {text}\n\n".encode()


@dataclass
class Arrival:
    """A request that reached a replica."""

    id: str
    at_s: float
    parts: tuple[str, ...]


@dataclass
class Replica:
    """A replica that one part of a prompt may crash.

    Each answer begins with ``events_before_crash`` events that are written at once. If
    the answer is on the part ``deadly``, the replica then ends: it resets its channels
    and listens no more. It is back some seconds later at the same address under the
    same id, with a later start.
    """

    id: str
    ip: str
    store: h.Store
    record: h.Record
    deadly: str
    events_before_crash: int
    arrivals: list[Arrival] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)
    port: int = 0
    service: str = "assist-models"

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._channels: set[socket.socket] = set()
        self._server: socket.socket | None = None

    def start(self) -> None:
        """Listen, and write the entry in the store."""
        server = socket.create_server((self.ip, self.port), backlog=512)
        self.port = server.getsockname()[1]
        self._server = server
        threading.Thread(target=self._accept, args=(server,), daemon=True).start()
        born = int(time.time() * 1000)
        spec = h.entry(self.service, self.ip, self.port, born)
        self.store.put("servers", self.id, spec)

    def crash(self) -> None:
        """End all at once, and come back after some seconds."""
        with self._lock:
            server, self._server = self._server, None
            if server is None:
                return
            with contextlib.suppress(OSError):
                server.shutdown(socket.SHUT_RDWR)
            server.close()
            for channel in self._channels:
                h.reset(channel)
            self._channels.clear()
            self.crashes_s.append(time.monotonic())
        self.record("crashed", replica=self.id)
        threading.Timer(BACK_AFTER_S, self.start).start()

    def _accept(self, server: socket.socket) -> None:
        while True:
            try:
                channel, _ = server.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                if self._server is not server:
                    h.reset(channel)
                    continue
                self._channels.add(channel)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel: socket.socket) -> None:
        reader = channel.makefile("rb")
        try:
            while (call := h.read_call(reader)) is not None:
                self._answer(channel, call)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._channels.discard(channel)
            with contextlib.suppress(OSError):
                reader.close()
                channel.close()

    def _answer(self, channel: socket.socket, call: h.Call) -> None:
        if call.headers.get("expect-instance", self.id) != self.id:
            channel.sendall(h.whole(421, {"Instance-Id": self.id}, b""))
            return
        text = call.headers.get("prompt-prefix", "")
        parts = tuple(item.partition(":")[0] for item in text.split(",") if item)
        self.arrivals.append(Arrival(call.id, time.monotonic(), parts))
        self.record("ran", replica=self.id, id=call.id, parts=",".join(parts))
        headers = {
            "Attempt-Id": call.id,
            "Server-Seal": f"seal-{call.id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        channel.sendall(h.head(200, headers))
        first = int(call.headers.get("last-event-id") or 0) + 1
        first_numbers = range(first, first + self.events_before_crash)
        data = b"".join(event(call.id, number) for number in first_numbers)
        if data:
            channel.sendall(b"%x\r\n%b\r\n" % (len(data), data))
        time.sleep(EVENT_PERIOD_S)
        if self.deadly in parts:
            self.crash()
            return
        for number in range(first_numbers.stop, EVENTS + 1):
            data = event(call.id, number)
            channel.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_PERIOD_S)
        channel.sendall(b"0\r\n\r\n")


@dataclass
class Sent:
    """One request of a client and what became of it."""

    id: str
    parts: tuple[str, ...]
    path: str
    sent_s: float
    answer: h.Answer = field(default_factory=h.Answer)

    @property
    def has_begun(self) -> bool:
        """Whether the client has got a part of the replica's answer."""
        return self.answer.status == 200 and bool(self.answer.body)


@dataclass
class Clients:
    """Clients that send requests at a steady rate to the daemons in turn."""

    daemons: Sequence[h.Daemon]
    record: h.Record
    sent: list[Sent] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._tasks: list[threading.Thread] = []

    def send(
        self,
        parts: tuple[str, ...],
        path: str = "/spot/a",
        daemon: h.Daemon | None = None,
    ) -> None:
        """Send one request in a thread of its own."""
        with self._lock:
            number = len(self.sent) + 1
            item = Sent(f"{number:016x}", parts, path, time.monotonic())
            self.sent.append(item)
        chosen = daemon or self.daemons[number % len(self.daemons)]
        task = threading.Thread(target=self._ask, args=(item, chosen), daemon=True)
        self._tasks.append(task)
        task.start()

    def send_for(
        self,
        duration_s: float,
        per_s: float,
        parts: Callable[[int], tuple[str, ...]],
        paths: Sequence[str] = ("/spot/a",),
    ) -> None:
        """Send at ``per_s`` requests a second; ``parts`` are by the number.

        The requests take the ``paths`` in turn.
        """
        start_s = time.monotonic()
        for number in range(int(duration_s * per_s)):
            left_s = start_s + number / per_s - time.monotonic()
            if left_s > 0:
                time.sleep(left_s)
            self.send(parts(number), paths[number % len(paths)])

    def wait(self) -> None:
        """Wait for all answers."""
        for task in self._tasks:
            task.join(15)

    def _ask(self, item: Sent, daemon: h.Daemon) -> None:
        prefix = ",".join(f"{part}:100" for part in item.parts)
        headers = {"Deadline-Ms": "10000", "Token-Count": "400,40"}
        headers["Prompt-Prefix"] = prefix
        self.record(
            "sent",
            id=item.id,
            to=daemon.name,
            path=item.path,
            parts=",".join(item.parts),
        )
        with contextlib.suppress(OSError):
            item.answer = h.call(
                daemon.ip,
                daemon.front_port,
                "POST",
                item.path,
                item.id,
                headers,
                item.id.encode(),
            )
        self.record(
            "answered",
            id=item.id,
            status=item.answer.status,
            events=item.answer.body.count(b"\n\n"),
            looks_complete=item.answer.is_complete,
            took_s=round(item.answer.took_s, 2),
        )
