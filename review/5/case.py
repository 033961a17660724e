"""Case 5: a request without a body crashes each replica that runs it, for ever."""

import contextlib
import socket
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402
import prompts as p  # noqa: E402

REPLICAS = 4
DAEMONS = 3
WORK_S = 0.045
DEADLY_PATH = "/look/7f3a"
BEFORE_S, DEADLY_S = 4.0, 30.0
SOUND_PER_S, DEADLY_PER_S = 20.0, 1.0
STABLE_WINDOW_S = 3.0
THIRD = 3
MAX_RETRIES = 3
LOOK_ROUTE = {
    "name": "spot-lookup",
    "host": h.HOST_NAME,
    "path-prefix": "/look/",
    "kind": "idempotent",
    "timeout-ms": 800,
    "goal-ms": 150,
    "priority": 2,
    "max-attempts": 2,
    "service": "permit-desk",
}
BOOK_ROUTE = {
    **LOOK_ROUTE,
    "name": "book-charge",
    "path-prefix": "/book/",
    "kind": "non_idempotent",
    "max-attempts": 1,
}
CONFIG = {
    "version": 3,
    "routes": [LOOK_ROUTE, BOOK_ROUTE],
    "services": [{"name": "permit-desk", "max-conns": 96, "health-path": "/health"}],
    "limits": h.LIMITS,
}


class PlainReplica(p.Replica):
    """A replica of a plain service that one path may crash."""

    def _answer(self, channel: socket.socket, call: h.Call) -> None:
        if call.headers.get("expect-instance", self.id) != self.id:
            channel.sendall(h.whole(421, {"Instance-Id": self.id}, b""))
            return
        self.arrivals.append(p.Arrival(call.id, time.monotonic(), (call.path,)))
        self.record("ran", replica=self.id, id=call.id, path=call.path)
        time.sleep(WORK_S)
        if call.path == self.deadly:
            self.crash()
            return
        headers = {"Attempt-Id": call.id, "Server-Seal": f"seal-{call.id}"}
        channel.sendall(h.whole(200, headers, b"done " + call.id.encode()))


@dataclass
class Sent:
    """One request of a client and what became of it."""

    id: str
    method: str
    path: str
    sent_s: float
    answer: h.Answer = field(default_factory=h.Answer)


def case(folder: Path, record: h.Record) -> bool:
    """Return whether few retries arrive after the third crash."""
    ip = h.random_ip()
    store = h.Store(ip, record)
    replicas = [
        PlainReplica(f"i-{n}", ip, store, record, DEADLY_PATH, 0, service="permit-desk")
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.start()
    store.put("config", "main", CONFIG)
    daemons = [h.Daemon(f"edge-{n}", folder, store.address) for n in range(DAEMONS)]
    sent: list[Sent] = []
    tasks: list[threading.Thread] = []
    lock = threading.Lock()

    def ask(item: Sent, daemon: h.Daemon) -> None:
        record("sent", id=item.id, to=daemon.name, method=item.method, path=item.path)
        headers = {"Deadline-Ms": "1500"}
        body = item.id.encode() if item.method == "POST" else b""
        with contextlib.suppress(OSError):
            item.answer = h.call(
                daemon.ip,
                daemon.front_port,
                item.method,
                item.path,
                item.id,
                headers,
                body,
            )
        record("answered", id=item.id, status=item.answer.status)

    def send(method: str, path: str) -> None:
        with lock:
            number = len(sent) + 1
            item = Sent(f"{number:016x}", method, path, time.monotonic())
            sent.append(item)
        daemon = daemons[number % len(daemons)]
        task = threading.Thread(target=ask, args=(item, daemon), daemon=True)
        tasks.append(task)
        task.start()

    def send_for(duration_s: float, per_s: float, is_deadly: bool) -> None:
        start_s = time.monotonic()
        for number in range(int(duration_s * per_s)):
            time.sleep(max(0.0, start_s + number / per_s - time.monotonic()))
            if is_deadly:
                send("GET", DEADLY_PATH)
            elif number % 2:
                send("GET", f"/look/a{number}")
            else:
                send("POST", f"/book/a{number}")

    with h.ended(daemons):
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            daemon.wait_ready()
        send_for(BEFORE_S, SOUND_PER_S, False)
        deadly = threading.Thread(
            target=send_for, args=(DEADLY_S, DEADLY_PER_S, True), daemon=True
        )
        if h.has_trouble():
            deadly.start()
        send_for(DEADLY_S, SOUND_PER_S, False)
        if h.has_trouble():
            deadly.join()
        for task in tasks:
            task.join(5)
    crashes_s = sorted(at_s for item in replicas for at_s in item.crashes_s)
    record("crashes", count=len(crashes_s))
    booked = [item for item in sent if item.path.startswith("/book/")]
    runs = {arrival.id for replica in replicas for arrival in replica.arrivals}
    record(
        "bookings",
        sent=len(booked),
        answered_200=sum(item.answer.status == 200 for item in booked),
        ran_and_lost=sum(
            item.answer.status != 200 and item.id in runs for item in booked
        ),
    )
    if not h.has_trouble():
        if not all(item.answer.status == 200 for item in sent):
            raise h.NotReadyError("not served without the disruption")
        return True
    if len(crashes_s) < THIRD:
        return True
    since_s = crashes_s[THIRD - 1] + STABLE_WINDOW_S
    late = [
        arrival
        for replica in replicas
        for arrival in replica.arrivals
        if DEADLY_PATH in arrival.parts and arrival.at_s > since_s
    ]
    record("arrivals_after_third_crash", count=len(late), allowed=MAX_RETRIES)
    return len(late) <= MAX_RETRIES


if __name__ == "__main__":
    h.run_case(FOLDER, case)
