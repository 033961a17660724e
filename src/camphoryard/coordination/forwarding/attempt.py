"""One attempt to forward a request to one endpoint."""

from collections.abc import Callable, Mapping
from contextlib import closing
from enum import Enum
from functools import partial

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
)
from camphoryard.coordination.forwarding.endpoint_use import Open, endpoint_use
from camphoryard.coordination.forwarding.ports import (
    CONNECT_TIMEOUT_S,
    Answer,
    AnswerKind,
    ClientReply,
    SendOptions,
)
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.coordination.routing.crashed_parts import SOUND_EVENTS
from camphoryard.coordination.routing.first_events import FirstEventTracker
from camphoryard.state.dispatch import FirstEventSeen, RunEnded
from camphoryard.state.errors import BrokenCallError, StalledCallError
from camphoryard.state.ids import EndpointId, Urgency
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import Repeatability, RouteRule

SILENCE_TIMEOUT_IN_OBJECTIVES = 2.5
"""Time without an answer after which another endpoint is tried, in multiples of the
route's objective; clients abandon a stream after four objectives."""
MAX_SENDS = 4
"""Maximum number of endpoints that one request is sent to. It exceeds the attempts of
any route, because a full endpoint declines a request without running it."""
MIN_SILENCE_TIMEOUT_S = 0.3
"""A full endpoint often takes this long to begin its answer."""
MIN_STREAM_SILENCE_TIMEOUT_S = 1.0
"""An endpoint that preempts a stream reads its prompt again, which takes up to 1 s."""
GAP_TIMEOUT_FACTOR = 4.0
"""Pause after which a stream is resumed at another endpoint, in multiples of the
route's longest gap; clients abandon the stream after eight."""
MILLISECONDS_PER_SECOND = 1000
MAX_IDLE_NOT_REPEATABLE_S = 1.0
"""The endpoint may close a connection that has been idle for longer while a request is
written to it."""
MAX_IDLE_REPEATABLE_S = 4.0
"""The same limit for requests that may be sent again."""
ENDING_TIME_S = 0.02
"""Time in which a process that ends closes its sockets."""

SILENCE_AT_END_S = 2.0
"""How long an endpoint may be silent at the end of an unframed answer. A sound one may
be for a second or so, and a lost opening packet is sent again after a second."""


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"


def attempt(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    cancellation: Cancellation,
    reply: ClientReply,
) -> Outcome:
    """Send the request to ``endpoint`` and relay its answer to the client.

    Raises
    ------
    NotSentError, StalledCallError, BrokenCallError
        As `Upstream.open` and the answer raise them.
    """
    sent_s = context.clock()
    forwarded.sends += 1
    forwarded.endpoint = endpoint.id
    forwarded.has_begun_answer = False
    forwarded.is_answered = False
    forwarded.view_age_s = context.directory.endpoints_age_s()
    urgency = urgency_at(context, forwarded, endpoint.id)
    forwarded.urgency = urgency
    options = _send_options(context, forwarded, endpoint, urgency)
    context.in_flight.begin(endpoint.id)
    context.breakers.started(endpoint.id)
    runs_before = forwarded.runs
    wait = _FirstEventWait(
        context.first_events,
        endpoint.id,
        urgency,
        partial(_report_first_event, context, forwarded, sent_s),
    )
    call_cancellation = Cancellation()
    handle = cancellation.subscribe(call_cancellation.cancel)

    def abort() -> None:
        if not forwarded.is_answered:
            call_cancellation.cancel()

    try:
        with (
            context.crashed_parts.abort_if_quarantined(forwarded.suspects, abort),
            closing(
                _open_answer(context, forwarded, endpoint, options, call_cancellation)
            ) as answer,
        ):
            forwarded.has_begun_answer = answer.head.kind is AnswerKind.SERVED
            context.notices.heed(endpoint, answer.head.notices, sent_s)
            context.observe("head", context.clock() - sent_s)
            if answer.write_error is not None:
                _log_unread_request(context, forwarded, endpoint, answer)
            try:
                return _handle_answer(
                    context, forwarded, endpoint, answer, reply, sent_s, wait
                )
            except BrokenCallError:
                # The request may be sent again, and a copy of this answer has its id.
                answer.discard()
                raise
    finally:
        cancellation.unsubscribe(handle)
        wait.end()
        context.in_flight.end(endpoint.id)
        end_turn(context, forwarded, was_declined=forwarded.runs == runs_before)


def end_turn(
    context: ForwardingContext, forwarded: ForwardedRequest, was_declined: bool
) -> None:
    """Report that the request no longer occupies the endpoint of its turn, if any."""
    turn, forwarded.turn = forwarded.turn, None
    if turn is not None:
        context.turns.tell(RunEnded(turn.ticket, turn.endpoint, was_declined))


def _report_first_event(
    context: ForwardingContext, forwarded: ForwardedRequest, sent_s: float
) -> None:
    turn = forwarded.turn
    if turn is not None:
        after_s = context.clock() - sent_s
        context.turns.tell(FirstEventSeen(turn.ticket, turn.endpoint, after_s))


def _log_unread_request(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
) -> None:
    context.log(
        "request_not_read_whole",
        request=forwarded.request.id,
        endpoint=endpoint.id,
        status=answer.head.status,
        error=repr(answer.write_error),
        unframed=answer.ends_with_connection,
    )


class _FirstEventWait:
    """Records how one request's wait for its first event ends."""

    def __init__(
        self,
        first_events: FirstEventTracker,
        endpoint: EndpointId,
        urgency: Urgency,
        on_first_event: Callable[[], None],
    ) -> None:
        self._first_events = first_events
        self._on_first_event = on_first_event
        self._pending = first_events.sent(endpoint, urgency)
        self._has_ended = False

    def record_first_event(self) -> None:
        """Record the first event, unless the wait has ended."""
        if not self._has_ended:
            self._has_ended = True
            self._first_events.received(self._pending)
            self._on_first_event()

    def end(self) -> None:
        """Record the end of a request that got no first event."""
        if not self._has_ended:
            self._has_ended = True
            self._first_events.ended(self._pending)


def _open_answer(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    options: SendOptions,
    cancellation: Cancellation,
) -> Answer:
    """Send the request, recording that it may have run if any byte was sent.

    A request that the endpoint declined has not run.
    """
    try:
        answer = context.upstream.open(
            endpoint, forwarded.request, options, cancellation
        )
    except BrokenCallError:
        forwarded.runs += 1
        forwarded.may_have_run = True
        raise
    if not answer.head.kind.confirms_not_run:
        forwarded.runs += 1
        forwarded.may_have_run = True
    return answer


def _send_options(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    urgency: Urgency,
) -> SendOptions:
    request, rule = forwarded.request, forwarded.rule
    head_timeout_s = max(0.0, forwarded.event_deadline_s - context.clock())
    silence_timeout_s = head_timeout_s
    runs = forwarded.runs + 1
    if rule.repeatability.may_run_again and runs < rule.max_attempts:
        silence_timeout_s = min(head_timeout_s, first_byte_timeout_s(rule))
    is_not_repeatable = rule.repeatability in (Repeatability.ONCE, Repeatability.STREAM)
    return SendOptions(
        forwarded.deadline_s,
        head_timeout_s,
        silence_timeout_s,
        lambda: not _can_resend(context, forwarded, endpoint, runs),
        urgency,
        forwarded.progress.last_event or request.resume_after,
        MAX_IDLE_NOT_REPEATABLE_S if is_not_repeatable else MAX_IDLE_REPEATABLE_S,
        forwarded.account.id if forwarded.account is not None else None,
        forwards_credentials=not forwarded.has_accounts,
    )


def first_byte_timeout_s(rule: RouteRule) -> float:
    """Return the longest wait for the head of an endpoint's answer, in seconds."""
    min_s = MIN_STREAM_SILENCE_TIMEOUT_S if rule.repeatability.is_stream else 0.0
    return max(
        min_s, MIN_SILENCE_TIMEOUT_S, rule.objective_s * SILENCE_TIMEOUT_IN_OBJECTIVES
    )


def _handle_answer(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
    sent_s: float,
    wait: _FirstEventWait,
) -> Outcome:
    """Relay an answer whose head has been received, or report that it was declined."""
    match answer.head.kind:
        case AnswerKind.NOT_RUN | AnswerKind.NOT_LOADED:
            answer.body()
            requested_model = forwarded.request.requested_model
            if requested_model is not None:
                context.directory.record_declined(endpoint.id, requested_model)
            else:
                forwarded.failed.add(endpoint.id)
                context.recent_failures.failed(endpoint.id)
            context.log(
                "endpoint_declined",
                request=forwarded.request.id,
                endpoint=endpoint.id,
                status=answer.head.status,
                sends=forwarded.sends,
                answer_number=answer.number,
                after_ms=round((context.clock() - sent_s) * MILLISECONDS_PER_SECOND),
            )
            return Outcome.NOT_RUN
        case AnswerKind.UNTRUSTED:
            raise BrokenCallError(
                f"answer with status {answer.head.status} is not from the endpoint"
            )
        case AnswerKind.FAILED:
            return _handle_failure(context, forwarded, endpoint, answer, reply)
        case AnswerKind.SERVED:
            if forwarded.rule.repeatability.is_stream:
                _relay_stream(context, forwarded, endpoint, answer, reply, wait)
                if forwarded.request.requested_model is not None:
                    slot_time_s = context.clock() - sent_s
                    context.models.finished(
                        forwarded.request.requested_model, slot_time_s
                    )
            else:
                body = answer.body()
                _check_not_gone(context, forwarded, endpoint, answer)
                _record_success(context, endpoint)
                _record_answered(context, forwarded)
                reply.send_complete(answer.head.status, answer.head.headers, body)
            return Outcome.ANSWERED


def _handle_failure(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
) -> Outcome:
    """Have a failed request sent again if it may be, else relay the failure."""
    context.recent_failures.failed(endpoint.id)
    body = answer.body()
    if reply.has_begun:
        raise BrokenCallError(
            f"the stream cannot be resumed: status {answer.head.status}"
        )
    if forwarded.may_run_again and take_retry(context, forwarded):
        forwarded.failed.add(endpoint.id)
        context.count("failures_retried")
        return Outcome.FAILED
    reply.send_complete(answer.head.status, answer.head.headers, body)
    return Outcome.ANSWERED


def take_retry(context: ForwardingContext, forwarded: ForwardedRequest) -> bool:
    """Take a retry from the budget of the request's service; return False without one.

    Logs of all nodes together tell whether the fleet has kept its budget.
    """
    is_taken = context.retries.take(forwarded.service)
    usage = context.retries.usage(forwarded.service)
    context.log(
        "retry_taken" if is_taken else "retry_refused",
        request=forwarded.request.id,
        service=forwarded.service,
        requests=usage.requests,
        retries=usage.retries,
        nodes=usage.nodes,
    )
    return is_taken


def _relay_stream(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
    reply: ClientReply,
    wait: _FirstEventWait,
) -> None:
    """Relay a stream event by event.

    The head is passed on with the first event, so that until then the client can still
    get the answer of another endpoint.

    Raises
    ------
    StalledCallError
        If no whole event comes for too long and the stream can be resumed elsewhere,
        or the stream is not complete at the deadline.
    BrokenCallError
        If it ends within an event or before the end of the body.
    """
    left_s = max(0.0, forwarded.deadline_s - context.clock())
    gap_timeout_s = min(
        left_s, forwarded.rule.longest_gap_s * GAP_TIMEOUT_FACTOR or left_s
    )
    keeps_waiting = partial(_keeps_waiting, context, forwarded, endpoint)
    progress = forwarded.progress
    progress.discard_partial_event()
    head = answer.head.status, _without_length(answer.head.headers)
    last_event_s = 0.0
    messages_before = progress.messages
    waits_since_s = context.clock()
    for chunk in answer.iter_body(gap_timeout_s, keeps_waiting):
        messages = progress.messages
        events = progress.add(chunk)
        now_s = context.clock()
        if progress.messages > messages:
            waits_since_s = now_s
        elif now_s - waits_since_s >= gap_timeout_s:
            if not keeps_waiting():
                raise StalledCallError("the stream sends bytes but no whole event")
            waits_since_s = now_s
        if not events:
            continue
        if last_event_s:
            forwarded.longest_gap_s = max(forwarded.longest_gap_s, now_s - last_event_s)
        else:
            wait.record_first_event()
            _record_success(context, endpoint)
            forwarded.first_event_s = (
                forwarded.first_event_s or now_s - forwarded.request.arrived_s
            )
        last_event_s = now_s
        if progress.messages - messages_before >= SOUND_EVENTS:
            _record_answered(context, forwarded)
        if not reply.has_begun:
            reply.begin(*head)
        reply.write(events)
        context.observe("event_handover", context.clock() - now_s)
    if not progress.is_between_events:
        raise BrokenCallError("the stream ended in the middle of an event")
    if answer.ends_with_connection and progress.messages == messages_before:
        raise BrokenCallError("the stream ended before its first event")
    _check_not_gone(context, forwarded, endpoint, answer)
    if not reply.has_begun:
        reply.begin(*head)
    _record_answered(context, forwarded)


def _keeps_waiting(
    context: ForwardingContext, forwarded: ForwardedRequest, endpoint: ServingEndpoint
) -> bool:
    """Return whether to wait for a stream that pauses.

    It is aborted only if another endpoint can resume it, as a pause may end by itself.
    """
    if context.clock() >= forwarded.deadline_s:
        return False
    return not _can_resend(context, forwarded, endpoint, forwarded.runs)


def _can_resend(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    runs: int,
) -> bool:
    """Return whether another endpoint may run the request now, after ``runs`` runs."""
    rule = forwarded.rule
    return (
        rule.repeatability.may_run_again
        and forwarded.progress.is_resumable
        and runs < rule.max_attempts
        and forwarded.sends < MAX_SENDS
        and context.retries.has_left(forwarded.service)
        and any(
            item.id != endpoint.id
            and isinstance(endpoint_use(context, forwarded, item), Open)
            for item in context.directory.loaded_endpoints(
                forwarded.service, forwarded.request.requested_model
            )
        )
    )


def _without_length(headers: Mapping[str, str]) -> Mapping[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() != "content-length"
    }


def _check_not_gone(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    answer: Answer,
) -> None:
    """Raise BrokenCallError if an unframed answer ended as its endpoint is gone.

    The end of a process ends its connections like the end of an answer, and may end
    them some milliseconds before it refuses new ones.
    """
    if not answer.ends_with_connection:
        return
    left_s = forwarded.deadline_s - context.clock()
    wait_s = max(CONNECT_TIMEOUT_S, min(SILENCE_AT_END_S, left_s))
    if context.upstream.is_down(endpoint, ENDING_TIME_S, wait_s):
        raise BrokenCallError("the endpoint ended while it answered")


def _record_answered(context: ForwardingContext, forwarded: ForwardedRequest) -> None:
    """Record once that the endpoint answers the request without crashing."""
    if not forwarded.is_answered:
        forwarded.is_answered = True
        context.crashes.record_answered(forwarded.fingerprint, forwarded.service)
        if forwarded.request.prompt_parts:
            context.crashed_parts.record_answered(forwarded.crashing_parts)


def _record_success(context: ForwardingContext, endpoint: ServingEndpoint) -> None:
    context.breakers.succeeded(endpoint.id)
    context.recent_failures.succeeded(endpoint.id)
