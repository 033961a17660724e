"""Starts one entry daemon on the stand-in for the users' platform."""

import socket
import subprocess
from http.client import HTTPConnection, HTTPResponse
from typing import Any

from standins.fleet import HOST, Fleet, request, reserve_port

IDLE_MS = 15_000
GRACE_S = 4
TIMEOUT_S = 30.0
SETTINGS = """\
node-name = "{name}"
ip = "{host}"
zone = "zone-a"
inner-port-range = [{peer_port},{peer_port}]
new-field = "ignored"
metrics-port = 0
[listen]
front = "{host}:{client_port}"
ready = "{host}:{ready_port}"
[bounds]
grace-s = {grace_s}
drain-ms = 2000
require-fence = true
[cloud-platform]
address = "{host}:{store_port}"
"""


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of host ``site.example`` with path prefix ``/{name}/``."""
    return {
        "name": name,
        "host": "site.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 20000,
        "goal-ms": 600,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "gap-target-ms": 300,
        **fields,
    }


MODEL = {
    "name": "m1",
    "mb": 60,
    "load-s": 0.2,
    "disk-s": 0.1,
    "adapters": 2,
    "adapter-mb": 1,
}
CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [
        make_route("chat", "streaming", "models", resumable=True),
        make_route("book", "non_idempotent", "desk", **{"max-attempts": 1}),
    ],
    "services": [
        {
            "name": "models",
            "engine": {
                "slots": 8,
                "mb": 100,
                "adapter-slots": 2,
                "loads-per-s": 10.0,
                "models": [MODEL],
            },
        },
        {"name": "desk"},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4096,
        "header-timeout-ms": 1000,
        "idle-timeout-ms": IDLE_MS,
    },
}


class EntrySite:
    """One entry daemon and the stand-in for the users' platform.

    Parameters
    ----------
    settings : str
        Tables added to the daemon's settings file.
    """

    def __init__(self, fleet: Fleet, settings: str = "") -> None:
        self.fleet = fleet
        self.store_port = fleet.start_standin(
            "platform", "entry_platform", "--host", HOST
        )
        fleet.wait_ready(["platform"])
        self.put("config", "main", CONFIG)
        for name, service in (("i-1", "models"), ("i-2", "desk")):
            self.put("servers", name, self.endpoint(service))
        self.client_port, self.ready_port = reserve_port(), reserve_port()
        path = fleet.folder / "entry.toml"
        path.write_text(
            SETTINGS.format(
                name="entry-1",
                host=HOST,
                peer_port=reserve_port(),
                client_port=self.client_port,
                ready_port=self.ready_port,
                grace_s=GRACE_S,
                store_port=self.store_port,
            )
            + settings
        )
        fleet.start(
            "entry", self.ready_port, ["-m", "camphoryard.entry.daemon", str(path)]
        )
        fleet.wait_ready(["entry"], "/ready")
        # The only node becomes leader, possibly after it has reported ready.
        log = fleet.process_by_name["entry"].log
        fleet.wait_until(lambda: "event=duty_taken" in log.read_text(), "leadership")

    def endpoint(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return the entry of an endpoint at the stand-in's address."""
        return {
            "service": service,
            "address": f"{HOST}:{self.store_port}",
            "zone": "zone-a",
            "slots": 8,
            "state": state,
            "born": 1,
            "models": [],
            "at-hand": {"on-disk": ["m1"]},
        }

    def put(self, kind: str, name: str, spec: Any) -> Any:
        """Write an object to the store unconditionally."""
        body = {"metadata": {"name": name}, "spec": spec}
        return request(self.store_port, "PUT", f"/objects/{kind}/{name}", body)

    def add_route(self, name: str, kind: str, service: str, **fields: Any) -> None:
        """Write version 2 of the configuration, with one more route; await it."""
        routes = [*CONFIG["routes"], make_route(name, kind, service, **fields)]
        self.put("config", "main", {**CONFIG, "version": 2, "routes": routes})
        log = self.fleet.process_by_name["entry"].log
        self.fleet.wait_until(
            lambda: "event=configuration_adopted version=2" in log.read_text(),
            "configuration",
        )

    def control(self, **faults: int) -> None:
        """Set faults at the stand-in."""
        request(self.store_port, "POST", "/control", faults)

    def silence_store(self, *kinds: str) -> None:
        """Leave calls about each of ``kinds`` unanswered; answer later ones."""
        self.control(mute_store=1)
        self.fleet.wait_until(
            lambda: set(kinds) <= set(request(self.store_port, "GET", "/muted")),
            "silent calls",
        )
        self.control(mute_store=0)

    def runs(self) -> Any:
        """Return the requests that the endpoints ran."""
        return request(self.store_port, "GET", "/runs")

    def call(
        self,
        path: str,
        id: str,
        method: str = "POST",
        body: bytes = b"x",
        **headers: str,
    ) -> tuple[HTTPResponse, bytes]:
        """Send a request as a client; return the response and its body."""
        connection = self.connect()
        self.send(connection, path, id, method, body, **headers)
        response = connection.getresponse()
        content = response.read()
        connection.close()
        return response, content

    def connect(self) -> HTTPConnection:
        """Return a connection of a client."""
        return HTTPConnection(HOST, self.client_port, timeout=TIMEOUT_S)

    def send(
        self,
        connection: HTTPConnection,
        path: str,
        id: str,
        method: str = "POST",
        body: bytes = b"x",
        **headers: str,
    ) -> None:
        """Send a request as a client and return at once."""
        sent = {"Host": "site.example", "Attempt-Id": id, "Deadline-Ms": "15000"}
        sent.update({name.replace("_", "-"): text for name, text in headers.items()})
        connection.request(method, path, body, sent)

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes on a new connection; return all bytes until it closes."""
        with socket.create_connection(
            (HOST, self.client_port), TIMEOUT_S
        ) as connection:
            connection.sendall(data)
            return b"".join(iter(lambda: connection.recv(65536), b""))

    @property
    def process(self) -> "subprocess.Popen[bytes]":
        """The process of the entry daemon."""
        return self.fleet.process_by_name["entry"].popen
