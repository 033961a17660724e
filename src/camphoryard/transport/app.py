"""The WSGI application: authenticates, picks the front end, answers errors."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl

from camphoryard.coordination.serving import FrontDoor
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.verdict import Verdict
from camphoryard.transport.access import Access
from camphoryard.transport.caller_api import call_service, complete, error_response
from camphoryard.transport.http_server import (
    CANCELLATION,
    MAX_BODY_BYTES,
    Environ,
    HttpRequest,
    HttpResponse,
    StartResponse,
)
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.operator_api import (
    ADMIN_PREFIX,
    OperatorParts,
    administer,
)

SERVICES_PREFIX = "/v1/services/"
TEXT = "text/plain; version=0.0.4"

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class App:
    """The WSGI application of one daemon."""

    access: Access
    door: FrontDoor
    operator: OperatorParts
    metrics: Metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, as PEP 3333 has it."""
        response = self._respond(environ)
        status = HTTPStatus(response.status)
        headers = [("Content-Type", response.content_type), *response.headers.items()]
        if isinstance(response.body, list):
            length = sum(len(item) for item in response.body)
            headers.append(("Content-Length", str(length)))
        start_response(f"{status.value} {status.phrase}", headers)
        return response.body

    def _respond(self, environ: Environ) -> HttpResponse:
        caller: CallerId | None = None
        try:
            request = _request(environ)
            if request.path.startswith("/v1/"):
                caller = self.access.caller(request.headers)
                return self._serve(request, caller)
            return self._tend(request)
        except RefusalError as refusal:
            self.door.refused(refusal, caller, None)
            return error_response(refusal)
        except Exception:
            _log.exception("unexpected error")
            return error_response(
                RefusalError(Reason.INTERNAL, "unexpected error", Verdict.MAY_HAVE_RUN)
            )

    def _serve(self, request: HttpRequest, caller: CallerId) -> HttpResponse:
        match (request.method, request.path):
            case ("POST", "/v1/chat/completions"):
                return complete(self.door, request, caller, chat=True)
            case ("POST", "/v1/completions"):
                return complete(self.door, request, caller, chat=False)
            case ("POST", path) if path.startswith(SERVICES_PREFIX):
                return call_service(
                    self.door, request, caller, path.removeprefix(SERVICES_PREFIX)
                )
            case (method, path):
                raise RefusalError(Reason.NOT_FOUND, f"nothing at {method} {path}")

    def _tend(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/livez":
                return HttpResponse(200, [b"ok\n"], content_type=TEXT)
            case "/readyz":
                text = self.door.state.value.encode() + b"\n"
                return HttpResponse(
                    200 if self.door.is_ready else 503, [text], content_type=TEXT
                )
            case "/metrics":
                text = self.metrics.text().encode()
                return HttpResponse(200, [text], content_type=TEXT)
            case path if path.startswith(ADMIN_PREFIX):
                self.access.operator(request.headers)
                return administer(self.operator, request)
            case path:
                raise RefusalError(Reason.NOT_FOUND, f"nothing at {path}")


def _request(environ: Environ) -> HttpRequest:
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
        environ.get("PATH_INFO", "/"),
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length) if length else b"",
        environ[CANCELLATION],
    )
