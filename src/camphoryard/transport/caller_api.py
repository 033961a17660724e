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
    door: RequestGateway,
    request: HttpRequest,
    caller: CallerId,
    chat: bool,
    reply: Reply,
) -> HttpResponse:
    """Answer a completion request.

    Raises
    ------
    RefusalError
        Before the first token; later ones go into the stream.
    """
    completion = decode_completion(
        request.body, request.headers, caller, chat, request.id
    )
    if completion.stream:
        return _stream(door, completion, request.cancellation, reply)
    answer = door.complete(completion.request, request.cancellation)
    body = encode_answer(completion, answer)
    return HttpResponse(200, body, {VERDICT_HEADER: Verdict.RAN.value})


def _stream(
    door: RequestGateway,
    completion: Completion,
    cancellation: Cancellation,
    reply: Reply,
) -> HttpResponse:
    """Send the answer as events; raises RefusalError before the first one."""
    head = HttpResponse(200, None, {VERDICT_HEADER: Verdict.RAN.value}, EVENT_STREAM)
    events = _Events(EventEncoder(completion).encode, head, reply)
    try:
        door.infer(completion.request, cancellation, events.send)
    except RefusalError as refusal:
        if not reply.has_begun:
            raise
        events.write(encode_error_event(refusal))
    else:
        events.write(DONE_EVENT)
    return head


def call_service(
    door: RequestGateway, request: HttpRequest, caller: CallerId, path: str
) -> HttpResponse:
    """Answer a call of ``SERVICE/OPERATION``; raises RefusalError."""
    service, _, operation = path.partition("/")
    action = action_request(
        service, operation, request.body, request.headers, caller, request.id
    )
    answer = door.act(action)
    headers = {
        VERDICT_HEADER: answer.verdict.value,
        REPLAYED_HEADER: str(answer.replayed).lower(),
    }
    return HttpResponse(answer.status, answer.body, headers)


class _Events:
    """The event stream of one answer; its head goes out with the first token."""

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
