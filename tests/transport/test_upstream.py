"""Tests of forwarded requests at an endpoint that repeats its answers."""

import contextlib
import socket
import threading
import time

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.ports import (
    AnswerKind,
    ClientRequest,
    SendOptions,
)
from camphoryard.platform.dialect import PlatformDialect
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId, Urgency
from camphoryard.transport.http_client import HttpClient
from camphoryard.transport.upstream import HttpUpstream
from tests.fakes.engines import make_endpoint

NO_BODY = b"Content-Length: 0\r\n\r\n"
TIMEOUT_S = 5.0


def refusal(id_line=b""):
    """Return an answer saying that a request has not run."""
    return b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + id_line + NO_BODY


def success(id, body=b"ok"):
    """Return the answer to the request ``id``."""
    return (
        b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (id, len(body), body)
    )


class Endpoint:
    """Answers the requests of all its connections with ``answers``, in order."""

    def __init__(self, *answers):
        self.connections = 0
        self._answers = list(answers)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.endpoint = make_endpoint("i-1", port=self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self.connections += 1
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        with connection, contextlib.suppress(OSError):
            while connection.recv(65_536):
                connection.sendall(self._answers.pop(0))


@pytest.fixture
def send():
    """Return a function that sends a request and returns the kind of its answer."""
    client = HttpClient()
    upstream = HttpUpstream(client, PlatformDialect())

    def send_request(endpoint, id, needs_new_connection=False):
        now_s = time.monotonic()
        request = ClientRequest(
            RequestId(id), "POST", "h", "/", {}, b"", now_s, now_s + TIMEOUT_S
        )
        options = SendOptions(
            now_s + TIMEOUT_S,
            TIMEOUT_S,
            TIMEOUT_S,
            lambda: False,
            Urgency(5),
            None,
            1.0,
            needs_new_connection,
        )
        answer = upstream.open(endpoint.endpoint, request, options, Cancellation())
        with contextlib.closing(answer):
            answer.body()
        return answer.head.kind

    yield send_request
    client.close()


class TestRepeatedRefusals:
    """An earlier refusal, written once more on a kept connection."""

    def test_refusal_of_another_request_is_skipped(self, send):
        """The request gets its own answer, which follows."""
        copy = refusal(b"Attempt-Id: a\r\n")
        endpoint = Endpoint(copy, copy + success(b"b"))
        assert send(endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint, "b") is AnswerKind.SERVED
        assert endpoint.connections == 1

    def test_refusal_without_id_on_a_used_connection_proves_nothing(self, send):
        """The request may be running while the copy is read."""
        endpoint = Endpoint(refusal(), refusal() + success(b"b"))
        assert send(endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint, "b") is AnswerKind.UNTRUSTED

    def test_request_that_is_sent_again_does_not_read_its_own_refusal(self, send):
        """The copy has the right id, so the connection that carries it is avoided."""
        copy = refusal(b"Attempt-Id: a\r\n")
        endpoint = Endpoint(copy, success(b"a"))
        assert send(endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint, "a", needs_new_connection=True) is AnswerKind.SERVED
        assert endpoint.connections == 2

    def test_only_copies_break_the_call(self, send):
        """An endpoint that answers earlier requests alone is not waited for."""
        copy = refusal(b"Attempt-Id: a\r\n")
        endpoint = Endpoint(copy, copy * 9)
        send(endpoint, "a")
        with pytest.raises(BrokenCallError):
            send(endpoint, "b")
