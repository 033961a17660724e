"""Requests and what comes back."""

import math
from dataclasses import dataclass

from camphoryard.state.enums import Priority
from camphoryard.state.ids import (
    AdapterId,
    CallerId,
    EndpointId,
    GroupId,
    IdempotencyKey,
    ModelId,
    RequestId,
    ServiceId,
)
from camphoryard.state.verdict import Verdict

SERVER_ERRORS_FROM = 500


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A request to a model; its deadlines are on the monotonic clock.

    ``deadline_s`` is for the first token, ``total_deadline_s`` for the last.
    """

    id: RequestId
    caller: CallerId
    model: ModelId
    adapter: AdapterId | None
    prompt: str
    max_tokens: int
    deadline_s: float
    priority: Priority | None
    total_deadline_s: float = math.inf


@dataclass(frozen=True, slots=True)
class ActionRequest:
    """A call of one operation of a plain service."""

    id: RequestId
    caller: CallerId
    service: ServiceId
    operation: str
    body: bytes
    deadline_s: float
    priority: Priority | None
    key: IdempotencyKey | None


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one whole answer, as its engine counts them."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class TokenFrame:
    """One token of an answer, or its end when ``finished``.

    The end may tell the usage of the whole answer, also after a resume.
    """

    request_id: RequestId
    offset: int
    text: str = ""
    finished: bool = False
    usage: Usage | None = None


@dataclass(frozen=True, slots=True)
class CompletionAnswer:
    """A whole answer of ``tokens`` tokens; ``usage`` if its engine told it."""

    text: str
    tokens: int
    usage: Usage | None


@dataclass(frozen=True, slots=True)
class ActionAnswer:
    """What a plain service answered; ``replayed`` if it ran earlier."""

    status: int
    body: bytes
    replayed: bool = False

    @property
    def verdict(self) -> Verdict:
        """Whether it ran; a server error does not say how far it came."""
        if self.status >= SERVER_ERRORS_FROM:
            return Verdict.MAY_HAVE_RUN
        return Verdict.RAN


@dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and in which class."""

    group: GroupId
    priority: Priority
    candidates: tuple[EndpointId, ...]
