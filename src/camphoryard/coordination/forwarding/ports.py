"""Ports of the forwarding code: client requests, endpoints and replies."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.routing.endpoint_notices import Notice
from camphoryard.state.dispatch import PromptPart
from camphoryard.state.ids import (
    AccountId,
    EventId,
    KeyDigest,
    RequestId,
    Urgency,
)
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RequestedModel

CONNECT_TIMEOUT_S = 0.4
"""Endpoints are some milliseconds away; one that takes longer is unreachable."""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the client sent it.

    ``arrived_s`` and ``deadline_s`` are monotonic times in seconds. ``headers`` are
    passed to the endpoint unchanged. ``resume_after`` is the last event of the stream
    that the client has received. Token counts are 0 if the client gives none.
    ``key`` is the digest of the client's key, or None. ``credentials`` are the headers
    that carry the key or could name an account; they are kept apart, so that no
    endpoint of an installation with accounts receives them.
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
    requested_model: RequestedModel | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    key: KeyDigest | None = field(default=None, repr=False)
    credentials: Mapping[str, str] = field(default_factory=dict, repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Options for sending a request to an endpoint.

    ``deadline_s`` is the monotonic time at which the endpoint stops processing and no
    more of its answer is read, ``head_timeout_s`` the longest wait for the head of its
    answer, and ``urgency`` the priority in the endpoint's queue. After each
    ``silence_timeout_s`` without an answer, ``keep_waiting`` decides whether to wait
    on. ``resume_after`` is the last event that the client has received. A pooled
    connection that has been idle for longer than ``max_idle_s`` is not used.
    ``account`` is named to the endpoint. ``forwards_credentials`` if there are no
    accounts, so that they are meant for the endpoint.
    """

    deadline_s: float
    head_timeout_s: float
    silence_timeout_s: float
    keep_waiting: Callable[[], bool]
    urgency: Urgency
    resume_after: EventId | None
    max_idle_s: float
    account: AccountId | None = None
    forwards_credentials: bool = True


class AnswerKind(Enum):
    """Meaning of the head of an endpoint's answer for the request."""

    SERVED = "served"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_LOADED = "not_held"
    UNTRUSTED = "untrusted"

    @property
    def confirms_not_run(self) -> bool:
        """Whether the endpoint confirms that the request has not run."""
        return self in (AnswerKind.NOT_RUN, AnswerKind.NOT_LOADED)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status of an answer, and the headers that are passed to the client.

    ``closes_connection`` is True if the endpoint closes the connection after this
    answer. ``notices`` are what it says of itself.
    """

    kind: AnswerKind
    status: int
    headers: Mapping[str, str]
    closes_connection: bool = False
    notices: tuple[Notice, ...] = ()


class Answer(Protocol):
    """An open answer of an endpoint; closing it early aborts the request.

    ``ends_with_connection`` is True if it has neither a length nor chunks.
    ``write_error`` is the error after which the rest of the request was not written,
    or None. ``number`` is 1 for the first answer on its connection.
    """

    head: AnswerHead
    number: int
    ends_with_connection: bool
    write_error: OSError | None

    def body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        StalledCallError
            If the body is not complete at the deadline of the request.
        BrokenCallError
            If the body ends early or has more bytes than are accepted.
        """

    def iter_body(
        self, silence_timeout_s: float, keep_waiting: Callable[[], bool]
    ) -> Iterator[bytes]:
        """Yield the body in chunks as it arrives.

        Raises
        ------
        StalledCallError
            If no data arrives for ``silence_timeout_s`` s and ``keep_waiting()`` is
            false, or the body is not complete at the deadline of the request.
        BrokenCallError
            If the body ends early, or bytes arrive that are no part of it.
        """

    def discard(self) -> None:
        """Have `close` reset the connection, whatever of the answer was read."""

    def close(self) -> None:
        """Close the answer and release its connection."""


class Upstream(Protocol):
    """Sends requests to endpoints."""

    def open(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        options: SendOptions,
        cancellation: Cancellation,
    ) -> Answer:
        """Send a request and return its answer once the head is received.

        Raises
        ------
        NotSentError
            If no byte was sent to the endpoint.
        StalledCallError
            If the head does not arrive in time.
        BrokenCallError
            If the connection fails after bytes were sent.
        """

    def is_down(
        self,
        endpoint: ServingEndpoint,
        after_s: float = 0.0,
        wait_s: float = CONNECT_TIMEOUT_S,
    ) -> bool:
        """Return whether an endpoint accepts no connection, ``after_s`` s from now.

        One that neither accepts nor refuses is waited for, for ``wait_s`` s.
        """


class ClientReply(Protocol):
    """The answer to the client; ``status`` is None until it begins."""

    status: int | None

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer is sent."""

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer of unknown length."""

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete answer."""
