"""HTTP calls that say whether any byte left, over pooled connections."""

import socket
import threading
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

from camphoryard.state.errors import BrokenCallError, NotSentError

MAX_IDLE_PER_ADDRESS = 64


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One call; ``fresh`` forbids a pooled connection.

    A pooled connection may have been closed by the other side, which shows
    only after the call was written. A call that may not be repeated needs a
    fresh one, since its failure to connect then proves that nothing was sent.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = 5.0
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OpenAnswer:
    """An answer whose body is still to be read."""

    def __init__(
        self,
        client: "HttpClient",
        address: Address,
        connection: HTTPConnection,
        response: HTTPResponse,
    ) -> None:
        self.response = response
        self._client = client
        self._address = address
        self._connection = connection

    def close(self) -> None:
        """Return the connection to the pool if its body was read to the end."""
        if self.response.isclosed() and not self.response.will_close:
            self._client.give_back(self._address, self._connection)
        else:
            self._client.discard(self._connection)


class HttpClient:
    """Makes calls; safe to use from many threads."""

    def __init__(self) -> None:
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
        BrokenCallError
            If the call broke after some of it may have been sent.
        """
        answer = self.open(address, call)
        try:
            body = answer.response.read()
        except (OSError, HTTPException) as error:
            raise BrokenCallError(f"{address}: {error!r}") from error
        finally:
            answer.close()
        return HttpAnswer(answer.response.status, dict(answer.response.headers), body)

    def open(self, address: Address, call: HttpCall) -> OpenAnswer:
        """Make the call, leaving the body to be read; raises as ``call``."""
        if not call.fresh:
            connection = self._take_idle(address)
            if connection is not None:
                try:
                    return self._exchange(address, connection, call)
                except BrokenCallError as error:
                    if isinstance(error.__cause__, TimeoutError):
                        raise
                    # Else the idle connection was stale: use a fresh one.
                    return self._exchange_again(address, call, error)
        return self._exchange(address, self._connect(address, call), call)

    def close(self) -> None:
        """Break off every call under way; later ones are not sent."""
        with self._lock:
            self._closed = True
            connections = list(self._busy)
            for idle in self._idle_by_address.values():
                connections.extend(idle)
            self._idle_by_address.clear()
        for connection in connections:
            _shut(connection)

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
        with self._lock:
            idle = self._idle_by_address[address]
            if not idle:
                return None
            connection = idle.pop()
            self._busy.add(connection)
            return connection

    def _exchange_again(
        self, address: Address, call: HttpCall, first: BrokenCallError
    ) -> OpenAnswer:
        """Repeat a call on a fresh connection; the first try may have arrived."""
        try:
            connection = self._connect(address, call)
        except NotSentError as error:
            raise first from error
        return self._exchange(address, connection, call)

    def _connect(self, address: Address, call: HttpCall) -> HTTPConnection:
        connection = HTTPConnection(address.host, address.port, timeout=call.timeout_s)
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
        if connection.sock is not None:
            connection.sock.settimeout(call.timeout_s)
        try:
            connection.request(call.method, call.path, call.body, dict(call.headers))
            response = connection.getresponse()
        except (OSError, HTTPException) as error:
            self.discard(connection)
            raise BrokenCallError(f"{address}: {error!r}") from error
        return OpenAnswer(self, address, connection, response)


def _shut(connection: HTTPConnection) -> None:
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
