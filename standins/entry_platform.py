"""Stand-in for the users' platform: its store, and engines behind it.

One process plays the store, one engine and one plain service on one address, told
apart by path, so that a test of the entry daemon needs one stand-in only.
Faults at ``POST /control``: ``silent_store`` (503 to each call), ``cut_after``
(events after which a stream breaks) and ``decline`` (requests that are not run).
"""

import itertools
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import typer

from standins.web import Answered, Asked, DropConnectionError, answer, run

WATCH_LIMIT_S = 30.0
EVENT_PAUSE_S = 0.01
KEPT_CHANGES = 1000


@dataclass(slots=True)
class Store:
    """Objects by kind and name, with one revision over all of them."""

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    changed: threading.Condition = field(default_factory=threading.Condition)

    def write(self, kind: str, name: str, spec: Any, expected: int | None) -> Answered:
        """Create or replace an object if its revision is the expected one."""
        with self.changed:
            present = self.objects.get((kind, name))
            revision = present["metadata"]["revision"] if present else 0
            if expected is not None and expected != revision:
                return answer(present, 409)
            self.revision += 1
            item = {
                "metadata": {"name": name, "revision": self.revision},
                "spec": spec,
                "status": None,
            }
            self.objects[kind, name] = item
            self._note(kind, item, False)
            return answer(item, 200 if present else 201)

    def remove(self, kind: str, name: str) -> Answered:
        """Delete an object."""
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is None:
                return answer({}, 404)
            self.revision += 1
            self._note(kind, item, True)
            return answer(item)

    def read(self, kind: str, name: str) -> Answered:
        """Return an object."""
        with self.changed:
            item = self.objects.get((kind, name))
        return answer(item) if item else answer({}, 404)

    def all(self, kind: str) -> Answered:
        """Return the objects of a kind."""
        with self.changed:
            items = [item for (k, _), item in self.objects.items() if k == kind]
            return answer(
                {"items": items, "has-more": False, "store-revision": self.revision}
            )

    def watch(self, kind: str, since: int, wait_s: float) -> Answered:
        """Return the changes of a kind after a revision, once there are any."""
        until_s = time.monotonic() + min(wait_s, WATCH_LIMIT_S)
        with self.changed:
            while not (events := self._since(kind, since)):
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            return answer({"events": events, "store-revision": self.revision})

    def _since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for revision, k, item, removed in self.changes
            if k == kind and revision > since
        ]

    def _note(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.changes.append((self.revision, kind, item, removed))
        del self.changes[:-KEPT_CHANGES]
        self.changed.notify_all()


@dataclass(slots=True)
class Platform:
    """The store, and what the endpoints were asked to run."""

    store: Store = field(default_factory=Store)
    faults: dict[str, int] = field(default_factory=dict)
    runs: list[dict[str, str]] = field(default_factory=list)
    held: dict[str, list[str]] = field(default_factory=dict)
    orders: int = 0

    def handle(self, asked: Asked) -> Answered:
        """Answer one request."""
        match asked.path.split("/")[1:]:
            case ["objects", kind]:
                return self._kind(asked, kind)
            case ["objects", kind, name]:
                return self._object(asked, kind, name)
            case ["control"]:
                self.faults.update(asked.json())
                return answer({})
            case ["runs"]:
                return answer(self.runs)
            case ["order"]:
                return self._order(asked.json())
            case ["report"]:
                return answer(self._report())
            case _:
                return self._run(asked)

    def _kind(self, asked: Asked, kind: str) -> Answered:
        if self.faults.get("silent_store"):
            return answer({}, 503)
        if asked.method == "POST":
            body = asked.json()
            name = body["metadata"]["name"]
            return self.store.write(kind, name, body["spec"], 0)
        if "watch" in asked.query:
            since, wait_ms = asked.query["watch"], asked.query.get("wait-ms", "0")
            return self.store.watch(kind, int(since), int(wait_ms) / 1000)
        return self.store.all(kind)

    def _object(self, asked: Asked, kind: str, name: str) -> Answered:
        if self.faults.get("silent_store"):
            return answer({}, 503)
        match asked.method:
            case "PUT":
                body = asked.json()
                expected = body["metadata"].get("revision")
                return self.store.write(kind, name, body["spec"], expected)
            case "DELETE":
                return self.store.remove(kind, name)
            case _:
                return self.store.read(kind, name)

    def _order(self, order: dict[str, Any]) -> Answered:
        if order["expected"] != self.orders:
            return answer({}, 409)
        self.orders += 1
        model, adapter = order["model"], order.get("adapter")
        if order["opcode"] == "unload":
            self.held.pop(model, None)
        elif adapter:
            self.held.setdefault(model, []).append(adapter)
        else:
            self.held.setdefault(model, [])
        return answer({}, 202)

    def _report(self) -> dict[str, Any]:
        models = [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.held.items()
        ]
        return {"models": models, "busy": False, "seq": self.orders, "coming": []}

    def _run(self, asked: Asked) -> Answered:
        """Run a request of a client, as an engine or a plain service."""
        id = asked.headers.get("Attempt-Id", "")
        model, _, adapter = asked.headers.get("Model", "").partition("/")
        echoed = {"Attempt-Id": id}
        if self.faults.get("decline"):
            self.faults["decline"] -= 1
            return Answered(503, [b""], {**echoed, "Not-Executed": "1"})
        lacks = model and model not in self.held
        if lacks or (adapter and adapter not in self.held[model]):
            return Answered(421, [b""], echoed)
        self.runs.append({"id": id, "path": asked.path, "body": asked.body.decode()})
        headers = {**echoed, "Server-Seal": "s.1"}
        if not model:
            return Answered(200, [b"done"], headers)
        first = int(asked.headers.get("Last-Event-Id", 0)) + 1
        return Answered(200, self._events(first), headers)

    def _events(self, first: int) -> Iterable[bytes]:
        for count, number in enumerate(itertools.count(first)):
            if number > self.faults.get("events", 10):
                return
            if self.faults.get("cut_after", 0) and count == self.faults["cut_after"]:
                self.faults["cut_after"] = 0
                yield f"id: {number}\nda".encode()
                raise DropConnectionError
            yield f"id: {number}\ndata: {number} {time.monotonic():.6f}\n\n".encode()
            time.sleep(EVENT_PAUSE_S)


def main(
    host: Annotated[str, typer.Option()], port: Annotated[int, typer.Option()]
) -> None:
    """Serve until the process ends."""
    run(Platform().handle, host, port)


if __name__ == "__main__":
    typer.run(main)
