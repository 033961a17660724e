"""One request from its route to the last byte of its answer."""

import random

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.attempt import MAX_SENDS, Outcome, attempt
from camphoryard.coordination.forwarding.parts import ForwardedRequest, ForwardingParts
from camphoryard.coordination.forwarding.ports import ClientReply, ClientRequest
from camphoryard.coordination.forwarding.urgency import urgency_at
from camphoryard.coordination.messages import CrashSeen
from camphoryard.coordination.routing.crash_tally import fingerprint
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    BrokenCallError,
    NotLoadedBeforeDeadlineError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId, ServiceId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RouteRule, WeightedService
from camphoryard.state.verdict import Verdict

DECLINED_PAUSE_S = 0.03
"""Before an engine that has just declined a request is asked again: an adapter on
its way takes about as long."""
HOPELESS_SHARE = 0.85
"""Part of the time until its client leaves that a stream may be expected to wait."""
QUEUE_RETURN_S = 2.0
"""The longest that a client is sent away for a queue, which changes by then."""
RETURN_FACTOR = 1.25
RETURN_EXTRA_S = 0.3
"""Loads end up to a quarter later than estimated, and are seen some tenths after."""
RETURN_SHARE = 0.33
NO_ENDPOINT_RETRY_S = 0.5
"""Retry-After where no endpoint is known; entries change each second or so."""


def forward(
    parts: ForwardingParts,
    request: ClientRequest,
    cancellation: Cancellation,
    reply: ClientReply,
) -> ForwardedRequest:
    """Have the request answered by an endpoint, or by several in turn.

    Returns
    -------
    ForwardedRequest
        What it met on its way.

    Raises
    ------
    RefusalError
        If it was not answered; its verdict is NOT_RUN only if it has not run and
        never will.
    """
    forwarded = begin(parts, request)
    _check_barred(parts, forwarded)
    parts.retries.earn(forwarded.service)
    if request.wanted is not None:
        parts.models.arrived(request.wanted)
    while True:
        endpoint = _find_endpoint(parts, forwarded)
        _check_cancelled(forwarded, cancellation)
        try:
            outcome = attempt(parts, forwarded, endpoint, cancellation, reply)
        except (NotSentError, BrokenCallError) as error:
            _check_cancelled(forwarded, cancellation)
            _note_failure(parts, forwarded, endpoint, error)
            _note_crash(parts, forwarded, endpoint, error)
            _check_barred(parts, forwarded)
            _check_again(parts, forwarded, error)
            continue
        match outcome:
            case Outcome.ANSWERED:
                return forwarded
            case Outcome.FAILED:
                continue
            case Outcome.NOT_RUN:
                _check_again(parts, forwarded, None)


def begin(parts: ForwardingParts, request: ClientRequest) -> ForwardedRequest:
    """Return a request with the route that takes it.

    Raises
    ------
    RefusalError
        If no rules are known yet, or none takes the request.
    """
    rules = parts.directory.rules
    if rules is None:
        raise RefusalError(
            Reason.STALE_CONFIGURATION,
            "no configuration is known yet",
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )
    rule = rules.find(request.host, request.path)
    if rule is None:
        raise RefusalError(Reason.NOT_FOUND, "no route takes this host and path")
    due_s = min(request.deadline_s, request.arrived_s + rule.timeout_s)
    event_due_s = due_s
    if rule.repeatability.is_stream:
        event_due_s = min(due_s, request.arrived_s + rule.client_timeout_s)
    return ForwardedRequest(
        request, rule, rules.version, _draw_service(rule), due_s, event_due_s
    )


def _draw_service(rule: RouteRule) -> ServiceId:
    """Return one of the route's services, drawn by weight."""
    match rule.services:
        case (WeightedService(service),):
            return service
        case services:
            weights = [item.weight for item in services]
            return random.choices(services, weights)[0].service


def _find_endpoint(
    parts: ForwardingParts, forwarded: ForwardedRequest
) -> ServingEndpoint:
    """Return the endpoint to send to next.

    Raises
    ------
    RefusalError
        If there is none, or too little time is left.
    """
    if parts.clock() >= forwarded.event_due_s:
        raise RefusalError(
            Reason.DEADLINE, "the time for this request is over", forwarded.verdict
        )
    wanted = forwarded.request.wanted
    ready = parts.directory.ready(forwarded.service)
    if not ready:
        raise _no_endpoint(forwarded, "no endpoint of the service is ready")
    holders = [item for item in ready if parts.directory.has_loaded(item, wanted)]
    usable = _usable(parts, forwarded, holders)
    if usable:
        return parts.chooser.choose(_in_time(parts, forwarded, usable))
    if wanted is None:
        raise _no_endpoint(forwarded, "every endpoint of the service has failed")
    if forwarded.sends:
        parts.directory.wait_until(
            lambda: False, min(forwarded.event_due_s, parts.clock() + DECLINED_PAUSE_S)
        )
    began_s = parts.clock()
    try:
        found = parts.models.seek(
            forwarded.service, wanted, forwarded.event_due_s, forwarded.unreached
        )
        forwarded.loads_awaited_s += parts.clock() - began_s
        return found
    except NotLoadedBeforeDeadlineError as error:
        raise RefusalError(
            Reason.OVERLOADED,
            f"the model or adapter is {error}",
            forwarded.verdict,
            retry_after_s=_return_s(parts, forwarded, error.ready_in_s),
        ) from error


def _usable(
    parts: ForwardingParts, forwarded: ForwardedRequest, holders: list[ServingEndpoint]
) -> list[ServingEndpoint]:
    """Return the holders worth a try, the ejected ones only if there are no others."""
    fresh = [item for item in holders if item.id not in forwarded.failed]
    closed = [item for item in fresh if parts.breakers.allows(item.id)]
    return closed or fresh


def _in_time(
    parts: ForwardingParts, forwarded: ForwardedRequest, usable: list[ServingEndpoint]
) -> list[ServingEndpoint]:
    """Return the endpoints at which a stream begins before its client leaves.

    Raises
    ------
    RefusalError
        If there is none: the client would leave without an event, having kept
        those behind it waiting.
    """
    if not forwarded.rule.repeatability.is_stream or forwarded.progress.events:
        return usable
    left_s = forwarded.event_due_s - parts.clock()
    wait_s_by_id = {item.id: _queue_s(parts, forwarded, item.id) for item in usable}
    in_time = [
        item for item in usable if wait_s_by_id[item.id] < left_s * HOPELESS_SHARE
    ]
    if in_time:
        return in_time
    least_s = min(wait_s_by_id.values())
    raise RefusalError(
        Reason.OVERLOADED,
        f"the first event would come in about {least_s:.1f} s",
        forwarded.verdict,
        retry_after_s=_return_s(parts, forwarded, min(least_s, QUEUE_RETURN_S)),
    )


def _queue_s(
    parts: ForwardingParts, forwarded: ForwardedRequest, endpoint: EndpointId
) -> float:
    """Return how long a stream would wait in an endpoint's queue, if it has one."""
    urgency = urgency_at(parts, forwarded, endpoint)
    if not parts.first_events.is_crowded(endpoint, urgency):
        return 0.0
    return parts.first_events.wait_s(endpoint, urgency)


def _return_s(
    parts: ForwardingParts, forwarded: ForwardedRequest, ready_in_s: float
) -> float:
    """Return when a client whose model comes in about ``ready_in_s`` should come back.

    Clients come back once or twice, so rather late than too early; they wait for
    a third of the time that they have at most.
    """
    left_s = forwarded.request.deadline_s - parts.clock()
    late_s = ready_in_s * RETURN_FACTOR + RETURN_EXTRA_S
    return max(ready_in_s, min(late_s, left_s * RETURN_SHARE))


def _no_endpoint(forwarded: ForwardedRequest, detail: str) -> RefusalError:
    return RefusalError(
        Reason.NO_ENDPOINT, detail, forwarded.verdict, retry_after_s=NO_ENDPOINT_RETRY_S
    )


def _check_cancelled(forwarded: ForwardedRequest, cancellation: Cancellation) -> None:
    if cancellation.cancelled:
        raise RefusalError(Reason.CANCELLED, "the client went away", forwarded.verdict)


def _note_failure(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    error: NotSentError | BrokenCallError,
) -> None:
    """Note what a failed call says about its endpoint."""
    forwarded.failed.add(endpoint.id)
    match error:
        case NotSentError():
            forwarded.unreached.add(endpoint.id)
        case _:
            pass
    if forwarded.progress.events:
        patience_s = forwarded.rule.client_timeout_s
        forwarded.event_due_s = min(forwarded.due_s, parts.clock() + patience_s)
    is_over = parts.clock() >= forwarded.event_due_s
    if not is_over:
        parts.breakers.failed(endpoint.id)
    parts.log(
        "attempt_failed",
        request=forwarded.request.id,
        endpoint=endpoint.id,
        error=repr(error),
        sends=forwarded.sends,
        verdict=forwarded.verdict.value,
        events=forwarded.progress.events,
    )


def _note_crash(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    endpoint: ServingEndpoint,
    error: NotSentError | BrokenCallError,
) -> None:
    """Tell all nodes if the endpoint crashed as the request began to run there."""
    digest = fingerprint(forwarded.request)
    match error:
        case NotSentError() | StalledCallError():
            return
        case _ if digest is None or forwarded.progress.events:
            return
    if not parts.upstream.is_down(endpoint):
        return
    crashes = parts.crashes.observe(digest, endpoint.id)
    parts.tell_crash(CrashSeen(digest, endpoint.id, early=True, on_trial=False))
    parts.log(
        "endpoint_crashed",
        request=forwarded.request.id,
        endpoint=endpoint.id,
        fingerprint=digest,
        crashes=crashes,
    )


def _check_barred(parts: ForwardingParts, forwarded: ForwardedRequest) -> None:
    """Raise RefusalError if the request has crashed the endpoints that ran it."""
    if parts.crashes.is_barred(fingerprint(forwarded.request)):
        raise RefusalError(
            Reason.QUARANTINED,
            "this request has crashed the endpoints that ran it",
            forwarded.verdict,
        )


def _check_again(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    error: NotSentError | BrokenCallError | None,
) -> None:
    """Raise RefusalError unless the request may be sent again."""
    may_go = not forwarded.may_have_run or forwarded.may_run_again
    if not may_go:
        raise _failure(parts, forwarded, error)
    if forwarded.sends >= MAX_SENDS:
        raise _failure(parts, forwarded, error)
    match error:
        case NotSentError():
            return
        case _:
            if not parts.retries.take(forwarded.service):
                raise _failure(parts, forwarded, error)


def _failure(
    parts: ForwardingParts,
    forwarded: ForwardedRequest,
    error: NotSentError | BrokenCallError | None,
) -> RefusalError:
    if forwarded.verdict is Verdict.NOT_RUN:
        return RefusalError(
            Reason.OVERLOADED,
            "every endpoint that was asked is full",
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )
    match error:
        case StalledCallError() if parts.clock() >= forwarded.event_due_s:
            reason = Reason.DEADLINE
        case _:
            reason = Reason.ENDPOINT_FAILED
    return RefusalError(reason, repr(error), forwarded.verdict)
