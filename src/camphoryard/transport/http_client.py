"""HTTP calls that say whether any byte left, over pooled connections."""

import functools
import io
import math
import re
import select
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)
from typing import Any

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.state.errors import (
    AnswerTooLargeError,
    BrokenCallError,
    NotSentError,
    StalledCallError,
)

MAX_IDLE_PER_ADDRESS = 64
CONNECT_LIMIT_S = 1.0
MILLISECONDS_PER_SECOND = 1000
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
"""A connection that went silent breaks after idle + interval * probes seconds."""
UNACKNOWLEDGED_LIMIT_MS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER on, for 0 seconds."""
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
KEEP_ALIVE_MARGIN_S = 0.5
"""An idle connection is not used in the last part of the time that it is kept."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One call; ``fresh`` forbids a pooled connection.

    A pooled connection may be closed by the other side while the call is
    written. A call that may not be repeated needs a fresh one, since its
    failure to connect then proves that nothing was sent. ``cancellation``
    breaks the call off wherever it is. ``max_answer_bytes`` bounds the body
    that ``HttpClient.call`` reads; None does not. ``connect_s`` bounds the time
    to connect; ``max_idle_s`` how long a pooled connection may have been idle.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = 5.0
    fresh: bool = False
    cancellation: Cancellation | None = None
    max_answer_bytes: int | None = None
    connect_s: float = CONNECT_LIMIT_S
    max_idle_s: float = math.inf


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OpenAnswer:
    """An answer whose body is still to be read."""

    def __init__(self, client: "HttpClient", exchange: "_Exchange") -> None:
        self._client = client
        self._exchange = exchange
        self._method = exchange.method
        self._is_second = False
        self.response = exchange.response

    @property
    def address(self) -> Address:
        """Who answers."""
        return self._exchange.address

    @property
    def sock(self) -> socket.socket:
        """The socket of the connection."""
        return self._exchange.sock

    def wait_while(self, silence_s: float, waits_on: Callable[[], bool]) -> None:
        """Have silence of ``silence_s`` end a read unless ``waits_on()``."""
        self.sock.settimeout(silence_s)
        self._exchange.connection.reader.wait_while(waits_on)

    def read_buffered(self) -> bytes:
        """Return what came along with the head; the socket blocks no more."""
        self._exchange.sock.setblocking(False)
        try:
            return self.response.fp.read1(len(self.response.fp.peek()))
        except OSError as error:
            raise broken(error) from error

    def skip(self) -> None:
        """Read this answer to its end and go on to the next on the connection.

        An endpoint may answer an earlier call twice. Raises as ``HttpClient.call``.
        """
        try:
            self.response.read()
            following = self._exchange.connection.next_response(
                self.sock, method=self._method
            )
            following.begin()
        except (OSError, HTTPException, ValueError) as error:
            raise broken(error) from error
        self.response = following
        self._is_second = True

    def close(self, is_read: bool) -> None:
        """Return the connection to the pool if its body was read to the end."""
        exchange = self._exchange
        exchange.drop_cancellation()
        exchange.connection.reader.wait_while(_gives_up)
        self.response.close()
        if is_read and not self.response.will_close and not self._is_second:
            kept_s = _kept_for_s(self.response)
            self._client.give_back(exchange.address, exchange.connection, kept_s)
        elif is_read:
            self._client.discard(exchange.connection)
        else:
            self._client.abort(exchange.connection)


class _PatientSocket(io.RawIOBase):
    """Reads a socket; when it stays silent, ``waits_on`` tells whether to go on.

    A time-out of the socket itself would end the buffered reader for good.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.waits_on: Callable[[], bool] = _gives_up
        self._sock = sock
        # Keeps the descriptor open although the connection drops its socket at an
        # answer that announces its end.
        self._handle = sock.makefile("rb", buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read what is there, or None if that would block; see io.RawIOBase."""
        while True:
            try:
                return self._sock.recv_into(buffer)
            except TimeoutError:
                if not self.waits_on():
                    raise
            except BlockingIOError:
                return None

    def close(self) -> None:
        """Let go of the descriptor."""
        if not self.closed:
            super().close()
            self._handle.close()


def _gives_up() -> bool:
    return False


class _KeptReader:
    """The buffered reader of a connection, which outlives single answers."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._raw = _PatientSocket(sock)
        self._reader = io.BufferedReader(self._raw)

    def wait_while(self, waits_on: Callable[[], bool]) -> None:
        """Have silence of the socket's time-out end a read unless ``waits_on()``."""
        self._raw.waits_on = waits_on

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def close(self) -> None:
        """Do nothing: an answer that is over leaves the reader to the next."""

    def reset_on_close(self) -> None:
        """Have the socket reset, and what it has not sent dropped, as it closes."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def release(self) -> None:
        """Close the reader for good."""
        self._reader.close()


class _Connection(HTTPConnection):
    """A connection whose answers share one reader, so that none loses bytes."""

    reader: _KeptReader

    def connect(self) -> None:
        """Connect; a peer that falls silent breaks the connection in seconds."""
        super().connect()
        _watch_peer(self.sock)
        self.reader = _KeptReader(self.sock)
        self.response_class = self.next_response  # type: ignore[assignment]

    def next_response(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> HTTPResponse:
        """Return the next answer, whose head is still to be read."""
        response = HTTPResponse(sock, debuglevel, method)
        response.fp.close()
        response.fp = self.reader  # type: ignore[assignment]
        return response

    def is_clean(self) -> bool:
        """Return whether an idle connection is open and nothing more has come on it.

        What came with the last answer is in the reader, and no longer in the socket.
        """
        if is_readable(self.sock):
            return False
        self.sock.setblocking(False)
        return not self.reader.peek(1)

    def release(self) -> None:
        """Close the connection and its reader."""
        self.reader.release()
        self.close()

    def reset(self) -> None:
        """Close the connection; what has not left yet never does.

        A graceful close still delivers what is held up on the way, so an endpoint
        could begin to run a call long after it was broken off.
        """
        self.reader.reset_on_close()
        self.release()


@dataclass(frozen=True, slots=True)
class _Exchange:
    """A call whose answer has begun; ``handle`` is that of its cancellation."""

    address: Address
    method: str
    connection: _Connection
    sock: socket.socket
    response: HTTPResponse
    cancellation: Cancellation | None
    handle: int

    def drop_cancellation(self) -> None:
        if self.cancellation is not None:
            self.cancellation.unsubscribe(self.handle)


@dataclass(frozen=True, slots=True)
class _Idle:
    """A connection that waits for its next call, until ``until_s`` at most."""

    connection: _Connection
    since_s: float
    until_s: float


class HttpClient:
    """Makes calls; safe to use from many threads.

    Parameters
    ----------
    source_host : str
        IP number that connections leave from; empty for the system's choice.
    """

    def __init__(self, source_host: str = "") -> None:
        self._source = (source_host, 0) if source_host else None
        self._lock = threading.Lock()
        self._idle_by_address: dict[Address, list[_Idle]] = defaultdict(list)
        self._busy: set[_Connection] = set()
        self._closed = False

    def call(self, address: Address, call: HttpCall) -> HttpAnswer:
        """Make the call and read the whole answer.

        Raises
        ------
        NotSentError
            If no byte was sent.
        StalledCallError
            If the other side was silent for too long.
        BrokenCallError
            If the call broke after some of it may have been sent.
        AnswerTooLargeError
            If the body is larger than the call takes.
        """
        answer = self.open(address, call)
        try:
            body = _read_body(answer.response, call.max_answer_bytes)
        except (OSError, HTTPException) as error:
            raise broken(error) from error
        finally:
            answer.close(answer.response.isclosed())
        return HttpAnswer(answer.response.status, dict(answer.response.headers), body)

    def open(self, address: Address, call: HttpCall) -> OpenAnswer:
        """Make the call, leaving the body to be read; raises as ``call``."""
        connection = None if call.fresh else self._take_idle(address, call.max_idle_s)
        if connection is None:
            connection = self._connect(address, call)
        return self._exchange(address, connection, call)

    def close(self) -> None:
        """Break off every call under way; later ones are not sent."""
        with self._lock:
            self._closed = True
            connections = list(self._busy)
            for idle in self._idle_by_address.values():
                connections.extend(item.connection for item in idle)
            self._idle_by_address.clear()
        for connection in connections:
            if connection.sock is not None:
                shut(connection.sock)

    def can_connect(self, address: Address, limit_s: float) -> bool:
        """Return whether a connection can be made; it is kept for the next call."""
        try:
            connection = self._connect(address, HttpCall("GET", "/", connect_s=limit_s))
        except NotSentError:
            return False
        self.give_back(address, connection)
        return True

    def give_back(
        self, address: Address, connection: _Connection, kept_s: float = math.inf
    ) -> None:
        """Keep a connection for the next call, for ``kept_s`` seconds at most."""
        now_s = time.monotonic()
        with self._lock:
            self._busy.discard(connection)
            idle = self._idle_by_address[address]
            if not self._closed and len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(_Idle(connection, now_s, now_s + kept_s))
                return
        connection.release()

    def discard(self, connection: _Connection) -> None:
        """Close a connection that cannot be used again."""
        with self._lock:
            self._busy.discard(connection)
        connection.release()

    def abort(self, connection: _Connection) -> None:
        """Break off the call on a connection; its endpoint sees a reset at once."""
        with self._lock:
            self._busy.discard(connection)
        connection.reset()

    def _take_idle(self, address: Address, max_idle_s: float) -> _Connection | None:
        """Return a pooled connection that the other side has not closed."""
        while True:
            now_s = time.monotonic()
            with self._lock:
                idle = self._idle_by_address[address]
                if not idle or now_s - idle[-1].since_s > max_idle_s:
                    return None
                item = idle.pop()
                self._busy.add(item.connection)
            if now_s < item.until_s and item.connection.is_clean():
                return item.connection
            self.discard(item.connection)

    def _connect(self, address: Address, call: HttpCall) -> _Connection:
        timeout_s = min(call.timeout_s, call.connect_s)
        connection = _Connection(address.host, address.port, timeout_s, self._source)
        try:
            connection.connect()
        except OSError as error:
            raise NotSentError(f"{address}: {error!r}") from error
        with self._lock:
            if not self._closed:
                self._busy.add(connection)
                return connection
        connection.release()
        raise NotSentError("the client is closed")

    def _exchange(
        self, address: Address, connection: _Connection, call: HttpCall
    ) -> OpenAnswer:
        sock = connection.sock
        sock.settimeout(call.timeout_s)
        cancellation = call.cancellation
        handle = 0
        if cancellation is not None:
            handle = cancellation.subscribe(functools.partial(shut, sock))
        try:
            response = _converse(connection, call)
        except (OSError, HTTPException, ValueError) as error:
            if cancellation is not None:
                cancellation.unsubscribe(handle)
            self.abort(connection)
            raise broken(error) from error
        exchange = _Exchange(
            address, call.method, connection, sock, response, cancellation, handle
        )
        return OpenAnswer(self, exchange)


def _converse(connection: _Connection, call: HttpCall) -> HTTPResponse:
    """Write the call and return its answer.

    An endpoint may answer, and close, before it has read the whole call.
    """
    try:
        connection.request(call.method, call.path, call.body, dict(call.headers))
    except TimeoutError:
        raise
    except OSError:
        if not is_readable(connection.sock):
            raise
    return connection.getresponse()


def _watch_peer(sock: socket.socket) -> None:
    """Have the kernel probe the other side, so that a silent one is noticed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _kept_for_s(response: HTTPResponse) -> float:
    """Return how long the other side keeps the connection, by its answer."""
    found = KEEP_ALIVE_TIMEOUT.search(response.headers.get("Keep-Alive", ""))
    if found is None:
        return math.inf
    return max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_S)


def _read_body(response: HTTPResponse, limit_bytes: int | None) -> bytes:
    if limit_bytes is None:
        return response.read()
    body = response.read(limit_bytes + 1)
    if len(body) > limit_bytes:
        raise AnswerTooLargeError(response.status, limit_bytes)
    # A read of so many bytes does not complain when the connection ends early.
    if response.length:
        raise IncompleteRead(body, response.length)
    return body


def broken(error: Exception) -> BrokenCallError:
    """Return the error of a call that broke once it may have been sent."""
    if isinstance(error, TimeoutError):
        return StalledCallError(repr(error))
    return BrokenCallError(repr(error))


def is_readable(sock: socket.socket, wait_s: float = 0.0) -> bool:
    """Return whether there is something to read, or an end, within ``wait_s``."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(wait_s * MILLISECONDS_PER_SECOND))


def shut(sock: socket.socket) -> None:
    """Break a connection off; whoever reads it meets its end."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
