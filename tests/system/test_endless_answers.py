"""Tests of the entry daemon beside endpoints that send bytes without end."""

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from standins.entry_site import CONFIG, EntrySite, make_route
from standins.fleet import HOST, Fleet

MEMORY_MB = 200
"""What the smallest machines of the users' sheets give a process."""
CLIENTS = 160
ENDPOINTS = 4
HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n"
PIECE = bytes(1 << 16)
BODY = HEAD + "Connection: close\r\n\r\n"
CHUNKS = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
DECLINED = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\n"
HEADERS = "HTTP/1.1 200 OK\r\n"


@contextlib.contextmanager
def endless_endpoint(first, repeated):
    """Answer each call with ``first`` and ``repeated`` without end; yield the port."""
    with socket.create_server((HOST, 0), backlog=512) as listener:

        def answer(connection):
            with connection, contextlib.suppress(OSError):
                head = connection.recv(65_536).decode()
                id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                connection.sendall(first.format(id=id).encode())
                while True:
                    connection.sendall(repeated)

        def accept():
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    task = threading.Thread(target=answer, args=(connection,))
                    task.daemon = True
                    task.start()

        threading.Thread(target=accept, daemon=True).start()
        yield listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)


def peak_memory_mb(process):
    """Return the most memory that a process has had."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no peak of the memory")


# Guards against LOST: a daemon ran out of memory with the answers of a faulty endpoint,
# and the requests of its other clients ended with it.
class TestMemory:
    """Many clients ask for what an endpoint never ends to send."""

    @pytest.mark.parametrize(
        ("first", "repeated"),
        [
            (BODY, PIECE),
            (CHUNKS, b"10000\r\n" + PIECE + b"\r\n"),
            (DECLINED, PIECE),
            (HEADERS, b"x: " + b"y" * 1000 + b"\r\n"),
        ],
        ids=["body", "chunks", "declined", "headers"],
    )
    def test_other_clients_are_served(self, first, repeated):
        """The daemon stays within its memory, and answers what is sound."""
        with Fleet() as fleet, contextlib.ExitStack() as stack:
            site = EntrySite(fleet)
            route = make_route("endless", "idempotent", "endless")
            site.put(
                "config",
                "main",
                {
                    **CONFIG,
                    "version": 2,
                    "routes": [*CONFIG["routes"], route],
                    "services": [*CONFIG["services"], {"name": "endless"}],
                },
            )
            for number in range(ENDPOINTS):
                port = stack.enter_context(endless_endpoint(first, repeated))
                entry = {**site.endpoint("endless"), "address": f"{HOST}:{port}"}
                site.put("servers", f"endless-{number}", entry)
            fleet.wait_until(lambda: site.call("/endless/1", "e0")[0].status != 404, "")
            with ThreadPoolExecutor(CLIENTS) as clients:
                calls = [
                    clients.submit(site.call, "/endless/1", f"e{number}")
                    for number in range(1, CLIENTS + 1)
                ]
                for number in range(20):
                    assert site.call("/book/1", f"b{number}")[0].status == 200
                statuses = {call.result()[0].status for call in calls}
            assert statuses <= {502, 503, 504}
            assert peak_memory_mb(site.process) < MEMORY_MB
