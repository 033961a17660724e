"""Stand-in for the platform's object API.

It has versions, conditional updates, watches by long polling, and counts of calls.
Faults: ``outage`` (every call answers 503), ``lose_answers`` (that many writes take
effect and answer 503, only below ``lose_prefix`` if it is set), ``delay_ms`` (delay of
every call), ``stall_prefix`` (writes below it take effect, but are answered only after
it is cleared) and ``hold_prefix`` (the same for reads, writes and conflicts, which
``held`` counts, but not for listings and watches).
"""

import threading
import time
from dataclasses import dataclass, field

import typer

from standins.web import Request, Response, json_response, run

MAX_VALUE_BYTES = 1 << 20
MAX_CHANGES = 10_000


@dataclass(slots=True)
class Faults:
    """Faults that ``POST /control`` sets."""

    outage: bool = False
    lose_answers: int = 0
    lose_prefix: str = ""
    delay_ms: float = 0.0
    hold_prefix: str = ""
    stall_prefix: str = ""


@dataclass(slots=True)
class Item:
    """One version of an object; ``value`` is None if it was deleted."""

    key: str
    version: int
    value: bytes | None


@dataclass(slots=True)
class Counts:
    """Calls since the start; a watch counts once, however long it waits."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0
    held: int = 0


@dataclass(slots=True)
class Store:
    """Objects by key, and the change log that watches read."""

    item_by_key: dict[str, Item] = field(default_factory=dict)
    changes: list[Item] = field(default_factory=list)
    first_retained: int = 1
    revision: int = 0
    faults: Faults = field(default_factory=Faults)
    counts: Counts = field(default_factory=Counts)
    changed: threading.Condition = field(default_factory=threading.Condition)

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/control":
            return self._control(request)
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            return json_response({"error": "outage"}, 503)
        match (request.method, request.path):
            case ("GET", "/watch"):
                return self._watch(request)
            case ("GET", "/objects"):
                return self._list(request.query.get("prefix", ""))
            case ("GET", path):
                key = path.removeprefix("/objects/")
                return self._respond_after_hold(key, self._get(key))
            case ("PUT" | "DELETE", path):
                key = path.removeprefix("/objects/")
                return self._respond_after_hold(key, self._write(key, request))
        return json_response({"error": "not found"}, 404)

    def _control(self, request: Request) -> Response:
        with self.changed:
            if request.method == "POST":
                for name, value in request.json().items():
                    setattr(self.faults, name, value)
                self.changed.notify_all()
            return json_response({"faults": self.faults, "counts": self.counts})

    def _respond_after_hold(self, key: str, response: Response) -> Response:
        with self.changed:
            if self._is_held(key):
                self.counts.held += 1
                self.changed.wait_for(lambda: not self._is_held(key))
        return response

    def _is_held(self, key: str) -> bool:
        prefix = self.faults.hold_prefix
        return bool(prefix) and key.startswith(prefix)

    def _get(self, key: str) -> Response:
        with self.changed:
            self.counts.reads += 1
            item = self.item_by_key.get(key)
        if item is None or item.value is None:
            return json_response({"error": "not found"}, 404)
        return Response(200, [item.value], {"X-Object-Version": str(item.version)})

    def _list(self, prefix: str) -> Response:
        with self.changed:
            self.counts.reads += 1
            items = [
                item
                for key, item in sorted(self.item_by_key.items())
                if key.startswith(prefix) and item.value is not None
            ]
            return json_response({"revision": self.revision, "items": items})

    def _write(self, key: str, request: Request) -> Response:
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response({"error": "too large"}, 413)
        with self.changed:
            self.counts.writes += 1
            existing = self.item_by_key.get(key)
            current = existing.version if existing and existing.value is not None else 0
            expected = request.headers.get("X-Expected-Version")
            if expected is not None and int(expected) != current:
                self.counts.conflicts += 1
                return json_response({"error": "conflict", "version": current}, 412)
            self.revision += 1
            value = request.body if request.method == "PUT" else None
            item = Item(key, self.revision, value)
            self.item_by_key[key] = item
            self._record(item)
            if self.faults.lose_answers and key.startswith(self.faults.lose_prefix):
                self.faults.lose_answers -= 1
                return json_response({"error": "answer lost"}, 503)
            self.changed.wait_for(lambda: not self._is_stalled(key))
        return Response(200, [b"{}"], {"X-Object-Version": str(item.version)})

    def _is_stalled(self, key: str) -> bool:
        stalled = self.faults.stall_prefix
        return bool(stalled) and key.startswith(stalled)

    def _record(self, item: Item) -> None:
        self.changes.append(item)
        if len(self.changes) > MAX_CHANGES:
            del self.changes[: MAX_CHANGES // 2]
            self.first_retained = self.changes[0].version
        self.changed.notify_all()

    def _watch(self, request: Request) -> Response:
        since = int(request.query["since"])
        prefix = request.query.get("prefix", "")
        deadline_s = time.monotonic() + float(request.query["wait_s"])
        with self.changed:
            self.counts.watches += 1
            while True:
                if self.faults.outage:
                    return json_response({"error": "outage"}, 503)
                if since > self.revision or since + 1 < self.first_retained:
                    return json_response(
                        {"error": "revision is no longer retained"}, 410
                    )
                start = since + 1 - self.first_retained
                found = [
                    item for item in self.changes[start:] if item.key.startswith(prefix)
                ]
                remaining_s = deadline_s - time.monotonic()
                if found or remaining_s <= 0:
                    return json_response({"revision": self.revision, "items": found})
                self.changed.wait(remaining_s)


def main(host: str = "127.0.0.1", port: int = 7000) -> None:
    """Run the object API."""
    run(Store().handle, host, port)


if __name__ == "__main__":
    typer.run(main)
