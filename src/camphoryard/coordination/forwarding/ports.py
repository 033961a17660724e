"""A request to be forwarded, and the outward calls that forward it."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.state.ids import EventId, PromptPartId, RequestId, Urgency
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RequestedModel


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; equal parts of several prompts share an id."""

    id: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the client sent it.

    ``arrived_s`` and ``deadline_s`` are monotonic times. ``headers`` are those
    that go to the endpoint as they are; ``resume_after`` is the last event of the
    stream that the client has. Token counts are 0 where none are given.
    """

    id: RequestId
    method: str
    host: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_s: float
    deadline_s: float
    resume_after: EventId | None = None
    wanted: RequestedModel | None = None
    prompt_tokens: int = 0
    most_output_tokens: int = 0
    likely_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Sending:
    """How a request goes to an endpoint.

    ``deadline_s`` is when the endpoint stops work, ``patience_s`` how long it may
    be silent before its answer begins, ``urgency`` its place in
    the queue there.
    ``resume_after`` is the last event that the client has got by now.
    """

    deadline_s: float
    patience_s: float
    urgency: Urgency
    resume_after: EventId | None
    max_idle_s: float


class AnswerKind(Enum):
    """What the head of an endpoint's answer says about the request."""

    SERVED = "served"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_HELD = "not_held"
    UNTRUSTED = "untrusted"

    @property
    def is_promise(self) -> bool:
        """Whether the endpoint says that the request has not run."""
        return self in (AnswerKind.NOT_RUN, AnswerKind.NOT_HELD)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, with those that go on to the client.

    ``leaving`` tells that the endpoint closes the connection after this answer.
    """

    kind: AnswerKind
    status: int
    headers: Mapping[str, str]
    leaving: bool = False


class Answer(Protocol):
    """An open answer of an endpoint; closing it early breaks the request off."""

    head: AnswerHead

    def body(self) -> bytes:
        """Return the whole body; raises BrokenCallError if it ends early."""

    def pieces(
        self, patience_s: float, waits_on: Callable[[], bool]
    ) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        StalledCallError
            If nothing came for ``patience_s`` seconds, and ``waits_on()`` is false.
        BrokenCallError
            If the body ended early.
        """

    def close(self) -> None:
        """Let go of the answer."""


class Upstream(Protocol):
    """The endpoints, as requests are sent to them."""

    def open(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        sending: Sending,
        cancellation: Cancellation,
    ) -> Answer:
        """Send a request and return its answer once the head has come.

        Raises
        ------
        NotSentError
            If no byte reached the endpoint.
        StalledCallError
            If the endpoint said nothing for too long.
        BrokenCallError
            If the call broke on the way.
        """

    def is_down(self, endpoint: ServingEndpoint) -> bool:
        """Return whether an endpoint takes no connection now."""


class ClientReply(Protocol):
    """The answer on its way to the client."""

    has_begun: bool

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer whose length is not known."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def whole(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Send a whole answer."""
