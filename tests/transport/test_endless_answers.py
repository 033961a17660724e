"""Tests of answers that go on without end, or a byte at a time."""

import contextlib
import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.ports import ClientRequest, SendOptions
from camphoryard.platform.dialect import PlatformDialect
from camphoryard.state.errors import BrokenCallError, StalledCallError
from camphoryard.state.ids import RequestId, Urgency
from camphoryard.transport.answer_budget import MAX_RESERVED_BYTES
from camphoryard.transport.http_client import Address, HttpCall, HttpClient
from camphoryard.transport.upstream import HttpUpstream
from tests.fakes.engines import make_endpoint

HOST = "127.0.0.1"
NOISE = b"x: " + b"y" * 1000 + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNDELIMITED_HEAD = HEAD + b"\r\n"
TIMEOUT_S = 0.3
BYTE_PERIOD_S = 0.05
END_S = 10 * TIMEOUT_S
"""Time after which a call would never end."""

ENDLESS = {
    "status lines": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": (b"HTTP/1.1 200 OK\r\n", NOISE),
    "one header line": (b"HTTP/1.1 200 OK\r\nx: ", b"y" * 4096),
    "no line end": (b"", b"z" * 4096),
    "body": (UNDELIMITED_HEAD, b"z" * 65_536),
    "chunks": (CHUNKED_HEAD, b"1000\r\n" + b"z" * 0x1000 + b"\r\n"),
    "chunk extension": (CHUNKED_HEAD + b"1;", b"e" * 4096),
    "trailers": (CHUNKED_HEAD + b"0\r\n", NOISE),
    "claimed length": (HEAD + b"Content-Length: 10000000000000\r\n\r\n", b"z" * 65_536),
    "claimed chunk": (CHUNKED_HEAD + b"FFFFFFFFFFFF\r\n", b"z" * 65_536),
}
"""First bytes of an answer and those that are repeated without end."""

TRICKLING = {
    "head": b"HTTP/1.1 200 OK\r\nx: ",
    "body": HEAD + b"Content-Length: 1000\r\n\r\n",
    "trailers": CHUNKED_HEAD + b"0\r\n",
}
"""First bytes of an answer that goes on with a byte now and then."""


@contextlib.contextmanager
def serving(first, later, period_s=0.0):
    """Answer one call with ``first`` and then ``later``; yield the address."""
    with socket.create_server((HOST, 0)) as listener:

        def answer():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(65_536)
                connection.sendall(first)
                for part in later:
                    connection.sendall(part)
                    if period_s:
                        time.sleep(period_s)

        task = threading.Thread(target=answer, daemon=True)
        task.start()
        yield Address(HOST, listener.getsockname()[1])
        task.join(10.0)
        assert not task.is_alive()


@pytest.fixture
def client():
    """Return a client, closed after the test."""
    http_client = HttpClient()
    yield http_client
    http_client.close()


def read_forwarded(client, address, is_stream, time_left_s=2 * TIMEOUT_S):
    """Send a request to ``address`` and read its answer to the end."""
    now_s = time.monotonic()
    deadline_s = now_s + time_left_s
    request = ClientRequest(
        RequestId("r1"), "GET", "h", "/", {}, b"", now_s, deadline_s
    )
    options = SendOptions(
        deadline_s,
        TIMEOUT_S,
        TIMEOUT_S,
        lambda: False,
        Urgency(5),
        None,
        max_idle_s=1.0,
    )
    upstream = HttpUpstream(client, PlatformDialect())
    endpoint = make_endpoint("i-1", port=address.port)
    answer = upstream.open(endpoint, request, options, Cancellation())
    with contextlib.closing(answer):
        if not is_stream:
            answer.body()
            return
        for _ in answer.iter_body(TIMEOUT_S, lambda: False):
            if time.monotonic() > now_s + END_S:
                return


class TestEndlessAnswers:
    """Bytes that come as fast as they are read, until the caller closes."""

    @pytest.mark.parametrize("name", ENDLESS)
    def test_call_breaks(self, client, name):
        """Neither time nor memory of the caller grows without end."""
        first, repeated = ENDLESS[name]
        began_s = time.monotonic()
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError):
                client.call(address, HttpCall("GET", "/"))
        assert time.monotonic() - began_s < END_S

    @pytest.mark.parametrize("name", ENDLESS)
    def test_call_ends_within_twice_its_timeout(self, client, name):
        """The head and the rest of an answer each have the time of the call."""
        first, repeated = ENDLESS[name]
        began_s = time.monotonic()
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError):
                client.call(address, HttpCall("GET", "/", timeout_s=TIMEOUT_S))
        assert time.monotonic() - began_s < END_S

    @pytest.mark.parametrize("name", ENDLESS)
    def test_forwarded_answer_breaks(self, client, name):
        """The same for answers that are forwarded whole."""
        first, repeated = ENDLESS[name]
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError):
                read_forwarded(client, address, is_stream=False)

    @pytest.mark.parametrize("name", ["chunk extension", "trailers"])
    def test_stream_breaks(self, client, name):
        """Bytes of a stream that are no part of its body end it."""
        first, repeated = ENDLESS[name]
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError):
                read_forwarded(client, address, is_stream=True)

    # Guards against the time of other clients that goes to reading them.
    @pytest.mark.parametrize("name", ["status lines", "trailers"])
    def test_lines_are_bounded(self, client, name):
        """Heads before an answer and trailers are not read to the size limit."""
        first, repeated = ENDLESS[name]
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError, match="lines"):
                client.call(address, HttpCall("GET", "/"))

    # Guards against an answer that has run being told to be too large.
    def test_too_many_lines_are_no_large_answer(self, client):
        """The body itself is within the size that the caller accepts."""
        first, repeated = ENDLESS["trailers"]
        with serving(first, itertools.repeat(repeated)) as address:
            with pytest.raises(BrokenCallError, match="lines"):
                client.call(address, HttpCall("GET", "/", max_answer_bytes=1 << 20))

    # Guards against log lines as long as what a server sends.
    def test_error_quotes_little_of_what_was_sent(self, client):
        """A status line may have 64 KiB."""
        with serving(b"z" * 60_000 + b"\r\n\r\n", []) as address:
            with pytest.raises(BrokenCallError) as caught:
                client.call(address, HttpCall("GET", "/"))
        assert len(str(caught.value)) <= 200

    # Guards against LOST: the memory of a daemon grew by each answer without end.
    @pytest.mark.parametrize("name", ["body", "chunks"])
    def test_many_at_once_share_a_budget(self, client, name):
        """It is returned when they are broken off."""
        first, repeated = ENDLESS[name]
        most = []
        with contextlib.ExitStack() as stack, ThreadPoolExecutor(32) as calling:
            addresses = [
                stack.enter_context(serving(first, itertools.repeat(repeated)))
                for _ in range(32)
            ]
            calls = [
                calling.submit(client.call, address, HttpCall("GET", "/"))
                for address in addresses
            ]
            while not all(call.done() for call in calls):
                most.append(client.answer_budget.reserved_bytes)
                time.sleep(0.001)
            for call in calls:
                assert isinstance(call.exception(), BrokenCallError)
        assert 0 < max(most) <= MAX_RESERVED_BYTES
        assert client.answer_budget.reserved_bytes == 0

    @pytest.mark.parametrize("is_framed", [True, False])
    def test_large_answers_are_read_beside_them(self, client, is_framed):
        """A server that is sound gets its share of the memory."""
        body = bytes(range(256)) * (2 << 12)
        length = b"Content-Length: %d\r\n" % len(body) if is_framed else b""
        head = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n"
        first, repeated = ENDLESS["body"]
        with contextlib.ExitStack() as stack, ThreadPoolExecutor(24) as calling:
            faulty = [
                stack.enter_context(serving(first, itertools.repeat(repeated)))
                for _ in range(16)
            ]
            sound = [stack.enter_context(serving(head, [body])) for _ in range(8)]
            calls = [
                calling.submit(client.call, address, HttpCall("GET", "/"))
                for address in faulty + sound
            ]
            for call in calls[: len(faulty)]:
                assert isinstance(call.exception(), BrokenCallError)
            assert all(call.result().body == body for call in calls[len(faulty) :])


class TestTricklingAnswers:
    """A byte now and then, each before the socket's timeout."""

    @pytest.mark.parametrize("name", TRICKLING)
    def test_call_stalls(self, client, name):
        """The time for the whole answer ends the call."""
        later = itertools.repeat(b"y", int(END_S / BYTE_PERIOD_S))
        call = HttpCall(
            "GET", "/", timeout_s=TIMEOUT_S, max_answer_time_s=2 * TIMEOUT_S
        )
        began_s = time.monotonic()
        with serving(TRICKLING[name], later, BYTE_PERIOD_S) as address:
            with pytest.raises(StalledCallError):
                client.call(address, call)
            assert time.monotonic() - began_s < END_S

    @pytest.mark.parametrize(
        ("name", "is_stream"),
        [
            ("head", False),
            ("body", False),
            ("trailers", False),
            ("head", True),
            ("trailers", True),
        ],
    )
    def test_forwarded_answer_stalls(self, client, name, is_stream):
        """Head, body and the end of a stream each have their time."""
        later = itertools.repeat(b"y", int(END_S / BYTE_PERIOD_S))
        began_s = time.monotonic()
        with serving(TRICKLING[name], later, BYTE_PERIOD_S) as address:
            with pytest.raises(StalledCallError):
                read_forwarded(client, address, is_stream)
            assert time.monotonic() - began_s < END_S


class TestSoundAnswers:
    """Answers that take long and are sound."""

    def test_slow_stream_is_read_to_its_end(self, client):
        """Time counts anew for each part of a stream."""
        parts = [b"1\r\nz\r\n"] * int(3 * TIMEOUT_S / BYTE_PERIOD_S)
        with serving(CHUNKED_HEAD, [*parts, b"0\r\n\r\n"], BYTE_PERIOD_S) as address:
            read_forwarded(client, address, is_stream=True, time_left_s=END_S)

    def test_large_answer_is_read(self, client):
        """An answer of some megabytes is complete."""
        body = bytes(4 << 20)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        with serving(head, [body]) as address:
            assert client.call(address, HttpCall("GET", "/")).body == body
