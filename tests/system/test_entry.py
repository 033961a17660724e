"""Tests of the entry daemon process against a stand-in of the platform."""

import itertools
import signal
import subprocess
import sys
import time
from http.client import HTTPConnection, HTTPException

import pytest

from standins.entry_site import CONFIG, GRACE_S, TIMEOUT_S, EntrySite, make_route
from standins.fleet import HOST, Fleet, request


@pytest.fixture(scope="module")
def site():
    """Return a site that the tests of this module share."""
    with Fleet() as fleet:
        yield EntrySite(fleet)


class TestPath:
    """Requests from the client to the endpoint."""

    def test_booking_runs_once_and_endpoint_answer_is_forwarded(self, site):
        """The body and the signature header are those of the endpoint."""
        response, body = site.call("/book/1", "b1", body=b"seat 4")
        assert (response.status, body) == (200, b"done")
        assert response.headers["Server-Seal"] == "s.1"
        assert [run for run in site.runs() if run["id"] == "b1"] == [
            {"id": "b1", "path": "/book/1", "body": "seat 4"}
        ]

    def test_model_not_loaded_anywhere_is_loaded(self, site):
        """The first request for a model and its adapter gets a complete stream."""
        response, body = site.call("/chat/1", "c1", Model="m1/a2")
        assert response.status == 200
        assert body.count(b"data:") == 10

    def test_stream_broken_within_an_event_is_resumed(self, site):
        """The client receives each event exactly once."""
        site.call("/chat/1", "c2", Model="m1")
        site.control(cut_after=3)
        _, body = site.call("/chat/1", "c3", Model="m1")
        numbers = [line for line in body.splitlines() if line.startswith(b"id:")]
        assert numbers == [f"id: {n}".encode() for n in range(1, 11)]

    def test_metrics_have_counts_and_latencies(self, site):
        """The readiness listener serves the metrics."""
        site.call("/book/1", "b0")
        text = request(site.ready_port, "GET", "/metrics")
        assert "camphoryard_requests_answered_total" in text
        assert 'camphoryard_request_seconds{quantile="0.99"}' in text

    def test_unknown_host_is_not_found(self, site):
        """A request that matches no route gets 404."""
        assert site.call("/none/", "n1")[0].status == 404

    def test_new_configuration_applies_within_two_seconds(self, site):
        """An added route serves requests."""
        routes = [*CONFIG["routes"], make_route("new", "idempotent", "desk")]
        site.put("config", "main", {**CONFIG, "version": 2, "routes": routes})
        until_s = time.monotonic() + 2.0
        while site.call("/new/1", "r1")[0].status != 200:
            assert time.monotonic() < until_s

    def test_store_outage_does_not_stop_serving(self, site):
        """Requests are served from the last known state."""
        site.control(silent_store=1)
        response, _ = site.call("/book/1", "b2")
        site.control(silent_store=0)
        assert response.status == 200


STABLE_WINDOW_S = 3.0
"""Time after an outage of the store in which nodes catch up."""
DRAIN_S = 2.0
"""Time in which a node stops sending requests to an endpoint that leaves."""
APPLY_S = 2.0
"""Time in which a node applies a configuration."""


class TestSilentStore:
    """Views of a store that left calls unanswered and answers again."""

    # Guards against DRAIN: a watch that would never be answered was waited for in full
    # while the store answered again, so nodes used endpoints that had left.
    def test_endpoint_leaving_after_a_silence_of_the_store_gets_no_requests(self):
        """The node follows the endpoints again once the store is stable."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.silence_store("servers")
            site.put("servers", "i-2", site.endpoint("desk", "draining"))
            until_s = time.monotonic() + STABLE_WINDOW_S + DRAIN_S
            while site.call("/book/1", "b3")[0].status != 503:
                assert time.monotonic() < until_s

    # Guards against the same silence in the view of the configuration.
    def test_configuration_after_a_silence_of_the_store_is_applied(self):
        """The node follows the configuration again once the store is stable."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.silence_store("config")
            routes = [*CONFIG["routes"], make_route("new", "idempotent", "desk")]
            site.put("config", "main", {**CONFIG, "version": 2, "routes": routes})
            until_s = time.monotonic() + STABLE_WINDOW_S + APPLY_S
            while site.call("/new/1", "r2")[0].status != 200:
                assert time.monotonic() < until_s


class TestNotices:
    """What endpoints say of themselves in their answers."""

    # Guards against DRAIN: requests after an answer that says the endpoint leaves.
    def test_endpoint_that_says_it_leaves_gets_requests_only_after_a_new_start(self):
        """The store still lists it as ready."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.control(leaving=1)
            response, _ = site.call("/book/1", "b1")
            assert (response.status, response.headers["Server-Leaving"]) == (200, "1")
            statuses = [site.call("/book/1", f"b2-{n}")[0].status for n in range(20)]
            assert set(statuses) == {503}
            site.control(leaving=0)
            site.put("servers", "i-2", {**site.endpoint("desk"), "born": 2})
            until_s = time.monotonic() + DRAIN_S
            while site.call("/book/1", "b3")[0].status != 200:
                assert time.monotonic() < until_s
            assert {run["id"] for run in site.runs()} == {"b1", "b3"}

    # Guards against BUDGET: requests in the time that an endpoint has asked for.
    def test_endpoint_that_asks_for_time_gets_nothing_meanwhile(self):
        """Callers are refused at once, and told when it is back."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.control(rest_ms=1500)
            assert site.call("/book/1", "b1")[0].status == 503
            site.control(rest_ms=0)
            response, _ = site.call("/book/1", "b2")
            assert response.status == 503
            assert 0 < float(response.headers["Retry-After"]) <= 1.5 * 1.25
            until_s = time.monotonic() + 1.5 * 1.25 + 1.0
            while site.call("/book/1", "b3")[0].status != 200:
                assert time.monotonic() < until_s
            assert int(request(site.store_port, "GET", "/turned-away")) == 1


class TestBadInput:
    """Invalid requests of clients."""

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
    def test_error_status_and_no_execution(self, site, data, status):
        """The client gets one error answer, and no endpoint executes anything."""
        before = len(site.runs())
        answer = site.send_raw(data)
        assert answer.split(b" ")[1] == status
        assert answer.count(b"HTTP/1.1 ") + answer.count(b"HTTP/1.0 ") == 1
        assert len(site.runs()) == before


class TestMalformedEntries:
    """Malformed endpoint entries in the store."""

    def test_malformed_entries_are_ignored(self, site):
        """Requests are still served by the endpoints with valid entries."""
        site.put("servers", "i-x", {"service": "desk", "address": 5})
        site.put("servers", "i-y", "nothing")
        time.sleep(1.2)
        statuses = {site.call("/book/1", f"m{n}")[0].status for n in range(5)}
        assert statuses == {200}


UNFINISHED = (
    *(("/book/1", f"u{number}") for number in range(20)),
    ("/draft/1", "u20"),
)
"""Paths and ids of requests that a stop does not let finish: some that may run once,
and a stream whose answer has not begun."""


# Guards against CONFIG: a stream that hung after its first events was held until the
# deadline of its client, long past the time-out of its route.
class TestRouteTimeout:
    """Streams that are not complete at the time-out of their route."""

    ROUTE_TIMEOUT_S = 1.0
    ANSWER_TIME_S = 0.5
    """Time in which a request past the time-out has its final answer, by the rule."""

    @pytest.mark.parametrize(
        "fault", [{"hang_after": 2}, {"events": 100_000}], ids=["silent", "endless"]
    )
    def test_stream_is_cut_long_before_the_deadline_of_its_client(self, fault):
        """The client receives the events so far and an incomplete answer."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            timeout_ms = round(self.ROUTE_TIMEOUT_S * 1000)
            site.add_route("brief", "streaming", "models", **{"timeout-ms": timeout_ms})
            site.call("/chat/1", "w1", Model="m1")
            site.control(**fault)
            connection = site.connect()
            sent_s = time.monotonic()
            site.send(connection, "/brief/1", "t1", Model="m1")
            response = connection.getresponse()
            with pytest.raises(HTTPException) as cut:
                response.read()
            taken_s = time.monotonic() - sent_s
            assert b"id: 2\n" in cut.value.partial
            assert taken_s < self.ROUTE_TIMEOUT_S + self.ANSWER_TIME_S


class TestStop:
    """The daemon stops on SIGTERM."""

    def test_stream_in_flight_completes(self):
        """The stream is complete and the process exits within its grace period."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.control(events=60)
            site.call("/chat/1", "w1", Model="m1")
            connection = HTTPConnection(HOST, site.client_port, timeout=TIMEOUT_S)
            headers = {"Host": "site.example", "Attempt-Id": "w2", "Model": "m1"}
            connection.request("POST", "/chat/1", b"", headers)
            response = connection.getresponse()
            stopped_s = time.monotonic()
            site.process.send_signal(signal.SIGTERM)
            assert response.read().count(b"data:") == 60
            assert site.process.wait(GRACE_S + 1) == 0
            assert time.monotonic() - stopped_s < GRACE_S

    def test_requests_after_the_end_of_admission_are_refused_as_not_run(self):
        """The connection closes, so that the next request goes to another node."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.call("/chat/1", "w1", Model="m1")
            site.control(events=100_000)
            connection = site.connect()
            site.send(connection, "/chat/1", "begun", Model="m1")
            connection.getresponse()
            site.process.send_signal(signal.SIGTERM)
            for number in itertools.count():
                response, _ = site.call("/book/1", f"b{number}")
                if response.status != 200:
                    break
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
            assert response.headers["Connection"] == "close"
            assert f"b{number}" not in {run["id"] for run in site.runs()}
            assert site.process.wait(GRACE_S + 1) == 0

    # Guards against LOST: requests left at the end of the grace were only answered if
    # their tasks were faster than the exit, and counted as crashes of their endpoints.
    def test_requests_that_cannot_finish_are_answered_before_the_exit(self):
        """They may have run, so they get 502; other signals change nothing."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            site.add_route("draft", "streaming", "models", **{"goal-ms": 5000})
            log = fleet.process_by_name["entry"].log
            site.call("/draft/1", "w1", Model="m1")
            # One begins before the stop; the others arrive on connections kept open.
            site.control(events=100_000)
            begun = site.connect()
            site.send(begun, "/draft/1", "begun", Model="m1")
            stream = begun.getresponse()
            site.control(hold=len(UNFINISHED))
            kept = [site.connect() for _ in UNFINISHED]
            for connection in kept:
                site.send(connection, "/none/", "n1")
                assert connection.getresponse().read()
            site.process.send_signal(signal.SIGTERM)
            stopped_s = time.monotonic()
            fleet.wait_until(lambda: "event=stopping" in log.read_text(), "stop")
            for connection, (path, id) in zip(kept, UNFINISHED, strict=True):
                site.send(connection, path, id, Model="m1" if "draft" in path else "")
            ids = {id for _, id in UNFINISHED}
            fleet.wait_until(
                lambda: ids <= {run["id"] for run in site.runs()}, "held requests"
            )
            site.process.send_signal(signal.SIGTERM)
            site.process.send_signal(signal.SIGHUP)
            answers = [connection.getresponse() for connection in kept]
            assert [answer.status for answer in answers] == [502] * len(kept)
            assert {answer.headers["Connection"] for answer in answers} == {"close"}
            with pytest.raises(HTTPException):
                stream.read()
            assert site.process.wait(GRACE_S + 1) == 0
            assert time.monotonic() - stopped_s < GRACE_S
            lines = log.read_text().splitlines()
            unfinished = [line for line in lines if "=request_unfinished" in line]
            assert len(unfinished) == 1 + len(kept)
            assert sum("status=502" in line for line in unfinished) == len(kept)
            assert not any("event=endpoint_crashed" in line for line in lines)


class TestSettings:
    """The platform's settings file."""

    def test_missing_field_is_reported(self, tmp_path):
        """The daemon prints one line and exits with code 2."""
        path = tmp_path / "node.toml"
        path.write_text('node-name = "n"\n')
        result = subprocess.run(
            [sys.executable, "-m", "camphoryard.entry.daemon", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 2
        assert result.stderr.count("\n") == 1
        assert "missing required field" in result.stderr
