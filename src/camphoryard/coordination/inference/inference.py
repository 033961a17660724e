"""Runs one inference request, from routing to its last token."""

import threading
import time
from dataclasses import replace

from camphoryard.coordination.admission.admission import Lane, Ticket
from camphoryard.coordination.admission.concurrency_limits import caller_limit
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.attempts import (
    NOT_LOADED_STATUS,
    NOT_RUN_STATUSES,
    attempt,
)
from camphoryard.coordination.inference.inference_context import (
    Deliver,
    InferenceContext,
    Progress,
    check_total_deadline,
    with_verdict,
)
from camphoryard.coordination.inference.suspects import fingerprint
from camphoryard.coordination.routing.routing import route
from camphoryard.state.configuration import Configuration, items_of
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import (
    BrokenCallError,
    CamphoryardError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import InferenceRequest, Route

MAX_ATTEMPTS_WITHOUT_TOKEN = 4
LOAD_REQUEST_PERIOD_S = 1.0
RESUME_TIMEOUT_S = 30.0
RESUME_RETRY_DELAY_S = 0.2
"""Delay before the rest of an answer that an engine declined is asked for again."""
AFFINITY_KEY_CHARACTERS = 256


def infer(
    context: InferenceContext,
    request: InferenceRequest,
    cancellation: Cancellation,
    deliver: Deliver,
) -> None:
    """Deliver the whole answer in order, resuming elsewhere if an endpoint fails.

    ``request.deadline_s`` applies to the first token; a stream that makes progress
    is ended only at the total deadline. ``deliver`` runs in the task of the
    endpoint and must not block.

    Raises
    ------
    RefusalError
        If the answer cannot be started or finished; its verdict is NOT_RUN only
        if no endpoint accepted any byte of the request.
    """
    current = context.configuration.current
    chosen_route = _choose_route(current, request)
    item = items_of(request.model, request.adapter)[-1]
    context.demand.record_arrival(item, chosen_route.priority)
    context.retries.earn(chosen_route.group)
    caller = current.callers_by_id.get(request.caller)
    group_limit = current.groups_by_id[chosen_route.group].max_concurrent
    with (
        context.limits.count_in_flight(chosen_route.group, group_limit),
        context.limits.count_in_flight(
            request.caller, caller_limit(caller.labels if caller else {})
        ),
    ):
        _run_attempts(context, request, chosen_route, cancellation, deliver)


def _run_attempts(
    context: InferenceContext,
    request: InferenceRequest,
    chosen_route: Route,
    cancellation: Cancellation,
    deliver: Deliver,
) -> None:
    """Deliver the whole answer, with as many attempts as needed and allowed."""
    item = items_of(request.model, request.adapter)[-1]
    progress = Progress()
    while True:
        context.suspects.check(fingerprint(request), progress.verdict)
        ticket = _make_ticket(context, request, chosen_route, progress)
        _wait_for_slot(context, ticket, cancellation, progress)
        try:
            attempt(context, request, ticket, cancellation, progress, deliver)
            context.demand.record_slot_time(item, time.monotonic() - ticket.granted_s)
            return
        except (NotSentError, BrokenCallError, EndpointRefusedError) as error:
            _check_cancelled(cancellation, progress)
            check_total_deadline(request, progress)
            _check_retry(context, chosen_route, progress, error, cancellation)
            chosen_route = _with_current_candidates(context, request, chosen_route)
        finally:
            context.admission.release(ticket)


def _choose_route(configuration: Configuration, request: InferenceRequest) -> Route:
    model = configuration.models_by_id.get(request.model)
    if model is None:
        raise RefusalError(
            Reason.UNKNOWN_MODEL, f"no model {request.model!r}", field="model"
        )
    labels = model.labels
    if request.adapter is not None:
        adapter = configuration.adapters_by_id.get(request.adapter)
        if adapter is None or adapter.base != model.id:
            raise RefusalError(
                Reason.UNKNOWN_MODEL, f"no adapter {request.adapter!r}", field="model"
            )
        labels = {**labels, **adapter.labels}
    return route(
        configuration,
        request.caller,
        labels,
        EndpointKind.ENGINE,
        request.priority,
    )


def _make_ticket(
    context: InferenceContext,
    request: InferenceRequest,
    chosen_route: Route,
    progress: Progress,
) -> Ticket:
    """Return a ticket for the candidates that have not failed since the last token."""
    items = items_of(request.model, request.adapter)
    if progress.failed.issuperset(chosen_route.candidates):
        progress.failed.clear()
    excluded = frozenset(progress.failed)
    remaining = tuple(
        endpoint for endpoint in chosen_route.candidates if endpoint not in excluded
    )

    def usable() -> list[EndpointId]:
        return [
            endpoint
            for endpoint in remaining
            if context.table.are_resident(endpoint, items)
            and context.breakers.allows(endpoint)
            and not context.leaving.is_leaving(endpoint)
        ]

    is_resumed = progress.offset > 0
    deadline_s = request.deadline_s
    if is_resumed:
        deadline_s = min(time.monotonic() + RESUME_TIMEOUT_S, request.total_deadline_s)
    lane = Lane(chosen_route.group, items, chosen_route.priority, excluded, is_resumed)
    affinity = f"{request.model}:{request.adapter}:{request.prompt}"
    return Ticket(
        lane, remaining, deadline_s, affinity[:AFFINITY_KEY_CHARACTERS], usable
    )


def _wait_for_slot(
    context: InferenceContext,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: Progress,
) -> None:
    """Block until the ticket has an endpoint, requesting loads if needed.

    Raises
    ------
    RefusalError
        If no slot was granted by the deadline, the queue refused the request or
        the caller disconnected.
    """
    handle = cancellation.subscribe(ticket.changed.set)
    try:
        context.admission.enter(ticket)
        while not _has_slot(ticket, cancellation, progress):
            _request_load(context, ticket)
            left_s = max(0.0, ticket.deadline_s - time.monotonic())
            ticket.changed.wait(min(left_s, LOAD_REQUEST_PERIOD_S))
    except RefusalError as refusal:
        context.admission.withdraw(ticket)
        raise with_verdict(refusal, progress) from refusal
    finally:
        cancellation.unsubscribe(handle)


def _has_slot(ticket: Ticket, cancellation: Cancellation, progress: Progress) -> bool:
    _check_cancelled(cancellation, progress)
    if ticket.refusal is not None:
        raise ticket.refusal
    if ticket.endpoint is not None:
        return True
    if time.monotonic() >= ticket.deadline_s:
        raise RefusalError(Reason.DEADLINE, "no slot was free before the deadline")
    return False


def _request_load(context: InferenceContext, ticket: Ticket) -> None:
    """Request a load if no endpoint that accepts new requests has the items loaded."""
    items = ticket.lane.items
    accepting = [
        endpoint
        for endpoint in ticket.candidates
        if not context.leaving.is_leaving(endpoint)
    ]
    if any(context.table.are_resident(endpoint, items) for endpoint in accepting):
        return
    context.residency.request_load(items, accepting)


def _check_cancelled(cancellation: Cancellation, progress: Progress) -> None:
    if cancellation.cancelled:
        raise RefusalError(
            Reason.CANCELLED, "the caller disconnected", progress.verdict
        )


def _with_current_candidates(
    context: InferenceContext, request: InferenceRequest, chosen_route: Route
) -> Route:
    """Return the route with the endpoints that the newest configuration selects.

    A request keeps those that it was accepted with if no route is left for it.
    """
    try:
        current = _choose_route(context.configuration.current, request)
    except RefusalError:
        return chosen_route
    return replace(chosen_route, candidates=current.candidates)


def _check_retry(
    context: InferenceContext,
    chosen_route: Route,
    progress: Progress,
    error: CamphoryardError,
    cancellation: Cancellation,
) -> None:
    """Return once the request may be sent again.

    Raises
    ------
    RefusalError
        If it may not, or its caller disconnects.
    """
    match error:
        case EndpointRefusedError(status=status) if status not in NOT_RUN_STATUSES:
            raise RefusalError(
                Reason.ENDPOINT_FAILED, str(error), progress.verdict
            ) from error
        case EndpointRefusedError() if _may_wait_to_resume(progress):
            # An engine that declined the rest of an answer has not run it.
            progress.attempts_without_token -= 1
            _wait_to_resume(cancellation, progress)
            return
        case _:
            pass
    if progress.attempts_without_token >= MAX_ATTEMPTS_WITHOUT_TOKEN:
        raise RefusalError(
            Reason.ENDPOINT_FAILED,
            f"no token in {MAX_ATTEMPTS_WITHOUT_TOKEN} attempts",
            progress.verdict,
        ) from error
    if _uses_retry_budget(progress, error) and not context.retries.take(
        chosen_route.group
    ):
        raise RefusalError(
            Reason.ENDPOINT_FAILED, "the retry budget is exhausted", progress.verdict
        ) from error


def _may_wait_to_resume(progress: Progress) -> bool:
    """Return whether an answer has begun and its next token is still waited for."""
    return (
        progress.offset > 0
        and time.monotonic() < progress.last_token_s + RESUME_TIMEOUT_S
    )


def _wait_to_resume(cancellation: Cancellation, progress: Progress) -> None:
    """Wait before the rest of an answer is asked for again."""
    has_left = threading.Event()
    handle = cancellation.subscribe(has_left.set)
    has_left.wait(RESUME_RETRY_DELAY_S)
    cancellation.unsubscribe(handle)
    _check_cancelled(cancellation, progress)


def _uses_retry_budget(progress: Progress, error: CamphoryardError) -> bool:
    """Return whether a retry takes from the retry budget.

    A call that was never sent adds no work, and a resumed stream requests only
    the remaining tokens.
    """
    match error:
        case NotSentError():
            return False
        case EndpointRefusedError(status=status) if status == NOT_LOADED_STATUS:
            return False
        case _:
            return progress.offset == 0
