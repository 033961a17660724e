"""WSGI application: authenticates, selects the front end and answers errors."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl
from uuid import uuid4

from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.jobs.jobs import JobContext
from camphoryard.protocol.answers import REQUEST_HEADER
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId, RequestId
from camphoryard.state.verdict import Verdict
from camphoryard.transport.access import Access
from camphoryard.transport.caller_api import call_service, complete, error_response
from camphoryard.transport.http_server import (
    CANCELLATION,
    MAX_BODY_BYTES,
    RECEIVED_S,
    Environ,
    HttpRequest,
    HttpResponse,
    Reply,
    StartResponse,
)
from camphoryard.transport.job_api import (
    JOBS_PATH,
    JOBS_PREFIX,
    accept_job,
    show_job,
)
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.operator_api import (
    ADMIN_PREFIX,
    OperatorContext,
    administer,
)

CALLERS_PREFIX = "/v1/"
COMPLETION_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
REASON_BY_STATUS = {
    408: Reason.TOO_SLOW,
    413: Reason.BODY_TOO_LARGE,
    500: Reason.INTERNAL,
    503: Reason.OVERLOADED,
}
SERVICES_PREFIX = "/v1/services/"
TEXT = "text/plain; version=0.0.4"

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class App:
    """The WSGI application of one daemon."""

    access: Access
    gateway: RequestGateway
    operator: OperatorContext
    metrics: Metrics
    jobs: JobContext

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        id = RequestId(uuid4().hex)
        reply = Reply(start_response, {REQUEST_HEADER: id})
        response = self._respond(environ, id, reply)
        if response.body is None:
            return []
        reply.begin(response)
        return [response.body]

    def refuse(self, status: int, detail: str) -> HttpResponse:
        """Return the answer to an unreadable or unexpectedly failed request."""
        reason = REASON_BY_STATUS.get(status, Reason.BAD_HEADER)
        unknown = reason is Reason.INTERNAL
        verdict = Verdict.MAY_HAVE_RUN if unknown else Verdict.NOT_RUN
        refusal = RefusalError(reason, detail, verdict)
        self.gateway.record_refusal(refusal, None, None)
        return error_response(refusal)

    def _respond(self, environ: Environ, id: RequestId, reply: Reply) -> HttpResponse:
        """Return the answer; one without a body is already sent."""
        caller: CallerId | None = None
        try:
            request = _request(environ, id)
            if request.path.startswith(CALLERS_PREFIX):
                caller = self.access.authenticate_caller(request.headers)
                return self._serve_caller(request, caller, reply)
            return self._serve_operations(request)
        except RefusalError as refusal:
            self.gateway.record_refusal(refusal, caller, id)
            return error_response(refusal)
        except Exception:
            if reply.has_begun:
                # Only aborting the connection shows that the answer is incomplete.
                raise
            _log.exception("unexpected error")
            return self.refuse(HTTPStatus.INTERNAL_SERVER_ERROR, "unexpected error")

    def _serve_caller(
        self, request: HttpRequest, caller: CallerId, reply: Reply
    ) -> HttpResponse:
        is_call = request.path.startswith(SERVICES_PREFIX)
        if (is_call or request.path in COMPLETION_PATHS) and request.method != "POST":
            raise RefusalError(Reason.METHOD_NOT_ALLOWED, "use POST")
        match request.path:
            case "/v1/chat/completions":
                return complete(self.gateway, request, caller, True, reply)
            case "/v1/completions":
                return complete(self.gateway, request, caller, False, reply)
            case path if is_call:
                return call_service(
                    self.gateway, request, caller, path.removeprefix(SERVICES_PREFIX)
                )
            case path if path == JOBS_PATH and request.method == "POST":
                return accept_job(self.gateway, self.jobs, request, caller)
            case path if path.startswith(JOBS_PREFIX) and request.method == "GET":
                return show_job(self.jobs, caller, path.removeprefix(JOBS_PREFIX))
            case path if path == JOBS_PATH or path.startswith(JOBS_PREFIX):
                raise RefusalError(
                    Reason.METHOD_NOT_ALLOWED, "POST a job, or GET one by its id"
                )
            case path:
                raise RefusalError(Reason.NOT_FOUND, f"nothing at {path}")

    def _administer(self, request: HttpRequest) -> HttpResponse:
        """Answer an operator's request; its refusal is not counted for any caller."""
        try:
            self.access.authenticate_operator(request.headers)
            return administer(self.operator, request)
        except RefusalError as refusal:
            self.gateway.record_operator_refusal(refusal, request.id)
            return error_response(refusal)

    def _serve_operations(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/livez":
                return HttpResponse(200, b"ok\n", content_type=TEXT)
            case "/readyz":
                ready = self.gateway.is_ready
                text = f"{self._readiness()}\n".encode()
                return HttpResponse(200 if ready else 503, text, content_type=TEXT)
            case "/metrics":
                text = self.metrics.text().encode()
                return HttpResponse(200, text, content_type=TEXT)
            case path if path.startswith(ADMIN_PREFIX):
                return self._administer(request)
            case path:
                raise RefusalError(Reason.NOT_FOUND, f"nothing at {path}")

    def _readiness(self) -> str:
        """Return the node's state, with the reason if it is not ready."""
        state = self.gateway.state.value
        configuration = self.operator.configuration
        if not configuration.current.generation:
            silent = self.operator.status().store_age_s is None
            return f"{state}, no configuration yet" + (
                ", object API silent" if silent else ""
            )
        return state if configuration.is_current() else f"{state}, stale"


def _request(environ: Environ, id: RequestId) -> HttpRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        raise RefusalError(
            Reason.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes", field="body"
        )
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return HttpRequest(
        environ["REQUEST_METHOD"],
        _path(environ),
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length) if length else b"",
        id,
        environ[CANCELLATION],
        environ[RECEIVED_S],
    )


def _path(environ: Environ) -> str:
    """Return the path, whose bytes WSGI decodes as Latin-1 (see PEP 3333)."""
    raw: str = environ.get("PATH_INFO", "/")
    try:
        return raw.encode("latin-1").decode()
    except UnicodeError as error:
        raise RefusalError(
            Reason.BAD_FIELD, "the path is not UTF-8", field="path"
        ) from error
