"""Case 3: an answer without a length that is reset during an upload looks complete."""

import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402

MACHINES = 10
"""The channels of one of them are reset: a tenth."""
UPLOADS = 8
"""Through that machine; through each of the others goes one."""
UPLOAD_BYTES = 4_000_000
"""Below the limit of the configuration, and more than the kernel buffers."""
RECEIVE_BYTES = 65_536
RESET_AFTER_S = 0.1
RESET_EVERY = 2
"""One in so many channels of that machine is reset: half of them."""
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "book-charge",
            "host": h.HOST_NAME,
            "path-prefix": "/book/",
            "kind": "non_idempotent",
            "timeout-ms": 3000,
            "goal-ms": 400,
            "priority": 2,
            "max-attempts": 1,
            "service": "permit-desk",
        }
    ],
    "services": [{"name": "permit-desk", "max-conns": 96, "health-path": "/health"}],
    "limits": h.LIMITS,
}


def whole_body(id: str) -> bytes:
    """Return the whole body that answers a request."""
    return b"".join(b"line %d of %s\n" % (n, id.encode()) for n in range(40))


class Replica:
    """A sound replica that answers long requests early, without a length.

    With the disruption, its channels are reset in the middle of such answers.
    """

    def __init__(self, ip: str, record: h.Record) -> None:
        self.record = record
        self.reset_ids: set[str] = set()
        self.port = h.listen(ip, self.serve, RECEIVE_BYTES)

    def serve(self, channel: socket.socket) -> None:
        """Answer the call of one channel."""
        reader = channel.makefile("rb", buffering=4096)
        call = h.read_call_head(reader)
        if call is None:
            return
        body = whole_body(call.id)
        headers = {
            "Attempt-Id": call.id,
            "Server-Seal": f"seal-{call.id}",
            "Connection": "close",
        }
        self.record("ran", id=call.id)
        half = len(body) // 2
        channel.sendall(h.head(200, headers) + body[:half])
        time.sleep(RESET_AFTER_S)
        if call.id in self.reset_ids:
            self.record("reset", id=call.id, sent=half, of=len(body))
            reader.close()
            h.reset(channel)
            return
        channel.sendall(body[half:])
        left = int(call.headers.get("content-length", 0))
        while left > 0 and (data := reader.read1(65536)):
            left -= len(data)
        self.record("ran_whole", id=call.id, unread=left)


def case(folder: Path, record: h.Record) -> bool:
    """Return whether each answer that looks complete is the replica's whole body."""
    ip = h.random_ip()
    store = h.Store(ip, record)
    replica = Replica(ip, record)
    born = int(time.time() * 1000)
    store.put("servers", "i-1", h.entry("permit-desk", ip, replica.port, born, slots=6))
    store.put("config", "main", CONFIG)
    daemons = [h.Daemon(f"edge-{n}", folder, store.address) for n in range(MACHINES)]
    answers: dict[str, h.Answer] = {}
    with h.ended(daemons):
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            daemon.wait_ready()

        def ask(id: str, daemon: h.Daemon) -> None:
            headers = {"Deadline-Ms": "3000"}
            record("sent", id=id, to=daemon.name, bytes=UPLOAD_BYTES)
            answers[id] = h.call(
                daemon.ip,
                daemon.front_port,
                "POST",
                "/book/a",
                id,
                headers,
                b"x" * UPLOAD_BYTES,
            )

        uploads = [daemons[0]] * UPLOADS + daemons[1:]
        for number, daemon in enumerate(uploads):
            id = f"{number:016x}"
            if h.has_trouble() and number < UPLOADS and number % RESET_EVERY:
                replica.reset_ids.add(id)
            task = threading.Thread(target=ask, args=(id, daemon))
            task.start()
            task.join()
    held = True
    for id, answer in sorted(answers.items()):
        is_whole = answer.body == whole_body(id)
        record(
            "answered",
            id=id,
            status=answer.status,
            seal=answer.headers.get("server-seal"),
            looks_complete=answer.is_complete,
            is_whole=is_whole,
            bytes=len(answer.body),
            of=len(whole_body(id)),
            took_s=round(answer.took_s, 2),
            ended=f"'{answer.ended}'",
        )
        if answer.is_complete and answer.status == 200 and not is_whole:
            held = False
    if not h.has_trouble() and not all(
        item.is_complete and item.status == 200 for item in answers.values()
    ):
        raise h.NotReadyError("not served without the disruption")
    return held


if __name__ == "__main__":
    h.run_case(FOLDER, case)
