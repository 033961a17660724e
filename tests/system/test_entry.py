"""Tests of the entry daemon as a process, against a stand-in of the platform."""

import signal
import subprocess
import sys
import time
from http.client import HTTPConnection

import pytest

from standins.entry_site import CONFIG, GRACE_S, TIMEOUT_S, EntrySite, make_route
from standins.fleet import HOST, Fleet, request


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share."""
    with Fleet() as fleet:
        yield EntrySite(fleet)


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
        text = request(site.ready_port, "GET", "/metrics")
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
        answered = site.send_raw(data)
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
            site = EntrySite(fleet)
            site.control(events=60)
            site.call("/chat/1", "w1", Model="m1")
            connection = HTTPConnection(HOST, site.client_port, timeout=TIMEOUT_S)
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
