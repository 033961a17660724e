"""Requests and their answers."""

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

MIN_SERVER_ERROR_STATUS = 500


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
    """A call to one operation of a plain service."""

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
    """Token counts of one whole answer, as its engine reports them."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class TokenFrame:
    """One token of an answer, or the end of the answer if ``finished``.

    The end may carry the usage of the whole answer, also after a resume.
    """

    request_id: RequestId
    offset: int
    text: str = ""
    finished: bool = False
    usage: Usage | None = None


@dataclass(frozen=True, slots=True)
class CompletionAnswer:
    """A whole answer of ``tokens`` tokens; ``usage`` if the engine reports it."""

    text: str
    tokens: int
    usage: Usage | None


@dataclass(frozen=True, slots=True)
class ActionAnswer:
    """A plain service's answer; ``replayed`` if it is a recorded one."""

    status: int
    body: bytes
    replayed: bool = False

    @property
    def verdict(self) -> Verdict:
        """Whether the action ran; a server error leaves it unknown."""
        if self.status >= MIN_SERVER_ERROR_STATUS:
            return Verdict.MAY_HAVE_RUN
        return Verdict.RAN


@dataclass(frozen=True, slots=True)
class Route:
    """Serving group, priority and candidate endpoints of a request."""

    group: GroupId
    priority: Priority
    candidates: tuple[EndpointId, ...]
