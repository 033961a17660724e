"""HTTP server whose response streams are written by their producer.

One thread for each connection reads requests. The producer of a stream writes each
event to the socket directly, so that hundreds of streams need no thread switch for
each token.
"""

import io
import socket
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from standins.web import Request, Response

LISTEN_BACKLOG = 1024
LAST_CHUNK = b"0\r\n\r\n"


def as_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Server(ThreadingHTTPServer):
    request_queue_size = LISTEN_BACKLOG
    daemon_threads = True


class _RecordingSocket(io.RawIOBase):
    """Sends what is written to a socket and keeps it."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._written = bytearray()

    def writable(self) -> bool:
        """Return True; see io.RawIOBase."""
        return True

    def write(self, data: Any) -> int:
        """Send and keep ``data``."""
        self._sock.sendall(data)
        self._written += data
        return len(data)

    def take_written(self) -> bytes:
        """Return what was written since the last call."""
        written = bytes(self._written)
        self._written.clear()
        return written


def _never(status: int) -> bool:
    return False


def serve_pushed(
    handler: Callable[[Request], Response],
    host: str,
    port: int,
    repeats: Callable[[int], bool] = _never,
) -> None:
    """Serve ``handler`` until the process ends.

    The last answer of a connection is sent once more before the next one if ``repeats``
    returns True for its status.
    """

    class Connection(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        last_status = 0

        def setup(self) -> None:
            """Prepare the connection."""
            super().setup()
            self.sender = _RecordingSocket(self.connection)
            self.wfile = io.BufferedWriter(self.sender)

        def do_GET(self) -> None:
            """Answer a GET."""
            self._respond()

        def do_POST(self) -> None:
            """Answer a POST."""
            self._respond()

        def log_message(self, format: str, *arguments: Any) -> None:
            """Discard the access log."""

        def _respond(self) -> None:
            request = self._to_request()
            response = Response() if request.path == "/livez" else handler(request)
            try:
                self._send(response)
            finally:
                if response.pushed is not None:
                    response.pushed.close()

        def _send(self, response: Response) -> None:
            last_answer = self.sender.take_written()
            if self.last_status and repeats(self.last_status):
                self.connection.sendall(last_answer)
            self.last_status = response.status
            self.send_response_only(response.status)
            for name, value in response.headers.items():
                self.send_header(name, value)
            if response.pushed is None:
                self._send_body(b"".join(response.body))
            else:
                self._send_pushed(response.pushed)

        def _to_request(self) -> Request:
            parts = urlsplit(self.path)
            length = int(self.headers.get("Content-Length") or 0)
            return Request(
                self.command,
                parts.path,
                dict(parse_qsl(parts.query)),
                dict(self.headers.items()),
                self.rfile.read(length) if length else b"",
            )

        def _send_body(self, body: bytes) -> None:
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def _send_pushed(self, pushed: Any) -> None:
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            self.wfile.flush()
            pushed.attach(self.sender.write)
            # The caller sends nothing until the stream has ended, so an empty
            # read here means that it has disconnected.
            if not self.rfile.peek(1):  # type: ignore[attr-defined]
                self.close_connection = True

    _Server((host, port), Connection).serve_forever()
