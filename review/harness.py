"""Stand-ins and processes that the cases of this review share.

The store speaks the calls of the platform's pages that an entry daemon makes. Daemons
are started as processes with the command of the deploy file.
"""

import contextlib
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
STORE_KINDS_LIMIT_S = 30.0
HOST_NAME = "site.example"
RESET = struct.pack("ii", 1, 0)

SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "lake-a"
region = "great-lakes"
inner-port-range = [{peer_port},{peer_port}]
seeds = []
bootstrap = true
[zones]
lake-a = "great-lakes"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 52
recovery-s = 12
pass-ms = 120
retry-after-s = 0
require-fence = true
lease-ms = 3000
thaw-slack-ms = 300
ceiling-window-s = 5
ceiling-excess = 1.1
[cloud-platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 5000,
    "idle-timeout-ms": 20000,
}


def has_trouble() -> bool:
    """Return whether this run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def random_ip() -> str:
    """Return a loopback address that no other run is likely to use."""
    return "127." + ".".join(str(random.randrange(2, 250)) for _ in range(3))


def free_port(ip: str) -> int:
    """Return a TCP port below the ephemeral range that is free at ``ip``."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._lock = threading.Lock()
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        passed_s = time.monotonic() - self._start_s
        with self._lock:
            self._file.write(f"{passed_s:8.3f} {event} {text}\n")
            self._file.flush()


class Store:
    """The platform's store: objects, conditional writes and watches."""

    def __init__(self, ip: str, record: Record) -> None:
        self.record = record
        self.era = 1
        self._revision = 1
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                status, answer = store.answer(self.command, self.path, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any  # noqa: N815

            def log_message(self, *_: Any) -> None:
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_: Any) -> None:
                pass

        self._server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a server does."""
        with self._changed:
            self._store(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as the platform does."""
        with self._changed:
            self._drop(kind, name)

    def find(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or None."""
        with self._changed:
            item = self._objects.get((kind, name))
            return item["spec"] if item else None

    def answer(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Return status and body of the answer to one call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in query:
            wait_s = int(query.get("wait-ms", 0)) / 1000
            return self._watch(kind, int(query["watch"]), wait_s)
        with self._changed:
            item = self._objects.get((kind, name))
            match method:
                case "GET" if not name:
                    items = [
                        item for (k, _), item in self._objects.items() if k == kind
                    ]
                    items.sort(key=lambda item: item["metadata"]["name"])
                    listing = {"items": items, "has-more": False}
                    return 200, {**listing, "store-revision": self._revision}
                case "GET":
                    return (200, item) if item else (404, {})
                case "POST":
                    name = body["metadata"]["name"]
                    if (kind, name) in self._objects:
                        return 409, self._objects[kind, name]
                    return 201, self._store(kind, name, body["spec"])
                case "PUT":
                    expected = body["metadata"].get("revision")
                    if item is None:
                        return 404, {}
                    if expected not in (None, item["metadata"]["revision"]):
                        return 409, item
                    return 200, self._store(kind, name, body["spec"])
                case _:
                    if item is None:
                        return 404, {}
                    expected = query.get("revision")
                    if expected not in (None, str(item["metadata"]["revision"])):
                        return 409, item
                    self._drop(kind, name)
                    return 200, item

    def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        until_s = time.monotonic() + min(wait_s, STORE_KINDS_LIMIT_S)
        with self._changed:
            while True:
                events = [
                    {"object": item, "removed": is_removal}
                    for revision, k, item, is_removal in self._events
                    if k == kind and revision > since
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "store-revision": self._revision}
                self._changed.wait(left_s)

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self._objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self._revision += 1
        metadata = {"name": name, "revision": self._revision}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def _drop(self, kind: str, name: str) -> None:
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._note(kind, item, True)

    def _note(self, kind: str, item: dict[str, Any], is_removal: bool) -> None:
        self._events.append((self._revision, kind, item, is_removal))
        self._changed.notify_all()


@dataclass
class Daemon:
    """One entry daemon, started as the deploy file says."""

    name: str
    folder: Path
    store: str
    ip: str = field(default_factory=random_ip)
    process: "subprocess.Popen[bytes] | None" = None

    def __post_init__(self) -> None:
        self.front_port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.peer_port = free_port(self.ip)
        self.log = self.folder / f"{self.name}.log"
        self.settings = self.folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                peer_port=self.peer_port,
                front_port=self.front_port,
                ready_port=self.ready_port,
                store=self.store,
            )
        )

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        arguments = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CAMPHORYARD_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                arguments, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def wait_ready(self) -> None:
        """Block until the daemon says that it is ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.is_ready():
                return
            time.sleep(0.1)
        raise NotReadyError(f"{self.name} is not ready in time")

    def is_ready(self) -> bool:
        """Ask the readiness address as the platform does."""
        with contextlib.suppress(OSError):
            answer = call(self.ip, self.ready_port, "GET", "/ready", "", {}, b"", 2.0)
            return answer.status == 200
        return False

    def wait_logged(self, text: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Block until a line of the daemon's log has ``text``."""
        until_s = time.monotonic() + timeout_s
        while text not in self.log.read_text(errors="replace"):
            if time.monotonic() >= until_s:
                raise NotReadyError(f"{self.name} has not logged {text}")
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class NotReadyError(Exception):
    """A part of the case could not be started."""


@dataclass
class Answer:
    """What a client has read from its channel for one request.

    ``is_complete`` tells whether the answer looks complete in the protocol, ``ended``
    how reading ended.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended: str = ""
    took_s: float = 0.0


def send_request(
    channel: socket.socket,
    method: str,
    path: str,
    id: str,
    headers: Mapping[str, str],
    body: bytes,
) -> None:
    """Write one request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
    if id:
        lines.append(f"Attempt-Id: {id}")
    lines.extend(f"{name}: {text}" for name, text in headers.items())
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    channel.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def read_answer(channel: socket.socket, timeout_s: float) -> Answer:
    """Read one answer, as far as it comes."""
    start_s = time.monotonic()
    channel.settimeout(timeout_s)
    answer = Answer()
    reader = channel.makefile("rb")
    try:
        line = reader.readline()
        if not line.startswith(b"HTTP/1.1 "):
            answer.ended = f"no status line: {line[:40]!r}"
            return answer
        answer.status = int(line.split()[1])
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, text = line.decode("latin-1").partition(":")
            answer.headers[name.strip().lower()] = text.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            _read_chunks(reader, answer)
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = reader.read(length)
            answer.is_complete = len(answer.body) == length
        else:
            answer.body = reader.read()
            answer.is_complete = True
        answer.ended = answer.ended or "end"
    except OSError as error:
        answer.ended = repr(error)
    finally:
        answer.took_s = time.monotonic() - start_s
    return answer


def _read_chunks(reader: Any, answer: Answer) -> None:
    while True:
        line = reader.readline()
        if not line.endswith(b"\r\n"):
            answer.ended = "channel closed before the last chunk"
            return
        size = int(line, 16)
        data = reader.read(size)
        answer.body += data
        if len(data) < size or reader.readline() != b"\r\n":
            answer.ended = "channel closed within a chunk"
            return
        if size == 0:
            answer.is_complete = True
            return


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    id: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Send a request on a new channel and read its answer."""
    with socket.create_connection((ip, port), timeout_s) as channel:
        send_request(channel, method, path, id, headers, body)
        return read_answer(channel, timeout_s)


@dataclass(frozen=True)
class Call:
    """A request as it reached a replica; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("attempt-id", "")


def read_call(reader: Any) -> Call | None:
    """Return the next request of a channel, or None at its end."""
    call = read_call_head(reader)
    if call is None:
        return None
    length = int(call.headers.get("content-length", 0))
    body = reader.read(length)
    if len(body) < length:
        return None
    return Call(call.method, call.path, call.headers, body)


def read_call_head(reader: Any) -> Call | None:
    """Return the head of the next request of a channel, or None at its end."""
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, text = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = text.strip()
    return Call(method, path, headers, b"") if line else None


def head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {text}" for name, text in headers.items())
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def whole(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return a whole answer with a length."""
    return head(status, {**headers, "Content-Length": str(len(body))}) + body


def listen(
    ip: str, serve: Callable[[socket.socket], None], receive_bytes: int = 0
) -> int:
    """Serve each new channel in a thread of its own; return the port.

    ``receive_bytes`` bounds what the kernel takes for a channel before it is read.
    """
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_bytes:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    server.bind((ip, 0))
    server.listen(512)

    def accept() -> None:
        while True:
            channel, _ = server.accept()
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=_serve, args=(serve, channel), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    port: int = server.getsockname()[1]
    return port


def _serve(serve: Callable[[socket.socket], None], channel: socket.socket) -> None:
    with contextlib.suppress(OSError):
        with channel:
            serve(channel)


def reset(channel: socket.socket) -> None:
    """Close a channel so that its peer gets a reset."""
    with contextlib.suppress(OSError):
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        # Wakes a task that reads, which would keep the channel open.
        channel.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        os.close(channel.detach())


def entry(service: str, ip: str, port: int, born: int, **fields: Any) -> dict[str, Any]:
    """Return what a replica says of itself in the store."""
    return {
        "service": service,
        "address": f"{ip}:{port}",
        "zone": "lake-a",
        "version": 1,
        "slots": 64,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 1,
        "born": born,
        **fields,
    }


def run_case(folder: Path, case: Callable[[Path, Record], bool]) -> None:
    """Run a case in a temporary folder and exit as the issue asks.

    ``case`` returns whether the rule held.
    """
    record = Record(folder)
    signal.signal(signal.SIGTERM, _stop)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    code = NOT_RUN
    try:
        code = HELD if case(temporary, record) else BROKEN
    except (NotReadyError, OSError) as error:
        record("not_run", error=repr(error))
    finally:
        if os.environ.get("KEEP"):
            print(f"kept {temporary}", file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
    record("result", verdict=verdict)
    print(f"{folder.name}: {verdict}")
    sys.stdout.flush()
    os._exit(code)


def _stop(*_: Any) -> None:
    raise NotReadyError("the case was stopped")


@contextlib.contextmanager
def ended(daemons: Iterable[Daemon]) -> Any:
    """End the processes of the daemons after the context."""
    items = list(daemons)
    try:
        yield items
    finally:
        for item in items:
            item.end()


def is_readable(channel: socket.socket, wait_s: float) -> bool:
    """Return whether a channel has something to read within ``wait_s``."""
    return bool(select.select([channel], [], [], wait_s)[0])
