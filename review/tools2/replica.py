"""Stand-in of a plain service's replica.

Usage: replica.py HOST PORT STORE_HOST:PORT SERVICE ID RECORD

It writes its entry each 1.2 s and appends a line to RECORD for each request that it
begins to run. A request whose path ends with ``/crash`` ends the process. SIGUSR1 has
it report ``draining``. WORK_S and SLOTS in the environment set the time that a
request takes and the number of slots.
"""

import json
import os
import signal
import sys
import threading
import time
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BEAT_S = 1.2
EVENT_S = float(os.environ.get("EVENT_S", "0.04"))
EVENTS = 86
MODEL = os.environ.get("MODEL", "")
MODELS = [{"name": MODEL, "version": 1, "adapters": []}] if MODEL else []
HANG_PERCENT = int(os.environ.get("HANG_PERCENT", "0"))
HANG_FROM = float(os.environ.get("HANG_FROM", "inf"))
HANG_UNTIL = float(os.environ.get("HANG_UNTIL", "inf"))
WORK_S = float(os.environ.get("WORK_S", "0.03"))
BORN = time.time_ns() // 1_000_000
HOST, PORT, STORE, SERVICE, ID, RECORD = sys.argv[1:7]
STATE = {"state": "ready", "seq": 0}
STREAMS = {"count": 0}
SLOTS = threading.BoundedSemaphore(int(os.environ.get("SLOTS", "6")))
LOCK = threading.Lock()
RECORD_FILE = open(RECORD, "a", buffering=1)  # noqa: SIM115


def record(event: str, **fields: object) -> None:
    """Append a line to the record."""
    line = {"at": time.time(), "event": event, "replica": ID, **fields}
    with LOCK:
        RECORD_FILE.write(json.dumps(line) + "\n")


def write_entry() -> None:
    """Write this replica's entry to the store."""
    STATE["seq"] += 1
    entry = {
        "service": SERVICE,
        "address": f"{HOST}:{PORT}",
        "zone": "zone-a",
        "version": 1,
        "slots": int(os.environ.get("SLOTS", "6")),
        "state": STATE["state"],
        "cold-left-ms": 0,
        "seq": STATE["seq"],
        "born": BORN,
        "models": MODELS,
    }
    connection = HTTPConnection(STORE, timeout=2)
    body = json.dumps({"metadata": {"name": ID}, "spec": entry})
    connection.request("PUT", f"/objects/servers/{ID}", body)
    connection.getresponse().read()
    connection.close()


def beat() -> None:
    """Keep the entry up to date."""
    while True:
        try:
            write_entry()
        except OSError:
            pass
        time.sleep(BEAT_S)


def drain(*_: object) -> None:
    """Report that this replica leaves, and record when the store has accepted it."""
    STATE["state"] = "draining"
    threading.Thread(target=_drain_now, daemon=True).start()


def _drain_now() -> None:
    write_entry()
    record("draining_confirmed")


class Handler(BaseHTTPRequestHandler):
    """Runs requests."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""

    def _answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self, request: str) -> None:
        """Send a stream of events; some stop in it while the replica is in trouble."""
        is_troubled = HANG_FROM <= time.time() < HANG_UNTIL
        with LOCK:
            STREAMS["count"] += 1
            hangs = is_troubled and STREAMS["count"] * HANG_PERCENT % 100 < HANG_PERCENT
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Attempt-Id", request)
        self.send_header("Server-Seal", "1.2.3")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            if hangs and number == 2:
                record("hang", request=request)
                time.sleep(60)
                return
            time.sleep(EVENT_S)
        self.wfile.write(b"0\r\n\r\n")

    def _report(self) -> None:
        report = {
            "stage": "colocated",
            "models": MODELS,
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 100000,
            "handles": 0,
        }
        headers = {"Content-Type": "application/json"}
        self._answer(200, headers, json.dumps(report).encode())

    def _serve(self) -> None:
        size = int(self.headers.get("Content-Length", 0))
        self.rfile.read(size)
        request = self.headers.get("Attempt-Id", "")
        if self.path == "/health":
            status = 200 if STATE["state"] == "ready" else 503
            self._answer(status, {"Instance-Id": ID}, b"")
            return
        expected = self.headers.get("Expect-Instance")
        if expected is not None and expected != ID:
            headers = {"Attempt-Id": request, "Instance-Id": ID}
            self._answer(421, headers, b"")
            return
        if self.path == "/report":
            self._report()
            return
        record("run", request=request, path=self.path, service=SERVICE)
        if self.path.endswith("/crash"):
            record("crash", request=request)
            RECORD_FILE.flush()
            os._exit(9)
        if MODEL:
            with SLOTS:
                self._stream(request)
            return
        time.sleep(WORK_S)
        headers = {"Attempt-Id": request, "Server-Seal": "1.2.3"}
        if STATE["state"] == "draining":
            headers["Server-Leaving"] = "1"
        self._answer(200, headers, json.dumps({"by": ID, "for": request}).encode())

    def do_GET(self) -> None:
        """Run a request."""
        self._serve()

    def do_POST(self) -> None:
        """Run a request."""
        self._serve()


class Server(ThreadingHTTPServer):
    """Takes many connections at once."""

    request_queue_size = 1024
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Write nothing: callers may leave at any time."""


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, drain)
    server = Server((HOST, int(PORT)), Handler)
    threading.Thread(target=beat, daemon=True).start()
    server.serve_forever()
