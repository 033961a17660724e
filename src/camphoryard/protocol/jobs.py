"""Jobs as JSON: the work that callers submit and the states they read."""

from base64 import b64encode
from dataclasses import dataclass
from typing import Any

import msgspec

from camphoryard.protocol.caller import MAX_TOKENS
from camphoryard.protocol.strict import FieldError, convert_strict
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import AdapterId, ModelId, ServiceId
from camphoryard.state.jobs import CallWork, CompletionWork, Job, JobResult, Work

MAX_JOB_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class CompletionForm:
    """A completion to generate; ``model`` is an id, or ``model:adapter``."""

    model: str
    prompt: str
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class CallForm:
    """An idempotent operation to call with ``body``."""

    service: str
    operation: str
    body: str = ""


@dataclass(frozen=True, slots=True)
class JobForm:
    """Body of ``POST /v1/jobs``: either a completion or a call."""

    completion: CompletionForm | None = None
    call: CallForm | None = None


@dataclass(frozen=True, slots=True)
class JobErrorForm:
    """Reason for the final failure of a job."""

    code: str
    message: str
    verdict: str


@dataclass(frozen=True, slots=True)
class JobStateForm:
    """State of a job for its caller; times are in seconds since the epoch.

    ``text`` is the answer; if it is not valid UTF-8, it is in ``base64``.
    """

    id: str
    state: str
    accepted_s: float
    expires_s: float
    attempts: int
    status: int = 0
    text: str | None = None
    base64: str | None = None
    error: JobErrorForm | None = None


def decode_work(body: bytes) -> Work:
    """Return the work in the body of a request.

    Raises
    ------
    RefusalError
        If the body is not a valid job; names the field, verdict NOT_RUN.
    """
    if len(body) > MAX_JOB_BYTES:
        raise RefusalError(
            Reason.BODY_TOO_LARGE, f"must be at most {MAX_JOB_BYTES} bytes"
        )
    try:
        form = convert_strict(msgspec.json.decode(body), JobForm)
    except FieldError as error:
        raise RefusalError(Reason.BAD_FIELD, error.detail, field=error.field) from error
    except msgspec.DecodeError as error:
        raise RefusalError(Reason.BAD_JSON, str(error)) from error
    match (form.completion, form.call):
        case (CompletionForm() as completion, None):
            return _completion(completion)
        case (None, CallForm(service, operation, text)):
            return CallWork(ServiceId(service), operation, text.encode())
        case _:
            raise RefusalError(
                Reason.BAD_FIELD, "give either completion or call", field="completion"
            )


def _completion(form: CompletionForm) -> CompletionWork:
    if not 1 <= form.max_tokens <= MAX_TOKENS:
        raise RefusalError(
            Reason.BAD_FIELD,
            f"must be 1 to {MAX_TOKENS}",
            field="completion.max_tokens",
        )
    model, _, adapter = form.model.partition(":")
    return CompletionWork(
        ModelId(model),
        AdapterId(adapter) if adapter else None,
        form.prompt,
        form.max_tokens,
    )


def encode_job(job: Job) -> bytes:
    """Return the JSON form of a job for its caller."""
    fields: dict[str, Any] = {}
    match job.result:
        case JobResult(reason=Reason() as reason, detail=detail, verdict=verdict):
            fields["error"] = JobErrorForm(reason.value, detail, verdict.value)
        case JobResult(body=body, status=status):
            fields["status"] = status
            fields |= _body_fields(body)
    form = JobStateForm(
        job.id, job.state.value, job.accepted_s, job.expires_s, job.attempts, **fields
    )
    return msgspec.json.encode(form)


def _body_fields(body: bytes) -> dict[str, str]:
    try:
        return {"text": body.decode()}
    except UnicodeDecodeError:
        return {"base64": b64encode(body).decode()}
