"""The HTTP server: waitress, one task for each connection's request."""

import logging
import socket
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeAlias

from waitress import utilities as waitress_errors
from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, WSGITask

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.state.errors import ListenError
from camphoryard.state.ids import RequestId

MAX_BODY_BYTES = 1 << 20
MAX_READ_BYTES = 8 << 20
MAX_UNREAD_BYTES = 16 << 20
NEVER_BLOCKING_BYTES = 1 << 62
CONNECTION_LIMIT = 2000
BACKLOG = 1024
FLUSH_CHECK_S = 0.1
SWEEP_PERIOD_S = 1
HEADER_BYTES = 1 << 18
HEADER_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 600.0
IDLE_MARGIN_S = 1.0
"""How much longer than clients are told an idle connection is kept, so that none
closes as the next request is on its way."""
CANCELLATION = "camphoryard.cancellation"

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
Environ: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as the handlers see it; header names are as callers write them."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    id: RequestId
    cancellation: Cancellation


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer; ``body`` is None if it is written while it is made."""

    status: int
    body: bytes | None
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a client may send, in bytes, and how long it may take, in seconds.

    ``header_timeout_s`` bounds the time from a request's first byte to its last,
    ``idle_timeout_s`` how long a connection is kept between requests.
    """

    header_bytes: int = HEADER_BYTES
    body_bytes: int = MAX_READ_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


Write: TypeAlias = Callable[[bytes], None]
Refuse: TypeAlias = Callable[[int, str], HttpResponse]


class Reply:
    """The answer of one request on its way out; it begins once.

    Parameters
    ----------
    headers : mapping
        Headers that every answer gets.
    """

    def __init__(
        self, start_response: StartResponse, headers: Mapping[str, str]
    ) -> None:
        self.has_begun = False
        self._start_response = start_response
        self._headers = headers

    def begin(self, response: HttpResponse) -> Write:
        """Send the head; return what writes the body."""
        self.has_begun = True
        headers = [
            ("Content-Type", response.content_type),
            *self._headers.items(),
            *response.headers.items(),
        ]
        if response.body is not None:
            headers.append(("Content-Length", str(len(response.body))))
        status = HTTPStatus(response.status)
        write: Write = self._start_response(f"{status.value} {status.phrase}", headers)
        return write


class ExecutorDispatcher:
    """Runs waitress's tasks in an executor instead of its own threads."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    def set_thread_count(self, count: int) -> None:
        """Do nothing: the executor has its own size."""

    def add_task(self, task: Any) -> None:
        """Run a task."""
        self._executor.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Do nothing: who made the executor shuts it down."""
        return True


class BadRequestTask(ErrorTask):
    """Answers in our form what waitress could not read as a request."""

    def execute(self) -> None:
        """Write the answer and have the connection closed."""
        error = self.request.error
        response = self.channel.server.refuse(error.code, error.body)
        body = response.body or b""
        status = HTTPStatus(response.status)
        self.status = f"{status.value} {status.phrase}"
        self.response_headers.append(("Content-Type", response.content_type))
        self.response_headers.extend(response.headers.items())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class ConnectionTask(WSGITask):
    """Gives the application the cancellation of its connection."""

    def get_environment(self) -> Environ:
        """Return the WSGI environment."""
        environ: Environ = super().get_environment()
        environ[CANCELLATION] = self.channel.cancellation
        return environ

    def build_response_header(self) -> bytes:
        """Return the head of the answer.

        Unlike waitress's own it keeps the connection open after an answer in
        chunks, and says so once the server closes its connections.
        """
        headers = list(self.response_headers)
        asked = self.request.headers.get("CONNECTION", "").lower()
        is_kept = asked == "keep-alive" if self.version == "1.0" else asked != "close"
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        if not has_length and self.content_length is not None:
            headers.append(("Content-Length", str(self.content_length)))
        elif not has_length and self.version == "1.1":
            headers.append(("Transfer-Encoding", "chunked"))
            self.chunked_response = True
        elif not has_length:
            is_kept = False
        if not is_kept or self.channel.server.is_leaving:
            headers.append(("Connection", "close"))
            self.close_on_finish = True
        lines = [f"HTTP/{self.version} {self.status}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class StrictParser(HTTPRequestParser):
    """Refuses requests whose length two readers could see differently."""

    def parse_header(self, header_plus: bytes) -> None:
        """Read the head; raises ParsingError if its length is ambiguous."""
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("both Content-Length and Transfer-Encoding")
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")
        if self.version == "1.1" and "HOST" not in self.headers:
            raise ParsingError("no Host header")


class Connection(HTTPChannel):
    """A caller's connection; cancels its request when the caller goes away."""

    task_class = ConnectionTask
    error_task_class = BadRequestTask
    parser_class = StrictParser

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.cancellation = Cancellation()
        self.active_s = time.monotonic()
        self.request: HTTPRequestParser | None = None
        self._is_unwanted = False
        self._began_s: float | None = None
        super().__init__(*args, **kwargs)

    def received(self, data: bytes) -> bool:
        """Take in what the client sent, and when a request began."""
        self.active_s = time.monotonic()
        taken: bool = super().received(data)
        if self.request is None:
            self._began_s = None
        elif self._began_s is None:
            self._began_s = self.active_s
        return taken

    def service(self) -> None:
        """Answer one request."""
        super().service()
        self.active_s = time.monotonic()

    def close_if_idle(self) -> None:
        """Have the connection closed if it is idle when the server next looks."""
        self._is_unwanted = True

    def readable(self) -> bool:
        """Return whether to read on, having closed the connection if it is to go.

        The server's own task decides, as it is the one that reads: a request that
        came before is taken.
        """
        if self._is_unwanted:
            self._is_unwanted = False
            if self.is_idle and not self._has_unread():
                self.will_close = True
                self.server.closed_idle += 1
        is_readable: bool = super().readable()
        return is_readable

    def _has_unread(self) -> bool:
        """Return whether bytes have come that a busy node has not read yet."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def sweep(self, limits: ConnectionLimits, now_s: float) -> None:
        """Close the connection if it idles, or refuse a request sent too slowly."""
        with self.requests_lock:
            if self.requests or self.total_outbufs_len:
                return
            slow = self.request
            if slow is None:
                idle_s = now_s - self.active_s
                if idle_s > limits.idle_timeout_s + IDLE_MARGIN_S:
                    self.close_if_idle()
                return
            if self._began_s is None or now_s - self._began_s < limits.header_timeout_s:
                return
            if not slow.headers_finished:
                slow.parse_header(b"GET / HTTP/1.0\r\n")
            slow.error = RequestTimeout("the request was sent too slowly")
            slow.completed = True
            self.request = None
            self.requests.append(slow)
        self.server.add_task(self)

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has come since the last answer left."""
        return self.is_flushed and self.request is None

    @property
    def is_flushed(self) -> bool:
        """Whether every request got its answer, to the last byte."""
        return not self.requests and not self.total_outbufs_len

    def write_soon(self, data: Any) -> int:
        """Send at once what the socket takes, and buffer only the rest.

        A token's event then costs one call of the socket and passes no buffer.
        It never blocks, since the tokens of other streams come next in its task.

        Raises
        ------
        ClientDisconnected
            If the caller has gone, or has left too much unread.
        """
        if self.total_outbufs_len > MAX_UNREAD_BYTES:
            self.cancellation.cancel()
            raise ClientDisconnected
        if self.total_outbufs_len or not isinstance(data, bytes):
            count: int = super().write_soon(data)
            return count
        sent = self._send_now(data)
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)

    def _send_now(self, data: bytes) -> int:
        with self.outbuf_lock:
            if not self.connected or self.total_outbufs_len:
                return 0
            try:
                sent: int = self.socket.send(data)
            except OSError:
                # The buffered way meets the same error and deals with it.
                return 0
        self.last_activity = time.time()
        return sent

    def handle_close(self) -> None:
        """Close the connection and cancel what runs for it."""
        super().handle_close()
        self.cancellation.cancel()
        self.server.note_progress()

    def handle_write(self) -> None:
        """Send what is waiting."""
        super().handle_write()
        if self.is_flushed:
            self.server.note_progress()


class HttpServer(TcpWSGIServer):
    """The waitress server; knows when all answers have left.

    ``refuse`` makes the answer to what could not be read, from a status code
    and a text. ``closed_idle`` counts the connections that it closed without a
    request.
    """

    channel_class = Connection

    def __init__(
        self, *args: Any, refuse: Refuse, limits: ConnectionLimits, **kwargs: Any
    ) -> None:
        self.refuse = refuse
        self.is_leaving = False
        self.closed_idle = 0
        self._limits = limits
        self._progress = threading.Condition()
        super().__init__(*args, **kwargs)

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Put other limits in force for requests that begin from now on."""
        self._limits = limits
        self.adj.max_request_header_size = limits.header_bytes
        self.adj.max_request_body_size = limits.body_bytes + 1

    def leave(self) -> None:
        """Have every connection closed after its next answer."""
        self.is_leaving = True

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for channel in tuple(self.active_channels.values()):
            channel.close_if_idle()
        self.pull_trigger()

    def stop_accepting(self) -> None:
        """Accept no more connections, and close each after the answer under way."""
        self.leave()
        self.accepting = False
        self.close_idle()

    def maintenance(self, now: float) -> None:
        """Close idle connections and refuse slow requests.

        ``now`` is not used: it is the time of day, which may jump.
        """
        now_s = time.monotonic()
        for channel in tuple(self.active_channels.values()):
            channel.sweep(self._limits, now_s)

    def note_progress(self) -> None:
        """Wake who waits for the last byte."""
        with self._progress:
            self._progress.notify_all()

    def wait_flushed(self, deadline_s: float) -> bool:
        """Block until every answer has left; return whether that came."""
        with self._progress:
            while not self._is_flushed():
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return False
                self._progress.wait(min(left_s, FLUSH_CHECK_S))
        return True

    def _is_flushed(self) -> bool:
        return all(item.is_flushed for item in tuple(self.active_channels.values()))


class RequestTimeout(waitress_errors.BadRequest):
    """A client took too long to send its request."""

    code = HTTPStatus.REQUEST_TIMEOUT.value
    reason = HTTPStatus.REQUEST_TIMEOUT.phrase


def make_server(
    app: Any,
    host: str,
    port: int,
    executor: Executor,
    refuse: Refuse,
    limits: ConnectionLimits = ConnectionLimits(),
    is_balancer_trusted: bool = False,
) -> HttpServer:
    """Return a waitress server that is bound; its ``run`` blocks.

    Headers that name forwarders are dropped unless ``is_balancer_trusted``.

    Raises
    ------
    ListenError
        If the port cannot be bound.
    """
    # Applications say themselves why an answer was broken off.
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    adjustments = Adjustments(
        host=host,
        port=port,
        asyncore_use_poll=True,
        connection_limit=CONNECTION_LIMIT,
        backlog=BACKLOG,
        max_request_header_size=limits.header_bytes,
        max_request_body_size=limits.body_bytes + 1,
        inbuf_overflow=MAX_READ_BYTES,
        outbuf_high_watermark=NEVER_BLOCKING_BYTES,
        clear_untrusted_proxy_headers=not is_balancer_trusted,
        cleanup_interval=SWEEP_PERIOD_S,
        channel_request_lookahead=1,
        ident=None,
    )
    try:
        server = HttpServer(
            app,
            {},
            True,
            None,
            dispatcher=ExecutorDispatcher(executor),
            adj=adjustments,
            sockinfo=adjustments.listen[0],
            refuse=refuse,
            limits=limits,
        )
    except OSError as error:
        raise ListenError(
            f"node.http_port: {host}:{port} cannot be bound ({error.strerror});"
            " end what uses it, or set another port and host of this VM"
        ) from error
    return server
