"""HTTP front end for callers."""

from collections.abc import Callable

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.protocol.answers import (
    DONE_EVENT,
    RETRY_AFTER_HEADER,
    VERDICT_HEADER,
    EventEncoder,
    encode_answer,
    encode_error,
    encode_error_event,
)
from camphoryard.protocol.caller import (
    Completion,
    action_request,
    decode_completion,
)
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.requests import TokenFrame
from camphoryard.state.verdict import Verdict
from camphoryard.transport.http_server import (
    HttpRequest,
    HttpResponse,
    Reply,
    Write,
)

EVENT_STREAM = "text/event-stream"
REPLAYED_HEADER = "Camphoryard-Replayed"


def error_response(refusal: RefusalError) -> HttpResponse:
    """Return the HTTP answer to a refused request."""
    answer = encode_error(refusal)
    headers = {VERDICT_HEADER: answer.verdict.value}
    if answer.retry_after_s:
        headers[RETRY_AFTER_HEADER] = str(answer.retry_after_s)
    return HttpResponse(answer.status, answer.body, headers)


def complete(
    gateway: RequestGateway,
    request: HttpRequest,
    caller: CallerId,
    chat: bool,
    reply: Reply,
) -> HttpResponse:
    """Answer a completion request.

    Raises
    ------
    RefusalError
        Before the first token; later errors are sent in the stream.
    """
    completion = decode_completion(
        request.body, request.headers, caller, chat, request.id, request.received_s
    )
    if completion.stream:
        return _stream_answer(gateway, completion, request.cancellation, reply)
    answer = gateway.complete(completion.request, request.cancellation)
    body = encode_answer(completion, answer)
    return HttpResponse(200, body, {VERDICT_HEADER: Verdict.RAN.value})


def _stream_answer(
    gateway: RequestGateway,
    completion: Completion,
    cancellation: Cancellation,
    reply: Reply,
) -> HttpResponse:
    """Stream the answer as events; raises RefusalError before the first one."""
    head = HttpResponse(200, None, {VERDICT_HEADER: Verdict.RAN.value}, EVENT_STREAM)
    events = _EventWriter(EventEncoder(completion).encode, head, reply)
    try:
        gateway.infer(completion.request, cancellation, events.send)
    except RefusalError as refusal:
        if not reply.has_begun:
            raise
        events.write(encode_error_event(refusal))
    else:
        events.write(DONE_EVENT)
    return head


def call_service(
    gateway: RequestGateway, request: HttpRequest, caller: CallerId, path: str
) -> HttpResponse:
    """Answer a call to ``SERVICE/OPERATION``; raises RefusalError."""
    service, _, operation = path.partition("/")
    action = action_request(
        service,
        operation,
        request.body,
        request.headers,
        caller,
        request.id,
        request.received_s,
    )
    answer = gateway.act(action)
    headers = {
        VERDICT_HEADER: answer.verdict.value,
        REPLAYED_HEADER: str(answer.replayed).lower(),
    }
    return HttpResponse(answer.status, answer.body, headers)


class _EventWriter:
    """Writes the event stream of one answer; sends the head with the first event."""

    def __init__(
        self, encode: Callable[[TokenFrame], bytes], head: HttpResponse, reply: Reply
    ) -> None:
        self._encode = encode
        self._head = head
        self._reply = reply
        self._write: Write | None = None

    def send(self, frame: TokenFrame) -> None:
        """Send the event of one token."""
        self.write(self._encode(frame))

    def write(self, event: bytes) -> None:
        """Send an encoded event."""
        if self._write is None:
            self._write = self._reply.begin(self._head)
        self._write(event)
