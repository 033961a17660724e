"""Tests of the HTTP server over sockets."""

import queue
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from waitress.channel import ClientDisconnected

from camphoryard.coordination.admission import client_memory, connection_room
from camphoryard.coordination.admission.client_memory import ClientMemory
from camphoryard.transport.http_server import (
    CANCELLATION,
    Connection,
    ConnectionLimits,
    HttpResponse,
    make_server,
)

HOST = "127.0.0.1"
DISTANT_DEADLINE_S = 1e9
TIMEOUT_S = 30.0
LARGE_BYTES = 32 << 20
CHUNK_BYTES = 1 << 20
REQUEST = b"GET / HTTP/1.0\r\n\r\n"
NO_PATIENCE = ConnectionLimits(header_timeout_s=0.0, idle_timeout_s=-10.0)
LONG_ANSWER_S = 100.0
CLOSE_WAIT_S = 0.2


class Application:
    """Answers with a fixed body; its events show the progress of the request."""

    def __init__(self, body=b"ok", waits_for_event=False):
        self.started, self.cancelled_event = threading.Event(), threading.Event()
        self.may_answer = threading.Event()
        self._body = body
        if not waits_for_event:
            self.may_answer.set()

    def __call__(self, environ, start_response):
        """Answer one request."""
        environ[CANCELLATION].subscribe(self.cancelled_event.set)
        environ[CANCELLATION].subscribe(self.may_answer.set)
        self.started.set()
        self.may_answer.wait(TIMEOUT_S)
        start_response("200 OK", [("Content-Length", str(len(self._body)))])
        return [self._body]


@pytest.fixture
def run():
    """Return a function that starts a server for an application."""
    servers = []
    executor = ThreadPoolExecutor()

    def start(app, refuse=lambda *_: HttpResponse(400, b""), **options):
        server = make_server(app, HOST, 0, executor, refuse, **options)
        threading.Thread(target=server.run, daemon=True).start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()
    executor.shutdown()


def connect(server, request=REQUEST):
    """Return a connection that has sent a request."""
    connection = socket.create_connection((HOST, server.effective_port))
    connection.sendall(request)
    return connection


def active_channels(server):
    """Return the connections of a server."""
    return tuple(server.active_channels.values())


class TestWaitFlushed:
    """Waiting until all answers are sent."""

    def test_waits_for_buffered_data(self, run):
        """An answer that the client has not read completely is not flushed."""
        app = Application(b"x" * LARGE_BYTES)
        server = run(app)
        with connect(server) as reader:
            app.started.wait()
            assert not server.wait_flushed(time.monotonic())
            received = sum(map(len, iter(lambda: reader.recv(1 << 20), b"")))
        assert received > LARGE_BYTES
        assert server.wait_flushed(DISTANT_DEADLINE_S)

    def test_waits_for_running_requests(self, run):
        """A request without an answer is not flushed."""
        app = Application(waits_for_event=True)
        server = run(app)
        with connect(server):
            app.started.wait()
            assert not server.wait_flushed(time.monotonic())
            app.may_answer.set()
            assert server.wait_flushed(DISTANT_DEADLINE_S)


class TestWriteSoon:
    """Writing the body of a streamed answer."""

    def test_client_that_reads_nothing_is_disconnected(self, run):
        """Writing never blocks, but fails once too much data is unread."""
        outcomes = queue.Queue()

        def app(environ, start_response):
            write = start_response("200 OK", [])
            try:
                for _ in range(LARGE_BYTES // CHUNK_BYTES):
                    write(b"x" * CHUNK_BYTES)
            except ClientDisconnected:
                outcomes.put(environ[CANCELLATION].cancelled)
                raise
            outcomes.put("everything was written")
            return []

        with connect(run(app)):
            assert outcomes.get(timeout=TIMEOUT_S) is True


class TestCancellation:
    """Disconnecting clients."""

    def test_disconnecting_cancels_the_request(self, run):
        """The request is cancelled although it neither sends nor reads."""
        app = Application(waits_for_event=True)
        caller = connect(run(app))
        app.started.wait()
        assert not app.cancelled_event.is_set()
        caller.close()
        assert app.cancelled_event.wait(TIMEOUT_S)


class TestConnections:
    """How long connections stay open."""

    HTTP_11_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"

    @staticmethod
    def stream(environ, start_response):
        """Send a chunked answer."""
        write = start_response("200 OK", [])
        write(b"chunk")
        return []

    def test_connection_stays_open_after_a_chunked_answer(self, run):
        """The next request uses the same connection."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            for _ in range(2):
                connection.sendall(self.HTTP_11_REQUEST)
                received = b""
                while not received.endswith(b"0\r\n\r\n"):
                    received += connection.recv(4096)
                assert b"Connection: close" not in received

    def test_leaving_server_closes_after_the_answer(self, run):
        """The client gets "Connection: close" and can use another node."""
        server = run(self.stream)
        server.leave()
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.sendall(self.HTTP_11_REQUEST)
            received = b"".join(iter(lambda: connection.recv(4096), b""))
        assert b"Connection: close" in received

    def test_idle_connections_of_a_leaving_server_are_closed(self, run):
        """``close_idle`` closes connections without a request."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(TIMEOUT_S)
            while not server.active_channels:
                time.sleep(0.01)
            server.close_idle()
            assert connection.recv(1) == b""

    def test_unread_request_is_answered_before_closing(self, run):
        """A request that a busy server reads only after ``close_idle`` is answered."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(TIMEOUT_S)
            while not server.active_channels:
                time.sleep(0.01)
            is_busy, may_continue = threading.Event(), threading.Event()
            readable = server.readable

            def block_server():
                is_busy.set()
                may_continue.wait(TIMEOUT_S)
                return readable()

            server.readable = block_server
            server.pull_trigger()
            is_busy.wait(TIMEOUT_S)
            connection.sendall(self.HTTP_11_REQUEST)
            server.close_idle()
            may_continue.set()
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                received += connection.recv(4096) or b"0\r\n\r\n"
        assert received.startswith(b"HTTP/1.1 200")

    # Guards against LOST: a shorter idle timeout closed connections with a request.
    def test_shorter_limits_spare_a_request_that_is_answered(self, run):
        """The limits between requests do not apply to a request in flight."""
        app = Application(waits_for_event=True)
        server = run(app)
        with connect(server) as connection:
            connection.settimeout(TIMEOUT_S)
            app.started.wait(TIMEOUT_S)
            server.set_limits(NO_PATIENCE)
            server.maintenance(0.0)
            app.may_answer.set()
            received = b"".join(iter(lambda: connection.recv(4096), b""))
        assert received.startswith(b"HTTP/1.0 200")

    def test_request_sent_too_slowly_for_shorter_limits_is_refused(self, run):
        """Its client gets a status, not a closed connection."""
        server = run(self.stream)
        address = (HOST, server.effective_port)
        with socket.create_connection(address) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.sendall(self.HTTP_11_REQUEST[:-2])
            while not any(item.request for item in active_channels(server)):
                time.sleep(0.01)
            server.set_limits(NO_PATIENCE)
            server.maintenance(0.0)
            received = b"".join(iter(lambda: connection.recv(4096), b""))
        assert b"400 Bad Request" in received

    # Guards against LOST: a connection was closed right after a long answer.
    def test_idle_time_begins_with_the_end_of_the_answer(self, run):
        """An answer may take longer than a connection may be idle."""

        def answer_for_long(environ, start_response):
            (channel,) = active_channels(server)
            channel.last_active_s -= LONG_ANSWER_S
            return self.stream(environ, start_response)

        server = run(answer_for_long)
        server.set_limits(ConnectionLimits(idle_timeout_s=LONG_ANSWER_S / 2))
        pull_trigger = server.pull_trigger

        has_checked = threading.Event()

        def check_limits_and_pull_trigger():
            server.maintenance(0.0)
            pull_trigger()
            has_checked.set()

        server.pull_trigger = check_limits_and_pull_trigger
        address = (HOST, server.effective_port)
        with socket.create_connection(address) as connection:
            connection.sendall(self.HTTP_11_REQUEST)
            has_checked.wait(TIMEOUT_S)
            connection.settimeout(TIMEOUT_S)
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                received += connection.recv(4096)
            connection.settimeout(CLOSE_WAIT_S)
            with pytest.raises(TimeoutError):
                connection.recv(1)

    def test_stopped_server_accepts_no_connections(self, run):
        """New connections get no answer, and open idle ones are closed."""
        server = run(self.stream)
        address = (HOST, server.effective_port)
        with socket.create_connection(address) as connection:
            connection.settimeout(TIMEOUT_S)
            while not server.active_channels:
                time.sleep(0.01)
            server.stop_accepting()
            assert connection.recv(1) == b""
        with socket.create_connection(address) as connection:
            connection.sendall(self.HTTP_11_REQUEST)
            connection.settimeout(0.2)
            with pytest.raises(TimeoutError):
                connection.recv(1)

    # Guards against LOST: a node that stopped went on to its exit with connections open
    # whose answers had begun before, and lost the requests that came on them.
    def test_stopped_server_closes_a_connection_after_its_last_answer(self, run):
        """Also if the head of the answer promised to keep it open."""
        has_stopped = threading.Event()

        def app(environ, start_response):
            write = start_response("200 OK", [])
            write(b"first")
            has_stopped.wait(TIMEOUT_S)
            return []

        server = run(app)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.sendall(self.HTTP_11_REQUEST)
            received = connection.recv(4096)
            server.stop_accepting()
            assert not server.wait_flushed(time.monotonic())
            has_stopped.set()
            received += b"".join(iter(lambda: connection.recv(4096), b""))
            assert received.endswith(b"0\r\n\r\n")
            assert b"Connection: close" not in received
            assert server.wait_flushed(time.monotonic() + TIMEOUT_S)

    # Guards against the same loss of a request that is being read.
    def test_stopped_server_waits_for_a_request_that_is_being_read(self, run):
        """The request is answered, and only then is nothing left to wait for."""
        server = run(self.stream)
        with socket.create_connection((HOST, server.effective_port)) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.sendall(self.HTTP_11_REQUEST[:-1])
            while not any(item.request for item in server.active_channels.values()):
                time.sleep(0.01)
            server.stop_accepting()
            assert not server.wait_flushed(time.monotonic() + 0.1)
            connection.sendall(self.HTTP_11_REQUEST[-1:])
            received = b"".join(iter(lambda: connection.recv(4096), b""))
            assert b"Connection: close" in received
            assert server.wait_flushed(time.monotonic() + TIMEOUT_S)


def refuse_with_status(status, detail):
    """Return an answer with the status of the refusal."""
    return HttpResponse(status, detail.encode())


class TestCrowds:
    """Clients that hold much and send nothing."""

    BODY = bytes(1 << 20)
    HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(BODY)

    @staticmethod
    def echo_size(environ, start_response):
        """Answer with the size of the body."""
        size = b"%d" % len(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", str(len(size)))])
        return [size]

    @staticmethod
    def begin(server, data):
        """Return a connection of which the server has received ``data``."""
        connection = socket.create_connection((HOST, server.effective_port))
        connection.settimeout(TIMEOUT_S)
        connection.sendall(data)
        while not any(
            item.request and item.addr == connection.getsockname()
            for item in active_channels(server)
        ):
            time.sleep(0.01)
        return connection

    def test_stalled_body_gives_way_to_one_that_waits(self, run, monkeypatch):
        """The first gets a promise that it has not run, the second its answer."""
        monkeypatch.setattr(client_memory, "STALL_S", 0.0)
        turned_away = []
        server = run(
            self.echo_size,
            refuse_with_status,
            memory=ClientMemory(len(self.BODY)),
            turned_away=lambda cause, *_: turned_away.append(cause.value),
        )
        with self.begin(server, self.HEAD + b"x") as stalled:
            with self.begin(server, self.HEAD) as waiting:
                while not server.memory.has_waiting:
                    time.sleep(0.01)
                server.maintenance(0.0)
                assert stalled.recv(4096).startswith(b"HTTP/1.1 408")
                waiting.sendall(self.BODY)
                received = b""
                while not received.endswith(b"\r\n\r\n%d" % len(self.BODY)):
                    received += waiting.recv(4096)
        assert received.startswith(b"HTTP/1.1 200")
        assert turned_away == ["stalled"]
        while server.memory.held_bytes:
            time.sleep(0.01)

    def test_slow_body_may_take_long_but_not_stand_still(self, run):
        """Each pause is limited, not the time of the whole body."""
        server = run(self.echo_size, refuse_with_status)
        with self.begin(server, self.HEAD + b"x") as connection:
            (channel,) = active_channels(server)
            channel._request_began_s -= LONG_ANSWER_S
            server.set_limits(ConnectionLimits(header_timeout_s=LONG_ANSWER_S / 2))
            server.maintenance(0.0)
            assert channel.request is not None
            channel.last_active_s -= LONG_ANSWER_S
            server.maintenance(0.0)
            assert connection.recv(4096).startswith(b"HTTP/1.1 408")

    # Guards against a lost promise: a client saw a reset in place of its refusal.
    def test_refused_client_gets_its_answer_however_much_it_sends(self, run):
        """The rest of its request is read and dropped."""
        server = run(
            self.echo_size, refuse_with_status, limits=ConnectionLimits(body_bytes=10)
        )
        with self.begin(server, self.HEAD[:-1]) as connection:
            connection.sendall(self.HEAD[-1:] + self.BODY)
            received = b"".join(iter(lambda: connection.recv(4096), b""))
        assert received.startswith(b"HTTP/1.1 413")
        assert received.count(b"HTTP/1.1") == 1

    # Guards against a server that stands still: the lock was taken twice.
    def test_client_that_leaves_before_the_continue_blocks_nobody(
        self, run, monkeypatch
    ):
        """Sending "100 Continue" fails and closes the connection."""

        def fail(channel, data, do_close=True):
            monkeypatch.undo()
            channel.handle_close()
            return 0

        monkeypatch.setattr(Connection, "send", fail)
        server = run(self.echo_size)
        expecting = self.HEAD.replace(b"Host", b"Expect: 100-continue\r\nHost")
        with connect(server, expecting) as gone:
            gone.settimeout(TIMEOUT_S)
            assert gone.recv(1) == b""
        with connect(server) as next_one:
            next_one.settimeout(TIMEOUT_S)
            assert next_one.recv(4096).startswith(b"HTTP/1.0 200")

    def test_full_server_makes_room_for_the_next_client(self, run, monkeypatch):
        """It closes the connection that has been idle for longest."""
        monkeypatch.setattr(connection_room, "SILENCE_S", 0.0)
        server = run(self.echo_size, max_connections=1)
        address = (HOST, server.effective_port)
        with socket.create_connection(address) as idle, connect(server) as next_one:
            next_one.settimeout(TIMEOUT_S)
            idle.settimeout(TIMEOUT_S)
            assert idle.recv(1) == b""
            assert next_one.recv(4096).startswith(b"HTTP/1.0 200")
