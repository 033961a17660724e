"""A small deployment for a case: entry daemons, the store, replicas and clients."""

import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TOOLS = Path(__file__).resolve().parent
STORE_HOST = "127.0.0.1"
STABLE_WINDOW_S = 3.0
MAX_RUN_S = 117
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "zone-a"
region = "region-a"
inner-port-range = [{peer},{peer}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
beat-interval-ms = 1200
metrics-port = 0
contracts = ["base","drain","config","cost","retry","recover","fleet","stream",
  "engine","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = {max_fds}
link-mbps = 1000.0
[bounds]
stable-window-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 58
recovery-s = 12
require-fence = true
lease-ms = 3000
thaw-slack-ms = 300
ceiling-window-s = 5
ceiling-excess = 1.1
[cloud-platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1048576,
    "header-timeout-ms": 2000,
    "idle-timeout-ms": 15000,
}


class SetupError(Exception):
    """The case could not run."""


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of host ``site.example`` with path prefix ``/{name}/``."""
    return {
        "name": name,
        "host": "site.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1500,
        "goal-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as found:
        found.bind((host, 0))
        return int(found.getsockname()[1])


class Proxy:
    """A TCP proxy whose open channels can be made silent for good."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self._target = target
        self._silent: set[int] = set()
        self._open: dict[int, float] = {}
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = self._listener.getsockname()
        self._last = 0
        self.sent: list[tuple[int, float, bytes]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Drop what comes on the channels open now; return their number."""
        with self._lock:
            self._silent.update(self._open)
            return len(self._open)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            try:
                far = socket.create_connection(self._target, 2)
            except OSError:
                near.close()
                continue
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            far.settimeout(None)
            with self._lock:
                self._last += 1
                number = self._last
                self._open[number] = time.monotonic()
            for source, sink, is_call in ((near, far, True), (far, near, False)):
                threading.Thread(
                    target=self._copy, args=(number, source, sink, is_call), daemon=True
                ).start()

    def _copy(
        self, number: int, source: socket.socket, sink: socket.socket, is_call: bool
    ) -> None:
        try:
            while data := source.recv(65536):
                if is_call:
                    self.sent.append((number, time.time(), data.split(b"\r\n")[0]))
                if number not in self._silent:
                    sink.sendall(data)
        except OSError:
            pass
        with self._lock:
            self._open.pop(number, None)
        if number not in self._silent or is_call:
            for item in (source, sink):
                try:
                    item.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Node:
    """One machine with an entry daemon."""

    def __init__(self, site: "Site", number: int, store: str, max_fds: int) -> None:
        self.site = site
        self.name = f"edge-{number}"
        self.host = f"127.0.0.{10 + number}"
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.settings = site.folder / f"{self.name}.toml"
        self._fields = {
            "name": self.name,
            "host": self.host,
            "peer": free_port(self.host),
            "front": self.front,
            "ready": self.ready,
            "store": store,
            "max_fds": max_fds,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.started_s = 0.0
        self.starts = 0

    def start(self) -> None:
        """Start the daemon as the deploy file does, with its limit of descriptors."""
        max_fds = self._fields["max_fds"]
        bootstrap = "false" if self.starts else "true"
        text = SETTINGS.format(bootstrap=bootstrap, **self._fields)
        self.settings.write_text(text)
        self.starts += 1
        log = open(self.site.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        environ = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CAMPHORYARD_NODE_FILE": str(self.settings),
        }
        self.process = subprocess.Popen(
            ["python3", "deploy/entry.py"],
            cwd=ROOT,
            env=environ,
            stdout=log,
            stderr=log,
        )
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (max_fds, max_fds))
        self.site.processes.append(self.process)
        self.started_s = time.time()
        self.site.record("node_started", node=self.name)

    def is_ready(self) -> bool:
        """Return whether the readiness probe answers 200."""
        try:
            connection = HTTPConnection(self.host, self.ready, timeout=1)
            connection.request("GET", "/ready")
            status = connection.getresponse().status
            connection.close()
        except (OSError, HTTPException):
            return False
        return status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)
        self.site.record("signal", node=self.name, signal=number.name)

    def log(self) -> str:
        """Return what the daemon has logged."""
        return (self.site.folder / f"{self.name}.log").read_text(errors="replace")


class Site:
    """The processes of a case, and the record of what they did."""

    def __init__(self, folder: Path) -> None:
        self.case = folder
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.nodes: list[Node] = []
        self.replicas: dict[str, subprocess.Popen[bytes]] = {}
        self._lock = threading.Lock()
        self._record = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.runs = self.folder / "runs.jsonl"
        self.runs.touch()
        self.status_by_request: dict[str, int] = {}
        self.store = (STORE_HOST, free_port(STORE_HOST))

    def start_store(self) -> None:
        """Start the store and wait for it."""
        host, port = self.store
        self._spawn(str(TOOLS / "store.py"), host, str(port))
        self.wait(self._is_store_up, 10, "the store")

    def _spawn(self, *args: str, **environ: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, *args], env={**os.environ, **environ}
        )
        self.processes.append(process)
        return process

    def _is_store_up(self) -> bool:
        try:
            self.call_store("GET", "/objects/config")
        except (OSError, HTTPException):
            return False
        return True

    def record(self, event: str, **fields: object) -> None:
        """Write a line to ``record.txt``."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            if not self._record.closed:
                self._record.write(f"{time.time():.3f} {event} {words}\n")

    def wait(self, condition: Callable[[], bool], time_s: float, what: str) -> None:
        """Wait for a condition; raise SetupError after ``time_s``."""
        end_s = time.monotonic() + time_s
        while not condition():
            if time.monotonic() > end_s:
                raise SetupError(f"{what} did not come up")
            time.sleep(0.05)

    def call_store(self, method: str, path: str, document: Any = None) -> Any:
        """Call the store as the operator or a replica."""
        connection = HTTPConnection(*self.store, timeout=3)
        body = json.dumps(document) if document is not None else None
        connection.request(method, path, body)
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def configure(self, version: int, routes: Any, services: Any) -> float:
        """Write a configuration; return when the store has confirmed it."""
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        document = {"metadata": {"name": "main"}, "spec": spec}
        self.call_store("PUT", "/objects/config/main", document)
        self.record("configuration_confirmed", version=version)
        return time.time()

    def add_node(
        self, store: tuple[str, int] | None = None, max_fds: int = 4100
    ) -> Node:
        """Start a machine."""
        host, port = store or self.store
        node = Node(self, len(self.nodes) + 1, f"{host}:{port}", max_fds)
        self.nodes.append(node)
        node.start()
        return node

    def start_replica(
        self, service: str, id: str, port: int = 0, **environ: str
    ) -> int:
        """Start a replica; return its port."""
        port = port or free_port("127.0.0.1")
        self.replicas[id] = self._spawn(
            str(TOOLS / "replica.py"),
            "127.0.0.1",
            str(port),
            f"{self.store[0]}:{self.store[1]}",
            service,
            id,
            str(self.runs),
            **environ,
        )
        self.record("replica_started", replica=id, service=service, port=port)
        return port

    def wait_ready(self) -> None:
        """Wait until all nodes are ready and one of them leads."""
        self.wait(lambda: all(node.is_ready() for node in self.nodes), 20, "a node")
        self.wait(
            lambda: any("event=duty_taken" in node.log() for node in self.nodes),
            20,
            "a leader",
        )

    def run_lines(self) -> list[dict[str, Any]]:
        """Return what the replicas have recorded, in the order of time."""
        lines = [json.loads(line) for line in self.runs.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["at"])

    def request(
        self,
        node: Node,
        path: str,
        id: str,
        method: str = "POST",
        body: bytes = b"x",
        timeout_s: float = 3.0,
        **headers: str,
    ) -> tuple[int, str]:
        """Send a request as a client on a new channel; status 0 without an answer."""
        sent_s = time.time()
        status, by = 0, ""
        try:
            connection = HTTPConnection(node.host, node.front, timeout=timeout_s)
            fields = {
                "Host": "site.example",
                "Attempt-Id": id,
                "Deadline-Ms": "1500",
                **{name.replace("_", "-"): text for name, text in headers.items()},
            }
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            content = response.read()
            status = response.status
            if status == 200:
                by = json.loads(content)["by"]
            connection.close()
        except (OSError, HTTPException, ValueError) as error:
            by = repr(error)
        self.status_by_request[id] = status
        self.record(
            "client",
            request=id,
            node=node.name,
            path=path,
            sent=f"{sent_s:.3f}",
            status=status,
            by=by,
        )
        return status, by

    def close(self) -> None:
        """End all processes that were started, and write down what replicas ran."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for line in self.run_lines():
            at = line.pop("at")
            words = " ".join(f"{name}={value}" for name, value in line.items())
            self._record.write(f"{at:.3f} replica {words}\n")
        with self._lock:
            self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Site], list[str]]) -> None:
    """Play a case and exit.

    The exit status is 1 if it found broken rules, 0 if not, and 2 if it could not run.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(MAX_RUN_S)
    site: Site | None = None
    try:
        site = Site(folder)
        site.start_store()
        broken = play(site)
        for line in broken:
            site.record("broken", what=line)
    except (SetupError, OSError, HTTPException, StopIteration) as error:
        print(f"could not run: {error!r}")
        status = 2
    else:
        for line in broken:
            print(f"broken: {line}")
        print("rule broken" if broken else "rule held")
        status = 1 if broken else 0
    finally:
        signal.alarm(0)
        if site is not None:
            site.close()
    # Clients that still wait for an answer do not hold up the exit.
    sys.stdout.flush()
    os._exit(status)


def _interrupt(number: int, frame: object) -> None:
    raise SetupError(f"ended by signal {number}")
