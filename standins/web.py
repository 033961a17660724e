"""What the stand-ins share: a waitress server with JSON routes."""

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
class Asked:
    """A request at a stand-in."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body) if self.body else {}


@dataclass(frozen=True, slots=True)
class Answered:
    """What a stand-in answers."""

    status: int = 200
    body: Iterable[bytes] = (b"{}",)
    headers: Mapping[str, str] = field(default_factory=dict)
    pushed: "Pushed | None" = None


class Pushed(Protocol):
    """A stream whose producer writes each chunk itself."""

    def attach(self, write: Callable[[bytes], None]) -> None:
        """Begin; ``write`` sends bytes and raises OSError if the caller left."""

    def close(self) -> None:
        """Let go of the stream, at its end or because the caller left."""


def answer(value: Any, status: int = 200) -> Answered:
    """Return a JSON answer."""
    return Answered(status, [msgspec.json.encode(value)])


class DropConnectionError(Exception):
    """The stand-in breaks the connection instead of answering."""


def run(handler: Callable[[Asked], Answered], host: str, port: int) -> None:
    """Serve ``handler`` until the process ends."""
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    executor = ThreadPoolExecutor(THREADS)

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/livez":
            answered = Answered()
        else:
            answered = handler(_asked(environ))
        status = HTTPStatus(answered.status)
        headers = list(answered.headers.items())
        if isinstance(answered.body, list | tuple):
            length = sum(len(part) for part in answered.body)
            headers.append(("Content-Length", str(length)))
        start_response(f"{status.value} {status.phrase}", headers)
        return answered.body

    make_server(app, host, port, executor, _refuse).run()


def _refuse(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status, detail.encode(), content_type="text/plain")


def drop_connection() -> Answered:
    """Return an answer that breaks the connection in the middle of its body."""

    def body() -> Iterable[bytes]:
        yield b"{"
        raise DropConnectionError

    return Answered(200, body(), {"Content-Length": "1000"})


def _asked(environ: dict[str, Any]) -> Asked:
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Asked(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length) if length else b"",
    )
