"""Tests of forwarded requests at an endpoint that repeats its answers."""

import contextlib
import socket
import threading
import time
from dataclasses import replace

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.ports import (
    AnswerKind,
    ClientRequest,
    SendOptions,
)
from camphoryard.platform.dialect import PlatformDialect
from camphoryard.state.errors import BrokenCallError, StalledCallError
from camphoryard.state.ids import EndpointId, RequestId, Urgency
from camphoryard.transport.http_client import (
    MAX_REFUSED_IDS,
    Address,
    HttpCall,
    HttpClient,
)
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


class RepeatingEndpoint(Endpoint):
    """Declines its first request; copies of it precede later answers there."""

    def __init__(self, status=b"503 Full"):
        super().__init__()
        self._status = status
        self.has_declined = False

    def _answer(self, connection):
        refusal = b""
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65_536):
                id = data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                if self.has_declined:
                    connection.sendall(refusal + success(id))
                    continue
                self.has_declined = True
                refusal = b"HTTP/1.1 %s\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n%s" % (
                    self._status,
                    id,
                    NO_BODY,
                )
                connection.sendall(refusal)


class ReportingEndpoint(Endpoint):
    """Reports without an id; the report precedes the next answer there once more."""

    REPORT = b"HTTP/1.1 200 OK\r\n" + NO_BODY

    def _answer(self, connection):
        earlier = b""
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65_536):
                id = data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                answer = success(id) if id else self.REPORT
                connection.sendall(earlier + answer)
                earlier = answer


@pytest.fixture
def client():
    """Return a client, closed after the test."""
    client = HttpClient()
    yield client
    client.close()


@pytest.fixture
def send(client):
    """Return a function that sends a request and returns the kind of its answer."""
    upstream = HttpUpstream(client, PlatformDialect())

    def send_request(endpoint, id):
        now_s = time.monotonic()
        headers = {"Attempt-Id": id}
        request = ClientRequest(
            RequestId(id), "POST", "h", "/", headers, b"", now_s, now_s + TIMEOUT_S
        )
        options = SendOptions(
            now_s + TIMEOUT_S,
            TIMEOUT_S,
            TIMEOUT_S,
            lambda: False,
            Urgency(5),
            None,
            1.0,
        )
        answer = upstream.open(endpoint, request, options, Cancellation())
        with contextlib.closing(answer):
            answer.body()
        return answer.head.kind

    return send_request


class TestRepeatedRefusals:
    """An earlier refusal, written once more on a kept connection."""

    def test_refusal_of_another_request_is_skipped(self, send):
        """The request gets its own answer, which follows."""
        copy = refusal(b"Attempt-Id: a\r\n")
        endpoint = Endpoint(copy, copy + success(b"b"))
        assert send(endpoint.endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint.endpoint, "b") is AnswerKind.SERVED
        assert endpoint.connections == 1

    def test_refusal_without_id_on_a_used_connection_proves_nothing(self, send):
        """The request may be running while the copy is read."""
        endpoint = Endpoint(refusal(), refusal() + success(b"b"))
        assert send(endpoint.endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint.endpoint, "b") is AnswerKind.UNTRUSTED

    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (b"503 Full", AnswerKind.NOT_RUN),
            (b"421 Other", AnswerKind.NOT_LOADED),
            (b"302 Found", AnswerKind.NOT_RUN),
        ],
    )
    def test_request_that_is_sent_again_does_not_read_its_own_refusal(
        self, send, status, kind
    ):
        """The copy has the right id, so the connection that carries it is avoided."""
        endpoint = RepeatingEndpoint(status)
        assert send(endpoint.endpoint, "a") is kind
        assert send(endpoint.endpoint, "a") is AnswerKind.SERVED
        assert endpoint.connections == 2

    def test_connection_with_a_refusal_serves_other_requests(self, send):
        """New connections are dear, and the id tells the copy from their answers."""
        endpoint = RepeatingEndpoint()
        send(endpoint.endpoint, "a")
        assert send(endpoint.endpoint, "b") is AnswerKind.SERVED
        assert endpoint.connections == 1

    def test_request_uses_another_pooled_connection_than_that_of_its_refusal(
        self, client, send
    ):
        """It needs a new connection only if there is no other."""
        endpoint = RepeatingEndpoint()
        send(endpoint.endpoint, "a")
        address = endpoint.endpoint.address
        assert client.can_connect(Address(address.host, address.port), TIMEOUT_S)
        assert send(endpoint.endpoint, "a") is AnswerKind.SERVED
        assert client.opened_connections == 2

    def test_connection_that_carried_many_refusals_is_closed(self, client, send):
        """It remembers a bounded number of ids, and forgets none of them."""
        ids = [str(number) for number in range(MAX_REFUSED_IDS)]
        refusals = [refusal(b"Attempt-Id: %s\r\n" % id.encode()) for id in ids]
        endpoint = Endpoint(*refusals, success(b"a"))
        for id in ids:
            send(endpoint.endpoint, id)
        assert client.opened_connections == 1
        send(endpoint.endpoint, "a")
        assert client.opened_connections == 2

    # Guards against REFUSED and TWICE: a request ran while the copy of its refusal,
    # from the endpoint that had taken over the address, was taken for its answer.
    def test_request_to_the_next_endpoint_at_its_address_is_told_from_the_copy(
        self, send
    ):
        """The refusal came in the name of an endpoint that has left the address."""
        address = RepeatingEndpoint(status=b"421 Other")
        former = replace(address.endpoint, id=EndpointId("i-0"))
        assert send(former, "a") is AnswerKind.NOT_LOADED
        assert send(address.endpoint, "a") is AnswerKind.SERVED

    def test_only_copies_break_the_call(self, send):
        """An endpoint that answers earlier requests alone is not waited for."""
        copy = refusal(b"Attempt-Id: a\r\n")
        endpoint = Endpoint(copy, copy * 9)
        send(endpoint.endpoint, "a")
        with pytest.raises(BrokenCallError):
            send(endpoint.endpoint, "b")


class TestPooledConnections:
    """Which of several pooled connections a declined request gets."""

    # Guards against REFUSED and TWICE: the connection used last, which has the copy of
    # the refusal, came first.
    def test_declined_request_gets_one_that_was_idle_for_longer(self, client, send):
        """Neither the connection of its refusal nor a new one is used."""
        endpoint = RepeatingEndpoint()
        address = endpoint.endpoint.address
        for _ in range(2):
            assert client.can_connect(Address(address.host, address.port), TIMEOUT_S)
        assert send(endpoint.endpoint, "a") is AnswerKind.NOT_RUN
        assert send(endpoint.endpoint, "a") is AnswerKind.SERVED
        assert client.opened_connections == 2

    # Guards against requests that fail though they run: the copy of a report was taken
    # for their answer.
    def test_request_is_not_answered_by_the_copy_of_a_report(self, client, send):
        """The copy has no id that would tell it from the answer."""
        endpoint = ReportingEndpoint()
        address = endpoint.endpoint.address
        client.call(Address(address.host, address.port), HttpCall("GET", "/report"))
        assert send(endpoint.endpoint, "a") is AnswerKind.SERVED


class StreamingEndpoint(Endpoint):
    """Sends ``count`` events of a stream, one each ``EVENT_S``, and no end of it."""

    EVENT_S = 0.02
    EVENT = b"id: 1\ndata: a\n\n"

    def __init__(self, count):
        super().__init__()
        self._count = count

    def _answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(self._count):
                connection.sendall(b"%x\r\n%b\r\n" % (len(self.EVENT), self.EVENT))
                time.sleep(self.EVENT_S)
            connection.recv(65_536)


# Guards against CONFIG: the reader of a stream had another end than its call, so that a
# stream which hung was read past the time-out of its route.
class TestStreamDeadline:
    """Streams that are not complete at the deadline of their call."""

    DEADLINE_S = 0.5
    LATE_S = 0.5

    @pytest.mark.parametrize("count", [1, 200], ids=["silent", "endless"])
    def test_stream_stalls_at_the_deadline_whoever_keeps_waiting(self, client, count):
        """Neither a pause that is waited out nor more events extend it."""
        endpoint = StreamingEndpoint(count).endpoint
        began_s = time.monotonic()
        late_s = began_s + self.DEADLINE_S + self.LATE_S
        request = ClientRequest(
            RequestId("a"), "POST", "h", "/", {}, b"", began_s, began_s + TIMEOUT_S
        )
        options = SendOptions(
            began_s + self.DEADLINE_S,
            self.DEADLINE_S,
            self.DEADLINE_S,
            lambda: False,
            Urgency(5),
            None,
            1.0,
        )
        upstream = HttpUpstream(client, PlatformDialect())
        with contextlib.closing(
            upstream.open(endpoint, request, options, Cancellation())
        ) as answer:
            with pytest.raises(StalledCallError):
                for _ in answer.iter_body(0.2, lambda: time.monotonic() < late_s):
                    pass
        assert self.DEADLINE_S <= time.monotonic() - began_s < self.DEADLINE_S + 0.2
