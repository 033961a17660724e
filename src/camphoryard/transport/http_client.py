"""HTTP client with pooled connections; its errors say whether any byte was sent."""

import functools
import io
import math
import mmap
import re
import select
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
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
from camphoryard.transport.answer_budget import MAX_SMALL_ANSWER_BYTES, AnswerBudget
from camphoryard.transport.http_answers import STANDARD_SINGLE_FIELDS, StrictResponse

MAX_IDLE_PER_POOL = 64
CONNECT_TIMEOUT_S = 1.0
MILLISECONDS_PER_SECOND = 1000
TCP_KEEP_ALIVE_IDLE_S = 1
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2
"""The kernel closes a connection to an unresponsive peer after
idle + interval * probes seconds."""
UNACKNOWLEDGED_TIMEOUT_MS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER enabled with a time of 0 s: closing the socket sends a reset."""
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=0*([0-9]{1,9})")
"""A longer number is cut, which leaves three years at least."""
KEEP_ALIVE_MARGIN_S = 0.5
"""Safety margin before the server's keep-alive timeout, in which an idle connection
is no longer used."""
MAX_HEAD_BYTES = 128 << 10
"""Maximum number of bytes received for the head of an answer, and those before it."""
MAX_READ_BYTES = 1 << 20
"""Maximum number of bytes received for one chunk."""
MAX_LINES_IN_A_ROW = 256
"""Maximum number of lines without data between them: of a head with the interim heads
before it, or of the trailers of a body."""
PIECE_BYTES = 1 << 16
"""Number of bytes of a body that are read at a time. http.client allocates the length
that an answer claims if it is asked for the whole body."""
MAX_ERROR_CHARACTERS = 200
"""Maximum length of an error's text, which may contain what the server sent."""
MAX_ANSWER_BYTES = 8 << 20
"""Maximum size of a body, unless the call sets another."""
CHUNKED_SIZE_FACTOR = 2
"""Maximum size of a body in chunks, in multiples of its content."""
MIN_TIMEOUT_S = 0.001
"""A socket timeout of 0 s would make the socket non-blocking."""
ANSWER_TIMEOUTS = 2
"""Maximum time from sending a call to the end of its answer, in timeouts of the call,
unless the call sets another."""
SUCCESS_STATUSES = range(200, 300)
MAX_REFUSED_IDS = 64
"""Maximum number of ids that a connection remembers; it is closed after that."""


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One call.

    ``new_connection`` forbids a pooled connection. The server may close a pooled
    connection while the call is being written; a call that must not be repeated
    needs a new connection, because a failure to connect then proves that nothing was
    sent. ``timeout_s`` limits the time from the beginning of the call until the head
    of the answer is complete, and each pause in its body; ``max_answer_time_s`` limits
    the time of the whole answer, which a server could otherwise extend without end by
    sending a byte now and then; None means twice the timeout.
    After each ``silence_timeout_s`` without the head, ``keep_waiting`` decides whether
    to wait on.
    ``cancellation`` aborts the call at any stage. ``max_answer_bytes`` limits
    the body that ``HttpClient.call`` reads; None means `MAX_ANSWER_BYTES`.
    ``connect_timeout_s`` limits the time to connect, ``max_idle_s`` how long a pooled
    connection may have been idle. ``is_permitted`` is checked right before the call
    is written, as connecting takes time and the process may be suspended meanwhile.
    ``id`` is what the server repeats in its answers to the call, None if nothing.
    ``is_answered_once`` if the server sends no answer a second time, so that its
    connection may be used again after any answer.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = 5.0
    silence_timeout_s: float = math.inf
    keep_waiting: Callable[[], bool] = _never
    new_connection: bool = False
    cancellation: Cancellation | None = None
    max_answer_bytes: int | None = None
    max_answer_time_s: float | None = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    max_idle_s: float = math.inf
    is_permitted: Callable[[], bool] | None = None
    id: str | None = None
    is_answered_once: bool = False


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None; the case of names does not matter."""
        values = (
            value
            for other, value in self.headers.items()
            if other.lower() == name.lower()
        )
        return next(values, None)


class OpenAnswer:
    """An answer whose head is received and whose body is not yet read."""

    def __init__(self, client: "HttpClient", exchange: "_Exchange") -> None:
        self._client = client
        self._exchange = exchange
        self._has_skipped = False
        self._reserved_bytes = 0
        self.response = exchange.response

    @property
    def address(self) -> Address:
        """Address of the server that answers."""
        return self._exchange.address

    @property
    def number(self) -> int:
        """Which answer of its connection this is; the first one has number 1."""
        return self._exchange.connection.answers

    @property
    def sock(self) -> socket.socket:
        """The socket of the connection."""
        return self._exchange.sock

    @property
    def write_error(self) -> OSError | None:
        """The error after which the rest of the call was not written, or None."""
        return self._exchange.connection.write_error

    def set_read_timeout(
        self,
        silence_timeout_s: float,
        keep_waiting: Callable[[], bool],
        end_s: float = math.inf,
    ) -> None:
        """Time out reads after ``silence_timeout_s`` unless ``keep_waiting()``.

        No read waits beyond the monotonic time ``end_s``.
        """
        reader = self._exchange.connection.reader
        reader.set_keep_waiting(keep_waiting)
        reader.limit(ReadLimits.of_one_read(MAX_READ_BYTES, silence_timeout_s, end_s))

    def restart_read_limits(self) -> None:
        """Apply the limits of a read to what is received from now on."""
        self._exchange.connection.reader.restart_limits()

    def limit_body(self, max_bytes: int, silence_s: float, end_s: float) -> None:
        """Limit the rest of the answer.

        It may have ``max_bytes``, pause for ``silence_s`` and last until the monotonic
        time ``end_s``.
        """
        self._exchange.connection.reader.limit(
            ReadLimits(max_bytes, silence_s, end_s - time.monotonic(), end_s)
        )

    def read_buffered(self) -> bytes:
        """Return the data received with the head; makes the socket non-blocking."""
        self._exchange.sock.setblocking(False)
        try:
            return self.response.fp.read1(len(self.response.fp.peek()))
        except OSError as error:
            raise broken_call_error(error) from error

    def read_body(self, max_bytes: int, silence_s: float, end_s: float) -> bytes:
        """Return the whole body of at most ``max_bytes``.

        It may pause for ``silence_s`` and last until the monotonic time ``end_s``.
        Memory for more than a small body is reserved until the answer is closed.

        Raises
        ------
        BodySizeError
            If the body is larger.
        TimeoutError
            If it, or memory for it, does not come in time.
        OSError, HTTPException
            If the connection fails or ends before the end of the body.
        """
        self.limit_body(max_bytes * CHUNKED_SIZE_FACTOR, silence_s, end_s)
        declared = self.response.length
        if declared is not None and declared > max_bytes:
            raise BodySizeError(f"the body has {declared} bytes")
        max_size = max_bytes if declared is None else declared
        body: io.BytesIO | mmap.mmap = io.BytesIO()
        try:
            for piece in self._pieces():
                size = body.tell() + len(piece)
                if size > max_size:
                    raise BodySizeError(f"the body has more than {max_size} bytes")
                if size > MAX_SMALL_ANSWER_BYTES and not self._reserved_bytes:
                    body = self._reserve(body, max_size, end_s)
                body.write(piece)
            size = body.tell()
            body.seek(0)
            return body.read(size)
        finally:
            body.close()

    def _pieces(self) -> Iterator[bytes]:
        """Yield the rest of the body; raises IncompleteRead if it ends early."""
        while piece := self.response.read(PIECE_BYTES):
            yield piece
        # A read with a size raises no error if the connection ends early.
        if self.response.length:
            raise IncompleteRead(b"", self.response.length)

    def _reserve(
        self, body: io.BytesIO | mmap.mmap, max_size: int, end_s: float
    ) -> mmap.mmap:
        """Reserve memory for a body, of which ``body`` is the beginning."""
        exchange = self._exchange
        budget = self._client.answer_budget
        cancellation = exchange.call.cancellation
        budget.reserve(exchange.address, max_size, end_s, cancellation)
        self._reserved_bytes = max_size
        # Returned to the system as soon as it is closed. Freed memory of the heap would
        # stay with the arena of this task's thread.
        memory = mmap.mmap(-1, max_size)
        body.seek(0)
        memory.write(body.read())
        return memory

    def skip(self) -> None:
        """Read this answer to its end, then the head of the next on the connection.

        Needed because an endpoint may answer an earlier call twice. Raises the same
        errors as ``HttpClient.call``.
        """
        exchange = self._exchange
        try:
            for _ in self._pieces():
                pass
            following = exchange.connection.next_response(
                self.sock, method=exchange.call.method
            )
            following.begin()
        except (OSError, HTTPException, ValueError) as error:
            raise broken_call_error(error) from error
        self.response = following
        self._has_skipped = True
        self._client.count_skipped()

    def close(self, is_read: bool) -> None:
        """Return the connection to the pool if its body was read to the end."""
        exchange = self._exchange
        if self._reserved_bytes:
            self._client.answer_budget.release(exchange.address, self._reserved_bytes)
            self._reserved_bytes = 0
        exchange.unsubscribe_cancellation()
        exchange.connection.reader.set_keep_waiting(_never)
        self.response.close()
        exchange.record_refusal()
        is_reusable = (
            exchange.leaves_connection_usable
            and not self.response.will_close
            and not self._has_skipped
        )
        if is_read and is_reusable and self.write_error is None:
            self._client.return_to_pool(
                exchange.address,
                exchange.connection,
                exchange.call.id is not None,
                _keep_alive_s(self.response),
            )
        elif is_read:
            self._client.discard(exchange.connection)
        else:
            self._client.abort(exchange.connection)


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits of the bytes received by a read, and of its time in seconds.

    ``total_s`` limits all receives of the read together, ``silence_s`` each of them.
    Both start again whenever the reader decides to keep waiting, which it cannot after
    the monotonic time ``end_s``.
    """

    max_bytes: int
    silence_s: float
    total_s: float
    end_s: float = math.inf

    @classmethod
    def of_one_read(
        cls, max_bytes: int, timeout_s: float, end_s: float = math.inf
    ) -> "ReadLimits":
        """Return limits under which the whole read takes at most ``timeout_s``."""
        return cls(max_bytes, timeout_s, timeout_s, end_s)


class ReadLimitError(OSError):
    """A server sends more than the client of it reads."""


class BodySizeError(ReadLimitError):
    """A body is larger than the client of it accepts."""


class _RawSocketReader(io.RawIOBase):
    """Reads a socket; after a timeout, ``keep_waiting`` decides whether to read on.

    A timeout error of the socket would make the buffered reader unusable. The limits
    apply to everything received since they were set: the timeout of the socket alone
    starts again with each byte.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.keep_waiting: Callable[[], bool] = _never
        self._limits = ReadLimits.of_one_read(MAX_READ_BYTES, math.inf)
        self._bytes_left = self._limits.max_bytes
        self._deadline_s = math.inf
        self._has_received = False
        self.error_at_end: OSError | None = None
        self._sock = sock
        # Keeps the file descriptor open: http.client closes its socket after an
        # answer with "Connection: close".
        self._file = sock.makefile("rb", buffering=0)

    def readable(self) -> bool:
        """Return True; see io.RawIOBase."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes, or return None if it would block; see io.RawIOBase."""
        while True:
            try:
                self._shorten_timeout()
                count = self._sock.recv_into(buffer)
            except TimeoutError as error:
                # The kernel's ETIMEDOUT is a TimeoutError too. It ends the connection
                # and is reported once: the next read would see an ordinary end.
                is_connection_lost = error.errno is not None
                is_over = time.monotonic() >= self._limits.end_s
                if is_connection_lost or is_over or not self.keep_waiting():
                    raise
                self._restart_time()
            except BlockingIOError:
                return None
            else:
                if not count and self.error_at_end is not None:
                    raise self.error_at_end
                self._has_received = True
                self._bytes_left -= count
                if self._bytes_left < 0:
                    raise ReadLimitError(
                        f"received more than {self._limits.max_bytes} bytes"
                    )
                return count

    def limit(self, limits: ReadLimits) -> None:
        """Apply ``limits`` to what is received from now on."""
        self._limits = limits
        self.restart_limits()

    def restart_limits(self) -> None:
        """Apply the same limits again to what is received from now on."""
        self._bytes_left = self._limits.max_bytes
        self._restart_time()

    def _restart_time(self) -> None:
        now_s = time.monotonic()
        self._deadline_s = min(now_s + self._limits.total_s, self._limits.end_s)
        self._has_received = False
        self._set_timeout(min(self._limits.silence_s, self._deadline_s - now_s))

    def _shorten_timeout(self) -> None:
        """Wait no longer than to the deadline; raises TimeoutError if it has passed.

        Until something is received, the timeout set with the limits is still exact.
        """
        if not self._has_received or self._sock.gettimeout() == 0.0:
            return
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the read is not complete in time")
        self._set_timeout(min(self._limits.silence_s, left_s))

    def _set_timeout(self, timeout_s: float) -> None:
        # Comparing first saves a system call for each read.
        timeout_s = max(MIN_TIMEOUT_S, timeout_s)
        if self._sock.gettimeout() != timeout_s:
            self._sock.settimeout(timeout_s)

    def close(self) -> None:
        """Close the file descriptor."""
        if not self.closed:
            super().close()
            self._file.close()


class _PersistentReader:
    """The buffered reader of a connection, shared by all its answers."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._raw = _RawSocketReader(sock)
        self._reader = io.BufferedReader(self._raw)
        self._lines_in_a_row = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return one line, which is cut short at the end of the connection."""
        self._lines_in_a_row += 1
        if self._lines_in_a_row > MAX_LINES_IN_A_ROW:
            raise ReadLimitError(f"received more than {MAX_LINES_IN_A_ROW} lines")
        return self._reader.readline(limit)

    def read(self, size: int = -1) -> bytes:
        """Return ``size`` bytes, or less at the end of the connection."""
        self._lines_in_a_row = 0
        return self._reader.read(size)

    def read1(self, size: int = -1) -> bytes:
        """Return at most ``size`` bytes, as soon as there are any."""
        self._lines_in_a_row = 0
        return self._reader.read1(size)

    def set_keep_waiting(self, keep_waiting: Callable[[], bool]) -> None:
        """Set the function that decides whether to read on after a timeout."""
        self._raw.keep_waiting = keep_waiting

    def abort(self) -> None:
        """Make reads fail at the end of the connection, which is this client's own."""
        self.fail_at_end(ConnectionAbortedError("the call was aborted"))

    def fail_at_end(self, error: OSError) -> None:
        """Make reads raise ``error`` at the end of the connection.

        The kernel reports the reset of a connection once. A read after that sees an
        end like that of a whole answer.
        """
        self._raw.error_at_end = error

    def limit(self, limits: ReadLimits) -> None:
        """Apply ``limits`` to what is received from now on."""
        self._lines_in_a_row = 0
        self._raw.limit(limits)

    def restart_limits(self) -> None:
        """Apply the same limits again to what is received from now on."""
        self._raw.restart_limits()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def close(self) -> None:
        """Do nothing: http.client calls this after each answer of the connection."""

    def reset_on_close(self) -> None:
        """Make closing reset the connection and discard unsent data."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def release(self) -> None:
        """Close the reader."""
        self._reader.close()


class _IdleState(Enum):
    """What has become of a connection while it was idle."""

    CLEAN = "clean"
    ENDED = "ended"
    UNREAD = "unread"
    """The server has sent more than the answers that were due."""


class _Connection(HTTPConnection):
    """A connection whose answers share one reader, so that no buffered byte is lost."""

    reader: _PersistentReader
    answers = 0
    """Answers that have begun on the connection."""
    write_error: OSError | None = None
    """The error after which the rest of a call was not written."""

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        source: tuple[str, int] | None,
        single_fields: frozenset[str],
    ) -> None:
        super().__init__(address.host, address.port, timeout_s, source)
        self._single_fields = single_fields
        self.refused_ids: set[str] = set()
        """Ids of calls whose refusals may come once more."""

    def connect(self) -> None:
        """Connect, with TCP keep-alive so that an unresponsive peer is detected."""
        super().connect()
        _enable_keep_alive(self.sock)
        self.reader = _PersistentReader(self.sock)
        self.response_class = self.next_response  # type: ignore[assignment]

    def next_response(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> HTTPResponse:
        """Return the next answer, before its head is read."""
        self.answers += 1
        response = StrictResponse(sock, debuglevel, method)
        response.single_fields = self._single_fields
        response.fp.close()
        response.fp = self.reader  # type: ignore[assignment]
        return response

    def idle_state(self) -> _IdleState:
        """Return whether an idle connection is open and has no unread data.

        Data received with the last answer is in the reader and no longer in the
        socket, so both are checked.
        """
        is_quiet = not is_readable(self.sock)
        self.sock.setblocking(False)
        try:
            if self.reader.peek(1):
                return _IdleState.UNREAD
        except OSError:
            return _IdleState.ENDED
        return _IdleState.CLEAN if is_quiet else _IdleState.ENDED

    def release(self) -> None:
        """Close the connection and its reader."""
        self.reader.release()
        self.close()

    def reset(self) -> None:
        """Close the connection with a reset, which discards unsent data.

        A graceful close would still deliver buffered data, so an endpoint could
        start to run a call long after it was aborted.
        """
        self.reader.reset_on_close()
        self.release()


@dataclass(frozen=True, slots=True)
class _Exchange:
    """A call whose answer has begun; ``handle`` is its cancellation subscription."""

    address: Address
    call: HttpCall
    connection: _Connection
    sock: socket.socket
    response: HTTPResponse
    handle: int

    @property
    def is_refused(self) -> bool:
        return self.response.status not in SUCCESS_STATUSES

    def record_refusal(self) -> None:
        """Record that the refusal of the call may come once more."""
        if self.is_refused and self.call.id is not None:
            self.connection.refused_ids.add(self.call.id)

    @property
    def leaves_connection_usable(self) -> bool:
        """Whether the answers to later calls are told from copies of this one.

        Calls without an id share connections with each other only, and with none if
        they need a new one: an order's answer must not be read as a report.
        """
        if self.call.is_answered_once:
            return True
        if self.call.id is None:
            return not (self.is_refused or self.call.new_connection)
        return len(self.connection.refused_ids) < MAX_REFUSED_IDS

    def unsubscribe_cancellation(self) -> None:
        if self.call.cancellation is not None:
            self.call.cancellation.unsubscribe(self.handle)


@dataclass(frozen=True, slots=True)
class _Pool:
    """Which idle connections a call may use: those of its address and kind."""

    address: Address
    has_ids: bool


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A pooled connection, usable until the monotonic time ``usable_until_s``."""

    connection: _Connection
    idle_since_s: float
    usable_until_s: float


class HttpClient:
    """Makes HTTP calls over pooled connections; thread-safe.

    Parameters
    ----------
    source_host : str
        Source IP address of connections; empty to let the system choose.
    single_fields : iterable of str
        Fields of answers that are no lists, besides the standard ones. An answer in
        which one of them has unlike values breaks its call.

    Attributes
    ----------
    opened_connections : int
        Connections that were established.
    skipped_answers : int
        Answers that were read past, as they answered an earlier call.
    unread_connections : int
        Idle connections that were closed, as the server had sent more than was due.
    """

    def __init__(
        self, source_host: str = "", single_fields: Iterable[str] = ()
    ) -> None:
        self._single_fields = STANDARD_SINGLE_FIELDS.union(
            name.lower() for name in single_fields
        )
        self.answer_budget: AnswerBudget[Address] = AnswerBudget()
        self._source = (source_host, 0) if source_host else None
        self._lock = threading.Lock()
        self._idle_by_pool: dict[_Pool, list[_IdleConnection]] = defaultdict(list)
        self._in_use: set[_Connection] = set()
        self._closed = False
        self.opened_connections = 0
        self.skipped_answers = 0
        self.unread_connections = 0

    def call(self, address: Address, call: HttpCall) -> HttpAnswer:
        """Make the call and read the complete answer.

        Raises
        ------
        NotSentError
            If no byte was sent.
        StalledCallError
            If the server sent nothing within the timeout, or not the whole answer in
            the time for it.
        BrokenCallError
            If the call failed after some of it may have been sent.
        AnswerTooLargeError
            If the body exceeds ``max_answer_bytes`` of the call.
        """
        max_answer_time_s = call.max_answer_time_s
        if max_answer_time_s is None:
            max_answer_time_s = call.timeout_s * ANSWER_TIMEOUTS
        end_s = time.monotonic() + max_answer_time_s
        answer = self.open(address, call)
        try:
            max_bytes = call.max_answer_bytes or MAX_ANSWER_BYTES
            body = answer.read_body(max_bytes, call.timeout_s, end_s)
        except BodySizeError as error:
            if call.max_answer_bytes is None:
                raise broken_call_error(error) from error
            raise AnswerTooLargeError(
                answer.response.status, call.max_answer_bytes
            ) from error
        except (OSError, HTTPException, ValueError) as error:
            raise broken_call_error(error) from error
        finally:
            answer.close(answer.response.isclosed())
        return HttpAnswer(answer.response.status, dict(answer.response.headers), body)

    def open(self, address: Address, call: HttpCall) -> OpenAnswer:
        """Make the call and read the head of its answer; raises as ``call``."""
        end_s = time.monotonic() + call.timeout_s
        connection = (
            None
            if call.new_connection
            else self._take_idle(address, call.max_idle_s, call.id)
        )
        if connection is None:
            connection = self._connect(address, call)
        if call.is_permitted is not None and not call.is_permitted():
            self.discard(connection)
            raise NotSentError("the permission for the call has expired")
        return self._exchange(address, connection, call, end_s)

    def close(self) -> None:
        """Abort every call in flight and reject later ones."""
        with self._lock:
            self._closed = True
            connections = list(self._in_use)
            for idle in self._idle_by_pool.values():
                connections.extend(item.connection for item in idle)
            self._idle_by_pool.clear()
        for connection in connections:
            if connection.sock is not None:
                _abort_reads(connection.reader, connection.sock)

    def can_connect(self, address: Address, timeout_s: float) -> bool:
        """Return whether connecting succeeds; the connection is added to the pool."""
        try:
            connection = self._connect(
                address, HttpCall("GET", "/", connect_timeout_s=timeout_s)
            )
        except NotSentError:
            return False
        self.return_to_pool(address, connection, has_ids=True)
        return True

    def return_to_pool(
        self,
        address: Address,
        connection: _Connection,
        has_ids: bool,
        keep_alive_s: float = math.inf,
    ) -> None:
        """Add a connection to the pool, to be used within ``keep_alive_s`` seconds.

        It is for calls with ids if ``has_ids``, else for those without. In a full pool
        it replaces the connection that was idle for longest.
        """
        now_s = time.monotonic()
        surplus = connection
        with self._lock:
            self._in_use.discard(connection)
            if not self._closed:
                idle = self._idle_by_pool[_Pool(address, has_ids)]
                idle.append(_IdleConnection(connection, now_s, now_s + keep_alive_s))
                if len(idle) <= MAX_IDLE_PER_POOL:
                    return
                surplus = idle.pop(0).connection
        surplus.release()

    def discard(self, connection: _Connection) -> None:
        """Close a connection that cannot be reused."""
        with self._lock:
            self._in_use.discard(connection)
        connection.release()

    def abort(self, connection: _Connection) -> None:
        """Abort the call on a connection with a reset."""
        with self._lock:
            self._in_use.discard(connection)
        connection.reset()

    def count_skipped(self) -> None:
        """Count an answer that was read past, as it answered another call."""
        with self._lock:
            self.skipped_answers += 1

    def _take_idle(
        self, address: Address, max_idle_s: float, id: str | None = None
    ) -> _Connection | None:
        """Return a pooled connection for a call with ``id``, or None.

        The server has not closed it, and no refusal on it could be taken for the
        answer to the call.
        """
        while True:
            now_s = time.monotonic()
            with self._lock:
                idle = self._idle_by_pool[_Pool(address, id is not None)]
                usable = (
                    item
                    for item in reversed(idle)
                    if now_s - item.idle_since_s <= max_idle_s
                    and id not in item.connection.refused_ids
                )
                item = next(usable, None)
                if item is None:
                    return None
                idle.remove(item)
                self._in_use.add(item.connection)
            match item.connection.idle_state():
                case _IdleState.CLEAN if now_s < item.usable_until_s:
                    return item.connection
                case _IdleState.UNREAD:
                    with self._lock:
                        self.unread_connections += 1
                case _:
                    pass
            self.discard(item.connection)

    def _connect(self, address: Address, call: HttpCall) -> _Connection:
        timeout_s = min(call.timeout_s, call.connect_timeout_s)
        connection = _Connection(address, timeout_s, self._source, self._single_fields)
        try:
            connection.connect()
        except OSError as error:
            raise NotSentError(f"{address}: {error!r}") from error
        with self._lock:
            self.opened_connections += 1
            if not self._closed:
                self._in_use.add(connection)
                return connection
        connection.release()
        raise NotSentError("the client is closed")

    def _exchange(
        self, address: Address, connection: _Connection, call: HttpCall, end_s: float
    ) -> OpenAnswer:
        sock = connection.sock
        connection.reader.set_keep_waiting(call.keep_waiting)
        connection.reader.limit(
            ReadLimits.of_one_read(
                MAX_HEAD_BYTES, min(call.timeout_s, call.silence_timeout_s), end_s
            )
        )
        cancellation = call.cancellation
        handle = 0
        if cancellation is not None:
            handle = cancellation.subscribe(
                functools.partial(_abort_reads, connection.reader, sock)
            )
        try:
            response = _send_request(connection, call)
        except (OSError, HTTPException, ValueError) as error:
            if cancellation is not None:
                cancellation.unsubscribe(handle)
            self.abort(connection)
            raise broken_call_error(error) from error
        exchange = _Exchange(address, call, connection, sock, response, handle)
        return OpenAnswer(self, exchange)


def _send_request(connection: _Connection, call: HttpCall) -> HTTPResponse:
    """Write the call and return its answer.

    After a failed write the answer is read all the same: an endpoint may answer and
    close the connection before it has read the complete call. Such an answer is
    complete only if it has a length or chunks, as nothing tells a connection that was
    ended after the answer from one that was reset within it.
    """
    try:
        connection.request(call.method, call.path, call.body, dict(call.headers))
    except TimeoutError:
        raise
    except OSError as error:
        if not is_readable(connection.sock):
            raise
        connection.write_error = error
        connection.reader.fail_at_end(error)
    # The socket still has the timeout of the write.
    connection.reader.restart_limits()
    return connection.getresponse()


def _enable_keep_alive(sock: socket.socket) -> None:
    """Let the kernel probe the peer, so that an unresponsive one is detected."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _keep_alive_s(response: HTTPResponse) -> float:
    """Return how long the server keeps the connection open, by its answer."""
    found = KEEP_ALIVE_TIMEOUT_PATTERN.search(response.headers.get("Keep-Alive", ""))
    if found is None:
        return math.inf
    return max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_S)


def broken_call_error(error: Exception) -> BrokenCallError:
    """Return the error for a call that failed after it may have been sent."""
    text = repr(error)[:MAX_ERROR_CHARACTERS]
    if isinstance(error, TimeoutError):
        return StalledCallError(text)
    return BrokenCallError(text)


def is_readable(sock: socket.socket, wait_s: float = 0.0) -> bool:
    """Return whether data or the end of the stream can be read within ``wait_s``."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(wait_s * MILLISECONDS_PER_SECOND))


def _abort_reads(reader: _PersistentReader, sock: socket.socket) -> None:
    """Shut a connection down; an answer that is being read is incomplete."""
    reader.abort()
    shut_down(sock)


def shut_down(sock: socket.socket) -> None:
    """Shut a connection down; its readers see the end of the stream."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
