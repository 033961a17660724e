"""HTTP server on waitress; each request runs in a task of an executor."""

import io
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

from camphoryard.coordination.admission.client_memory import (
    MAX_SMALL_REQUEST_BYTES,
    Cause,
    ClientMemory,
    CloseConnection,
    RefuseRequest,
    Relief,
    make_client_memory,
)
from camphoryard.coordination.admission.connection_room import (
    MAX_CONNECTIONS,
    Silence,
    SilentConnection,
    connections_to_close,
    read_bytes,
)
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.state.errors import ListenError
from camphoryard.state.ids import RequestId
from camphoryard.transport.request_body import ChunkedBody, FixedBody

MAX_BODY_BYTES = 1 << 20
MAX_READ_BYTES = 8 << 20
MAX_UNREAD_BYTES = 16 << 20
UNREACHABLE_WATERMARK_BYTES = 1 << 62
"""High watermark of output buffers; never reached, so that writes never block."""
BACKLOG = 1024
FLUSH_CHECK_PERIOD_S = 0.1
LIMIT_CHECK_PERIOD_S = 1
MAX_HEADER_BYTES = 1 << 18
HEADER_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 600.0
MAX_BODY_TIME_S = 600.0
"""Maximum time of a request whose body is sent steadily."""
LINGER_S = 1.0
"""Time in which the rest of a refused request is read and dropped. A connection closed
with unread data is reset, and its client may lose the answer."""
BODY_READ_BYTES = 64 << 10
"""Bytes read at a time of a body with a length, which needs no parsing."""
PROGRESS_PERIOD_S = 0.25
"""Period in which the budget is told that a request makes progress."""
COSTLY_CHUNK_BYTES = 64
"""Average size of chunks, with what frames them, below which parsing is costly."""
INTERNAL_MAP_ENTRIES = 2
"""Entries of waitress's socket map that are no connections of clients."""
IDLE_TIMEOUT_MARGIN_S = 1.0
"""Idle connections stay open this much longer than announced to clients, so that
none is closed while the next request is in flight."""
CANCELLATION = "camphoryard.cancellation"
RECEIVED_S = "camphoryard.received_s"
"""Monotonic time at which a request was received whole, in seconds. It may have waited
for a task since then."""

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
Environ: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as passed to the handlers; header names are in title case.

    ``received_s`` is the monotonic time at which it was received whole, in seconds.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    id: RequestId
    cancellation: Cancellation
    received_s: float


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer; ``body`` is None if it is streamed."""

    status: int
    body: bytes | None
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of a request's size in bytes and of a client's delays in seconds.

    ``header_timeout_s`` limits the time from the first byte of a request to the last
    of its head, and each pause in its body. ``idle_timeout_s`` limits how long a
    connection stays open between requests, or with an answer that is not read.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_READ_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


Write: TypeAlias = Callable[[bytes], None]
Refuse: TypeAlias = Callable[[int, str], HttpResponse]
TurnedAway: TypeAlias = Callable[[Cause, str, int], None]
"""Called with the cause, the client's host and the bytes held for it."""


def _ignore(cause: Cause, host: str, held_bytes: int) -> None:
    pass


class Reply:
    """Sends the answer to one request; it can begin only once.

    Parameters
    ----------
    headers : mapping
        Headers added to every answer.
    """

    def __init__(
        self, start_response: StartResponse, headers: Mapping[str, str]
    ) -> None:
        self.has_begun = False
        self._start_response = start_response
        self._headers = headers

    def begin(self, response: HttpResponse) -> Write:
        """Send the head; return the function that writes the body."""
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
    """Runs the tasks of waitress in an executor instead of its own threads."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    def set_thread_count(self, count: int) -> None:
        """Do nothing: the executor sets its number of threads."""

    def add_task(self, task: Any) -> None:
        """Run a task."""
        self._executor.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Do nothing: the owner of the executor shuts it down."""
        return True


class BadRequestTask(ErrorTask):
    """Answers requests that waitress cannot parse, in the format of the application."""

    def execute(self) -> None:
        """Write the answer, after which the connection closes."""
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
    """Adds to the WSGI environment what only the connection knows."""

    def get_environment(self) -> Environ:
        """Return the WSGI environment."""
        environ: Environ = super().get_environment()
        environ[CANCELLATION] = self.channel.cancellation
        environ[RECEIVED_S] = self.request.received_s
        return environ

    def build_response_header(self) -> bytes:
        """Return the head of the answer.

        Unlike the method of waitress it keeps the connection open after a chunked
        answer, and sends "Connection: close" once the server is leaving.
        """
        headers = list(self.response_headers)
        connection_option = self.request.headers.get("CONNECTION", "").lower()
        keeps_open = (
            connection_option == "keep-alive"
            if self.version == "1.0"
            else connection_option != "close"
        )
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        if not has_length and self.content_length is not None:
            headers.append(("Content-Length", str(self.content_length)))
        elif not has_length and self.version == "1.1":
            headers.append(("Transfer-Encoding", "chunked"))
            self.chunked_response = True
        elif not has_length:
            keeps_open = False
        if not keeps_open or self.channel.server.is_leaving:
            headers.append(("Connection", "close"))
            self.close_on_finish = True
        lines = [f"HTTP/{self.version} {self.status}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class StrictParser(HTTPRequestParser):
    """Refuses requests whose length two HTTP parsers could interpret differently."""

    body_rcv: FixedBody | ChunkedBody | None
    completed: bool
    content = b""
    """The whole body, once it is received."""
    received_s = 0.0
    """Monotonic time at which the request was complete, in seconds."""

    def parse_header(self, header_plus: bytes) -> None:
        """Read the head; raises ParsingError if its length is ambiguous."""
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("both Content-Length and Transfer-Encoding")
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")
        if self.version == "1.1" and "HOST" not in self.headers:
            raise ParsingError("no Host header")
        if self.chunked:
            self.body_rcv = ChunkedBody(
                self.adj.max_request_body_size - 1, self.adj.max_request_header_size
            )
        elif self.content_length:
            self.body_rcv = FixedBody(self.content_length)

    def received(self, data: bytes) -> int:
        """Parse received bytes; return how many belong to this request."""
        consumed = self._parse(data)
        if self.completed:
            self.received_s = time.monotonic()
        return consumed

    def _parse(self, data: bytes) -> int:
        body = self.body_rcv
        if body is None or self.completed:
            count: int = super().received(data)
            return count
        consumed = body.received(data)
        self.body_bytes_received += consumed
        if body.error is not None:
            self.fail(body.error)
        elif body.completed:
            self.content = body.getbuf().take()
            self.headers["CONTENT_LENGTH"] = str(len(self.content))
            self.completed = True
        return consumed

    def fail(self, error: waitress_errors.Error) -> None:
        """End the request with an error and release what it holds."""
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        self.error = error
        self.completed = True

    def get_body_stream(self) -> io.BytesIO:
        """Return a stream of the body, which shares its memory."""
        return io.BytesIO(self.content)

    @property
    def wanted_bytes(self) -> int:
        """Number of bytes to hold before more of the request is read."""
        body = self.body_rcv
        head_bytes: int = self.header_bytes_received
        match body:
            case FixedBody():
                return head_bytes + self.content_length
            case ChunkedBody() if len(body) > MAX_SMALL_REQUEST_BYTES // 2:
                return head_bytes + body.max_bytes
            case ChunkedBody():
                return head_bytes + len(body)
            case _:
                return head_bytes

    @property
    def held_bytes(self) -> int:
        """Number of bytes held for a request received whole."""
        return self.header_bytes_received + len(self.content)


class Connection(HTTPChannel):
    """A client's connection; cancels its request when the client disconnects."""

    task_class = ConnectionTask
    error_task_class = BadRequestTask
    parser_class = StrictParser

    def __init__(self, server: "HttpServer", *args: Any, **kwargs: Any) -> None:
        self.cancellation = Cancellation()
        self.last_active_s = time.monotonic()
        self.request: StrictParser | None = None
        self.id = server.memory.add_connection(self.last_active_s)
        self.is_waiting = False
        self._wanted_bytes = 0
        self._updated_s = 0.0
        self._is_costly = False
        self._has_unread_answer = False
        self._close_requested = False
        self._is_refused = False
        self._linger_end_s: float | None = None
        self._request_began_s: float | None = None
        super().__init__(server, *args, **kwargs)

    def recv(self, buffer_size: int) -> bytes:
        """Receive data, less at a time if it is costly to parse."""
        if self._is_costly:
            buffer_size = read_bytes(len(self.server.costly))
        elif self.request is not None and isinstance(self.request.body_rcv, FixedBody):
            buffer_size = BODY_READ_BYTES
        data: bytes = super().recv(buffer_size)
        return data

    def received(self, data: bytes) -> bool:
        """Parse received data and record when a request began."""
        self.last_active_s = time.monotonic()
        if self._drops_data():
            return False
        chunks = self._chunks
        accepted: bool = super().received(data)
        self._set_costly((self._chunks - chunks) * COSTLY_CHUNK_BYTES > len(data))
        if self.request is None:
            self._request_began_s = None
        elif self._request_began_s is None:
            self._request_began_s = self.last_active_s
        if self._is_update_due():
            self._update_memory()
        return accepted

    def _is_update_due(self) -> bool:
        """Return whether what the budget knows of this connection is out of date."""
        request = self.request
        return (
            request is None
            or request.wanted_bytes != self._wanted_bytes
            or self.last_active_s - self._updated_s >= PROGRESS_PERIOD_S
        )

    def _drops_data(self) -> bool:
        """Return whether a request was refused, after which nothing is parsed."""
        return self._is_refused or any(item.error for item in self.requests[-1:])

    @property
    def _chunks(self) -> int:
        """Number of chunks of the request that is being received."""
        body = self.request.body_rcv if self.request is not None else None
        return body.chunks if body is not None else 0

    def _set_costly(self, is_costly: bool) -> None:
        if is_costly is not self._is_costly:
            self._is_costly = is_costly
            if is_costly:
                self.server.costly.add(self)
            else:
                self.server.costly.discard(self)

    def _update_memory(self) -> None:
        """Tell the budget what this connection holds, or wait for room."""
        memory = self.server.memory
        with self.requests_lock:
            held_bytes = sum(item.held_bytes for item in self.requests)
            if self.request is None:
                self._wanted_bytes = 0
                memory.settle(self.id, held_bytes)
                self.is_waiting = False
                return
            now_s = time.monotonic()
            self._updated_s = now_s
            self._wanted_bytes = self.request.wanted_bytes
            size = held_bytes + self._wanted_bytes
            was_waiting = self.is_waiting
            self.is_waiting = not memory.receive(self.id, size, now_s)
            if was_waiting and not self.is_waiting:
                self.last_active_s = now_s

    def service(self) -> None:
        """Answer the next request and release what it held."""
        self._is_refused = self.requests[0].error is not None
        super().service()
        self._update_memory()
        if not self.connected:
            self.server.memory.remove_connection(self.id)
        if self.server.memory.has_waiting:
            self.server.pull_trigger()

    def close_if_idle(self) -> None:
        """Close the connection if it is idle at the server's next poll."""
        self._close_requested = True

    def readable(self) -> bool:
        """Return whether to poll for data; closes the connection if that is requested.

        Once the server accepts no connections, each one closes as soon as it is idle.
        The server's own task decides, as it is the one that reads: a request that
        arrived before is still accepted.
        """
        if self._close_requested or not self.server.accepting:
            self._close_requested = False
            if self.is_idle and not self._has_unread():
                self.will_close = True
                self.server.closed_idle += 1
        if self.is_waiting:
            self._update_memory()
        is_readable: bool = super().readable()
        return is_readable and not self.is_waiting

    def _has_unread(self) -> bool:
        """Return whether the socket has data that the server has not read yet."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def enforce_limits(self, limits: ConnectionLimits, now_s: float) -> None:
        """Close the connection if it is idle, or refuse a request sent too slowly."""
        if self._linger_end_s is not None:
            self.will_close = self.will_close or now_s >= self._linger_end_s
            return
        if self.requests or self.is_waiting:
            return
        silent_s = now_s - self.last_active_s
        is_idle = silent_s > limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        if self.total_outbufs_len:
            if is_idle:
                self.server.report(self, Cause.UNREAD_ANSWER, self.total_outbufs_len)
                self.abort_answer()
            return
        request = self.request
        if request is None:
            if is_idle:
                self.close_if_idle()
            return
        if self._is_too_slow(request, limits, now_s):
            self.refuse(Cause.TOO_SLOW, request.header_bytes_received)

    def _is_too_slow(
        self, request: StrictParser, limits: ConnectionLimits, now_s: float
    ) -> bool:
        if self._request_began_s is None:
            return False
        taken_s = now_s - self._request_began_s
        if not request.headers_finished:
            return taken_s >= limits.header_timeout_s
        silent_s = now_s - self.last_active_s
        return silent_s >= limits.header_timeout_s or taken_s >= MAX_BODY_TIME_S

    def refuse(self, cause: Cause, held_bytes: int) -> None:
        """Refuse the request that is being received; it was never passed on."""
        with self.requests_lock:
            request = self.request
            if request is None:
                return
            if not request.headers_finished:
                request.parse_header(b"GET / HTTP/1.0\r\n")
            request.fail(refusal_error(cause))
            self.request = None
            self.requests.append(request)
            is_next = len(self.requests) == 1
        self.server.report(self, cause, held_bytes)
        self._set_costly(False)
        self._update_memory()
        if is_next:
            self.server.add_task(self)

    def close_silent(self, silence: Silence) -> None:
        """Make room for another connection."""
        match silence:
            case Silence.BETWEEN_REQUESTS:
                self.server.report(self, Cause.NO_CONNECTIONS, 0)
                self.close_if_idle()
            case Silence.WITHIN_REQUEST:
                self.refuse(Cause.NO_CONNECTIONS, 0)

    def silent(self, now_s: float) -> SilentConnection | None:
        """Return for how long nothing came, or None unless a request is awaited."""
        if self.requests or self.total_outbufs_len or self.is_waiting:
            return None
        silence = (
            Silence.BETWEEN_REQUESTS if self.request is None else Silence.WITHIN_REQUEST
        )
        return SilentConnection(self.id, silence, now_s - self.last_active_s)

    def abort_answer(self) -> None:
        """Close the connection although its answer is not read."""
        self.cancellation.cancel()
        self.will_close = True
        self.server.pull_trigger()

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request was received since the last answer was sent."""
        return self.is_flushed and self.request is None

    @property
    def is_flushed(self) -> bool:
        """Whether all answers are completely sent."""
        return not self.requests and not self.total_outbufs_len

    def write_soon(self, data: Any) -> int:
        """Send at once what the socket accepts, and buffer only the rest.

        A token's event then needs one system call and no buffer. The method never
        blocks, as its task also sends the tokens of other streams.

        Raises
        ------
        ClientDisconnected
            If the client has disconnected, or has too much of its answer unread.
        """
        self.last_active_s = time.monotonic()
        if self.total_outbufs_len > MAX_UNREAD_BYTES:
            self.cancellation.cancel()
            raise ClientDisconnected
        if self.total_outbufs_len or not isinstance(data, bytes):
            count: int = super().write_soon(data)
            self._update_unread()
            return count
        sent = self._send_now(data)
        if sent < len(data):
            super().write_soon(data[sent:])
            self._update_unread()
        return len(data)

    def _update_unread(self) -> None:
        """Tell the budget how much of the answers is not read."""
        unread_bytes = self.total_outbufs_len
        if not unread_bytes and not self._has_unread_answer:
            return
        self._has_unread_answer = bool(unread_bytes)
        relief = self.server.memory.hold_unread(self.id, unread_bytes, time.monotonic())
        if relief is not None:
            self.server.apply(relief)

    def _send_now(self, data: bytes) -> int:
        with self.outbuf_lock:
            if not self.connected or self.total_outbufs_len:
                return 0
            try:
                sent: int = self.socket.send(data)
            except OSError:
                # The buffered write meets the same error and handles it.
                return 0
        self.last_activity = time.time()
        return sent

    def _linger(self) -> None:
        """Tell the client that the answer is complete, and read on for a while."""
        self.close_when_flushed = False
        self._linger_end_s = self.last_active_s + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has closed the connection.
            self.will_close = True

    def handle_close(self) -> None:
        """Close the connection and cancel its request."""
        super().handle_close()
        self.cancellation.cancel()
        self._set_costly(False)
        # Without the lock, which is held if sending "100 Continue" fails. A running
        # task sees that the connection is closed, and releases what it holds.
        if not self.requests:
            self.server.memory.remove_connection(self.id)
        self.server.notify_progress()

    def handle_write(self) -> None:
        """Send buffered data; after a refusal, linger before closing."""
        self.last_active_s = time.monotonic()
        if self._is_refused and self.close_when_flushed and not self.total_outbufs_len:
            self._linger()
            return
        super().handle_write()
        self._update_unread()
        if self.is_flushed:
            self.server.notify_progress()


class HttpServer(TcpWSGIServer):
    """The waitress server, extended by limits and a graceful stop.

    ``refuse`` returns the answer to an unreadable request, from a status code and a
    text. ``closed_idle`` counts the connections that the server closed while idle.
    """

    channel_class = Connection

    def __init__(
        self,
        *args: Any,
        refuse: Refuse,
        limits: ConnectionLimits,
        memory: ClientMemory,
        turned_away: TurnedAway,
        **kwargs: Any,
    ) -> None:
        self.refuse = refuse
        self.memory = memory
        self.costly: set[Connection] = set()
        self._turned_away = turned_away
        self.is_leaving = False
        self.closed_idle = 0
        self._limits = limits
        self._progress = threading.Condition()
        super().__init__(*args, **kwargs)

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Apply other limits to requests that begin from now on."""
        self._limits = limits
        self.adj.max_request_header_size = limits.header_bytes
        self.adj.max_request_body_size = limits.body_bytes + 1

    def leave(self) -> None:
        """Close every connection after its next answer."""
        self.is_leaving = True

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for channel in tuple(self.active_channels.values()):
            channel.close_if_idle()
        self.pull_trigger()

    def stop_accepting(self) -> None:
        """Accept no more connections, and close each once its request is answered."""
        self.leave()
        self.accepting = False
        self.close_idle()

    def maintenance(self, now: float) -> None:
        """Close idle connections, refuse slow requests, and make room.

        ``now`` is not used, because it is the wall-clock time, which may jump.
        """
        now_s = time.monotonic()
        channels = tuple(self.active_channels.values())
        for channel in channels:
            channel.enforce_limits(self._limits, now_s)
        for relief in self.memory.relieve(now_s):
            self.apply(relief)
        if self.in_connection_overflow:
            self._close_silent(channels, now_s)

    def apply(self, relief: Relief) -> None:
        """Turn a client away, to have room in memory for others."""
        for channel in tuple(self.active_channels.values()):
            if channel.id != relief.connection:
                continue
            match relief:
                case RefuseRequest(cause=cause, held_bytes=held_bytes):
                    channel.refuse(cause, held_bytes)
                case CloseConnection(cause=cause, held_bytes=held_bytes):
                    self.report(channel, cause, held_bytes)
                    channel.abort_answer()

    def report(self, channel: Connection, cause: Cause, held_bytes: int) -> None:
        """Tell who is turned away, and why."""
        self._turned_away(cause, channel.addr[0], held_bytes)

    def _close_silent(self, channels: tuple[Connection, ...], now_s: float) -> None:
        silent = (channel.silent(now_s) for channel in channels)
        channel_by_id = {channel.id: channel for channel in channels}
        for item in connections_to_close(filter(None, silent), len(channels)):
            channel_by_id[item.connection].close_silent(item.silence)

    def notify_progress(self) -> None:
        """Wake the tasks in ``wait_flushed``."""
        with self._progress:
            self._progress.notify_all()

    def wait_flushed(self, deadline_s: float) -> bool:
        """Block until all answers are sent or the deadline; return whether all are.

        After ``stop_accepting`` all connections have to be closed as well, as requests
        may still arrive on open ones.
        """
        with self._progress:
            while not self._is_flushed():
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return False
                self._progress.wait(min(left_s, FLUSH_CHECK_PERIOD_S))
        return True

    def _is_flushed(self) -> bool:
        if not self.accepting:
            return not self.active_channels
        return all(item.is_flushed for item in tuple(self.active_channels.values()))


class RequestTimeout(waitress_errors.BadRequest):
    """The client took too long to send its request."""

    code = HTTPStatus.REQUEST_TIMEOUT.value
    reason = HTTPStatus.REQUEST_TIMEOUT.phrase


class NoRoom(waitress_errors.BadRequest):
    """There is no memory or no connection for the request."""

    code = HTTPStatus.SERVICE_UNAVAILABLE.value
    reason = HTTPStatus.SERVICE_UNAVAILABLE.phrase


def refusal_error(cause: Cause) -> waitress_errors.Error:
    """Return the error that a client gets whose request is not read on."""
    match cause:
        case Cause.TOO_SLOW | Cause.STALLED:
            return RequestTimeout("the request was sent too slowly")
        case _:
            return NoRoom("no room for the request")


def make_server(
    app: Any,
    host: str,
    port: int,
    executor: Executor,
    refuse: Refuse,
    limits: ConnectionLimits = ConnectionLimits(),
    is_balancer_trusted: bool = False,
    memory: ClientMemory | None = None,
    max_connections: int = MAX_CONNECTIONS,
    turned_away: TurnedAway = _ignore,
) -> HttpServer:
    """Return a waitress server bound to the port; its ``run`` blocks.

    Headers set by proxies, such as X-Forwarded-For, are removed unless
    ``is_balancer_trusted``. ``memory`` is for this server alone.

    Raises
    ------
    ListenError
        If the port cannot be bound.
    """
    # The applications log aborted answers themselves.
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    adjustments = Adjustments(
        host=host,
        port=port,
        asyncore_use_poll=True,
        connection_limit=max_connections + INTERNAL_MAP_ENTRIES,
        backlog=BACKLOG,
        max_request_header_size=limits.header_bytes,
        max_request_body_size=limits.body_bytes + 1,
        outbuf_high_watermark=UNREACHABLE_WATERMARK_BYTES,
        clear_untrusted_proxy_headers=not is_balancer_trusted,
        cleanup_interval=LIMIT_CHECK_PERIOD_S,
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
            memory=memory or make_client_memory(),
            turned_away=turned_away,
        )
    except OSError as error:
        raise ListenError(
            f"node.http_port: {host}:{port} cannot be bound ({error.strerror});"
            " stop the process that uses it, or set another port or host of this VM"
        ) from error
    return server
