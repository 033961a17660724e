"""Requests that wait to be sent to a model engine, and how their wait ends."""

from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.ids import (
    AccountId,
    EndpointId,
    NodeId,
    PromptPartId,
    ServiceId,
    TicketId,
    Zone,
)
from camphoryard.state.traffic import RequestedModel


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; equal parts of several prompts share an id."""

    id: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """What a request costs an engine, in tokens.

    ``parts`` are the parts of the prompt in order; an engine that keeps the first of
    them reads only the others. ``output_tokens`` are those expected.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """A request that asks which engine to go to, and when.

    ``rank`` is its urgency, 0 first. ``objective_left_s`` is the time until its first
    event is late, which may be negative, ``leave_left_s`` that until its client leaves
    without an event. ``longest_gap_s`` is the longest pause between its events that is
    not late. A request that ``has_begun`` goes on with an answer that its client has
    part of. ``excluded`` are endpoints that it must not go to, ``candidates`` those
    that its node would send it to; all that have its item loaded if there are none.
    A request that ``has_returned`` has been refused or failed before. ``node`` is the
    node that has it.
    """

    ticket: TicketId
    service: ServiceId
    item: RequestedModel
    work: Work
    rank: int
    objective_left_s: float
    leave_left_s: float
    longest_gap_s: float
    zone: Zone
    account: AccountId | None = None
    has_begun: bool = False
    excluded: tuple[EndpointId, ...] = ()
    candidates: tuple[EndpointId, ...] = ()
    has_returned: bool = False
    node: NodeId | None = None


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The request goes to ``endpoint`` now."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits on; its node asks again within ``ask_again_s`` seconds."""

    ask_again_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request cannot begin before its client leaves.

    There may be room for it in ``retry_after_s`` seconds.
    """

    retry_after_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """The node that was asked does not dispatch; the request's own node chooses."""


DispatchAnswer: TypeAlias = Dispatched | Queued | Rejected | NotDispatched


@dataclass(frozen=True, slots=True)
class FirstEventSeen:
    """A dispatched request has got its first event, ``after_s`` s after it was sent."""

    ticket: TicketId
    endpoint: EndpointId
    after_s: float


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A dispatched request no longer occupies its endpoint.

    ``was_declined`` if the endpoint has not run it.
    """

    ticket: TicketId
    endpoint: EndpointId
    was_declined: bool = False


Progress: TypeAlias = FirstEventSeen | RunEnded


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """A request no longer waits for its turn, as its client has left."""

    ticket: TicketId
