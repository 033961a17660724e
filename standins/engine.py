"""Stand-in for a model engine.

Its memory ledger is the judge of overcommitment: every load that would not fit
is counted in ``overcommits`` and still carried out, as a real device would
fail. ``hold_orders`` keeps orders without an answer until ``release_orders``
carries them out, however late; ``copy_orders`` keeps a copy of each besides.
Tokens are a function of prompt and offset, so
that any whole answer can be checked and any engine can resume it. The last
event of an answer tells its ``usage``, whole also after a resume.
"""

import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from http.client import HTTPConnection
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec
import typer

from standins.push_server import LAST_CHUNK, as_chunk, serve_pushed
from standins.web import Answered, Asked, answer, drop_connection

END = as_chunk(b"data: [DONE]\n\n") + LAST_CHUNK


def token(prompt: str, offset: int) -> str:
    """Return the token that any engine generates at ``offset``."""
    digest = blake2b(f"{prompt}\0{offset}".encode(), digest_size=3).hexdigest()
    return f"{digest} "


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the answer that a caller must get."""
    return "".join(token(prompt, offset) for offset in range(max_tokens))


def prompt_tokens(prompt: str) -> int:
    """Return how many tokens any engine counts in a prompt."""
    return len(prompt.split())


@dataclass(slots=True)
class Running:
    """One request in the batch."""

    request_id: str
    model: str
    prompt: str
    offset: int
    max_tokens: int
    priority: int
    arrived: int
    write: Callable[[bytes], None] | None = None
    cancelled: bool = False
    left: bool = False
    held: dict[str, Any] | None = None

    def push(self, data: bytes) -> None:
        """Send bytes; note if the caller has left."""
        if self.write is None:
            return
        try:
            self.write(data)
        except OSError:
            self.left = True


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


@dataclass(slots=True)
class Engine:
    """Memory ledger, batch and orders of one engine."""

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
    waiting: list[Running] = field(default_factory=list)
    batch: list[Running] = field(default_factory=list)
    arrivals: int = 0
    report_s: float = 0.0
    report: tuple[int, int] = (0, 0)
    faults: Faults = field(default_factory=Faults)
    held: list[dict[str, Any]] = field(default_factory=list)
    refused: int = 0
    lock: threading.Condition = field(default_factory=threading.Condition)

    def handle(self, asked: Asked) -> Answered:
        """Answer one call."""
        match (asked.method, asked.path):
            case ("POST", "/v1/completions"):
                return self._generate(asked)
            case ("POST", "/admin/orders"):
                return self._order(asked.json())
            case ("GET", "/admin/inventory"):
                return self._inventory()
            case (_, "/control"):
                return self._control(asked)
        return answer({"error": "not found"}, 404)

    def _control(self, asked: Asked) -> Answered:
        with self.lock:
            if asked.method == "POST":
                change = asked.json()
                if change.pop("release_orders", False):
                    self._release()
                for name, value in change.items():
                    setattr(self.faults, name, value)
            return answer(
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
                        f"{order['kind']} {order['model']}" for order in self.held
                    ],
                }
            )

    def _inventory(self) -> Answered:
        with self.lock:
            now_s = time.monotonic()
            if now_s - self.report_s >= self.report_lag_s:
                self.report_s = now_s
                self.report = (len(self.batch), len(self.waiting))
            running, waiting = self.report
            return answer(
                {
                    "resident": sorted(self.resident_mb_by_item),
                    "loading": sorted(self.loading_mb_by_item),
                    "fence": self.fence,
                    "running": running,
                    "waiting": waiting,
                    "leaving": self.faults.leaving,
                    "slots": self.slots,
                }
            )

    def _order(self, order: dict[str, Any]) -> Answered:
        with self.lock:
            if self.faults.lose_orders:
                self.faults.lose_orders -= 1
                return answer({"error": "lost"}, 503)
            if self.faults.hold_orders:
                self.held.append(order)
                return drop_connection()
            if self.faults.copy_orders:
                self.held.append(order)
            delay_s = self.faults.order_delay_s
            copies = 2 if self.faults.duplicate_orders else 1
        if delay_s:
            time.sleep(delay_s)
        with self.lock:
            if not self._take(order, copies):
                return answer({"error": "stale fence", "fence": self.fence}, 409)
        return answer({"accepted": order["order_id"]}, 202)

    def _take(self, order: dict[str, Any], copies: int = 1) -> bool:
        if self.checks_fencing and order["fence"] < self.fence:
            self.refused += 1
            return False
        self.fence = max(self.fence, order["fence"])
        for _ in range(copies):
            self._execute(order)
        return True

    def _release(self) -> None:
        """Carry out the held orders now, as a network that was slow."""
        held, self.held = self.held, []
        for order in held:
            self._take(order)

    def _execute(self, order: dict[str, Any]) -> None:
        item = order["model"]
        if order["kind"] == "load":
            if item in self.resident_mb_by_item or item in self.loading_mb_by_item:
                return
            self.loading_mb_by_item[item] = order["memory_mb"]
            self._judge()
            threading.Thread(target=self._load, args=(item,), daemon=True).start()
        elif order["kind"] == "unload" and item in self.resident_mb_by_item:
            self.unloading.add(item)
            self._finish_unloads()

    def _judge(self) -> None:
        taken_mb = sum(self.resident_mb_by_item.values())
        taken_mb += sum(self.loading_mb_by_item.values())
        self.peak_mb = max(self.peak_mb, taken_mb)
        if taken_mb > self.memory_mb:
            self.overcommits += 1
            self._note({"overcommit_mb": taken_mb, "at_s": time.time()})

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

    def _finish_unloads(self) -> None:
        busy = {running.model for running in (*self.batch, *self.waiting)}
        for item in tuple(self.unloading):
            if item not in busy:
                self.unloading.discard(item)
                self.resident_mb_by_item.pop(item, None)
                self.unloads += 1

    def _generate(self, asked: Asked) -> Answered:
        body = asked.json()
        if self.faults.refuse_with:
            return answer({"error": "refused"}, self.faults.refuse_with)
        needed = [body["model"]]
        if body.get("adapter"):
            needed.append(f"{body['model']}:{body['adapter']}")
        with self.lock:
            for item in needed:
                if item not in self.resident_mb_by_item or item in self.unloading:
                    return answer({"error": f"{item} is not resident"}, 404)
            self._note(
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
            running = Running(
                body["request_id"],
                body["model"],
                body["prompt"],
                body["resume_from"],
                body["max_tokens"],
                body["priority"],
                self.arrivals,
            )
        return Answered(
            200,
            headers={"Content-Type": "text/event-stream"},
            pushed=_Stream(self, running),
        )

    def _note(self, entry: dict[str, Any]) -> None:
        """Log an entry, in the journal too, which outlives a kill."""
        self.log.append(entry)
        if self.journal is not None:
            with self.journal.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")

    def enter(self, running: Running) -> None:
        """Let a request wait for its place in the batch."""
        with self.lock:
            self.waiting.append(running)
            self.lock.notify()

    def cancel(self, running: Running) -> None:
        """Take a request out of the batch and end its stream."""
        with self.lock:
            if running.offset <= running.max_tokens and not running.cancelled:
                self.cancelled += 1
            running.cancelled = True

    def step_forever(self) -> None:
        """Generate a token for each request of the batch, step by step.

        Steps keep to a schedule, so that a late one makes no later one late.
        """
        due_s = time.monotonic()
        while True:
            with self.lock:
                self._admit()
                while not self.batch:
                    self.lock.wait()
                    self._admit()
            time.sleep(max(0.0, due_s - time.monotonic()))
            now_s = time.monotonic()
            if now_s - due_s > self.step_s:
                due_s = now_s
            due_s += self.step_s
            with self.lock:
                self._admit()
                self._step_all()

    def _step_all(self) -> None:
        for running in self.batch:
            self._step(running)
            if running.left:
                # A write may meet the end of a connection before its reader does.
                self.cancel(running)
        self.batch = [
            item
            for item in self.batch
            if not item.cancelled and item.offset <= item.max_tokens
        ]
        self._finish_unloads()

    def _admit(self) -> None:
        self.waiting = [item for item in self.waiting if not item.cancelled]
        self.waiting.sort(key=lambda item: (item.priority, item.arrived))
        room = self.slots - len(self.batch)
        self.batch.extend(self.waiting[:room])
        del self.waiting[:room]

    def _step(self, running: Running) -> None:
        if self.faults.stall_streams:
            return
        if self.faults.break_streams:
            running.cancelled = True
            running.push(LAST_CHUNK)
            return
        event: dict[str, Any] = {
            "request_id": running.request_id,
            "offset": running.offset,
        }
        if running.offset < running.max_tokens:
            event["text"] = token(running.prompt, running.offset)
        else:
            event["finished"] = True
            event["usage"] = {
                "prompt_tokens": prompt_tokens(running.prompt),
                "completion_tokens": running.max_tokens,
            }
        chunk = b"".join(
            as_chunk(b"data: " + msgspec.json.encode(sent) + b"\n\n")
            for sent in self._disturbed(running, event)
        )
        if running.offset == running.max_tokens:
            chunk += END
        running.push(chunk)
        running.offset += 1

    def _disturbed(
        self, running: Running, event: dict[str, Any]
    ) -> list[dict[str, Any]]:
        """Return what is sent for an event under the faults that are set."""
        sent = [event]
        if self.faults.foreign_frames:
            sent.insert(0, {**event, "request_id": "another", "text": "foreign "})
        if self.faults.duplicate_frames:
            sent.append(event)
        if not self.faults.swap_frames:
            return sent
        if event.get("finished") or running.held is not None:
            sent += [] if running.held is None else [running.held]
            running.held = None
            return sent
        running.held = event
        return []


class _Stream:
    """The body of a streamed answer; closing it early cancels the request."""

    def __init__(self, engine: Engine, running: Running) -> None:
        self._engine = engine
        self._running = running

    def attach(self, write: Callable[[bytes], None]) -> None:
        """Begin to generate."""
        self._running.write = write
        self._engine.enter(self._running)

    def close(self) -> None:
        """Cancel what is left."""
        self._engine.cancel(self._running)


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
    """Run one engine; ``resident`` lists what it holds, as ``item=MB,item=MB``."""
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
    for held in filter(None, resident.split(",")):
        item, _, held_mb = held.partition("=")
        engine.resident_mb_by_item[item] = int(held_mb)
    engine.faults.crash_on = crash_on
    threading.Thread(target=engine.step_forever, daemon=True).start()
    serve_pushed(engine.handle, host, port)


if __name__ == "__main__":
    typer.run(main)
