"""HTTP front end for callers."""

from collections.abc import Generator, Iterator

from camphoryard.coordination.serving import FrontDoor
from camphoryard.protocol.caller import (
    DONE_EVENT,
    RETRY_AFTER_HEADER,
    VERDICT_HEADER,
    Completion,
    EventEncoder,
    action_request,
    decode_completion,
    encode_answer,
    encode_error,
    encode_error_event,
)
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId
from camphoryard.state.requests import TokenFrame
from camphoryard.state.verdict import Verdict
from camphoryard.transport.http_server import HttpRequest, HttpResponse

EVENT_STREAM = "text/event-stream"
REPLAYED_HEADER = "Camphoryard-Replayed"


def error_response(refusal: RefusalError) -> HttpResponse:
    """Return the HTTP answer to a refused request."""
    answer = encode_error(refusal)
    headers = {VERDICT_HEADER: answer.verdict.value}
    if answer.retry_after_s:
        headers[RETRY_AFTER_HEADER] = str(answer.retry_after_s)
    return HttpResponse(answer.status, [answer.body], headers)


def complete(
    door: FrontDoor, request: HttpRequest, caller: CallerId, chat: bool
) -> HttpResponse:
    """Answer a completion request; raises RefusalError before the first token."""
    completion = decode_completion(
        request.body, request.headers, caller, chat, request.id
    )
    headers = {VERDICT_HEADER: Verdict.RAN.value}
    if completion.stream:
        frames = door.infer(completion.request, request.cancellation)
        events = _Events(completion, next(frames), frames)
        return HttpResponse(200, events, headers, EVENT_STREAM)
    answer = door.complete(completion.request, request.cancellation)
    return HttpResponse(200, [encode_answer(completion, answer)], headers)


def call_service(
    door: FrontDoor, request: HttpRequest, caller: CallerId, path: str
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
    return HttpResponse(answer.status, [answer.body], headers)


class _Events:
    """The event stream of one answer; closing it early lets go of the endpoint."""

    def __init__(
        self,
        completion: Completion,
        first: TokenFrame,
        frames: Generator[TokenFrame, None, None],
    ) -> None:
        self._encode = EventEncoder(completion).encode
        self._first = first
        self._frames = frames

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield self._encode(self._first)
            yield from map(self._encode, self._frames)
        except RefusalError as refusal:
            yield encode_error_event(refusal)
            return
        yield DONE_EVENT

    def close(self) -> None:
        """Let go of the endpoint's stream."""
        self._frames.close()
