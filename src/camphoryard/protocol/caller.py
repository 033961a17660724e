"""Requests of callers and the answers they get, as JSON over HTTP."""

import math
import re
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from camphoryard.state.enums import Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import (
    AdapterId,
    CallerId,
    IdempotencyKey,
    ModelId,
    RequestId,
    ServiceId,
)
from camphoryard.state.requests import (
    ActionRequest,
    CompletionAnswer,
    InferenceRequest,
    TokenFrame,
    Usage,
)
from camphoryard.state.verdict import Verdict

DEADLINE_HEADER = "Camphoryard-Deadline-Ms"
TOTAL_DEADLINE_HEADER = "Camphoryard-Total-Deadline-Ms"
PRIORITY_HEADER = "Camphoryard-Priority"
REQUEST_HEADER = "Camphoryard-Request-Id"
VERDICT_HEADER = "Camphoryard-Verdict"
RETRY_AFTER_HEADER = "Retry-After"
KEY_HEADER = "Idempotency-Key"
DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 9
MILLISECONDS_PER_SECOND = 1000
MAX_KEY_CHARACTERS = 200
MAX_TOKENS = 8192
DONE_EVENT = b"data: [DONE]\n\n"


STATUS_BY_REASON: Mapping[Reason, int] = {
    Reason.BAD_JSON: 400,
    Reason.BAD_HEADER: 400,
    Reason.BAD_FIELD: 400,
    Reason.BODY_TOO_LARGE: 413,
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


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class StreamOptionsForm:
    """What a stream tells besides the answer."""

    include_usage: bool = False


@dataclass(frozen=True, slots=True)
class CompletionForm:
    """Body of ``/v1/completions`` and ``/v1/chat/completions``.

    ``model`` is a model's id, or ``model:adapter``.
    """

    model: str
    prompt: str | None = None
    messages: list[ChatMessage] = field(default_factory=list)
    max_tokens: int = 256
    stream: bool = False
    stream_options: StreamOptionsForm | None = None


@dataclass(frozen=True, slots=True)
class Completion:
    """A decoded completion request."""

    request: InferenceRequest
    model: str
    stream: bool
    chat: bool
    include_usage: bool = False


@dataclass(frozen=True, slots=True)
class ErrorForm:
    """Body of every error."""

    code: str
    message: str
    verdict: str
    field: str


_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")
_OPERATION = re.compile(r"[A-Za-z][A-Za-z0-9_.-]*")
_JSON = msgspec.json.Encoder()
_COMPLETION = msgspec.json.Decoder(CompletionForm)


def decode_completion(
    body: bytes,
    headers: Mapping[str, str],
    caller: CallerId,
    chat: bool,
    id: RequestId,
) -> Completion:
    """Return the request that a caller sent, under ``id``.

    Raises
    ------
    RefusalError
        If body or headers are bad; names the field, verdict NOT_RUN.
    """
    try:
        form = _COMPLETION.decode(body)
    except msgspec.ValidationError as error:
        _, _, path = str(error).partition(" - at `$.")
        raise RefusalError(
            Reason.BAD_FIELD, str(error), field=path.rstrip("`")
        ) from error
    except msgspec.DecodeError as error:
        raise RefusalError(Reason.BAD_JSON, str(error)) from error
    if not 1 <= form.max_tokens <= MAX_TOKENS:
        raise RefusalError(
            Reason.BAD_FIELD, f"must be 1 to {MAX_TOKENS}", field="max_tokens"
        )
    model, _, adapter = form.model.partition(":")
    total_deadline_s = _total_deadline_s(headers)
    request = InferenceRequest(
        id,
        caller,
        ModelId(model),
        AdapterId(adapter) if adapter else None,
        _prompt(form),
        form.max_tokens,
        min(_deadline_s(headers), total_deadline_s),
        _priority(headers),
        total_deadline_s,
    )
    options = form.stream_options
    if options is not None and not form.stream:
        raise RefusalError(
            Reason.BAD_FIELD,
            "only a stream has options; set stream, or leave them out",
            field="stream_options",
        )
    include_usage = options is not None and options.include_usage
    return Completion(request, form.model, form.stream, chat, include_usage)


def _prompt(form: CompletionForm) -> str:
    if form.prompt is not None:
        return form.prompt
    if not form.messages:
        raise RefusalError(
            Reason.BAD_FIELD, "give either prompt or messages", field="prompt"
        )
    return "\n".join(f"{item.role}: {item.content}" for item in form.messages)


def action_request(
    service: str,
    operation: str,
    body: bytes,
    headers: Mapping[str, str],
    caller: CallerId,
    id: RequestId,
) -> ActionRequest:
    """Return the call of a service's operation; raises RefusalError."""
    key = idempotency_key(headers)
    if not _OPERATION.fullmatch(operation):
        raise RefusalError(
            Reason.BAD_FIELD,
            "must be letters, digits, '_', '-' or '.', beginning with a letter",
            field="operation",
        )
    return ActionRequest(
        id,
        caller,
        ServiceId(service),
        operation,
        body,
        _deadline_s(headers),
        _priority(headers),
        key,
    )


def idempotency_key(headers: Mapping[str, str]) -> IdempotencyKey | None:
    """Return the key in the headers, if any; raises RefusalError if it is bad."""
    key = headers.get(KEY_HEADER)
    if key is None:
        return None
    if not _KEY.fullmatch(key):
        raise RefusalError(
            Reason.BAD_HEADER,
            f"must be 1 to {MAX_KEY_CHARACTERS} visible ASCII characters, no spaces",
            field=KEY_HEADER,
        )
    return IdempotencyKey(key)


def _deadline_s(headers: Mapping[str, str]) -> float:
    text = headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_MS))
    return _from_now_s(DEADLINE_HEADER, text)


def _total_deadline_s(headers: Mapping[str, str]) -> float:
    text = headers.get(TOTAL_DEADLINE_HEADER)
    return math.inf if text is None else _from_now_s(TOTAL_DEADLINE_HEADER, text)


def _from_now_s(header: str, text: str) -> float:
    if not _is_deadline_ms(text):
        raise RefusalError(
            Reason.BAD_HEADER,
            f"must be 1 to {MAX_DEADLINE_MS} milliseconds",
            field=header,
        )
    return time.monotonic() + int(text) / MILLISECONDS_PER_SECOND


def _is_deadline_ms(text: str) -> bool:
    if not text.isascii() or not text.isdigit():
        return False
    return len(text) <= MAX_DEADLINE_DIGITS and 1 <= int(text) <= MAX_DEADLINE_MS


def _priority(headers: Mapping[str, str]) -> Priority | None:
    text = headers.get(PRIORITY_HEADER)
    if text is None:
        return None
    try:
        return Priority(text)
    except ValueError as error:
        known = ", ".join(item.value for item in Priority)
        raise RefusalError(
            Reason.BAD_HEADER, f"must be one of {known}", field=PRIORITY_HEADER
        ) from error


@dataclass(frozen=True, slots=True)
class MessageChoiceForm:
    """The choice of a whole chat answer."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class TextChoiceForm:
    """The choice of a whole text answer."""

    text: str
    finish_reason: str
    index: int = 0


@dataclass(frozen=True, slots=True)
class UsageForm:
    """Tokens of one answer, as its engine counts them."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class CompletionAnswerForm:
    """A whole answer; ``created`` is in seconds since the epoch.

    ``usage`` is null if the engine did not count.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[MessageChoiceForm] | list[TextChoiceForm]
    usage: UsageForm | None


class EventEncoder:
    """Encodes the events of one stream; what they share is encoded once."""

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
        """Return the server-sent event of one frame, or both of the end."""
        if frame.finished:
            reason = _JSON.encode(finish_reason(frame.offset, self._max_tokens))
            end = b'%b,"finish_reason":%b}]}\n\n' % (self._last, reason)
            return end + self._usage(frame) if self._include_usage else end
        head = self._middle if frame.offset else self._start
        return head + _JSON.encode(frame.text) + self._end

    def _usage(self, frame: TokenFrame) -> bytes:
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
    """An error as HTTP: status, header value and body."""

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
    """Return the event that ends a broken stream."""
    return b"event: error\ndata: " + encode_error(refusal).body + b"\n\n"
