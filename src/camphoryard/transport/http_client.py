"""HTTP calls that say whether any byte left, over pooled connections."""

import functools
import select
import socket
import threading
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)

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
    that ``HttpClient.call`` reads; None does not.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = 5.0
    fresh: bool = False
    cancellation: Cancellation | None = None
    max_answer_bytes: int | None = None


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
        self.response = exchange.response

    @property
    def address(self) -> Address:
        """Who answers."""
        return self._exchange.address

    @property
    def sock(self) -> socket.socket:
        """The socket of the connection."""
        return self._exchange.sock

    def read_buffered(self) -> bytes:
        """Return what came along with the head; the socket blocks no more."""
        self._exchange.sock.setblocking(False)
        try:
            return self.response.fp.read1(len(self.response.fp.peek()))
        except OSError as error:
            raise broken(error) from error

    def close(self, is_read: bool) -> None:
        """Return the connection to the pool if its body was read to the end."""
        exchange = self._exchange
        exchange.drop_cancellation()
        self.response.close()
        if is_read and not self.response.will_close:
            self._client.give_back(exchange.address, exchange.connection)
        else:
            self._client.discard(exchange.connection)


@dataclass(frozen=True, slots=True)
class _Exchange:
    """A call whose answer has begun; ``handle`` is that of its cancellation."""

    address: Address
    connection: HTTPConnection
    sock: socket.socket
    response: HTTPResponse
    cancellation: Cancellation | None
    handle: int

    def drop_cancellation(self) -> None:
        if self.cancellation is not None:
            self.cancellation.drop(self.handle)


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
        self._idle_by_address: dict[Address, list[HTTPConnection]] = defaultdict(list)
        self._busy: set[HTTPConnection] = set()
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
        connection = None if call.fresh else self._take_idle(address)
        if connection is None:
            connection = self._connect(address, call)
        return self._exchange(address, connection, call)

    def close(self) -> None:
        """Break off every call under way; later ones are not sent."""
        with self._lock:
            self._closed = True
            connections = list(self._busy)
            for idle in self._idle_by_address.values():
                connections.extend(idle)
            self._idle_by_address.clear()
        for connection in connections:
            if connection.sock is not None:
                shut(connection.sock)

    def give_back(self, address: Address, connection: HTTPConnection) -> None:
        """Keep a connection for the next call."""
        with self._lock:
            self._busy.discard(connection)
            idle = self._idle_by_address[address]
            if not self._closed and len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(connection)
                return
        connection.close()

    def discard(self, connection: HTTPConnection) -> None:
        """Close a connection that cannot be used again."""
        with self._lock:
            self._busy.discard(connection)
        connection.close()

    def _take_idle(self, address: Address) -> HTTPConnection | None:
        """Return a pooled connection that the other side has not closed."""
        while True:
            with self._lock:
                idle = self._idle_by_address[address]
                if not idle:
                    return None
                connection = idle.pop()
                self._busy.add(connection)
            # Something to read on an idle connection is its end.
            if not is_readable(connection.sock):
                return connection
            self.discard(connection)

    def _connect(self, address: Address, call: HttpCall) -> HTTPConnection:
        timeout_s = min(call.timeout_s, CONNECT_LIMIT_S)
        connection = HTTPConnection(address.host, address.port, timeout_s, self._source)
        try:
            connection.connect()
        except OSError as error:
            raise NotSentError(f"{address}: {error!r}") from error
        with self._lock:
            if not self._closed:
                self._busy.add(connection)
                return connection
        connection.close()
        raise NotSentError("the client is closed")

    def _exchange(
        self, address: Address, connection: HTTPConnection, call: HttpCall
    ) -> OpenAnswer:
        sock = connection.sock
        sock.settimeout(call.timeout_s)
        cancellation = call.cancellation
        handle = 0
        if cancellation is not None:
            handle = cancellation.subscribe(functools.partial(shut, sock))
        try:
            connection.request(call.method, call.path, call.body, dict(call.headers))
            response = connection.getresponse()
        except (OSError, HTTPException) as error:
            if cancellation is not None:
                cancellation.drop(handle)
            self.discard(connection)
            raise broken(error) from error
        return OpenAnswer(
            self,
            _Exchange(address, connection, sock, response, cancellation, handle),
        )


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
