"""Answers to callers: whole answers, stream events and errors."""

import math
import time
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from camphoryard.protocol.caller import ChatMessage, Completion
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict

REQUEST_HEADER = "Camphoryard-Request-Id"
VERDICT_HEADER = "Camphoryard-Verdict"
RETRY_AFTER_HEADER = "Retry-After"
DONE_EVENT = b"data: [DONE]\n\n"

STATUS_BY_REASON: Mapping[Reason, int] = {
    Reason.BAD_JSON: 400,
    Reason.BAD_HEADER: 400,
    Reason.BAD_FIELD: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.TOO_SLOW: 408,
    Reason.NOT_FOUND: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NO_GROUP: 403,
    Reason.NO_ENDPOINT: 503,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.OVERLOADED: 503,
    Reason.TOO_MANY_JOBS: 429,
    Reason.OVER_QUOTA: 429,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.ENDPOINT_FAILED: 502,
    Reason.QUARANTINED: 422,
    Reason.CONFLICT: 409,
    Reason.UNHEARD_NODES: 503,
    Reason.CANCELLED: 408,
    Reason.INTERNAL: 500,
}

_JSON = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class ErrorForm:
    """Body of every error answer."""

    code: str
    message: str
    verdict: str
    field: str


@dataclass(frozen=True, slots=True)
class MessageChoiceForm:
    """The single choice of a whole chat answer."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class TextChoiceForm:
    """The single choice of a whole text answer."""

    text: str
    finish_reason: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class UsageForm:
    """Token counts of one answer, as its engine reports them."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class CompletionAnswerForm:
    """A whole answer; ``created`` is in seconds since the epoch.

    ``usage`` is null if the engine reports no counts.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[MessageChoiceForm] | list[TextChoiceForm]
    usage: UsageForm | None


class EventEncoder:
    """Encodes the events of one stream; their common fields are encoded once."""

    def __init__(self, completion: Completion) -> None:
        self._max_tokens = completion.request.max_tokens
        self._include_usage = completion.include_usage
        name = "chat.completion.chunk" if completion.chat else "text_completion"
        self._common = b'data: {"id":%b,"object":%b,"created":%d,"model":%b,' % (
            _JSON.encode(completion.request.id),
            _JSON.encode(name),
            int(time.time()),
            _JSON.encode(completion.model),
        )
        self._head = self._common + b'"choices":[{"index":0,'
        if completion.chat:
            self._start = self._head + b'"delta":{"role":"assistant","content":'
            self._middle = self._head + b'"delta":{"content":'
            self._end = b'},"finish_reason":null}]}\n\n'
            self._last = self._head + b'"delta":{}'
        else:
            self._start = self._middle = self._head + b'"text":'
            self._end = b',"finish_reason":null}]}\n\n'
            self._last = self._head + b'"text":""'

    def encode(self, frame: TokenFrame) -> bytes:
        """Return the server-sent event of a frame; the end may have a second one."""
        if frame.finished:
            reason = _JSON.encode(finish_reason(frame.offset, self._max_tokens))
            end = b'%b,"finish_reason":%b}]}\n\n' % (self._last, reason)
            return end + self._usage_event(frame) if self._include_usage else end
        head = self._middle if frame.offset else self._start
        return head + _JSON.encode(frame.text) + self._end

    def _usage_event(self, frame: TokenFrame) -> bytes:
        usage = _JSON.encode(_usage_form(frame.usage))
        return self._common + b'"choices":[],"usage":%b}\n\n' % usage


def finish_reason(tokens: int, max_tokens: int) -> str:
    """Return why an answer of ``tokens`` tokens ended."""
    return "length" if tokens >= max_tokens else "stop"


def encode_answer(completion: Completion, answer: CompletionAnswer) -> bytes:
    """Return the body of an answer that is not streamed."""
    reason = finish_reason(answer.tokens, completion.request.max_tokens)
    choices: list[MessageChoiceForm] | list[TextChoiceForm]
    if completion.chat:
        choices = [MessageChoiceForm(ChatMessage("assistant", answer.text), reason)]
        name = "chat.completion"
    else:
        choices = [TextChoiceForm(answer.text, reason)]
        name = "text_completion"
    return _JSON.encode(
        CompletionAnswerForm(
            completion.request.id,
            name,
            int(time.time()),
            completion.model,
            choices,
            _usage_form(answer.usage),
        )
    )


def _usage_form(usage: Usage | None) -> UsageForm | None:
    if usage is None:
        return None
    total = usage.prompt_tokens + usage.completion_tokens
    return UsageForm(usage.prompt_tokens, usage.completion_tokens, total)


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """HTTP form of an error: status, header values and body."""

    status: int
    verdict: Verdict
    body: bytes
    retry_after_s: int = 0


def encode_error(refusal: RefusalError) -> ErrorAnswer:
    """Return the HTTP form of a refusal."""
    form = ErrorForm(
        refusal.reason.value, refusal.detail, refusal.verdict.value, refusal.field
    )
    body = msgspec.json.encode({"error": form})
    return ErrorAnswer(
        STATUS_BY_REASON[refusal.reason],
        refusal.verdict,
        body,
        math.ceil(refusal.retry_after_s),
    )


def encode_error_event(refusal: RefusalError) -> bytes:
    """Return the event that ends a stream after an error."""
    return b"event: error\ndata: " + encode_error(refusal).body + b"\n\n"
