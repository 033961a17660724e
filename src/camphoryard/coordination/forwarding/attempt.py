"""One attempt to have a request answered by one endpoint."""

from collections.abc import Mapping
from contextlib import closing
from enum import Enum
from functools import partial

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.parts import ForwardedRequest, ForwardingParts
from camphoryard.coordination.forwarding.ports import (
    Answer,
    AnswerKind,
    ClientReply,
    Sending,
)
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.coordination.routing.first_events import FirstEvents
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import EndpointId, Urgency
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import Repeatability, RouteRule

PATIENCE_IN_OBJECTIVES = 2.5
"""How long an endpoint may be silent before another one is tried, in objectives;
clients leave a stream after four."""
MAX_SENDS = 4
"""Endpoints that one request is offered to at most; beyond the attempts of any
route, as endpoints that are full say so without running it."""
LEAST_PATIENCE_S = 0.3
"""Shorter silences are ordinary at a full endpoint."""
LEAST_STREAM_PATIENCE_S = 1.0
"""Endpoints that preempt a stream read it anew, which takes up to a second."""
GAP_PATIENCE = 4.0
"""How long a stream may pause before it is resumed elsewhere, in longest gaps;
clients leave after eight."""
ONCE_IDLE_S = 1.0
"""A connection idle for longer may be closed while a request is written to it."""
IDLE_S = 4.0
"""The same for requests that may be sent again."""


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"


def attempt(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    cancellation: Cancellation,
    reply: ClientReply,
) -> Outcome:
    """Send the request to ``endpoint`` and hand its answer on; raises as Upstream."""
    sent_s = parts.clock()
    forwarded.sends += 1
    forwarded.endpoint = endpoint.id
    urgency = urgency_at(parts, forwarded, endpoint.id)
    forwarded.urgency = urgency
    sending = _sending(parts, forwarded, endpoint, urgency)
    parts.in_flight.begin(endpoint.id)
    parts.breakers.started(endpoint.id)
    wait = _FirstEventWait(parts.first_events, endpoint.id, urgency)
    try:
        with closing(
            _open(parts, forwarded, endpoint, sending, cancellation)
        ) as answer:
            parts.observe("head", parts.clock() - sent_s)
            return _take(parts, forwarded, endpoint, answer, reply, sent_s, wait)
    finally:
        wait.end()
        parts.in_flight.end(endpoint.id)


class _FirstEventWait:
    """One request's wait for its first event."""

    def __init__(
        self, first_events: FirstEvents, endpoint: EndpointId, urgency: Urgency
    ) -> None:
        self._first_events = first_events
        self._pending = first_events.sent(endpoint, urgency)
        self._is_over = False

    def came(self) -> None:
        """Note the first event."""
        if not self._is_over:
            self._is_over = True
            self._first_events.came(self._pending)

    def end(self) -> None:
        """Note the end, with or without one."""
        if not self._is_over:
            self._is_over = True
            self._first_events.ended(self._pending)


def _open(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    sending: Sending,
    cancellation: Cancellation,
) -> Answer:
    """Send the request; note that it may have run unless no byte left."""
    try:
        answer = parts.upstream.open(endpoint, forwarded.request, sending, cancellation)
    except BrokenCallError:
        forwarded.runs += 1
        forwarded.may_have_run = True
        raise
    if not answer.head.kind.is_promise:
        forwarded.runs += 1
        forwarded.may_have_run = True
    return answer


def _sending(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    urgency: Urgency,
) -> Sending:
    request, rule = forwarded.request, forwarded.rule
    loaded_endpoints = parts.directory.loaded_endpoints(
        forwarded.service, request.wanted
    )
    has_others = any(item.id != endpoint.id for item in loaded_endpoints)
    left_s = max(0.0, forwarded.event_due_s - parts.clock())
    is_last = forwarded.runs + 1 >= rule.max_attempts
    patience_s = left_s
    if rule.repeatability.may_run_again and not is_last and has_others:
        patience_s = min(left_s, first_patience_s(rule))
    is_once = rule.repeatability in (Repeatability.ONCE, Repeatability.STREAM)
    return Sending(
        forwarded.due_s,
        patience_s,
        urgency,
        forwarded.progress.last_event or request.resume_after,
        ONCE_IDLE_S if is_once else IDLE_S,
    )


def first_patience_s(rule: RouteRule) -> float:
    """Return how long an endpoint may be silent before its answer begins."""
    least_s = LEAST_STREAM_PATIENCE_S if rule.repeatability.is_stream else 0.0
    return max(least_s, LEAST_PATIENCE_S, rule.objective_s * PATIENCE_IN_OBJECTIVES)


def _take(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
    sent_s: float,
    wait: _FirstEventWait,
) -> Outcome:
    """Hand on an answer whose head has come."""
    match answer.head.kind:
        case AnswerKind.NOT_RUN | AnswerKind.NOT_HELD:
            answer.body()
            wanted = forwarded.request.wanted
            if wanted is not None:
                parts.directory.record_declined(endpoint.id, wanted)
            else:
                forwarded.failed.add(endpoint.id)
            parts.log(
                "endpoint_declined",
                request=forwarded.request.id,
                endpoint=endpoint.id,
                status=answer.head.status,
                sends=forwarded.sends,
            )
            return Outcome.NOT_RUN
        case AnswerKind.UNTRUSTED:
            raise BrokenCallError(f"answer {answer.head.status} is not the endpoint's")
        case AnswerKind.FAILED:
            return _take_failure(parts, forwarded, endpoint, answer, reply)
        case AnswerKind.SERVED:
            if forwarded.rule.repeatability.is_stream:
                _relay(parts, forwarded, endpoint, answer, reply, wait)
                if forwarded.request.wanted is not None:
                    held_s = parts.clock() - sent_s
                    parts.models.finished(forwarded.request.wanted, held_s)
            else:
                body = answer.body()
                _succeeded(parts, endpoint)
                reply.whole(answer.head.status, answer.head.headers, body)
            return Outcome.ANSWERED


def _take_failure(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
) -> Outcome:
    """Try elsewhere what failed, or hand the failure on."""
    body = answer.body()
    if forwarded.progress.events:
        raise BrokenCallError(f"the stream cannot go on: {answer.head.status}")
    if forwarded.may_run_again and parts.retries.take(forwarded.service):
        forwarded.failed.add(endpoint.id)
        parts.count("failures_retried")
        return Outcome.FAILED
    reply.whole(answer.head.status, answer.head.headers, body)
    return Outcome.ANSWERED


def _relay(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
    wait: _FirstEventWait,
) -> None:
    """Hand on a stream event by event; raises if it ends before its end."""
    left_s = max(0.0, forwarded.request.deadline_s - parts.clock())
    gap_s = min(left_s, forwarded.rule.longest_gap_s * GAP_PATIENCE or left_s)
    progress = forwarded.progress
    progress.restart()
    if not reply.has_begun:
        reply.begin(answer.head.status, _without_length(answer.head.headers))
    last_s = 0.0
    for piece in answer.pieces(gap_s, partial(_waits_on, parts, forwarded, endpoint)):
        whole = progress.take(piece)
        if not whole:
            continue
        now_s = parts.clock()
        if last_s:
            forwarded.longest_gap_s = max(forwarded.longest_gap_s, now_s - last_s)
        else:
            wait.came()
            _succeeded(parts, endpoint)
            forwarded.first_event_s = (
                forwarded.first_event_s or now_s - forwarded.request.arrived_s
            )
        last_s = now_s
        reply.write(whole)
        parts.observe("event_handover", parts.clock() - now_s)
    if not progress.is_between_events:
        raise BrokenCallError("the stream ended within an event")


def _waits_on(
    parts: ForwardingParts, forwarded: ForwardedRequest, endpoint: ServingEndpoint
) -> bool:
    """Return whether a stream that pauses is waited for, as nothing better is left.

    It is broken off only if it can go on elsewhere: a pause may end by itself.
    """
    if parts.clock() >= forwarded.request.deadline_s:
        return False
    others = parts.directory.loaded_endpoints(
        forwarded.service, forwarded.request.wanted
    )
    has_others = any(
        item.id != endpoint.id
        and item.id not in forwarded.failed
        and parts.breakers.allows(item.id)
        for item in others
    )
    return not (
        has_others
        and forwarded.may_run_again
        and forwarded.sends < MAX_SENDS
        and parts.retries.has_left(forwarded.service)
    )


def _without_length(headers: Mapping[str, str]) -> Mapping[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() != "content-length"
    }


def _succeeded(parts: ForwardingParts, endpoint: ServingEndpoint) -> None:
    parts.breakers.succeeded(endpoint.id)
