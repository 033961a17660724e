"""Tests of the entry daemon under crowds of clients that ignore its limits."""

import contextlib
import fcntl
import itertools
import socket
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path

import pytest

from standins.entry_site import CONFIG, EntrySite, make_route
from standins.fleet import HOST, Fleet
from standins.site import SiteSpec, start_site

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(600)]

CROWD = 120
BODY_BYTES = 4 << 20
SMALL_CHUNKS = 200_000
OVER_LIMIT = 2
MEMORY_MB = 120
MAX_FDS = 300
DEFAULT_MEMORY_MB = 300
"""Memory of a VM whose settings name none."""
FDS_FOR_FILES = 200
"""Of ``max-fds``, those that the platform reserves for files."""
SETTINGS = f"[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = {MAX_FDS}\n"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 20_000,
    "idle-timeout-ms": 60_000,
}
SEND_TIMEOUT_S = 30.0
SEND_BUFFER_BYTES = 64 << 10
"""Small, so that a client has sent little that the daemon has not received."""
AT_ONCE_ROWS = {"small_chunks"}
"""Rows in which clients leave all their bytes to the system at once."""
HEAD = (
    b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: crowd\r\n"
    b"Deadline-Ms: 60000\r\n"
)
PIECE = bytes(16 << 10)
LARGE_PIECE = bytes(256 << 10)
WHOLE = bytes(BODY_BYTES)


def announced(size, piece):
    """Yield a request with a length, all but its last byte, in pieces."""
    yield HEAD + b"Content-Length: %d\r\n\r\n" % size
    for _ in range(size // len(piece) - 1):
        yield piece
    yield memoryview(piece)[:-1]


def chunked(size, piece):
    """Yield a request in chunks of ``piece``, all but its last byte."""
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (len(piece), piece)
    chunks_a_send = max(1, len(LARGE_PIECE) // len(chunk))
    for _ in range(size // len(piece) // chunks_a_send):
        yield chunk * chunks_a_send
    yield b"0\r\n\r"


ROWS = {
    "whole": lambda: announced(BODY_BYTES, WHOLE),
    "pieces": lambda: announced(BODY_BYTES, PIECE),
    "large_chunks": lambda: chunked(BODY_BYTES, LARGE_PIECE),
    "small_chunks": lambda: chunked(SMALL_CHUNKS, b"x"),
    "announced_over_limit": lambda: announced(OVER_LIMIT * BODY_BYTES, LARGE_PIECE),
    "sent_over_limit": lambda: chunked(OVER_LIMIT * BODY_BYTES, LARGE_PIECE),
}


@pytest.fixture(autouse=True)
def alone():
    """Run one test at a time, also in several processes of pytest."""
    with open(__file__) as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def send(port, parts, is_buffer_small):
    """Send what the daemon takes, and return the open connection."""
    connection = socket.create_connection((HOST, port))
    connection.settimeout(SEND_TIMEOUT_S)
    if is_buffer_small:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    with contextlib.suppress(OSError):
        for part in parts:
            connection.sendall(part)
    return connection


@contextlib.contextmanager
def crowd(port, row):
    """Have all clients send what the daemon takes, and stay open."""
    is_buffer_small = row not in AT_ONCE_ROWS
    with ThreadPoolExecutor(CROWD) as clients, contextlib.ExitStack() as stack:
        sends = [
            clients.submit(send, port, ROWS[row](), is_buffer_small)
            for _ in range(CROWD)
        ]
        for future in sends:
            stack.enter_context(future.result())
        yield


def peak_memory_mb(process):
    """Return the most memory that a process has had."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def open_sockets(process):
    """Return the number of sockets and pipes of a process."""
    links = []
    for path in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            links.append(str(path.readlink()))
    return sum(link.startswith(("socket:", "pipe:")) for link in links)


@pytest.fixture
def site():
    """Return a site whose limits are in force."""
    with Fleet() as fleet:
        site = EntrySite(fleet, SETTINGS)
        routes = [*CONFIG["routes"], make_route("limited", "idempotent", "desk")]
        limited = {**CONFIG, "version": 2, "routes": routes, "limits": LIMITS}
        site.put("config", "main", limited)
        ids = (f"limited-{number}" for number in itertools.count())
        fleet.wait_until(
            lambda: site.call("/limited/", next(ids))[0].status == 200, "limits"
        )
        yield site


# Guards against LOST: clients outside the limits ended a daemon, which ran out of
# memory, and the requests of its other clients ended with it.
class TestCrowd:
    """Many clients stop just short of the end of a body, or go beyond its limit."""

    @pytest.mark.parametrize("row", ROWS)
    def test_daemon_stays_within_its_machine(self, site, row):
        """It lives, keeps to its memory and descriptors, and serves who is sound."""
        with crowd(site.client_port, row):
            sockets = open_sockets(site.process)
            status = _status(site)
            peak_mb = peak_memory_mb(site.process)
            print(f"{row}: {peak_mb:.0f} MB, {sockets} sockets, status {status}")
            assert site.process.poll() is None
            assert peak_mb < MEMORY_MB
            assert sockets < MAX_FDS - FDS_FOR_FILES
            assert status == 200

    def test_readiness_port_stays_within_its_machine(self, site):
        """Probes of the load balancer are answered after the crowd."""
        with crowd(site.ready_port, "whole"):
            status = _ready_status(site)
            peak_mb = peak_memory_mb(site.process)
            sockets = open_sockets(site.process)
            print(f"readiness: {peak_mb:.0f} MB, {sockets} sockets, status {status}")
            assert site.process.poll() is None
            assert peak_mb < MEMORY_MB
            assert sockets < MAX_FDS - FDS_FOR_FILES
            assert status == 200

    def test_daemon_of_the_product_stays_within_its_machine(self):
        """Its front end is the same code; it reads no memory limit from settings."""
        with Fleet() as fleet:
            spec = SiteSpec(nodes=1, fence_checking_engines=1, fence_ignoring_engines=0)
            site = start_site(fleet, spec)
            (node,) = site.nodes
            process = fleet.process_by_name[node].popen
            with crowd(fleet.port(node), "whole"):
                answer = site.complete(node, spec.models[0].id, "ordinary")
                peak_mb = peak_memory_mb(process)
                print(f"product: {peak_mb:.0f} MB, answer {answer!r:.60}")
                assert process.poll() is None
                assert peak_mb < DEFAULT_MEMORY_MB


def _ready_status(site):
    """Return the status of one probe, or None if it gets no answer."""
    probe = HTTPConnection(HOST, site.ready_port, timeout=SEND_TIMEOUT_S)
    with contextlib.suppress(OSError):
        probe.request("GET", "/ready")
        return probe.getresponse().status


def _status(site):
    """Return the status of one ordinary request, or None if it gets no answer."""
    with contextlib.suppress(OSError):
        return site.call("/book/1", "ordinary")[0].status
