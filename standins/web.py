"""Waitress server with request and response types, shared by the stand-ins."""

import logging
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qsl

import msgspec

from camphoryard.transport.http_server import HttpResponse, make_server

THREADS = 600


@dataclass(frozen=True, slots=True)
class Request:
    """A request to a stand-in."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body) if self.body else {}


@dataclass(frozen=True, slots=True)
class Response:
    """A response of a stand-in."""

    status: int = 200
    body: Iterable[bytes] = (b"{}",)
    headers: Mapping[str, str] = field(default_factory=dict)
    pushed: "PushedBody | None" = None


class PushedBody(Protocol):
    """A response body whose producer writes each chunk to the socket."""

    def attach(self, write: Callable[[bytes], object]) -> None:
        """Start; ``write`` raises OSError if the caller has disconnected."""

    def close(self) -> None:
        """Release the stream, at its end or because the caller disconnected."""


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with ``value`` as JSON."""
    return Response(status, [msgspec.json.encode(value)])


class DropConnectionError(Exception):
    """Raised to close the connection in place of a complete response."""


def run(handler: Callable[[Request], Response], host: str, port: int) -> None:
    """Serve ``handler`` until the process ends."""
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    executor = ThreadPoolExecutor(THREADS)

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/livez":
            response = Response()
        else:
            response = handler(_to_request(environ))
        status = HTTPStatus(response.status)
        headers = list(response.headers.items())
        if isinstance(response.body, list | tuple):
            length = sum(len(part) for part in response.body)
            headers.append(("Content-Length", str(length)))
        start_response(f"{status.value} {status.phrase}", headers)
        return response.body

    make_server(app, host, port, executor, _refuse).run()


def _refuse(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status, detail.encode(), content_type="text/plain")


def drop_connection() -> Response:
    """Return a response that closes the connection in the middle of its body."""

    def body() -> Iterable[bytes]:
        yield b"{"
        raise DropConnectionError

    return Response(200, body(), {"Content-Length": "1000"})


def _to_request(environ: dict[str, Any]) -> Request:
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length) if length else b"",
    )
