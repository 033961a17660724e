"""Forwarding of one request, from its route to the last byte of its answer."""

import random
from collections.abc import Sequence
from operator import itemgetter

from camphoryard.coordination.cancellation import Cancellation, CancellationCause
from camphoryard.coordination.dispatch.turns import TakenTurn
from camphoryard.coordination.forwarding.attempt import (
    MAX_SENDS,
    Outcome,
    attempt,
    end_turn,
    take_retry,
)
from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
    RequestInProgress,
)
from camphoryard.coordination.forwarding.endpoint_use import (
    Closed,
    ClosedReason,
    EndpointUse,
    LastResort,
    Open,
    endpoint_use,
)
from camphoryard.coordination.forwarding.ports import ClientReply, ClientRequest
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.coordination.loading.item_locator import STOPPING_RETRY_S
from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.routing.crashed_parts import SOUND_EVENTS
from camphoryard.coordination.routing.endpoint_room import NoRoom
from camphoryard.state.accounts import Account
from camphoryard.state.dispatch import (
    Dispatched,
    DispatchRequest,
    NotDispatched,
    Rejected,
    Work,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    BrokenCallError,
    NotLoadedBeforeDeadlineError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId, ServiceId
from camphoryard.state.quotas import Admitted, OverQuota
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RouteRule, TrafficRules, WeightedService
from camphoryard.state.verdict import Verdict

DECLINED_RETRY_DELAY_S = 0.03
"""Delay before an engine that declined a request is tried again; loading an adapter
takes about as long."""
BEGUN_RETRY_DELAY_S = 0.2
"""Delay before a stream that cannot be continued now tries again."""
MILLISECONDS_PER_SECOND = 1000
MAX_QUEUE_WAIT_SHARE = 0.85
"""Share of the time until its client leaves that a stream may be expected to queue."""
MAX_QUEUE_RETRY_AFTER_S = 2.0
"""Upper bound of Retry-After for a long queue, which has changed by then."""
RETRY_AFTER_FACTOR = 1.25
RETRY_AFTER_MARGIN_S = 0.3
"""Loads end up to a quarter later than estimated, and nodes observe them a few tenths
of a second later."""
MAX_RETRY_AFTER_SHARE = 0.33
NO_ENDPOINT_RETRY_AFTER_S = 0.5
"""Retry-After if no endpoint is known; entries change about once per second."""


def forward(
    context: ForwardingContext,
    request: ClientRequest,
    cancellation: Cancellation,
    reply: ClientReply,
) -> ForwardedRequest:
    """Forward the request to an endpoint, trying further endpoints on failure.

    Returns
    -------
    ForwardedRequest
        The answered request with its route, sends and times.

    Raises
    ------
    RefusalError
        If the request was not answered. The verdict is NOT_RUN only if the request has
        not run and will not run.
    """
    forwarded = create_forwarded(context, request)
    admitted = _use_quota(context, forwarded)
    item = RequestInProgress(forwarded, cancellation, reply)
    try:
        with context.in_progress.tracked(item):
            _forward_until_answered(context, forwarded, cancellation, reply)
    except RefusalError as refusal:
        context.account_counts.refused(forwarded.account, refusal.reason)
        _log_unanswered(context, forwarded, refusal, reply)
        if refusal.verdict is Verdict.NOT_RUN:
            context.quotas.refund(admitted)
        raise
    finally:
        end_turn(context, forwarded, was_declined=True)
    context.account_counts.answered(forwarded.account)
    return forwarded


def _use_quota(context: ForwardingContext, forwarded: ForwardedRequest) -> Admitted:
    """Count the request against the quota of its account.

    Raises
    ------
    RefusalError
        If it is over the quota.
    """
    request = forwarded.request
    tokens = request.prompt_tokens + request.max_output_tokens
    match context.quotas.admit(forwarded.account, tokens):
        case OverQuota(retry_after_s):
            raise RefusalError(
                Reason.OVER_QUOTA,
                "the account is over its quota",
                retry_after_s=retry_after_s,
            )
        case admitted:
            return admitted


def _forward_until_answered(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    cancellation: Cancellation,
    reply: ClientReply,
) -> None:
    """Send the request until an endpoint has answered it; raises as `forward`."""
    request = forwarded.request
    _check_quarantined(context, forwarded)
    context.retries.earn(forwarded.service)
    if request.requested_model is not None:
        context.models.arrived(request.requested_model)
    while True:
        endpoint = _find_endpoint(context, forwarded, cancellation)
        _check_cancelled(forwarded, cancellation)
        match context.room.take(endpoint):
            case NoRoom():
                end_turn(context, forwarded, was_declined=True)
                continue
            case admitted:
                pass
        try:
            outcome = attempt(context, forwarded, endpoint, cancellation, reply)
        except (NotSentError, BrokenCallError) as error:
            _refund_unsent(context, admitted, error)
            _check_cancelled(forwarded, cancellation)
            _check_quarantined(context, forwarded)
            _record_failure(context, forwarded, endpoint, error)
            _record_crash(context, forwarded, endpoint, error)
            _check_quarantined(context, forwarded)
            _check_may_resend(context, forwarded, error, cancellation)
            continue
        match outcome:
            case Outcome.ANSWERED:
                return
            case Outcome.FAILED:
                continue
            case Outcome.NOT_RUN:
                _check_may_resend(context, forwarded, None, cancellation)


def _refund_unsent(
    context: ForwardingContext,
    admitted: Admitted,
    error: NotSentError | BrokenCallError,
) -> None:
    """Give back the room of a request of which the endpoint got nothing."""
    match error:
        case NotSentError():
            context.room.refund(admitted)
        case BrokenCallError():
            pass


def _log_unanswered(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    refusal: RefusalError,
    reply: ClientReply,
) -> None:
    """Log what was left to a request that ends without its endpoint's whole answer.

    Answers that are cut have an event of their own, as the log limits the lines of each
    event and a crowd is refused at a higher rate.
    """
    rules = context.directory.rules
    context.log(
        "answer_cut" if reply.has_begun else "request_unanswered",
        request=forwarded.request.id,
        route=forwarded.rule.id,
        account=forwarded.account.id if forwarded.account else "",
        rules=forwarded.rules_version,
        newest_rules=rules.version if rules else "",
        reason=refusal.reason.value,
        endpoint=forwarded.endpoint or "",
        sends=forwarded.sends,
        runs=forwarded.runs,
        max_attempts=forwarded.rule.max_attempts,
        may_run_again=forwarded.may_run_again,
        resumable=forwarded.progress.is_resumable,
        retry_left=context.retries.has_left(forwarded.service),
        events=forwarded.progress.events,
        left_ms=round(
            (forwarded.event_deadline_s - context.clock()) * MILLISECONDS_PER_SECOND
        ),
    )


def create_forwarded(
    context: ForwardingContext, request: ClientRequest
) -> ForwardedRequest:
    """Return the forwarding state of a request, with the route that matches it.

    Raises
    ------
    RefusalError
        If the node has no rules yet, no route matches the request, or its key belongs
        to no account.
    """
    rules = context.directory.rules
    if rules is None:
        raise RefusalError(
            Reason.STALE_CONFIGURATION,
            "this node has not received a configuration yet",
            retry_after_s=NO_ENDPOINT_RETRY_AFTER_S,
        )
    rule = rules.find(request.host, request.path)
    if rule is None:
        raise RefusalError(Reason.NOT_FOUND, "no route matches this host and path")
    account = _find_account(rules, rule, request)
    deadline_s = min(request.deadline_s, request.arrived_s + rule.timeout_s)
    event_deadline_s = deadline_s
    if rule.repeatability.is_stream:
        event_deadline_s = min(deadline_s, request.arrived_s + rule.client_timeout_s)
    return ForwardedRequest(
        request,
        rule,
        rules.version,
        _choose_service(rule),
        deadline_s,
        event_deadline_s,
        account,
        rules.accounts is not None,
    )


def _find_account(
    rules: TrafficRules, rule: RouteRule, request: ClientRequest
) -> Account | None:
    """Return the account that holds the client's key, or None without accounts.

    On public routes an unknown or missing key belongs to no account.

    Raises
    ------
    RefusalError
        If no account holds it and the route is not public.
    """
    if rules.accounts is None:
        return None
    account = rules.accounts.find(request.key)
    if account is None and not rule.is_public:
        detail = "no key" if request.key is None else "the key belongs to no account"
        raise RefusalError(Reason.UNAUTHENTICATED, detail)
    return account


def _choose_service(rule: RouteRule) -> ServiceId:
    """Return one of the route's services, chosen at random by weight."""
    match rule.services:
        case (WeightedService(service),):
            return service
        case services:
            weights = [item.weight for item in services]
            return random.choices(services, weights)[0].service


def _find_endpoint(
    context: ForwardingContext, forwarded: ForwardedRequest, cancellation: Cancellation
) -> ServingEndpoint:
    """Return the endpoint to send to next.

    A stream that has begun looks for one until its client would leave, as the client
    cannot come back later in the middle of the answer.

    Raises
    ------
    RefusalError
        If no endpoint can serve the request in the time left.
    """
    while True:
        try:
            return _choose_endpoint(context, forwarded, cancellation)
        except RefusalError:
            if not _may_wait_on(context, forwarded):
                raise
        _wait_before_retry(context, forwarded, cancellation)


def _may_wait_on(context: ForwardingContext, forwarded: ForwardedRequest) -> bool:
    """Return whether a client has part of its answer and still waits for the rest."""
    return forwarded.has_begun and context.clock() < forwarded.event_deadline_s


def _wait_before_retry(
    context: ForwardingContext, forwarded: ForwardedRequest, cancellation: Cancellation
) -> None:
    """Wait until a stream that has begun may try again.

    Raises
    ------
    RefusalError
        If its client has left.
    """
    context.directory.wait_until(
        lambda: cancellation.cancelled,
        min(forwarded.event_deadline_s, context.clock() + BEGUN_RETRY_DELAY_S),
    )
    _check_cancelled(forwarded, cancellation)


def _choose_endpoint(
    context: ForwardingContext, forwarded: ForwardedRequest, cancellation: Cancellation
) -> ServingEndpoint:
    """Return an endpoint that can serve the request now, loading its model if needed.

    Raises
    ------
    RefusalError
        If no endpoint can serve the request in the time left.
    """
    if context.clock() >= forwarded.event_deadline_s:
        raise RefusalError(
            Reason.DEADLINE, "the deadline of the request has passed", forwarded.verdict
        )
    requested_model = forwarded.request.requested_model
    ready = context.directory.ready(forwarded.service)
    if not ready:
        raise _no_endpoint_refusal(forwarded, "no endpoint of the service is ready")
    endpoints = [
        item for item in ready if context.directory.has_loaded(item, requested_model)
    ]
    uses = [(item, endpoint_use(context, forwarded, item)) for item in endpoints]
    usable = _answering_endpoints(context, forwarded, _usable_endpoints(uses))
    is_dispatched = requested_model is not None and context.turns.is_in_force(
        forwarded.service
    )
    if usable and is_dispatched:
        return _take_turn(context, forwarded, usable, cancellation)
    if usable:
        return context.chooser.choose(_before_deadline(context, forwarded, usable))
    rest_s = _shortest_wait_s(context, uses)
    if rest_s is not None:
        raise _resting_refusal(forwarded, rest_s)
    if requested_model is None:
        raise _no_endpoint_refusal(
            forwarded, "every endpoint of the service has failed this request"
        )
    if forwarded.sends:
        context.directory.wait_until(
            lambda: False,
            min(forwarded.event_deadline_s, context.clock() + DECLINED_RETRY_DELAY_S),
        )
    locate_start_s = context.clock()
    try:
        found = context.models.locate(
            forwarded.service,
            requested_model,
            forwarded.event_deadline_s,
            forwarded.unreached,
            has_begun=forwarded.has_begun,
        )
        forwarded.load_wait_s += context.clock() - locate_start_s
    except NotLoadedBeforeDeadlineError as error:
        raise RefusalError(
            Reason.OVERLOADED,
            f"the model or adapter is {error}",
            forwarded.verdict,
            retry_after_s=_retry_after_s(context, forwarded, error.ready_in_s),
        ) from error
    rest_s = _shortest_wait_s(
        context, [(found, endpoint_use(context, forwarded, found))]
    )
    if rest_s is not None:
        raise _resting_refusal(forwarded, rest_s)
    if is_dispatched:
        return _take_turn(context, forwarded, [found], cancellation)
    return found


def _take_turn(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    usable: list[ServingEndpoint],
    cancellation: Cancellation,
) -> ServingEndpoint:
    """Return the endpoint that the dispatcher names, or this node's own choice.

    The view of either may have become older than this node's during the wait.

    Raises
    ------
    RefusalError
        If the request cannot begin before its client leaves.
    """
    asked_s = context.clock()
    question = _dispatch_request(context, forwarded, usable)
    answer = context.turns.take(question, cancellation)
    match answer:
        case Dispatched(endpoint):
            context.observe("turn", context.clock() - asked_s)
            forwarded.turn = TakenTurn(question.ticket, endpoint)
            for item in _still_usable(context, forwarded, usable):
                if item.id == endpoint:
                    return item
            end_turn(context, forwarded, was_declined=True)
            return _choose_endpoint(context, forwarded, cancellation)
        case Rejected(retry_after_s, detail):
            raise RefusalError(
                Reason.OVERLOADED,
                detail,
                forwarded.verdict,
                retry_after_s=_limited_retry_after_s(context, forwarded, retry_after_s),
            )
        case NotDispatched():
            still_usable = _still_usable(context, forwarded, usable)
            if not still_usable:
                return _choose_endpoint(context, forwarded, cancellation)
            return context.chooser.choose(
                _before_deadline(context, forwarded, still_usable)
            )


def _dispatch_request(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    usable: list[ServingEndpoint],
) -> DispatchRequest:
    """Return the question for the turn of a request at one of ``usable``."""
    request, rule = forwarded.request, forwarded.rule
    assert request.requested_model is not None
    now_s = context.clock()
    return DispatchRequest(
        context.turns.make_ticket(request.id),
        forwarded.service,
        request.requested_model,
        Work(
            request.prompt_tokens,
            request.expected_output_tokens or request.max_output_tokens,
            request.prompt_parts,
        ),
        forwarded.rank,
        forwarded.first_sent_s + rule.objective_s - now_s,
        forwarded.event_deadline_s - now_s,
        rule.longest_gap_s,
        context.chooser.zone,
        forwarded.account.id if forwarded.account is not None else None,
        forwarded.has_begun,
        candidates=tuple(item.id for item in usable),
        has_returned=forwarded.has_returned,
    )


def _still_usable(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoints: list[ServingEndpoint],
) -> list[ServingEndpoint]:
    """Return those of ``endpoints`` that are not closed to all requests by now."""
    still_usable = []
    for item in endpoints:
        endpoint = context.directory.find(item.id)
        if endpoint is None:
            continue
        match endpoint_use(context, forwarded, endpoint):
            case Closed(
                ClosedReason.LEAVING | ClosedReason.RESTING | ClosedReason.LIMITED
            ):
                pass
            case _:
                still_usable.append(endpoint)
    return still_usable


def _usable_endpoints(
    uses: Sequence[tuple[ServingEndpoint, EndpointUse]],
) -> list[ServingEndpoint]:
    """Return the open endpoints, or those that are a last resort if none is open."""
    is_open = [endpoint for endpoint, use in uses if isinstance(use, Open)]
    return is_open or [item for item, use in uses if isinstance(use, LastResort)]


def _answering_endpoints(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    usable: list[ServingEndpoint],
) -> list[ServingEndpoint]:
    """Return the endpoints that have not just failed, if no retry is left.

    A failure then ends its request, and an endpoint that fails at once looks the least
    loaded, so that it would get most of the requests.
    """
    if context.retries.has_left(forwarded.service):
        return usable
    failed = context.recent_failures.has_failed
    return [item for item in usable if not failed(item.id)] or usable


def _shortest_wait_s(
    context: ForwardingContext, uses: Sequence[tuple[ServingEndpoint, EndpointUse]]
) -> float | None:
    """Return when the first endpoint that rests or is limited takes a request again.

    Returns None if there is none.
    """
    waits_s = []
    limited = []
    for endpoint, use in uses:
        match use:
            case Closed(ClosedReason.RESTING, left_s):
                waits_s.append(left_s)
            case Closed(ClosedReason.LIMITED, left_s):
                limited.append((left_s, endpoint))
            case _:
                pass
    if limited:
        _, first = min(limited, key=itemgetter(0))
        waits_s.append(context.room.retry_after_s(first))
    return min(waits_s, default=None)


def _resting_refusal(forwarded: ForwardedRequest, rest_s: float) -> RefusalError:
    return RefusalError(
        Reason.OVERLOADED,
        f"every endpoint is busy, one for {rest_s:.1f} s",
        forwarded.verdict,
        retry_after_s=rest_s,
    )


def _before_deadline(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    usable: list[ServingEndpoint],
) -> list[ServingEndpoint]:
    """Return the endpoints at which a stream begins before its client leaves.

    Raises
    ------
    RefusalError
        If there is none. The client would leave without an event, and its request would
        have delayed those queued behind it.
    """
    if not forwarded.rule.repeatability.is_stream or forwarded.progress.events:
        return usable
    left_s = forwarded.event_deadline_s - context.clock()
    wait_s_by_id = {
        item.id: _queue_wait_s(context, forwarded, item.id) for item in usable
    }
    before_deadline = [
        item for item in usable if wait_s_by_id[item.id] < left_s * MAX_QUEUE_WAIT_SHARE
    ]
    if before_deadline:
        return before_deadline
    min_wait_s = min(wait_s_by_id.values())
    raise RefusalError(
        Reason.OVERLOADED,
        f"the first event is expected in about {min_wait_s:.1f} s",
        forwarded.verdict,
        retry_after_s=_retry_after_s(
            context, forwarded, min(min_wait_s, MAX_QUEUE_RETRY_AFTER_S)
        ),
    )


def _queue_wait_s(
    context: ForwardingContext, forwarded: ForwardedRequest, endpoint: EndpointId
) -> float:
    """Return the expected wait in an endpoint's queue in seconds, 0 without a queue."""
    urgency = urgency_at(context, forwarded, endpoint)
    if not context.first_events.has_queue(endpoint, urgency):
        return 0.0
    return context.first_events.wait_s(endpoint, urgency)


def _retry_after_s(
    context: ForwardingContext, forwarded: ForwardedRequest, available_in_s: float
) -> float:
    """Return Retry-After for a model expected in ``available_in_s``, in seconds.

    Clients retry only once or twice, so the time is padded, by no more than to a
    third of the time that the client has left.
    """
    left_s = forwarded.request.deadline_s - context.clock()
    padded_s = available_in_s * RETRY_AFTER_FACTOR + RETRY_AFTER_MARGIN_S
    return max(available_in_s, min(padded_s, left_s * MAX_RETRY_AFTER_SHARE))


def _limited_retry_after_s(
    context: ForwardingContext, forwarded: ForwardedRequest, retry_after_s: float
) -> float:
    """Return Retry-After, of no more than clients wait for."""
    left_s = forwarded.request.deadline_s - context.clock()
    return min(retry_after_s, max(0.0, left_s) * MAX_RETRY_AFTER_SHARE)


def _no_endpoint_refusal(forwarded: ForwardedRequest, detail: str) -> RefusalError:
    return RefusalError(
        Reason.NO_ENDPOINT,
        detail,
        forwarded.verdict,
        retry_after_s=NO_ENDPOINT_RETRY_AFTER_S,
    )


def _check_cancelled(forwarded: ForwardedRequest, cancellation: Cancellation) -> None:
    match cancellation.cause:
        case None:
            return
        case CancellationCause.DISCONNECTED:
            raise RefusalError(
                Reason.CANCELLED, "the client closed the connection", forwarded.verdict
            )
        case CancellationCause.STOPPING:
            raise RefusalError(
                Reason.DRAINING,
                "this node stops before the answer is complete",
                forwarded.verdict,
                retry_after_s=STOPPING_RETRY_S,
            )


def _record_failure(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    error: NotSentError | BrokenCallError,
) -> None:
    """Record a failed call for the request and for its endpoint."""
    forwarded.failed.add(endpoint.id)
    match error:
        case NotSentError():
            forwarded.unreached.add(endpoint.id)
        case _:
            pass
    if forwarded.progress.events:
        client_timeout_s = forwarded.rule.client_timeout_s
        forwarded.event_deadline_s = min(
            forwarded.deadline_s, context.clock() + client_timeout_s
        )
    has_expired = context.clock() >= forwarded.event_deadline_s
    if not has_expired:
        context.breakers.failed(endpoint.id)
    context.log(
        "attempt_failed",
        request=forwarded.request.id,
        endpoint=endpoint.id,
        error=repr(error),
        view_age_s=round(forwarded.view_age_s, 2),
        sends=forwarded.sends,
        runs=forwarded.runs,
        may_run_again=forwarded.may_run_again,
        retry_left=context.retries.has_left(forwarded.service),
        verdict=forwarded.verdict.value,
        events=forwarded.progress.events,
    )


def _record_crash(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    error: NotSentError | BrokenCallError,
) -> None:
    """Broadcast a crash if the endpoint crashed before it had answered the request."""
    digest = forwarded.fingerprint
    match error:
        case NotSentError() | StalledCallError():
            return
        case _ if forwarded.progress.events >= SOUND_EVENTS:
            return
    if not context.upstream.is_down(endpoint):
        return
    crashes = context.crashes.observe(
        digest, endpoint.id, endpoint.started_ms, forwarded.service
    )
    answered_ago_s = context.crashes.answered_ago_s(digest)
    report = CrashReport(
        digest,
        endpoint.id,
        early=True,
        on_trial=False,
        started_ms=endpoint.started_ms,
        has_begun=forwarded.has_begun_answer,
        parts=forwarded.crashing_parts,
        answered_parts=context.crashed_parts.answered(forwarded.crashing_parts),
        service=forwarded.service,
        answered_ms=(
            None
            if answered_ago_s is None
            else round(answered_ago_s * MILLISECONDS_PER_SECOND)
        ),
    )
    context.crashed_parts.observe(report)
    context.broadcast_crash(report)
    context.log(
        "endpoint_crashed",
        request=forwarded.request.id,
        endpoint=endpoint.id,
        fingerprint=digest,
        crashes=crashes,
        has_head=forwarded.has_begun_answer,
        parts=",".join(part.id for part in forwarded.request.prompt_parts),
    )


def _check_quarantined(context: ForwardingContext, forwarded: ForwardedRequest) -> None:
    """Raise RefusalError if the request or one of its parts has crashed endpoints."""
    if context.crashes.is_quarantined(forwarded.fingerprint):
        raise RefusalError(
            Reason.QUARANTINED,
            "this request has crashed the endpoints that ran it",
            forwarded.verdict,
        )
    found = context.crashed_parts.find(forwarded.suspects)
    if found is not None:
        raise RefusalError(
            Reason.QUARANTINED,
            f"requests with {found} have crashed the endpoints that answered them",
            forwarded.verdict,
        )


def _check_may_resend(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    error: NotSentError | BrokenCallError | None,
    cancellation: Cancellation,
) -> None:
    """Return once the request may be sent again.

    A stream that has begun waits until the budget has a retry or its client would
    leave. Beyond `MAX_SENDS` it waits before each send, as endpoints decline within
    milliseconds and would use up the budget.

    Raises
    ------
    RefusalError
        If it may not be sent again.
    """
    may_resend = not forwarded.may_have_run or forwarded.may_run_again
    if not may_resend or not forwarded.progress.is_resumable:
        raise _failure_refusal(context, forwarded, error)
    if forwarded.sends >= MAX_SENDS:
        if not _may_wait_on(context, forwarded):
            raise _failure_refusal(context, forwarded, error)
        _wait_before_retry(context, forwarded, cancellation)
    match error:
        case NotSentError():
            return
        case _ if context.clock() >= forwarded.event_deadline_s:
            raise _failure_refusal(context, forwarded, error)
        case _:
            while not take_retry(context, forwarded):
                if not _may_wait_on(context, forwarded):
                    raise _failure_refusal(context, forwarded, error)
                _wait_before_retry(context, forwarded, cancellation)


def _failure_refusal(
    context: ForwardingContext,
    forwarded: ForwardedRequest,
    error: NotSentError | BrokenCallError | None,
) -> RefusalError:
    if forwarded.verdict is Verdict.NOT_RUN:
        return RefusalError(
            Reason.OVERLOADED,
            "every endpoint that was tried is full or unreachable",
            retry_after_s=NO_ENDPOINT_RETRY_AFTER_S,
        )
    match error:
        case StalledCallError() if context.clock() >= forwarded.event_deadline_s:
            reason = Reason.DEADLINE
        case _:
            reason = Reason.ENDPOINT_FAILED
    return RefusalError(reason, repr(error), forwarded.verdict)
