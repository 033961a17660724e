"""Reads open streams of endpoints, all streams of one endpoint in one task."""

import math
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.state.errors import StalledCallError
from camphoryard.transport.http_client import Address, is_readable, shut_down

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits of the time without data, in seconds, before and after the first token.

    ``deadline_s`` is the monotonic time at which the stream is aborted in any case.
    """

    first_token_s: float
    stall_s: float
    deadline_s: float = math.inf


class OpenStream:
    """One open stream.

    Parameters
    ----------
    sock : socket.socket
        A non-blocking socket.
    consume : callable
        Called with the received data in the endpoint's task; ``b""`` is the end of
        the connection. Returns whether the stream is complete; must not block.
    tokens : callable, default=None
        Returns the number of tokens consumed so far. The stream stalls without further
        tokens, even if it sends other data; by default all data counts.
    """

    def __init__(
        self,
        sock: socket.socket,
        consume: Callable[[bytes], bool],
        tokens: Callable[[], int] | None = None,
    ) -> None:
        self.sock = sock
        self._consume = consume
        self._tokens = tokens
        self._tokens_seen = 0
        self._ended = threading.Event()
        self._error: Exception | None = None
        self._is_connection_closed = False
        self._start_s = time.monotonic()
        self._last_data_s: float | None = None
        self._last_token_s: float | None = None

    def read(self) -> bool:
        """Consume available data; return whether the stream is over."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        return self.consume(data)

    def read_first(self, limits: StreamLimits) -> bool:
        """Wait for the first data and consume it; return whether the stream is over.

        Raises
        ------
        StalledCallError
            If no data arrives within ``limits``.
        """
        if not is_readable(self.sock, max(0.0, self._time_left_s(limits))):
            raise StalledCallError("no first token within the limit")
        return self.read()

    def consume(self, data: bytes) -> bool:
        """Pass ``data`` to the consumer; return whether the stream is over."""
        self._last_data_s = time.monotonic()
        self._is_connection_closed = not data
        try:
            is_over = self._consume(data)
        except Exception as error:
            # Raised in the task that waits for the end, not in the reader task.
            self._error = error
            return True
        tokens = self._tokens_seen + 1 if self._tokens is None else self._tokens()
        if tokens > self._tokens_seen:
            self._last_token_s = self._last_data_s
        self._tokens_seen = tokens
        return is_over

    def end(self) -> None:
        """Wake the task in ``wait``."""
        self._ended.set()

    def wait(self, limits: StreamLimits) -> None:
        """Block until the stream is over; raises the errors of its consumer.

        Raises
        ------
        StalledCallError
            If no data arrives within ``limits``, or their deadline passes.
        """
        while not self._ended.wait(max(0.0, self._time_left_s(limits))):
            if self._time_left_s(limits) > 0:
                continue
            if time.monotonic() < limits.deadline_s and self._is_reader_late(limits):
                self._last_token_s = time.monotonic()
                continue
            self._abort()
        if self._error is not None:
            raise self._error

    def _is_reader_late(self, limits: StreamLimits) -> bool:
        """Return whether data waits that the reader task has had no time to read."""
        read_s = self._start_s if self._last_data_s is None else self._last_data_s
        limit_s = limits.first_token_s if self._last_token_s is None else limits.stall_s
        return time.monotonic() - read_s >= limit_s and is_readable(self.sock)

    def _time_left_s(self, limits: StreamLimits) -> float:
        if self._last_token_s is None:
            timeout_at_s = self._start_s + limits.first_token_s
        else:
            timeout_at_s = self._last_token_s + limits.stall_s
        return min(timeout_at_s, limits.deadline_s) - time.monotonic()

    def _abort(self) -> None:
        """Shut the connection down and wait until the reader task ends the stream.

        Data received before is still consumed and may complete the stream.
        """
        shut_down(self.sock)
        self._ended.wait()
        if self._is_connection_closed:
            raise StalledCallError("stream stalled or its deadline passed")


class StreamReader:
    """Reads all open streams of one endpoint in one task.

    An engine sends one token per stream of its batch at each step, so that waking the
    task once serves many streams. The task ends with its last stream.
    """

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._lock = threading.Lock()
        self._poll: select.epoll | None = None
        self._stream_by_fd: dict[int, OpenStream] = {}

    def start(self, stream: OpenStream) -> None:
        """Start to read a stream."""
        with self._lock:
            is_idle = self._poll is None
            if self._poll is None:
                self._poll = select.epoll()
            self._stream_by_fd[stream.sock.fileno()] = stream
            self._poll.register(stream.sock, select.EPOLLIN)
            poll = self._poll
        if is_idle:
            self._executor.submit(self._run, poll)

    def _run(self, poll: select.epoll) -> None:
        while not self._is_done(poll):
            for fd, _ in poll.poll():
                stream = self._stream_by_fd[fd]
                if stream.read():
                    self._remove(poll, fd)
                    stream.end()

    def _remove(self, poll: select.epoll, fd: int) -> None:
        with self._lock:
            poll.unregister(fd)
            del self._stream_by_fd[fd]

    def _is_done(self, poll: select.epoll) -> bool:
        """Return whether no stream is left; a later stream starts a new task."""
        with self._lock:
            if self._stream_by_fd:
                return False
            self._poll = None
        poll.close()
        return True


class StreamReaders:
    """The stream readers of all endpoints; ``executor`` needs a thread for each."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._lock = threading.Lock()
        self._reader_by_address: dict[Address, StreamReader] = {}

    def start(self, address: Address, stream: OpenStream) -> None:
        """Start to read a stream in the task of its endpoint."""
        with self._lock:
            reader = self._reader_by_address.get(address)
            if reader is None:
                reader = StreamReader(self._executor)
                self._reader_by_address[address] = reader
        reader.start(stream)
