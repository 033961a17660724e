"""Tests of the HTTP server over real sockets."""

import queue
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from waitress.channel import ClientDisconnected

from camphoryard.transport.http_server import CANCELLATION, HttpResponse, make_server

HOST = "127.0.0.1"
FAR_S = 1e9
LIMIT_S = 30.0
LARGE_BYTES = 32 << 20
PIECE_BYTES = 1 << 20
REQUEST = b"GET / HTTP/1.0\r\n\r\n"


class Application:
    """Answers with a body; its events tell how far a request has come."""

    def __init__(self, body=b"ok", waits=False):
        self.began, self.gone = threading.Event(), threading.Event()
        self.may_answer = threading.Event()
        self._body = body
        if not waits:
            self.may_answer.set()

    def __call__(self, environ, start_response):
        """Answer one request."""
        environ[CANCELLATION].subscribe(self.gone.set)
        environ[CANCELLATION].subscribe(self.may_answer.set)
        self.began.set()
        self.may_answer.wait(LIMIT_S)
        start_response("200 OK", [("Content-Length", str(len(self._body)))])
        return [self._body]


@pytest.fixture
def run():
    """Return a function that runs a server for an application."""
    servers = []
    executor = ThreadPoolExecutor()

    def start(app):
        server = make_server(app, HOST, 0, executor, lambda *_: HttpResponse(400, b""))
        threading.Thread(target=server.run, daemon=True).start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()
    executor.shutdown()


def connect(server):
    """Return a connection that has sent a request."""
    connection = socket.create_connection((HOST, server.effective_port))
    connection.sendall(REQUEST)
    return connection


class TestWaitFlushed:
    """Waiting for the last byte."""

    def test_waits_for_what_is_buffered(self, run):
        """An answer that its reader has not taken is not done."""
        app = Application(b"x" * LARGE_BYTES)
        server = run(app)
        with connect(server) as reader:
            app.began.wait()
            assert not server.wait_flushed(time.monotonic())
            received = sum(map(len, iter(lambda: reader.recv(1 << 20), b"")))
        assert received > LARGE_BYTES
        assert server.wait_flushed(FAR_S)

    def test_waits_for_what_runs(self, run):
        """A request that has no answer yet is not done."""
        app = Application(waits=True)
        server = run(app)
        with connect(server):
            app.began.wait()
            assert not server.wait_flushed(time.monotonic())
            app.may_answer.set()
            assert server.wait_flushed(FAR_S)


class TestWriteSoon:
    """Writing while an answer is made."""

    def test_caller_that_reads_nothing(self, run):
        """Writing never blocks; a caller that leaves too much unread is cut off."""
        outcomes = queue.Queue()

        def app(environ, start_response):
            write = start_response("200 OK", [])
            try:
                for _ in range(LARGE_BYTES // PIECE_BYTES):
                    write(b"x" * PIECE_BYTES)
            except ClientDisconnected:
                outcomes.put(environ[CANCELLATION].cancelled)
                raise
            outcomes.put("all was written")
            return []

        with connect(run(app)):
            assert outcomes.get(timeout=LIMIT_S) is True


class TestCancellation:
    """A caller that goes away."""

    def test_cancels_what_runs_for_it(self, run):
        """The request hears of it although nothing is sent or read."""
        app = Application(waits=True)
        caller = connect(run(app))
        app.began.wait()
        assert not app.gone.is_set()
        caller.close()
        assert app.gone.wait(LIMIT_S)


class TestConnections:
    """How long a connection is kept."""

    CHUNKED = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"

    @staticmethod
    def stream(environ, start_response):
        """Answer in chunks."""
        write = start_response("200 OK", [])
        write(b"piece")
        return []

    def test_an_answer_in_chunks_keeps_its_connection(self, run):
        """The next request comes on the same one."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            for _ in range(2):
                connection.sendall(self.CHUNKED)
                received = b""
                while not received.endswith(b"0\r\n\r\n"):
                    received += connection.recv(4096)
                assert b"Connection: close" not in received

    def test_a_leaving_server_closes_after_the_answer(self, run):
        """The client is told, and finds another node."""
        server = run(self.stream)
        server.leave()
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.sendall(self.CHUNKED)
            received = b"".join(iter(lambda: connection.recv(4096), b""))
        assert b"Connection: close" in received

    def test_idle_connections_of_a_leaving_server_are_closed(self, run):
        """They carry no request."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(LIMIT_S)
            while not server.active_channels:
                time.sleep(0.01)
            server.close_idle()
            assert connection.recv(1) == b""

    def test_a_request_that_came_unread_is_answered(self, run):
        """A busy node reads late; its client hears an answer all the same."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(LIMIT_S)
            while not server.active_channels:
                time.sleep(0.01)
            is_busy, may_go = threading.Event(), threading.Event()
            readable = server.readable

            def hold_up():
                is_busy.set()
                may_go.wait(LIMIT_S)
                return readable()

            server.readable = hold_up
            server.pull_trigger()
            is_busy.wait(LIMIT_S)
            connection.sendall(self.CHUNKED)
            server.close_idle()
            may_go.set()
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                received += connection.recv(4096) or b"0\r\n\r\n"
        assert received.startswith(b"HTTP/1.1 200")

    def test_a_closed_intake_takes_no_more_connections(self, run):
        """Who connects gets no answer, and who was connected finds it closed."""
        server = run(self.stream)
        address = (HOST, server.effective_port)
        with socket.create_connection(address) as connection:
            connection.settimeout(LIMIT_S)
            while not server.active_channels:
                time.sleep(0.01)
            server.stop_accepting()
            assert connection.recv(1) == b""
        with socket.create_connection(address) as connection:
            connection.sendall(self.CHUNKED)
            connection.settimeout(0.2)
            with pytest.raises(TimeoutError):
                connection.recv(1)
