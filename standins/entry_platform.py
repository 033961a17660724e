"""Stand-in for the users' platform: its store and the endpoints behind it.

One process serves the store, one engine and one plain service at the same address,
distinguished by path, so that a test of the entry daemon needs only one stand-in.
Faults at ``POST /control``: ``silent_store`` (each store call answers 503),
``mute_store`` (store calls and waiting watches are never answered, also later; their
kinds at ``GET /muted``),
``cut_after`` (number of events after which a stream breaks), ``decline`` (number of
requests that are declined without running), ``hold`` (number of requests that run
and are never answered), ``leaving`` (all answers of endpoints say
that they leave) and ``rest_ms`` (requests are turned away and asked to stay away for so
long; their number at ``GET /turned-away``).
"""

import itertools
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import typer

from standins.web import DropConnectionError, Request, Response, json_response, run

WATCH_LIMIT_S = 30.0
EVENT_INTERVAL_S = 0.01
MAX_CHANGES = 1000
OPERATOR = {"Operator": "1"}
"""Headers of calls that the store answers whatever its faults."""


@dataclass(slots=True)
class Store:
    """Objects by kind and name; one revision counter covers all of them."""

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    changed: threading.Condition = field(default_factory=threading.Condition)
    is_mute: bool = False

    def mute(self, is_mute: bool) -> None:
        """Answer no call and no waiting watch from now on, or answer later ones."""
        with self.changed:
            self.is_mute = is_mute
            self.changed.notify_all()

    def write(self, kind: str, name: str, spec: Any, expected: int | None) -> Response:
        """Create or replace an object if its revision is ``expected``."""
        with self.changed:
            existing = self.objects.get((kind, name))
            revision = existing["metadata"]["revision"] if existing else 0
            if expected is not None and expected != revision:
                return json_response(existing, 409)
            self.revision += 1
            item = {
                "metadata": {"name": name, "revision": self.revision},
                "spec": spec,
                "status": None,
            }
            self.objects[kind, name] = item
            self._record(kind, item, False)
            return json_response(item, 200 if existing else 201)

    def remove(self, kind: str, name: str) -> Response:
        """Delete an object."""
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is None:
                return json_response({}, 404)
            self.revision += 1
            self._record(kind, item, True)
            return json_response(item)

    def read(self, kind: str, name: str) -> Response:
        """Return an object."""
        with self.changed:
            item = self.objects.get((kind, name))
        return json_response(item) if item else json_response({}, 404)

    def all(self, kind: str) -> Response:
        """Return the objects of a kind."""
        with self.changed:
            items = [item for (k, _), item in self.objects.items() if k == kind]
            return json_response(
                {"items": items, "has-more": False, "store-revision": self.revision}
            )

    def watch(self, kind: str, since: int, wait_s: float) -> Response:
        """Wait for changes of a kind after a revision and return them."""
        deadline_s = time.monotonic() + min(wait_s, WATCH_LIMIT_S)
        with self.changed:
            while not (events := self._changes_since(kind, since)):
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or self.is_mute:
                    break
                self.changed.wait(remaining_s)
            return json_response({"events": events, "store-revision": self.revision})

    def _changes_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for revision, k, item, removed in self.changes
            if k == kind and revision > since
        ]

    def _record(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.changes.append((self.revision, kind, item, removed))
        del self.changes[:-MAX_CHANGES]
        self.changed.notify_all()


@dataclass(slots=True)
class Platform:
    """The store, the loaded models and the requests that endpoints ran."""

    store: Store = field(default_factory=Store)
    faults: dict[str, int] = field(default_factory=dict)
    runs: list[dict[str, str]] = field(default_factory=list)
    adapters_by_model: dict[str, list[str]] = field(default_factory=dict)
    order_count: int = 0
    muted_kinds: list[str] = field(default_factory=list)
    turned_away: int = 0

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        match request.path.split("/")[1:]:
            case ["objects", kind]:
                return self._kind(request, kind)
            case ["objects", kind, name]:
                return self._object(request, kind, name)
            case ["control"]:
                self.faults.update(request.json())
                self.store.mute(bool(self.faults.get("mute_store")))
                return json_response({})
            case ["turned-away"]:
                return json_response(self.turned_away)
            case ["muted"]:
                return json_response(self.muted_kinds)
            case ["runs"]:
                return json_response(self.runs)
            case ["order"]:
                return self._order(request.json())
            case ["report"]:
                return json_response(self._report())
            case _:
                return self._run(request)

    def _hold_if_mute(self, kind: str) -> None:
        """Block this call for ever if the store is mute."""
        if self.store.is_mute:
            self.muted_kinds.append(kind)
            threading.Event().wait()

    def _kind(self, request: Request, kind: str) -> Response:
        if not _is_operator(request):
            self._hold_if_mute(kind)
            if self.faults.get("silent_store"):
                return json_response({}, 503)
        if request.method == "POST":
            body = request.json()
            name = body["metadata"]["name"]
            return self.store.write(kind, name, body["spec"], 0)
        if "watch" in request.query:
            since, wait_ms = request.query["watch"], request.query.get("wait-ms", "0")
            response = self.store.watch(kind, int(since), int(wait_ms) / 1000)
            self._hold_if_mute(kind)
            return response
        return self.store.all(kind)

    def _object(self, request: Request, kind: str, name: str) -> Response:
        if not _is_operator(request):
            self._hold_if_mute(kind)
            if self.faults.get("silent_store"):
                return json_response({}, 503)
        match request.method:
            case "PUT":
                body = request.json()
                expected = body["metadata"].get("revision")
                return self.store.write(kind, name, body["spec"], expected)
            case "DELETE":
                return self.store.remove(kind, name)
            case _:
                return self.store.read(kind, name)

    def _order(self, order: dict[str, Any]) -> Response:
        if order["expected"] != self.order_count:
            return json_response({}, 409)
        self.order_count += 1
        model, adapter = order["model"], order.get("adapter")
        if order["opcode"] == "unload":
            self.adapters_by_model.pop(model, None)
        elif adapter:
            self.adapters_by_model.setdefault(model, []).append(adapter)
        else:
            self.adapters_by_model.setdefault(model, [])
        return json_response({}, 202)

    def _report(self) -> dict[str, Any]:
        models = [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.adapters_by_model.items()
        ]
        return {"models": models, "busy": False, "seq": self.order_count, "coming": []}

    def _run(self, request: Request) -> Response:
        """Run a client request as an engine or a plain service."""
        id = request.headers.get("Attempt-Id", "")
        model, _, adapter = request.headers.get("Model", "").partition("/")
        echoed = {"Attempt-Id": id}
        if self.faults.get("leaving"):
            echoed["Server-Leaving"] = "1"
        if self.faults.get("rest_ms"):
            self.turned_away += 1
            wait = str(self.faults["rest_ms"] / 1000)
            refused = {**echoed, "Not-Executed": "1", "Retry-After": wait}
            return Response(503, [b""], refused)
        if self.faults.get("decline"):
            self.faults["decline"] -= 1
            return Response(503, [b""], {**echoed, "Not-Executed": "1"})
        is_missing = model and model not in self.adapters_by_model
        if is_missing or (adapter and adapter not in self.adapters_by_model[model]):
            return Response(421, [b""], echoed)
        self.runs.append(
            {"id": id, "path": request.path, "body": request.body.decode()}
        )
        if self.faults.get("hold"):
            self.faults["hold"] -= 1
            threading.Event().wait()
        headers = {**echoed, "Server-Seal": "s.1"}
        if not model:
            return Response(200, [b"done"], headers)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        return Response(200, self._events(first), headers)

    def _events(self, first: int) -> Iterable[bytes]:
        for count, number in enumerate(itertools.count(first)):
            if number > self.faults.get("events", 10):
                return
            if self.faults.get("cut_after", 0) and count == self.faults["cut_after"]:
                self.faults["cut_after"] = 0
                yield f"id: {number}\nda".encode()
                raise DropConnectionError
            yield f"id: {number}\ndata: {number} {time.monotonic():.6f}\n\n".encode()
            time.sleep(EVENT_INTERVAL_S)


def _is_operator(request: Request) -> bool:
    """Return whether a call is one that no fault of the store concerns."""
    return all(request.headers.get(name) == text for name, text in OPERATOR.items())


def main(
    host: Annotated[str, typer.Option()], port: Annotated[int, typer.Option()]
) -> None:
    """Serve until the process ends."""
    run(Platform().handle, host, port)


if __name__ == "__main__":
    typer.run(main)
