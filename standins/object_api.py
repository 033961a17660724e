"""Stand-in for the platform's object API.

It has versions, conditional updates, watches by long polling, and counts of calls.
Faults: ``outage`` (every call answers 503), ``lose_answers`` (that many writes take
effect and answer 503, only below ``lose_prefix`` if it is set), ``delay_ms`` (delay of
every call), ``stall_prefix`` (writes below it take effect, but are answered only after
it is cleared) and ``hold_prefix`` (the same for reads, writes and conflicts, whose
methods and keys are in ``held``, but not for listings and watches). With ``restore_s``
every call answers 503 for ``away_s``; then the store is as it was ``restore_s`` before,
and the control call is answered.
"""

import threading
import time
from dataclasses import dataclass, field, replace
from typing import Any

import typer

from camphoryard.protocol.platform import ERA_HEADER, VERSION_HEADER
from standins.web import Request, Response, drop_connection, json_response, run

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


@dataclass(frozen=True, slots=True)
class Change:
    """A change of an object; ``previous`` is None if there was none before."""

    at_s: float
    item: Item
    previous: Item | None


@dataclass(slots=True)
class Counts:
    """Calls since the start; a watch counts once, however long it waits."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


@dataclass(slots=True)
class Store:
    """Objects by key, and the change log that watches read."""

    item_by_key: dict[str, Item] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    first_retained: int = 1
    revision: int = 0
    era: int = 1
    is_away: bool = False
    faults: Faults = field(default_factory=Faults)
    counts: Counts = field(default_factory=Counts)
    held: list[str] = field(default_factory=list)
    """Method and key of each call whose answer was withheld, in order."""
    changed: threading.Condition = field(default_factory=threading.Condition)

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/control":
            return self._control(request)
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage or self.is_away:
            return self._answer({"error": "outage"}, 503)
        match (request.method, request.path):
            case ("GET", "/watch"):
                return self._watch(request)
            case ("GET", "/objects"):
                return self._list(request.query.get("prefix", ""))
            case ("GET", path):
                key = path.removeprefix("/objects/")
                return self._respond_after_hold("GET", key, self._get(key))
            case ("PUT" | "DELETE" as method, path):
                key = path.removeprefix("/objects/")
                return self._respond_after_hold(method, key, self._write(key, request))
        return self._answer({"error": "not found"}, 404)

    def go_away(self) -> None:
        """Cut off the waiting watches; calls are answered again after `restore`."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def restore(self, to_s: float) -> None:
        """Return to the state at a monotonic time, in a new era."""
        with self.changed:
            while self.changes and self.changes[-1].at_s > to_s:
                change = self.changes.pop()
                if change.previous is None:
                    del self.item_by_key[change.item.key]
                else:
                    self.item_by_key[change.item.key] = change.previous
                self.revision = change.item.version - 1
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def _control(self, request: Request) -> Response:
        settings = request.json()
        if "restore_s" in settings:
            back_s = settings.pop("restore_s")
            self.go_away()
            to_s = time.monotonic() - back_s
            time.sleep(settings.pop("away_s", 0.0))
            self.restore(to_s)
        with self.changed:
            if request.method == "POST":
                for name, value in settings.items():
                    setattr(self.faults, name, value)
                self.changed.notify_all()
            return json_response(
                {"faults": self.faults, "counts": self.counts, "held": self.held}
            )

    def _respond_after_hold(
        self, method: str, key: str, response: Response
    ) -> Response:
        with self.changed:
            if self._is_held(key):
                self.held.append(f"{method} {key}")
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
                return self._answer({"error": "not found"}, 404)
            return self._versioned(item.value, item.version)

    def _list(self, prefix: str) -> Response:
        with self.changed:
            self.counts.reads += 1
            items = [
                item
                for key, item in sorted(self.item_by_key.items())
                if key.startswith(prefix) and item.value is not None
            ]
            return self._answer({"revision": self.revision, "items": items})

    def _write(self, key: str, request: Request) -> Response:
        if len(request.body) > MAX_VALUE_BYTES:
            return self._answer({"error": "too large"}, 413)
        with self.changed:
            self.counts.writes += 1
            existing = self.item_by_key.get(key)
            current = existing.version if existing and existing.value is not None else 0
            expected = request.headers.get("X-Expected-Version")
            if expected is not None and int(expected) != current:
                self.counts.conflicts += 1
                return self._answer({"error": "conflict", "version": current}, 412)
            self.revision += 1
            value = request.body if request.method == "PUT" else None
            item = Item(key, self.revision, value)
            self.item_by_key[key] = item
            self._record(Change(time.monotonic(), item, existing))
            if self.faults.lose_answers and key.startswith(self.faults.lose_prefix):
                self.faults.lose_answers -= 1
                return self._answer({"error": "answer lost"}, 503)
            response = self._versioned(b"{}", item.version)
            self.changed.wait_for(lambda: not self._is_stalled(key))
        return response

    def _answer(self, value: Any, status: int = 200) -> Response:
        return self._told(json_response(value, status))

    def _versioned(self, body: bytes, version: int) -> Response:
        return self._told(Response(200, [body], {VERSION_HEADER: str(version)}))

    def _told(self, response: Response) -> Response:
        headers = {**response.headers, ERA_HEADER: str(self.era)}
        return replace(response, headers=headers)

    def _is_stalled(self, key: str) -> bool:
        stalled = self.faults.stall_prefix
        return bool(stalled) and key.startswith(stalled)

    def _record(self, change: Change) -> None:
        self.changes.append(change)
        if len(self.changes) > MAX_CHANGES:
            del self.changes[: MAX_CHANGES // 2]
            self.first_retained = self.changes[0].item.version
        self.changed.notify_all()

    def _watch(self, request: Request) -> Response:
        since = int(request.query["since"])
        prefix = request.query.get("prefix", "")
        deadline_s = time.monotonic() + float(request.query["wait_s"])
        with self.changed:
            self.counts.watches += 1
            era = self.era
            while True:
                if self.is_away or self.era != era:
                    return self._told(drop_connection())
                if self.faults.outage:
                    return self._answer({"error": "outage"}, 503)
                if since > self.revision or since + 1 < self.first_retained:
                    return self._answer(
                        {"error": "revision is no longer retained"}, 410
                    )
                start = since + 1 - self.first_retained
                found = [
                    change.item
                    for change in self.changes[start:]
                    if change.item.key.startswith(prefix)
                ]
                remaining_s = deadline_s - time.monotonic()
                if found or remaining_s <= 0:
                    return self._answer({"revision": self.revision, "items": found})
                self.changed.wait(remaining_s)


def main(host: str = "127.0.0.1", port: int = 7000) -> None:
    """Run the object API."""
    run(Store().handle, host, port)


if __name__ == "__main__":
    typer.run(main)
