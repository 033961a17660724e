"""Requests from callers, as JSON over HTTP."""

import math
import re
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
    InferenceRequest,
)

DEADLINE_HEADER = "Camphoryard-Deadline-Ms"
TOTAL_DEADLINE_HEADER = "Camphoryard-Total-Deadline-Ms"
PRIORITY_HEADER = "Camphoryard-Priority"
KEY_HEADER = "Idempotency-Key"
DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 9
MILLISECONDS_PER_SECOND = 1000
MAX_KEY_CHARACTERS = 200
MAX_TOKENS = 8192


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class StreamOptionsForm:
    """What a stream sends besides the answer."""

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


_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")
_OPERATION = re.compile(r"[A-Za-z][A-Za-z0-9_.-]*")
_COMPLETION = msgspec.json.Decoder(CompletionForm)


def decode_completion(
    body: bytes,
    headers: Mapping[str, str],
    caller: CallerId,
    chat: bool,
    id: RequestId,
    received_s: float,
) -> Completion:
    """Return the request that a caller sent, with ``id`` as its id.

    It was received at the monotonic time ``received_s``, in seconds, from which its
    deadlines count.

    Raises
    ------
    RefusalError
        If the body or a header is invalid; names the field, verdict NOT_RUN.
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
    total_deadline_s = _total_deadline_s(headers, received_s)
    request = InferenceRequest(
        id,
        caller,
        ModelId(model),
        AdapterId(adapter) if adapter else None,
        _prompt(form),
        form.max_tokens,
        min(_deadline_s(headers, received_s), total_deadline_s),
        _priority(headers),
        total_deadline_s,
    )
    options = form.stream_options
    if options is not None and not form.stream:
        raise RefusalError(
            Reason.BAD_FIELD,
            "stream_options requires stream to be set",
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
    received_s: float,
) -> ActionRequest:
    """Return the call to a service's operation; raises RefusalError.

    Its deadline counts from the monotonic time ``received_s``, in seconds.
    """
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
        _deadline_s(headers, received_s),
        _priority(headers),
        key,
    )


def idempotency_key(headers: Mapping[str, str]) -> IdempotencyKey | None:
    """Return the key in the headers, if any; raises RefusalError if invalid."""
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


def _deadline_s(headers: Mapping[str, str], received_s: float) -> float:
    text = headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_MS))
    return received_s + _duration_s(DEADLINE_HEADER, text)


def _total_deadline_s(headers: Mapping[str, str], received_s: float) -> float:
    text = headers.get(TOTAL_DEADLINE_HEADER)
    if text is None:
        return math.inf
    return received_s + _duration_s(TOTAL_DEADLINE_HEADER, text)


def _duration_s(header: str, text: str) -> float:
    if not _is_deadline_ms(text):
        raise RefusalError(
            Reason.BAD_HEADER,
            f"must be 1 to {MAX_DEADLINE_MS} milliseconds",
            field=header,
        )
    return int(text) / MILLISECONDS_PER_SECOND


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
