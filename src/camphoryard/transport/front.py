"""WSGI application that forwards client requests to endpoints."""

import time
import traceback
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from waitress.channel import ClientDisconnected

from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
)
from camphoryard.coordination.forwarding.exchange import forward
from camphoryard.coordination.forwarding.ports import ClientRequest
from camphoryard.coordination.loading.adapters import demand_item_id
from camphoryard.coordination.loading.item_locator import STOPPING_RETRY_S
from camphoryard.protocol.dialect import Dialect, RequestHead
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict
from camphoryard.transport.http_server import (
    CANCELLATION,
    RECEIVED_S,
    Environ,
    HttpResponse,
    StartResponse,
)

TEXT = "text/plain; charset=utf-8"
MILLISECONDS_PER_SECOND = 1000
TRACE_LINES = 3
NO_ROOM_RETRY_S = 1.0
"""Time after which requests without progress have given way to others."""
STATUS_BY_REASON = {
    Reason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Reason.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    Reason.BAD_HEADER: HTTPStatus.BAD_REQUEST,
    Reason.BAD_FIELD: HTTPStatus.BAD_REQUEST,
    Reason.HEADER_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
}
REASON_BY_STATUS = {
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Reason.HEADER_TOO_LARGE,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_TIMEOUT: Reason.TOO_SLOW,
    HTTPStatus.INTERNAL_SERVER_ERROR: Reason.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: Reason.OVERLOADED,
}


class WsgiReply:
    """Sends an answer through waitress; see the ClientReply port."""

    def __init__(self, start_response: StartResponse) -> None:
        self.status: int | None = None
        self._start_response = start_response
        self._write: Callable[[bytes], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer is sent."""
        return self.status is not None

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer of unknown length."""
        self._start(status, headers)
        self.write(b"")

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        assert self._write is not None
        self._write(data)

    def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete answer."""
        other_headers = {
            name: value
            for name, value in headers.items()
            if name.lower() != "content-length"
        }
        self._start(status, {**other_headers, "Content-Length": str(len(body))})
        self.write(body)

    def _start(self, status: int, headers: Mapping[str, str]) -> None:
        self.status = status
        self._write = self._start_response(_status_line(status), list(headers.items()))


@dataclass(slots=True)
class AdmissionSwitch:
    """Whether the node still accepts requests; closed when it stops."""

    is_open: bool = True

    def close(self) -> None:
        """Refuse requests from now on."""
        self.is_open = False

    def check(self) -> None:
        """Raise RefusalError if the node no longer accepts requests."""
        if not self.is_open:
            raise RefusalError(
                Reason.DRAINING, "this node is stopping", retry_after_s=STOPPING_RETRY_S
            )


@dataclass(frozen=True, slots=True)
class FrontApp:
    """Forwards each client request, or answers why it is refused."""

    context: ForwardingContext
    dialect: Dialect
    admission: AdmissionSwitch = field(default_factory=AdmissionSwitch)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        arrived_s = environ[RECEIVED_S]
        reply = WsgiReply(start_response)
        request: ClientRequest | None = None
        try:
            head = _head(environ)
            body = environ["wsgi.input"].read()
            request = self.dialect.read_request(head, body, arrived_s)
            self.admission.check()
            self._record_answered(
                forward(self.context, request, environ[CANCELLATION], reply)
            )
        except RefusalError as refusal:
            self._record_refused(request, refusal, reply)
            if reply.has_begun:
                # Only aborting the connection shows that the answer is incomplete.
                raise
            status = refusal_status(refusal)
            headers = self.dialect.refusal_headers(
                request.id if request else None, refusal
            )
            body = f"{refusal.detail}\n".encode()
            reply.send_complete(status, {"Content-Type": TEXT, **headers}, body)
        except ClientDisconnected:
            self.context.log(
                "client_disconnected",
                request=request.id if request else "",
                has_begun=reply.has_begun,
                held_ms=_elapsed_ms(request),
            )
            raise
        except Exception as error:
            # A fault of this program: it is unknown whether the request ran.
            self.context.count("requests_failed")
            self.context.log(
                "request_failed",
                request=request.id if request else "",
                error=repr(error),
                trace="".join(traceback.format_exception(error)[-TRACE_LINES:]),
            )
            if reply.has_begun:
                raise
            reply.send_complete(
                HTTPStatus.BAD_GATEWAY, {"Content-Type": TEXT}, b"failed\n"
            )
        return []

    def refuse(self, status: int, detail: str) -> HttpResponse:
        """Return the answer to an unreadable or unexpectedly failed request."""
        reason = REASON_BY_STATUS.get(HTTPStatus(status), Reason.BAD_HEADER)
        unknown = reason is Reason.INTERNAL
        verdict = Verdict.MAY_HAVE_RUN if unknown else Verdict.NOT_RUN
        retry_after_s = NO_ROOM_RETRY_S if reason is Reason.OVERLOADED else 0.0
        refusal = RefusalError(reason, detail, verdict, retry_after_s=retry_after_s)
        self._record_refused(None, refusal, None)
        headers = self.dialect.refusal_headers(None, refusal)
        return HttpResponse(status, f"{detail}\n".encode(), headers, TEXT)

    def _record_answered(self, forwarded: ForwardedRequest) -> None:
        request = forwarded.request
        self.context.count("requests_answered")
        self.context.observe("request", time.monotonic() - request.arrived_s)
        if forwarded.first_event_s:
            self.context.observe("first_event", forwarded.first_event_s)
        self.context.log(
            "request_answered",
            request=request.id,
            route=forwarded.rule.id,
            account=forwarded.account.id if forwarded.account else "",
            rules=forwarded.rules_version,
            model=demand_item_id(request.requested_model)
            if request.requested_model
            else "",
            endpoint=forwarded.endpoint or "",
            view_age_s=round(forwarded.view_age_s, 2),
            urgency=forwarded.urgency,
            sends=forwarded.sends,
            events=forwarded.progress.events,
            loads_awaited_ms=_rounded_ms(forwarded.load_wait_s),
            first_event_ms=_rounded_ms(forwarded.first_event_s),
            longest_gap_ms=_rounded_ms(forwarded.longest_gap_s),
            held_ms=_elapsed_ms(request),
        )

    def _record_refused(
        self,
        request: ClientRequest | None,
        refusal: RefusalError,
        reply: WsgiReply | None,
    ) -> None:
        rules = self.context.directory.rules
        self.context.count(f"requests_refused_{refusal.reason.value}")
        self.context.log(
            "request_refused",
            request=request.id if request else "",
            target=request.target if request else "",
            rules=rules.version if rules else "",
            reason=refusal.reason.value,
            detail=refusal.detail,
            verdict=refusal.verdict.value,
            retry_after_s=refusal.retry_after_s,
            broken_off=reply.has_begun if reply else False,
            held_ms=_elapsed_ms(request),
        )


def refusal_status(refusal: RefusalError) -> int:
    """Return the HTTP status of a refusal.

    429 and 503 guarantee that the request has not run and never will; 502 and 504 do
    not.
    """
    status = STATUS_BY_REASON.get(refusal.reason)
    if status is not None:
        return status
    if refusal.verdict is Verdict.NOT_RUN:
        if refusal.reason is Reason.OVER_QUOTA:
            return HTTPStatus.TOO_MANY_REQUESTS
        return HTTPStatus.SERVICE_UNAVAILABLE
    match refusal.reason:
        case Reason.DEADLINE:
            return HTTPStatus.GATEWAY_TIMEOUT
        case _:
            return HTTPStatus.BAD_GATEWAY


def _elapsed_ms(request: ClientRequest | None) -> int:
    if request is None:
        return 0
    return _rounded_ms(time.monotonic() - request.arrived_s)


def _rounded_ms(duration_s: float) -> int:
    return round(duration_s * MILLISECONDS_PER_SECOND)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _head(environ: Environ) -> RequestHead:
    headers = {
        name[len("HTTP_") :].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return RequestHead(environ["REQUEST_METHOD"], environ["REQUEST_URI"], headers)
