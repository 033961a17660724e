"""Reads the open streams of endpoints, all streams of an endpoint in one task."""

import math
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.state.errors import StalledCallError
from camphoryard.transport.http_client import Address, is_readable, shut

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """How long a stream may be silent before and after its first token.

    No silence lasts beyond ``until_s`` on the monotonic clock.
    """

    first_token_s: float
    stall_s: float
    until_s: float = math.inf


class Reading:
    """One stream that is being read.

    Parameters
    ----------
    sock : socket.socket
        Not blocking.
    take : callable
        Given what has come, in the endpoint's task; ``b""`` is the end of the
        connection. It returns whether nothing more is wanted, and must not block.
    """

    def __init__(self, sock: socket.socket, take: Callable[[bytes], bool]) -> None:
        self.sock = sock
        self._take = take
        self._ended = threading.Event()
        self._error: Exception | None = None
        self._is_cut = False
        self._began_s = time.monotonic()
        self._heard_s: float | None = None

    def read(self) -> bool:
        """Take what has come; return whether the stream is over."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        return self.take(data)

    def read_first(self, limits: StreamLimits) -> bool:
        """Block for what comes first and take it; return whether the stream is over.

        Raises
        ------
        StalledCallError
            If nothing came for longer than ``limits`` allow.
        """
        if not is_readable(self.sock, max(0.0, self._left_s(limits))):
            raise StalledCallError("the stream did not begin")
        return self.read()

    def take(self, data: bytes) -> bool:
        """Hand ``data`` on; return whether the stream is over."""
        self._heard_s = time.monotonic()
        self._is_cut = not data
        try:
            return self._take(data)
        except Exception as error:
            # It belongs to the task that waits for the end, not to the reader's.
            self._error = error
            return True

    def end(self) -> None:
        """Wake the task that waits."""
        self._ended.set()

    def wait(self, limits: StreamLimits) -> None:
        """Block until the stream is over; raises what taking it raised.

        Raises
        ------
        StalledCallError
            If it was silent for longer than ``limits`` allow, or beyond their end.
        """
        while not self._ended.wait(max(0.0, self._left_s(limits))):
            if self._left_s(limits) > 0:
                continue
            if time.monotonic() < limits.until_s and is_readable(self.sock):
                # The reader is behind, not the engine.
                self._heard_s = time.monotonic()
                continue
            self._break_off()
        if self._error is not None:
            raise self._error

    def _left_s(self, limits: StreamLimits) -> float:
        if self._heard_s is None:
            due_s = self._began_s + limits.first_token_s
        else:
            due_s = self._heard_s + limits.stall_s
        return min(due_s, limits.until_s) - time.monotonic()

    def _break_off(self) -> None:
        """Have the reader's task end the stream, which then takes nothing more.

        What had come before is still taken, and may be all that was wanted.
        """
        shut(self.sock)
        self._ended.wait()
        if self._is_cut:
            raise StalledCallError("the stream was silent for too long")


class StreamReader:
    """Reads all open streams of one endpoint in one task.

    An engine sends a token of each stream of its batch at each step, so that one
    wake of the task serves many streams. The task ends with its last stream.
    """

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._lock = threading.Lock()
        self._poll: select.epoll | None = None
        self._reading_by_fd: dict[int, Reading] = {}

    def start(self, reading: Reading) -> None:
        """Read a stream from now on."""
        with self._lock:
            is_idle = self._poll is None
            if self._poll is None:
                self._poll = select.epoll()
            self._reading_by_fd[reading.sock.fileno()] = reading
            self._poll.register(reading.sock, select.EPOLLIN)
            poll = self._poll
        if is_idle:
            self._executor.submit(self._run, poll)

    def _run(self, poll: select.epoll) -> None:
        while not self._is_done(poll):
            for fd, _ in poll.poll():
                reading = self._reading_by_fd[fd]
                if reading.read():
                    self._drop(poll, fd)
                    reading.end()

    def _drop(self, poll: select.epoll, fd: int) -> None:
        with self._lock:
            poll.unregister(fd)
            del self._reading_by_fd[fd]

    def _is_done(self, poll: select.epoll) -> bool:
        """Return whether no stream is left; the next one then starts a new task."""
        with self._lock:
            if self._reading_by_fd:
                return False
            self._poll = None
        poll.close()
        return True


class StreamReaders:
    """The readers of all endpoints; ``executor`` needs a thread for each."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._lock = threading.Lock()
        self._reader_by_address: dict[Address, StreamReader] = {}

    def start(self, address: Address, reading: Reading) -> None:
        """Read a stream in the task of its endpoint."""
        with self._lock:
            reader = self._reader_by_address.get(address)
            if reader is None:
                reader = StreamReader(self._executor)
                self._reader_by_address[address] = reader
        reader.start(reading)
