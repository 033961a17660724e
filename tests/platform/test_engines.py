"""Tests of the reports of engines."""

import contextlib
import socket
import threading

import pytest

from camphoryard.coordination.loading.ports import EngineOrder
from camphoryard.coordination.routing.endpoint_notices import EndpointNotices
from camphoryard.platform.engines import PlatformEngines
from camphoryard.state.directory import Directory
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import ModelId
from camphoryard.state.traffic import RequestedModel
from camphoryard.transport.http_client import (
    Address,
    HttpAnswer,
    HttpCall,
    HttpClient,
)
from tests.fakes.engines import SERVICE, Clock, RecordedLog, make_endpoint


class Client:
    """A client whose calls all get the same answer."""

    def __init__(self, status, body, headers=None):
        self.calls = 0
        self._answer = HttpAnswer(status, headers or {}, body)

    def call(self, address, call):
        """Return the answer."""
        self.calls += 1
        return self._answer


def make_notices():
    """Return the notices of endpoints in a directory that has ``e1``."""
    directory = Directory(Clock())
    directory.observe(make_endpoint("e1"))
    return EndpointNotices(directory, RecordedLog(), Clock())


def report(status, body):
    """Return the report in an answer."""
    return PlatformEngines(Client(status, body), make_notices()).report(
        make_endpoint("e1")
    )


class TestReport:
    """Answers to a request for a report."""

    def test_report_is_read(self):
        """It says what is loaded and how many orders were accepted."""
        body = b'{"models":[{"name":"m1","version":1,"adapters":["a1"]}],"seq":2}'
        found = report(200, body)
        assert set(found.loaded_by_model) == {"m1"}
        assert found.orders_accepted == 2

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (503, b'{"error":"full"}'),
            (503, b'{"models":[],"seq":0}'),
            (421, b"{}"),
            (200, b"{}"),
            (200, b'{"models":[]}'),
            (200, b"ok"),
        ],
    )
    def test_anything_else_is_no_report(self, status, body):
        """An engine that seems to be empty would be ordered to load too much."""
        with pytest.raises(BrokenCallError):
            report(status, body)


class TestNotices:
    """What engines say of themselves in answers to reports and orders."""

    ORDER = EngineOrder(OrderKind.LOAD, RequestedModel(ModelId("m1")), "n1", 1, 0)

    def test_engine_that_wants_a_rest_gets_neither_report_calls_nor_orders(self):
        """Both calls would count as made against its word."""
        client = Client(503, b"", {"Retry-After": "2.5"})
        engines = PlatformEngines(client, make_notices())
        with pytest.raises(BrokenCallError):
            engines.report(make_endpoint("e1"))
        with pytest.raises(NotSentError):
            engines.report(make_endpoint("e1"))
        with pytest.raises(NotSentError):
            engines.order(make_endpoint("e1"), self.ORDER, lambda: True)
        assert client.calls == 1

    def test_report_that_says_the_engine_leaves_is_heeded(self):
        """The leader loads nothing there."""
        client = Client(200, b'{"models":[],"seq":0}', {"server-leaving": "1"})
        notices = make_notices()
        PlatformEngines(client, notices).report(make_endpoint("e1"))
        assert notices.directory.ready(SERVICE) == []


# Guards against a false failure: the second answer to a forwarded request was taken for
# the answer to the call for a report.
class TestSecondAnswers:
    """Answers that an endpoint sends a second time, on a connection that is kept."""

    FORWARDED = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a\r\n"
    NO_BODY = b"Content-Length: 0\r\n\r\n"
    REPORT = b'{"models":[],"seq":7}'

    def test_report_is_told_from_the_answer_to_a_request(self):
        """Only the latter bears an id."""
        forwarded = self.FORWARDED + self.NO_BODY
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.REPORT)
        report = head + self.REPORT

        def answer_calls(connection):
            earlier = b""
            with connection, contextlib.suppress(OSError):
                while data := connection.recv(4096):
                    is_report = data.startswith(b"GET /report")
                    answer = report if is_report else forwarded
                    connection.sendall(earlier + answer)
                    earlier = answer

        def accept(listener):
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    threading.Thread(
                        target=answer_calls, args=(connection,), daemon=True
                    ).start()

        with socket.create_server(("127.0.0.1", 0)) as listener:
            threading.Thread(target=accept, args=(listener,), daemon=True).start()
            port = listener.getsockname()[1]
            client = HttpClient()
            client.call(Address("127.0.0.1", port), HttpCall("POST", "/", id="a"))
            engines = PlatformEngines(client, make_notices())
            found = engines.report(make_endpoint("e1", port=port))
            client.close()
        assert found.orders_accepted == 7
