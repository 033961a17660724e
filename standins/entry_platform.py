"""Stand-in for the users' platform: its store and the endpoints behind it.

One process serves the store, one engine and one plain service at the same address,
distinguished by path, so that a test of the entry daemon needs only one stand-in.
Faults at ``POST /control``: ``silent_store`` (each store call answers 503),
``mute_store`` (store calls and waiting watches are never answered, also later; their
kinds at ``GET /muted``),
``cut_after`` (number of events after which a stream breaks), ``hang_after`` (number of
events after which each stream stays silent), ``decline`` (number of requests that are
declined without running), ``hold`` (number of requests that run and are never
answered), ``leaving`` (all answers of endpoints say that they leave) and ``rest_ms``
(requests are turned away and asked to stay away for so long; their number at
``GET /turned-away``). With ``restore_s`` the store goes away for ``away_s`` and comes
back as it was ``restore_s`` before; the call is answered after the operator and the
replicas have written again what they had written since.
"""

import itertools
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

import typer

from standins.web import (
    DropConnectionError,
    Request,
    Response,
    drop_connection,
    json_response,
    run,
)

WATCH_LIMIT_S = 30.0
EVENT_INTERVAL_S = 0.01
MAX_CHANGES = 10_000
REWRITE_DELAY_S = 0.5
"""Time after a restore until what others than nodes wrote is written again."""
ERA_HEADER = "Store-Era"
OPERATOR = {"Operator": "1"}
"""Headers of calls that the store answers whatever its faults."""
CREDENTIALS = ("Tenant", "Authorization")
"""Headers of requests that are kept by request id; see them at ``GET /named``."""
REWRITTEN_KINDS = ("config", "servers")
"""Kinds that only the operator and the replicas write."""


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an object; ``previous`` is None if there was none before."""

    revision: int
    at_s: float
    kind: str
    item: dict[str, Any]
    previous: dict[str, Any] | None
    is_removal: bool
    is_rewritten: bool

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name of the object."""
        return self.kind, self.item["metadata"]["name"]


@dataclass(slots=True)
class Store:
    """Objects by kind and name; one revision counter covers all of them.

    ``lost`` are the last changes that a restore has undone and that somebody makes
    again.
    """

    revision: int = 1
    era: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    lost: dict[tuple[str, str], Change] = field(default_factory=dict)
    changed: threading.Condition = field(default_factory=threading.Condition)
    is_mute: bool = False
    silences: int = 0
    is_away: bool = False

    def mute(self, is_mute: bool) -> None:
        """Answer no call and no waiting watch from now on, or answer later ones."""
        with self.changed:
            if is_mute and not self.is_mute:
                self.silences += 1
            self.is_mute = is_mute
            self.changed.notify_all()

    def go_away(self) -> None:
        """Cut off the waiting watches; calls are answered again after `restore`."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def restore(self, to_s: float) -> None:
        """Return to the state at a monotonic time, in a new era.

        A watch that waits is cut off, as its revision may be given out again.
        """
        with self.changed:
            while self.changes and self.changes[-1].at_s > to_s:
                change = self.changes.pop()
                if change.previous is None:
                    del self.objects[change.key]
                else:
                    self.objects[change.key] = change.previous
                self.revision = change.revision - 1
                if change.is_rewritten:
                    self.lost.setdefault(change.key, change)
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def write_again(self) -> None:
        """Make the lost changes again that have not been superseded since."""
        with self.changed:
            for change in sorted(self.lost.values(), key=lambda item: item.revision):
                if change.is_removal:
                    self.remove(*change.key, is_operator=True)
                else:
                    self.write(*change.key, change.item["spec"], None, is_operator=True)
            self.lost.clear()

    def write(
        self,
        kind: str,
        name: str,
        spec: Any,
        expected: int | None,
        is_operator: bool = False,
    ) -> Response:
        """Create or replace an object if its revision is ``expected``.

        A write that changes nothing has no revision of its own.
        """
        with self.changed:
            existing = self.objects.get((kind, name))
            revision = existing["metadata"]["revision"] if existing else 0
            if expected is not None and expected != revision:
                return self.answer(existing, 409)
            if existing and existing["spec"] == spec:
                return self.answer(existing, 200)
            self.revision += 1
            item = {
                "metadata": {"name": name, "revision": self.revision},
                "spec": spec,
                "status": None,
            }
            self.objects[kind, name] = item
            self._record(kind, item, existing, False, is_operator)
            return self.answer(item, 200 if existing else 201)

    def remove(
        self,
        kind: str,
        name: str,
        expected: int | None = None,
        is_operator: bool = False,
    ) -> Response:
        """Delete an object if its revision is ``expected``."""
        with self.changed:
            item = self.objects.get((kind, name))
            if item is None:
                return self.answer({}, 404)
            if expected not in (None, item["metadata"]["revision"]):
                return self.answer(item, 409)
            del self.objects[kind, name]
            self.revision += 1
            self._record(kind, item, item, True, is_operator)
            return self.answer(item)

    def read(self, kind: str, name: str) -> Response:
        """Return an object."""
        with self.changed:
            item = self.objects.get((kind, name))
            return self.answer(item) if item else self.answer({}, 404)

    def all(self, kind: str) -> Response:
        """Return the objects of a kind."""
        with self.changed:
            items = [item for (k, _), item in self.objects.items() if k == kind]
            return self.answer(
                {"items": items, "has-more": False, "store-revision": self.revision}
            )

    def watch(self, kind: str, since: int, wait_s: float) -> Response:
        """Wait for changes of a kind after a revision and return them."""
        deadline_s = time.monotonic() + min(wait_s, WATCH_LIMIT_S)
        with self.changed:
            era, silences = self.era, self.silences
            if since > self.revision:
                return self.answer({}, 410)
            while not (events := self._changes_since(kind, since)):
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or self.is_mute or self.silences != silences:
                    break
                self.changed.wait(remaining_s)
                if self.is_away or self.era != era:
                    return self._told(drop_connection())
            return self.answer({"events": events, "store-revision": self.revision})

    def answer(self, value: Any, status: int = 200) -> Response:
        """Return an answer of the store in its present era."""
        return self._told(json_response(value, status))

    def _told(self, response: Response) -> Response:
        headers = {**response.headers, ERA_HEADER: str(self.era)}
        return replace(response, headers=headers)

    def _changes_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": change.item, "removed": change.is_removal}
            for change in self.changes
            if change.kind == kind and change.revision > since
        ]

    def _record(
        self,
        kind: str,
        item: dict[str, Any],
        previous: dict[str, Any] | None,
        is_removal: bool,
        is_operator: bool,
    ) -> None:
        change = Change(
            self.revision,
            time.monotonic(),
            kind,
            item,
            previous,
            is_removal,
            is_rewritten=is_operator or kind in REWRITTEN_KINDS,
        )
        if change.is_rewritten:
            self.lost.pop(change.key, None)
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
        self.changed.notify_all()


@dataclass(slots=True)
class Platform:
    """The store, the loaded models and the requests that endpoints ran."""

    store: Store = field(default_factory=Store)
    faults: dict[str, int] = field(default_factory=dict)
    runs: list[dict[str, str]] = field(default_factory=list)
    named: dict[str, list[str | None]] = field(default_factory=dict)
    adapters_by_model: dict[str, list[str]] = field(default_factory=dict)
    order_count: int = 0
    muted_kinds: list[str] = field(default_factory=list)
    turned_away: int = 0
    restoring: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        match request.path.split("/")[1:]:
            case ["objects", kind]:
                return self._kind(request, kind)
            case ["objects", kind, name]:
                return self._object(request, kind, name)
            case ["control"]:
                return self._control(request.json())
            case ["turned-away"]:
                return json_response(self.turned_away)
            case ["muted"]:
                return json_response(self.muted_kinds)
            case ["runs"]:
                return json_response(self.runs)
            case ["named"]:
                return json_response(self.named)
            case ["order"]:
                return self._order(request.json())
            case ["report"]:
                return json_response(self._report())
            case _:
                return self._run(request)

    def _control(self, faults: dict[str, Any]) -> Response:
        if "restore_s" in faults:
            self._restore(faults.pop("restore_s"), faults.pop("away_s", 0.0))
        self.faults.update(faults)
        self.store.mute(bool(self.faults.get("mute_store")))
        return json_response({})

    def _restore(self, back_s: float, away_s: float) -> None:
        with self.restoring:
            self.store.go_away()
            to_s = time.monotonic() - back_s
            time.sleep(away_s)
            self.store.restore(to_s)
            time.sleep(REWRITE_DELAY_S)
            self.store.write_again()

    def _is_down(self) -> bool:
        return bool(self.store.is_away or self.faults.get("silent_store"))

    def _hold_if_mute(self, kind: str, silences: int) -> None:
        """Block this call for ever if the store is mute or was after ``silences``."""
        if self.store.is_mute or self.store.silences != silences:
            self.muted_kinds.append(kind)
            threading.Event().wait()

    def _kind(self, request: Request, kind: str) -> Response:
        is_operator = _is_operator(request)
        silences = self.store.silences
        if not is_operator:
            self._hold_if_mute(kind, silences)
            if self._is_down():
                return self.store.answer({}, 503)
        if request.method == "POST":
            body = request.json()
            name = body["metadata"]["name"]
            return self.store.write(kind, name, body["spec"], 0, is_operator)
        if "watch" in request.query:
            since, wait_ms = request.query["watch"], request.query.get("wait-ms", "0")
            response = self.store.watch(kind, int(since), int(wait_ms) / 1000)
            self._hold_if_mute(kind, silences)
            return response
        return self.store.all(kind)

    def _object(self, request: Request, kind: str, name: str) -> Response:
        is_operator = _is_operator(request)
        silences = self.store.silences
        if not is_operator:
            self._hold_if_mute(kind, silences)
            if self._is_down():
                return self.store.answer({}, 503)
        match request.method:
            case "PUT":
                body = request.json()
                expected = body["metadata"].get("revision")
                return self.store.write(kind, name, body["spec"], expected, is_operator)
            case "DELETE":
                revision = request.query.get("revision")
                expected = None if revision is None else int(revision)
                return self.store.remove(kind, name, expected, is_operator)
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
        self.named[id] = [request.headers.get(name) for name in CREDENTIALS]
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
            if self.faults.get("hang_after", 0) and count == self.faults["hang_after"]:
                threading.Event().wait()
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
