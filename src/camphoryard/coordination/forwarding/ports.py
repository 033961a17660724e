"""A request to be forwarded, and the outward calls that forward it."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.state.ids import EventId, PromptPartId, RequestId, Urgency
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import WantedModel


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
    requested_model: WantedModel | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class SendOptions:
    """How a request goes to an endpoint.

    ``deadline_s`` is the monotonic time at which the endpoint stops processing,
    ``silence_timeout_s`` the longest wait for the head of its answer, and ``urgency``
    the priority in the endpoint's queue. ``resume_after`` is the last event that the
    client has received. A pooled connection that has been idle for longer than
    ``max_idle_s`` is not used.
    """

    deadline_s: float
    silence_timeout_s: float
    urgency: Urgency
    resume_after: EventId | None
    max_idle_s: float


class AnswerKind(Enum):
    """What the head of an endpoint's answer says about the request."""

    SERVED = "served"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_LOADED = "not_held"
    UNTRUSTED = "untrusted"

    @property
    def is_promise(self) -> bool:
        """Whether the endpoint says that the request has not run."""
        return self in (AnswerKind.NOT_RUN, AnswerKind.NOT_LOADED)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, with those that go on to the client.

    ``closes_connection`` is True if the endpoint closes the connection after this
    answer.
    """

    kind: AnswerKind
    status: int
    headers: Mapping[str, str]
    closes_connection: bool = False


class Answer(Protocol):
    """An open answer of an endpoint; closing it early breaks the request off."""

    head: AnswerHead

    def body(self) -> bytes:
        """Return the whole body; raises BrokenCallError if it ends early."""

    def iter_body(
        self, silence_timeout_s: float, waits_on: Callable[[], bool]
    ) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        StalledCallError
            If no data arrives for ``silence_timeout_s`` s and ``waits_on()`` is
            false.
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
        sending: SendOptions,
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

    def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer."""
