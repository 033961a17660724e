"""Tests of the entry daemon as a process, against a stand-in of the platform."""

import signal
import socket
import subprocess
import sys
import time
from http.client import HTTPConnection

import pytest

from standins.fleet import HOST, Fleet, free_port, request

IDLE_MS = 15_000
GRACE_S = 4
LIMIT_S = 30.0
SETTINGS = """\
node-name = "{name}"
ip = "{host}"
zone = "zone-a"
inner-port-range = [{peer_port},{peer_port}]
new-field = "ignored"
metrics-port = 0
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[bounds]
grace-s = {grace_s}
drain-ms = 2000
require-fence = true
[cloud-platform]
address = "{host}:{store}"
"""


def make_route(name, kind, service, **fields):
    """Return a route of the host ``site.example`` below its own name."""
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
CONFIG = {
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


class Site:
    """The platform's stand-in and one entry daemon."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = fleet.start_standin("platform", "entry_platform", "--host", HOST)
        fleet.wait_ready(["platform"])
        self.put("config", "main", CONFIG)
        for name, service in (("i-1", "models"), ("i-2", "desk")):
            entry = {
                "service": service,
                "address": f"{HOST}:{self.store}",
                "zone": "zone-a",
                "slots": 8,
                "state": "ready",
                "born": 1,
                "models": [],
                "at-hand": {"on-disk": ["m1"]},
            }
            self.put("servers", name, entry)
        self.front, self.ready = free_port(), free_port()
        path = fleet.folder / "entry.toml"
        path.write_text(
            SETTINGS.format(
                name="entry-1",
                host=HOST,
                peer_port=free_port(),
                front=self.front,
                ready=self.ready,
                grace_s=GRACE_S,
                store=self.store,
            )
        )
        fleet._start("entry", self.ready, ["-m", "camphoryard.entry.daemon", str(path)])
        fleet.wait_ready(["entry"], "/ready")

    def put(self, kind, name, spec):
        """Write an object of the store, whatever was there."""
        body = {"metadata": {"name": name}, "spec": spec}
        return request(self.store, "PUT", f"/objects/{kind}/{name}", body)

    def control(self, **faults):
        """Set faults of the stand-in."""
        request(self.store, "POST", "/control", faults)

    def runs(self):
        """Return what endpoints ran."""
        return request(self.store, "GET", "/runs")

    def call(self, path, id, method="POST", body=b"x", **headers):
        """Send a client's request; return its answer and body."""
        connection = HTTPConnection(HOST, self.front, timeout=LIMIT_S)
        sent = {"Host": "site.example", "Attempt-Id": id, "Deadline-Ms": "15000"}
        sent.update({name.replace("_", "-"): text for name, text in headers.items()})
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        content = response.read()
        connection.close()
        return response, content

    def raw(self, data):
        """Send bytes on a connection of their own; return all that comes back."""
        with socket.create_connection((HOST, self.front), LIMIT_S) as connection:
            connection.sendall(data)
            return b"".join(iter(lambda: connection.recv(65536), b""))

    @property
    def process(self):
        """The daemon."""
        return self.fleet.process_by_name["entry"].popen


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share."""
    with Fleet() as fleet:
        yield Site(fleet)


class TestPath:
    """The whole path from the client to the endpoint."""

    def test_a_booking_runs_once_and_its_answer_is_the_endpoints(self, site):
        """Body and signature come from the endpoint."""
        response, body = site.call("/book/1", "b1", body=b"seat 4")
        assert (response.status, body) == (200, b"done")
        assert response.headers["Server-Seal"] == "s.1"
        assert [run for run in site.runs() if run["id"] == "b1"] == [
            {"id": "b1", "path": "/book/1", "body": "seat 4"}
        ]

    def test_a_model_that_nobody_holds_is_loaded(self, site):
        """The stream of the first request for it comes whole, its adapter too."""
        response, body = site.call("/chat/1", "c1", Model="m1/a2")
        assert response.status == 200
        assert body.count(b"data:") == 10

    def test_a_stream_that_breaks_within_an_event_goes_on(self, site):
        """The client gets each event once."""
        site.call("/chat/1", "c2", Model="m1")
        site.control(cut_after=3)
        _, body = site.call("/chat/1", "c3", Model="m1")
        numbers = [line for line in body.splitlines() if line.startswith(b"id:")]
        assert numbers == [f"id: {n}".encode() for n in range(1, 11)]

    def test_metrics_tell_counts_and_latencies(self, site):
        """They are served beside readiness."""
        site.call("/book/1", "b0")
        text = request(site.ready, "GET", "/metrics")
        assert "camphoryard_requests_answered_total" in text
        assert 'camphoryard_request_seconds{quantile="0.99"}' in text

    def test_an_unknown_host_is_not_found(self, site):
        """No route takes it."""
        assert site.call("/none/", "n1")[0].status == 404

    def test_a_new_configuration_is_in_force_within_two_seconds(self, site):
        """The route that it adds serves."""
        routes = [*CONFIG["routes"], make_route("new", "idempotent", "desk")]
        site.put("config", "main", {**CONFIG, "version": 2, "routes": routes})
        until_s = time.monotonic() + 2.0
        while site.call("/new/1", "r1")[0].status != 200:
            assert time.monotonic() < until_s

    def test_an_outage_of_the_store_stops_nothing(self, site):
        """What is known goes on being served."""
        site.control(silent_store=1)
        response, _ = site.call("/book/1", "b2")
        site.control(silent_store=0)
        assert response.status == 200


class TestBadInput:
    """What clients may not send."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"GET /book/1 HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /book/1 HTTP/1.1\r\nHost: site.example\r\n\r\n", b"400"),
            (
                b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: s1\r\n"
                b"Content-Length: 45\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\nGET /book/2 HTTP/1.1\r\nHost: site.example\r\n\r\n",
                b"400",
            ),
            (b"POST /book/1 HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n", b"413"),
            (b"GET /book/1 HTTP/1.1\r\nHo", b"408"),
        ],
    )
    def test_it_gets_a_clear_answer_and_nothing_runs(self, site, data, status):
        """Each closes its own connection only."""
        before = len(site.runs())
        answered = site.raw(data)
        assert answered.split(b" ")[1] == status
        assert answered.count(b"HTTP/1.1 ") + answered.count(b"HTTP/1.0 ") == 1
        assert len(site.runs()) == before


class TestMalformedEntries:
    """Entries of other writers."""

    def test_they_name_no_endpoint_and_lose_none(self, site):
        """Requests go on to the endpoints that can be read."""
        site.put("servers", "i-x", {"service": "desk", "address": 5})
        site.put("servers", "i-y", "nothing")
        time.sleep(1.2)
        statuses = {site.call("/book/1", f"m{n}")[0].status for n in range(5)}
        assert statuses == {200}


class TestStop:
    """SIGTERM."""

    def test_a_stream_under_way_is_finished(self):
        """The balancer is told first; the process ends by itself in its grace time."""
        with Fleet() as fleet:
            site = Site(fleet)
            site.control(events=60)
            site.call("/chat/1", "w1", Model="m1")
            connection = HTTPConnection(HOST, site.front, timeout=LIMIT_S)
            headers = {"Host": "site.example", "Attempt-Id": "w2", "Model": "m1"}
            connection.request("POST", "/chat/1", b"", headers)
            response = connection.getresponse()
            began_s = time.monotonic()
            site.process.send_signal(signal.SIGTERM)
            assert response.read().count(b"data:") == 60
            assert site.process.wait(GRACE_S + 1) == 0
            assert time.monotonic() - began_s < GRACE_S


class TestSettings:
    """The platform's settings file."""

    def test_a_missing_field_is_named(self, tmp_path):
        """One line, and exit code 2."""
        path = tmp_path / "node.toml"
        path.write_text('node-name = "n"\n')
        done = subprocess.run(
            [sys.executable, "-m", "camphoryard.entry.daemon", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
        assert "missing required field" in done.stderr
