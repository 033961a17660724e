"""The HTTP server: waitress, one task for each connection's request."""

import logging
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeAlias

from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected, HTTPChannel
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


class Connection(HTTPChannel):
    """A caller's connection; cancels its request when the caller goes away."""

    task_class = ConnectionTask
    error_task_class = BadRequestTask

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.cancellation = Cancellation()
        super().__init__(*args, **kwargs)

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
    and a text.
    """

    channel_class = Connection

    def __init__(self, *args: Any, refuse: Refuse, **kwargs: Any) -> None:
        self.refuse = refuse
        self._progress = threading.Condition()
        super().__init__(*args, **kwargs)

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


def serve(
    app: Any, host: str, port: int, executor: Executor, refuse: Refuse
) -> HttpServer:
    """Return a waitress server that is bound; its ``run`` blocks.

    Raises
    ------
    ListenError
        If the port cannot be bound.
    """
    logging.getLogger("waitress").setLevel(logging.ERROR)
    adjustments = Adjustments(
        host=host,
        port=port,
        asyncore_use_poll=True,
        connection_limit=CONNECTION_LIMIT,
        backlog=BACKLOG,
        max_request_body_size=MAX_READ_BYTES,
        inbuf_overflow=MAX_READ_BYTES,
        outbuf_high_watermark=NEVER_BLOCKING_BYTES,
        clear_untrusted_proxy_headers=True,
        channel_timeout=600,
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
        )
    except OSError as error:
        raise ListenError(
            f"node.http_port: {host}:{port} cannot be bound ({error.strerror});"
            " end what uses it, or set another port and host of this VM"
        ) from error
    return server
