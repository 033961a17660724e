"""Stand-in of the platform's store: objects by kind and name, with watches.

Usage: store.py HOST PORT
"""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

MAX_ITEMS = 500


class Objects:
    """All objects, one revision counter, and the history for watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 100
        self.by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []

    def record(self, kind: str, item: dict, removed: bool) -> None:
        """Add an event and wake the watches; the lock is held."""
        self.events.append((self.revision, kind, item, removed))
        self.changed.notify_all()


OBJECTS = Objects()


class Handler(BaseHTTPRequestHandler):
    """Answers the calls of the page "The platform's metadata store"."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""

    def _send(self, status: int, document: dict) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _read(self) -> dict:
        size = int(self.headers.get("Content-Length", 0))
        return json.loads(self.rfile.read(size) or b"{}")

    def _target(self) -> tuple[str, str, dict[str, str]]:
        parts = urlsplit(self.path)
        names = [unquote(item) for item in parts.path.strip("/").split("/")]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        return names[1], names[2] if len(names) > 2 else "", query

    def do_GET(self) -> None:
        """List, read or watch."""
        kind, name, query = self._target()
        with OBJECTS.changed:
            if name:
                item = OBJECTS.by_kind.get(kind, {}).get(name)
                status = 200 if item else 404
                answer = item or {"store-revision": OBJECTS.revision}
            elif "watch" in query:
                status, answer = 200, self._watch(kind, query)
            else:
                items = sorted(OBJECTS.by_kind.get(kind, {}).items())
                items = [item for item in items if item[0] > query.get("after", "")]
                answer = {
                    "items": [item for _, item in items[:MAX_ITEMS]],
                    "has-more": len(items) > MAX_ITEMS,
                    "store-revision": OBJECTS.revision,
                }
                status = 200
        self._send(status, answer)

    def _watch(self, kind: str, query: dict[str, str]) -> dict:
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [
                {"object": item, "removed": removed}
                for revision, of, item, removed in OBJECTS.events
                if of == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "store-revision": OBJECTS.revision}
            OBJECTS.changed.wait(left_s)

    def do_POST(self) -> None:
        """Create an object."""
        kind, _, _ = self._target()
        document = self._read()
        name = document["metadata"]["name"]
        with OBJECTS.changed:
            found = OBJECTS.by_kind.setdefault(kind, {}).get(name)
            if found is None:
                OBJECTS.revision += 1
                found = self._new(name, document, OBJECTS.revision)
                OBJECTS.by_kind[kind][name] = found
                OBJECTS.record(kind, found, False)
                status = 201
            else:
                status = 409
        self._send(status, found)

    def do_PUT(self) -> None:
        """Replace an object, or create one that nobody has."""
        kind, name, _ = self._target()
        document = self._read()
        expected = document.get("metadata", {}).get("revision")
        with OBJECTS.changed:
            found = OBJECTS.by_kind.setdefault(kind, {}).get(name)
            current = found["metadata"]["revision"] if found else None
            if expected is not None and expected != current:
                status, answer = 409, found or {}
            elif found is not None and found["spec"] == document.get("spec"):
                status, answer = 200, found
            else:
                OBJECTS.revision += 1
                answer = self._new(name, document, OBJECTS.revision)
                if found is not None:
                    answer["metadata"]["created"] = found["metadata"]["created"]
                OBJECTS.by_kind[kind][name] = answer
                OBJECTS.record(kind, answer, False)
                status = 200
        self._send(status, answer)

    def do_DELETE(self) -> None:
        """Remove an object."""
        kind, name, query = self._target()
        with OBJECTS.changed:
            found = OBJECTS.by_kind.get(kind, {}).get(name)
            if found is None:
                status, answer = 404, {}
            elif query.get("revision", str(found["metadata"]["revision"])) != str(
                found["metadata"]["revision"]
            ):
                status, answer = 409, found
            else:
                OBJECTS.revision += 1
                del OBJECTS.by_kind[kind][name]
                gone = {
                    **found,
                    "metadata": {**found["metadata"], "revision": OBJECTS.revision},
                }
                OBJECTS.record(kind, gone, True)
                status, answer = 200, gone
        self._send(status, answer)

    @staticmethod
    def _new(name: str, document: dict, revision: int) -> dict:
        return {
            "metadata": {
                "name": name,
                "revision": revision,
                "created": revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": document.get("spec"),
            "status": None,
        }


class Server(ThreadingHTTPServer):
    """Takes many connections at once."""

    request_queue_size = 1024
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Write nothing: callers may leave at any time."""


if __name__ == "__main__":
    Server((sys.argv[1], int(sys.argv[2])), Handler).serve_forever()
