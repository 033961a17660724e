"""HTTP calls to daemons."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from urllib.parse import urlencode, urlsplit

import msgspec

from camphoryard.cli.options import EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, fail
from camphoryard.transport.http_answers import STANDARD_SINGLE_FIELDS, StrictResponse

CONFIGURATION_PATH = "/admin/v1/configuration"
EXPLAIN_PATH = "/admin/v1/explain"
REFUSALS_PATH = "/admin/v1/refusals"
STATUS_PATH = "/admin/v1/status"
TIMELINE_PATH = "/admin/v1/timeline"
CALL_TIMEOUT_S = 600.0
FIRST_ERROR_STATUS = 400
VERDICT_HEADER = "Camphoryard-Verdict"


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a daemon."""

    status: int
    verdict: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """One call; ``query`` is added to the path."""

    method: str
    path: str
    body: bytes = b""
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = CALL_TIMEOUT_S


class UnreachableError(Exception):
    """A daemon did not answer; the call may have taken effect."""


class _ErrorDetail(msgspec.Struct, frozen=True):
    code: str
    message: str
    verdict: str
    field: str | None = None


class _DaemonResponse(StrictResponse):
    single_fields = STANDARD_SINGLE_FIELDS | {VERDICT_HEADER.lower()}


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


def send(server: str, token: str, call: Call) -> Answer:
    """Make one call to one daemon; raise UnreachableError if it does not answer."""
    address = urlsplit(server)
    try:
        host, port = address.hostname, address.port
    except ValueError:
        host, port = None, None
    if not host or not port:
        fail(f"--server {server!r}: expected http://IP:PORT", EXIT_USAGE)
    query = f"?{urlencode(call.query)}" if call.query else ""
    bearer = f"Bearer {token}".encode().decode("latin-1")
    headers = {**call.headers, "Authorization": bearer}
    connection = HTTPConnection(host, port, timeout=call.timeout_s)
    connection.response_class = _DaemonResponse
    try:
        connection.request(call.method, call.path + query, call.body, headers)
        response = connection.getresponse()
        content = response.read()
    except (OSError, HTTPException) as error:
        raise UnreachableError(f"{server}: no answer ({error})") from error
    finally:
        connection.close()
    verdict = response.headers.get(VERDICT_HEADER, "")
    return Answer(response.status, verdict, content)


def call_any(servers: Sequence[str], token: str, call: Call) -> Answer:
    """Make an idempotent call to each server in turn until one answers."""
    errors = []
    for server in servers:
        try:
            return send(server, token, call)
        except UnreachableError as error:
            errors.append(str(error))
    fail(f"{'; '.join(errors)}; is camphoryardd up there?", EXIT_UNREACHABLE)


def fetch(
    servers: Sequence[str],
    token: str,
    path: str,
    query: Mapping[str, str] | None = None,
) -> bytes:
    """Return the body of a GET request to the first daemon that answers."""
    return expect_ok(call_any(servers, token, Call("GET", path, query=query or {})))


def send_once(server: str, token: str, call: Call) -> Answer:
    """Make a call that must not be repeated."""
    try:
        return send(server, token, call)
    except UnreachableError as error:
        fail(f"{error}; is camphoryardd up there?", EXIT_UNREACHABLE)


def error_code(answer: Answer) -> str:
    """Return the error code of a refusal, or an empty string for any other answer."""
    error = _error(answer)
    return error.code if error else ""


def _error(answer: Answer) -> _ErrorDetail | None:
    if answer.status < FIRST_ERROR_STATUS:
        return None
    try:
        return msgspec.json.decode(answer.body, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return None


def expect_ok(answer: Answer) -> bytes:
    """Return the body, or print the error and exit with EXIT_REFUSED."""
    if answer.status < FIRST_ERROR_STATUS:
        return answer.body
    error = _error(answer)
    if error is None:
        fail(
            f"status {answer.status} without a camphoryardd error; does --server name"
            " a camphoryardd?",
            EXIT_REFUSED,
        )
    where = f" ({error.field})" if error.field else ""
    fail(
        f"{error.code}{where}: {error.message} [verdict: {error.verdict}]",
        EXIT_REFUSED,
    )
