"""One inference request from routing to its last token."""

import time

from camphoryard.coordination.admission.admission import Lane, Ticket
from camphoryard.coordination.admission.concurrency_limits import caller_limit
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.attempts import (
    NOT_RESIDENT_STATUS,
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

MAX_FRUITLESS_ATTEMPTS = 4
WANT_PERIOD_S = 1.0
RESUME_LIMIT_S = 30.0
AFFINITY_CHARACTERS = 256


def infer(
    parts: InferenceContext,
    request: InferenceRequest,
    cancellation: Cancellation,
    deliver: Deliver,
) -> None:
    """Deliver the whole answer in order, resuming elsewhere if an endpoint breaks.

    The deadline rules the first token; a stream that makes progress is cut
    only at the total deadline. ``deliver`` runs in the task of the endpoint and
    must not block.

    Raises
    ------
    RefusalError
        If the answer cannot be had or finished; its verdict is NOT_RUN only if
        no endpoint accepted any byte of the request.
    """
    current = parts.configuration.current
    where = _route(current, request)
    item = items_of(request.model, request.adapter)[-1]
    parts.demand.arrived(item, where.priority)
    parts.retries.earn(where.group)
    caller = current.callers_by_id.get(request.caller)
    group_limit = current.groups_by_id[where.group].max_concurrent
    with (
        parts.limits.held(where.group, group_limit),
        parts.limits.held(
            request.caller, caller_limit(caller.labels if caller else {})
        ),
    ):
        _answer(parts, request, where, cancellation, deliver)


def _answer(
    parts: InferenceContext,
    request: InferenceRequest,
    where: Route,
    cancellation: Cancellation,
    deliver: Deliver,
) -> None:
    """Deliver the whole answer over as many attempts as it takes."""
    item = items_of(request.model, request.adapter)[-1]
    progress = Progress()
    while True:
        parts.suspects.check(fingerprint(request), progress.verdict)
        ticket = _ticket(parts, request, where, progress)
        _await_slot(parts, ticket, cancellation, progress)
        try:
            attempt(parts, request, ticket, cancellation, progress, deliver)
            parts.demand.held(item, time.monotonic() - ticket.granted_s)
            return
        except (NotSentError, BrokenCallError, EndpointRefusedError) as error:
            _check_cancelled(cancellation, progress)
            check_total_deadline(request, progress)
            _check_retry(parts, where, progress, error)
        finally:
            parts.admission.release(ticket)


def _route(configuration: Configuration, request: InferenceRequest) -> Route:
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


def _ticket(
    parts: InferenceContext,
    request: InferenceRequest,
    where: Route,
    progress: Progress,
) -> Ticket:
    """Return a ticket for every candidate that has not failed since the last token."""
    items = items_of(request.model, request.adapter)
    if progress.failed.issuperset(where.candidates):
        progress.failed.clear()
    excluded = frozenset(progress.failed)
    left = tuple(item for item in where.candidates if item not in excluded)

    def usable() -> list[EndpointId]:
        return [
            item
            for item in left
            if parts.table.are_resident(item, items)
            and parts.breakers.allows(item)
            and not parts.leaving.is_leaving(item)
        ]

    is_resumed = progress.offset > 0
    deadline_s = request.deadline_s
    if is_resumed:
        deadline_s = min(time.monotonic() + RESUME_LIMIT_S, request.total_deadline_s)
    lane = Lane(where.group, items, where.priority, excluded, is_resumed)
    affinity = f"{request.model}:{request.adapter}:{request.prompt}"
    return Ticket(lane, left, deadline_s, affinity[:AFFINITY_CHARACTERS], usable)


def _await_slot(
    parts: InferenceContext,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: Progress,
) -> None:
    """Block until the ticket has an endpoint, having the model loaded if need be.

    Raises
    ------
    RefusalError
        If the slot did not come by the deadline, the queue refused the request
        or the caller went away.
    """
    handle = cancellation.subscribe(ticket.changed.set)
    try:
        parts.admission.enter(ticket)
        while not _may_go(ticket, cancellation, progress):
            _want(parts, ticket)
            left_s = max(0.0, ticket.deadline_s - time.monotonic())
            ticket.changed.wait(min(left_s, WANT_PERIOD_S))
    except RefusalError as refusal:
        parts.admission.withdraw(ticket)
        raise with_verdict(refusal, progress) from refusal
    finally:
        cancellation.unsubscribe(handle)


def _may_go(ticket: Ticket, cancellation: Cancellation, progress: Progress) -> bool:
    _check_cancelled(cancellation, progress)
    if ticket.refusal is not None:
        raise ticket.refusal
    if ticket.endpoint is not None:
        return True
    if time.monotonic() >= ticket.deadline_s:
        raise RefusalError(Reason.DEADLINE, "no slot fell free in time")
    return False


def _want(parts: InferenceContext, ticket: Ticket) -> None:
    """Ask for a load if the items are resident nowhere that takes new work."""
    items = ticket.lane.items
    open_to_work = [
        item for item in ticket.candidates if not parts.leaving.is_leaving(item)
    ]
    if any(parts.table.are_resident(item, items) for item in open_to_work):
        return
    parts.residency.request_load(items, open_to_work)


def _check_cancelled(cancellation: Cancellation, progress: Progress) -> None:
    if cancellation.cancelled:
        raise RefusalError(Reason.CANCELLED, "the caller went away", progress.verdict)


def _check_retry(
    parts: InferenceContext, where: Route, progress: Progress, error: CamphoryardError
) -> None:
    """Raise RefusalError unless the request may be sent again."""
    match error:
        case EndpointRefusedError(status=status) if status not in NOT_RUN_STATUSES:
            raise RefusalError(
                Reason.ENDPOINT_FAILED, str(error), progress.verdict
            ) from error
        case _:
            pass
    if progress.fruitless >= MAX_FRUITLESS_ATTEMPTS:
        raise RefusalError(
            Reason.ENDPOINT_FAILED,
            f"no token in {MAX_FRUITLESS_ATTEMPTS} attempts",
            progress.verdict,
        ) from error
    if _costs_a_retry(progress, error) and not parts.retries.take(where.group):
        raise RefusalError(
            Reason.ENDPOINT_FAILED, "the retry budget is spent", progress.verdict
        ) from error


def _costs_a_retry(progress: Progress, error: CamphoryardError) -> bool:
    """Return whether a retry adds work beyond what was asked for.

    A call that was never sent adds none, and a stream that is resumed asks
    only for the tokens that are left.
    """
    match error:
        case NotSentError():
            return False
        case EndpointRefusedError(status=status) if status == NOT_RESIDENT_STATUS:
            return False
        case _:
            return progress.offset == 0
