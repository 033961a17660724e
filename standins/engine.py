"""Stand-in for a model engine.

It counts every load that exceeds its memory in ``overcommits`` and executes the load
nevertheless, so that a run can check that no engine was overcommitted. A real device
would fail instead.

With ``hold_orders`` set, orders are stored unanswered until ``release_orders``
executes them. With ``copy_orders`` set, orders are executed and a copy of each is
stored as well.

With ``refuse_every`` set, each request of this number is refused with status 503. With
``repeat_from`` set, the last answer of a connection is sent once more before the next
if its status is at least this: 400 for refusals only.

Tokens are a function of prompt and offset, so a test can check any complete answer,
and any engine can resume it. The last event of an answer has its ``usage``, which
counts all tokens of the answer, including those before a resume.
"""

import os
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from http.client import HTTPConnection
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec
import typer

from standins.push_server import LAST_CHUNK, as_chunk, serve_pushed
from standins.web import Request, Response, drop_connection, json_response

END = as_chunk(b"data: [DONE]\n\n") + LAST_CHUNK


def token(prompt: str, offset: int) -> str:
    """Return the token at ``offset``, which is the same on every engine."""
    digest = blake2b(f"{prompt}\0{offset}".encode(), digest_size=3).hexdigest()
    return f"{digest} "


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer that a caller must receive."""
    return "".join(token(prompt, offset) for offset in range(max_tokens))


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens in a prompt, which is the same on every engine."""
    return len(prompt.split())


@dataclass(slots=True)
class ActiveRequest:
    """One request that waits for the batch or is in it."""

    request_id: str
    model: str
    prompt: str
    offset: int
    max_tokens: int
    priority: int
    arrived: int
    write: Callable[[bytes], object] | None = None
    cancelled: bool = False
    disconnected: bool = False
    delayed_event: dict[str, Any] | None = None

    @property
    def is_over(self) -> bool:
        """Whether the run has been cancelled or its last event has been sent."""
        return self.cancelled or self.offset > self.max_tokens

    def push(self, data: bytes) -> None:
        """Send bytes; set ``disconnected`` if the connection is closed."""
        if self.write is None:
            return
        try:
            self.write(data)
        except OSError:
            self.disconnected = True


@dataclass(slots=True)
class Faults:
    """Faults that ``POST /control`` sets."""

    lose_orders: int = 0
    lose_answers: int = 0
    order_delay_s: float = 0.0
    duplicate_orders: bool = False
    hold_orders: bool = False
    copy_orders: bool = False
    fail_loads: bool = False
    crash_on: str = ""
    leaving: bool = False
    break_streams: bool = False
    stall_streams: bool = False
    duplicate_frames: bool = False
    swap_frames: bool = False
    foreign_frames: bool = False
    refuse_with: int = 0
    refuse_every: int = 0
    repeat_from: int = 0


@dataclass(slots=True)
class Engine:
    """Memory accounting, batch and orders of one engine."""

    memory_mb: int
    checks_fencing: bool
    step_s: float
    slots: int
    load_s: float
    weight_store_port: int
    report_lag_s: float
    journal: Path | None = None
    resident_mb_by_item: dict[str, int] = field(default_factory=dict)
    loading_mb_by_item: dict[str, int] = field(default_factory=dict)
    unloading: set[str] = field(default_factory=set)
    fence: int = 0
    overcommits: int = 0
    loads: int = 0
    unloads: int = 0
    cancelled: int = 0
    peak_mb: int = 0
    log: list[dict[str, Any]] = field(default_factory=list)
    waiting: list[ActiveRequest] = field(default_factory=list)
    batch: list[ActiveRequest] = field(default_factory=list)
    requests: int = 0
    arrivals: int = 0
    report_s: float = 0.0
    report: tuple[int, int] = (0, 0)
    faults: Faults = field(default_factory=Faults)
    held_orders: list[dict[str, Any]] = field(default_factory=list)
    refused: int = 0
    lock: threading.Condition = field(default_factory=threading.Condition)

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        match (request.method, request.path):
            case ("POST", "/v1/completions"):
                return self._generate(request)
            case ("POST", "/admin/orders"):
                return self._order(request.json())
            case ("GET", "/admin/inventory"):
                return self._inventory()
            case (_, "/control"):
                return self._control(request)
        return json_response({"error": "not found"}, 404)

    def _control(self, request: Request) -> Response:
        with self.lock:
            if request.method == "POST":
                change = request.json()
                if change.pop("release_orders", False):
                    self._release()
                for name, value in change.items():
                    setattr(self.faults, name, value)
            return json_response(
                {
                    "memory_mb": self.memory_mb,
                    "peak_mb": self.peak_mb,
                    "overcommits": self.overcommits,
                    "resident": sorted(self.resident_mb_by_item),
                    "loads": self.loads,
                    "unloads": self.unloads,
                    "cancelled": self.cancelled,
                    "running": len(self.batch),
                    "waiting": len(self.waiting),
                    "log": self.log,
                    "fence": self.fence,
                    "refused": self.refused,
                    "held": [
                        f"{order['kind']} {order['model']}"
                        for order in self.held_orders
                    ],
                }
            )

    def _inventory(self) -> Response:
        with self.lock:
            now_s = time.monotonic()
            if now_s - self.report_s >= self.report_lag_s:
                self.report_s = now_s
                self.report = (len(self.batch), len(self.waiting))
            active, waiting = self.report
            return json_response(
                {
                    "resident": sorted(self.resident_mb_by_item),
                    "loading": sorted(self.loading_mb_by_item),
                    "fence": self.fence,
                    "running": active,
                    "waiting": waiting,
                    "leaving": self.faults.leaving,
                    "slots": self.slots,
                }
            )

    def _order(self, order: dict[str, Any]) -> Response:
        with self.lock:
            if self.faults.lose_orders:
                self.faults.lose_orders -= 1
                return json_response({"error": "lost"}, 503)
            if self.faults.hold_orders:
                self.held_orders.append(order)
                return drop_connection()
            if self.faults.copy_orders:
                self.held_orders.append(order)
            delay_s = self.faults.order_delay_s
            copies = 2 if self.faults.duplicate_orders else 1
        if delay_s:
            time.sleep(delay_s)
        with self.lock:
            if not self._accept(order, copies):
                return json_response({"error": "stale fence", "fence": self.fence}, 409)
        return json_response({"accepted": order["order_id"]}, 202)

    def _accept(self, order: dict[str, Any], copies: int = 1) -> bool:
        if self.checks_fencing and order["fence"] < self.fence:
            self.refused += 1
            return False
        self.fence = max(self.fence, order["fence"])
        for _ in range(copies):
            self._execute(order)
        return True

    def _release(self) -> None:
        """Execute the held orders, as if the network had delivered them late."""
        orders, self.held_orders = self.held_orders, []
        for order in orders:
            self._accept(order)

    def _execute(self, order: dict[str, Any]) -> None:
        item = order["model"]
        if order["kind"] == "load":
            if item in self.resident_mb_by_item or item in self.loading_mb_by_item:
                return
            self.loading_mb_by_item[item] = order["memory_mb"]
            self._check_memory()
            threading.Thread(target=self._load, args=(item,), daemon=True).start()
        elif order["kind"] == "unload" and item in self.resident_mb_by_item:
            self.unloading.add(item)
            self._unload_unused()

    def _check_memory(self) -> None:
        used_mb = sum(self.resident_mb_by_item.values())
        used_mb += sum(self.loading_mb_by_item.values())
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > self.memory_mb:
            self.overcommits += 1
            self._record({"overcommit_mb": used_mb, "at_s": time.time()})

    def _load(self, item: str) -> None:
        if self.weight_store_port:
            connection = HTTPConnection("127.0.0.1", self.weight_store_port)
            connection.request("GET", f"/weights?item={quote(item)}")
            connection.getresponse().read()
            connection.close()
        else:
            time.sleep(self.load_s)
        with self.lock:
            if self.faults.fail_loads:
                self.loading_mb_by_item.pop(item)
                return
            self.loads += 1
            self.resident_mb_by_item[item] = self.loading_mb_by_item.pop(item)

    def _unload_unused(self) -> None:
        items_in_use = {active.model for active in (*self.batch, *self.waiting)}
        for item in tuple(self.unloading):
            if item not in items_in_use:
                self.unloading.discard(item)
                self.resident_mb_by_item.pop(item, None)
                self.unloads += 1

    def _generate(self, request: Request) -> Response:
        body = request.json()
        if self.faults.refuse_with:
            return json_response({"error": "refused"}, self.faults.refuse_with)
        if self._is_refused():
            return json_response({"error": "busy"}, 503)
        needed = [body["model"]]
        if body.get("adapter"):
            needed.append(f"{body['model']}:{body['adapter']}")
        with self.lock:
            for item in needed:
                if item not in self.resident_mb_by_item or item in self.unloading:
                    return json_response({"error": f"{item} is not resident"}, 404)
            self._record(
                {
                    "request_id": body["request_id"],
                    "offset": body["resume_from"],
                    "prompt": body["prompt"],
                    "at_s": time.time(),
                }
            )
            if self.faults.crash_on and self.faults.crash_on in body["prompt"]:
                os._exit(1)
            self.arrivals += 1
            active = ActiveRequest(
                body["request_id"],
                body["model"],
                body["prompt"],
                body["resume_from"],
                body["max_tokens"],
                body["priority"],
                self.arrivals,
            )
        return Response(
            200,
            headers={"Content-Type": "text/event-stream"},
            pushed=_Stream(self, active),
        )

    def _is_refused(self) -> bool:
        with self.lock:
            self.requests += 1
            every = self.faults.refuse_every
            return bool(every) and self.requests % every == 0

    def repeats(self, status: int) -> bool:
        """Return whether an answer with this status is sent once more."""
        return 0 < self.faults.repeat_from <= status

    def _record(self, entry: dict[str, Any]) -> None:
        """Append an entry to the log, and to the journal, which survives a kill."""
        self.log.append(entry)
        self._append_to_journal(entry)

    def _record_ends(self, ended: Iterable[ActiveRequest]) -> None:
        """Append the ends of runs to the journal."""
        for active in ended:
            self._append_to_journal({"ended": active.request_id, "at_s": time.time()})

    def _append_to_journal(self, entry: dict[str, Any]) -> None:
        if self.journal is not None:
            with self.journal.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")

    def enter(self, active: ActiveRequest) -> None:
        """Queue a request for a slot in the batch."""
        with self.lock:
            self.waiting.append(active)
            self.lock.notify()

    def cancel(self, active: ActiveRequest) -> None:
        """Mark a request as cancelled; the next step removes it from the batch."""
        with self.lock:
            if active.offset <= active.max_tokens and not active.cancelled:
                self.cancelled += 1
            if active.write is None and not active.cancelled:
                self._record_ends((active,))
            active.cancelled = True

    def step_forever(self) -> None:
        """Generate one token per step for each request in the batch.

        Steps follow a fixed schedule, so that one late step does not delay the next.
        """
        next_step_s = time.monotonic()
        while True:
            with self.lock:
                self._admit()
                while not self.batch:
                    self.lock.wait()
                    self._admit()
            time.sleep(max(0.0, next_step_s - time.monotonic()))
            now_s = time.monotonic()
            if now_s - next_step_s > self.step_s:
                next_step_s = now_s
            next_step_s += self.step_s
            with self.lock:
                self._admit()
                self._step_all()

    def _step_all(self) -> None:
        for active in self.batch:
            self._step(active)
            if active.disconnected:
                # A write can detect a closed connection before the reader does.
                self.cancel(active)
        self._record_ends(item for item in self.batch if item.is_over)
        self.batch = [item for item in self.batch if not item.is_over]
        self._unload_unused()

    def _admit(self) -> None:
        self._record_ends(item for item in self.waiting if item.cancelled)
        self.waiting = [item for item in self.waiting if not item.cancelled]
        self.waiting.sort(key=lambda item: (item.priority, item.arrived))
        free_slots = self.slots - len(self.batch)
        self.batch.extend(self.waiting[:free_slots])
        del self.waiting[:free_slots]

    def _step(self, active: ActiveRequest) -> None:
        if self.faults.stall_streams:
            return
        if self.faults.break_streams:
            active.cancelled = True
            active.push(LAST_CHUNK)
            return
        event: dict[str, Any] = {
            "request_id": active.request_id,
            "offset": active.offset,
        }
        if active.offset < active.max_tokens:
            event["text"] = token(active.prompt, active.offset)
        else:
            event["finished"] = True
            event["usage"] = {
                "prompt_tokens": prompt_tokens(active.prompt),
                "completion_tokens": active.max_tokens,
            }
        chunk = b"".join(
            as_chunk(b"data: " + msgspec.json.encode(item) + b"\n\n")
            for item in self._with_stream_faults(active, event)
        )
        if active.offset == active.max_tokens:
            chunk += END
        active.push(chunk)
        active.offset += 1

    def _with_stream_faults(
        self, active: ActiveRequest, event: dict[str, Any]
    ) -> list[dict[str, Any]]:
        """Return the events to send for ``event`` under the current faults."""
        events = [event]
        if self.faults.foreign_frames:
            events.insert(0, {**event, "request_id": "another", "text": "foreign "})
        if self.faults.duplicate_frames:
            events.append(event)
        if not self.faults.swap_frames:
            return events
        if event.get("finished") or active.delayed_event is not None:
            events += [] if active.delayed_event is None else [active.delayed_event]
            active.delayed_event = None
            return events
        active.delayed_event = event
        return []


class _Stream:
    """Body of a streamed answer; closing it early cancels the request."""

    def __init__(self, engine: Engine, active: ActiveRequest) -> None:
        self._engine = engine
        self._request = active

    def attach(self, write: Callable[[bytes], object]) -> None:
        """Queue the request; its tokens are sent with ``write``."""
        self._request.write = write
        self._engine.enter(self._request)

    def close(self) -> None:
        """Cancel the request if it has not finished."""
        self._engine.cancel(self._request)


def main(
    host: str = "127.0.0.1",
    port: int = 7100,
    memory_mb: int = 24_000,
    checks_fencing: bool = False,
    step_ms: float = 30.0,
    slots: int = 64,
    load_s: float = 0.5,
    weight_store_port: int = 0,
    report_lag_s: float = 0.5,
    resident: str = "",
    journal: Path | None = None,
    crash_on: str = "",
) -> None:
    """Run one engine; ``resident`` lists loaded items as ``item=MB,item=MB``."""
    engine = Engine(
        memory_mb,
        checks_fencing,
        step_ms / 1000,
        slots,
        load_s,
        weight_store_port,
        report_lag_s,
        journal,
    )
    for entry in filter(None, resident.split(",")):
        item, _, item_mb = entry.partition("=")
        engine.resident_mb_by_item[item] = int(item_mb)
    engine.faults.crash_on = crash_on
    threading.Thread(target=engine.step_forever, daemon=True).start()
    serve_pushed(engine.handle, host, port, engine.repeats)


if __name__ == "__main__":
    typer.run(main)
