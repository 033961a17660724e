"""One inference request from routing to its last token."""

import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.coordination.admission import Admission, Lane, Ticket
from camphoryard.coordination.breakers import Breakers
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.concurrency_limits import (
    ConcurrencyLimits,
    caller_limit,
)
from camphoryard.coordination.demand import DemandMeter
from camphoryard.coordination.frames import FrameOrder
from camphoryard.coordination.leaving import LeavingEndpoints
from camphoryard.coordination.ports import Engines, TokenStream
from camphoryard.coordination.residency_client import ResidencyClient
from camphoryard.coordination.retry_budget import RetryBudget
from camphoryard.coordination.routing import route
from camphoryard.coordination.suspects import Suspects, Trial, fingerprint
from camphoryard.coordination.timeline import Timeline
from camphoryard.state.configuration import Configuration, items_of
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import (
    BrokenCallError,
    CamphoryardError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import InferenceRequest, Route, TokenFrame
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.verdict import Verdict

MAX_FRUITLESS_ATTEMPTS = 4
WANT_PERIOD_S = 1.0
RESUME_LIMIT_S = 30.0
AFFINITY_CHARACTERS = 256
NOT_RESIDENT_STATUS = 404
NOT_RUN_STATUSES = frozenset({NOT_RESIDENT_STATUS, 409, 429, 503})

Deliver: TypeAlias = Callable[[TokenFrame], None]


@dataclass(frozen=True, slots=True)
class InferenceParts:
    """What an inference task works with."""

    configuration: ConfigurationHolder
    table: EndpointTable
    limits: ConcurrencyLimits
    admission: Admission
    breakers: Breakers
    leaving: LeavingEndpoints
    retries: RetryBudget
    suspects: Suspects
    residency: ResidencyClient
    demand: DemandMeter
    engines: Engines
    timeline: Timeline


@dataclass(slots=True)
class _Progress:
    """What one request has got and met so far; ``offset`` is the next token's."""

    offset: int = 0
    fruitless: int = 0
    may_have_run: bool = False
    failed: set[EndpointId] = field(default_factory=set)

    @property
    def verdict(self) -> Verdict:
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


def infer(
    parts: InferenceParts,
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
    parts: InferenceParts,
    request: InferenceRequest,
    where: Route,
    cancellation: Cancellation,
    deliver: Deliver,
) -> None:
    """Deliver the whole answer over as many attempts as it takes."""
    item = items_of(request.model, request.adapter)[-1]
    progress = _Progress()
    while True:
        parts.suspects.check(fingerprint(request), progress.verdict)
        ticket = _ticket(parts, request, where, progress)
        _await_slot(parts, ticket, cancellation, progress)
        try:
            _attempt(parts, request, ticket, cancellation, progress, deliver)
            parts.demand.held(item, time.monotonic() - ticket.granted_s)
            return
        except (NotSentError, BrokenCallError, EndpointRefusedError) as error:
            _check_cancelled(cancellation, progress)
            _check_total_deadline(request, progress)
            _check_retry(parts, where, progress, error)
        finally:
            parts.admission.leave(ticket)


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
    parts: InferenceParts,
    request: InferenceRequest,
    where: Route,
    progress: _Progress,
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
    due_s = request.deadline_s
    if is_resumed:
        due_s = min(time.monotonic() + RESUME_LIMIT_S, request.total_deadline_s)
    lane = Lane(where.group, items, where.priority, excluded, is_resumed)
    affinity = f"{request.model}:{request.adapter}:{request.prompt}"
    return Ticket(lane, left, due_s, affinity[:AFFINITY_CHARACTERS], usable)


def _await_slot(
    parts: InferenceParts,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: _Progress,
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
            left_s = max(0.0, ticket.due_s - time.monotonic())
            ticket.changed.wait(min(left_s, WANT_PERIOD_S))
    except RefusalError as refusal:
        parts.admission.withdraw(ticket)
        raise _with_verdict(refusal, progress) from refusal
    finally:
        cancellation.drop(handle)


def _may_go(ticket: Ticket, cancellation: Cancellation, progress: _Progress) -> bool:
    _check_cancelled(cancellation, progress)
    if ticket.refusal is not None:
        raise ticket.refusal
    if ticket.endpoint is not None:
        return True
    if time.monotonic() >= ticket.due_s:
        raise RefusalError(Reason.DEADLINE, "no slot fell free in time")
    return False


def _want(parts: InferenceParts, ticket: Ticket) -> None:
    """Ask for a load if the items are resident nowhere that takes new work."""
    items = ticket.lane.items
    open_to_work = [
        item for item in ticket.candidates if not parts.leaving.is_leaving(item)
    ]
    if any(parts.table.are_resident(item, items) for item in open_to_work):
        return
    parts.residency.want(items, open_to_work)


def _check_cancelled(cancellation: Cancellation, progress: _Progress) -> None:
    if cancellation.cancelled:
        raise RefusalError(Reason.CANCELLED, "the caller went away", progress.verdict)


def _check_total_deadline(request: InferenceRequest, progress: _Progress) -> None:
    if time.monotonic() >= request.total_deadline_s:
        raise RefusalError(
            Reason.DEADLINE,
            f"the total deadline passed after {progress.offset} tokens",
            progress.verdict,
        )


def _with_verdict(refusal: RefusalError, progress: _Progress) -> RefusalError:
    """Return the refusal with what earlier attempts make of its verdict."""
    return RefusalError(
        refusal.reason,
        refusal.detail,
        progress.verdict,
        refusal.field,
        refusal.retry_after_s,
    )


def _check_retry(
    parts: InferenceParts, where: Route, progress: _Progress, error: CamphoryardError
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


def _costs_a_retry(progress: _Progress, error: CamphoryardError) -> bool:
    """Return whether a retry adds work beyond what was asked for.

    A call that was never sent adds none, and a stream that is resumed asks
    only for the tokens that are left.
    """
    match error:
        case NotSentError() | EndpointRefusedError(status=404):
            return False
        case _:
            return progress.offset == 0


def _attempt(
    parts: InferenceParts,
    request: InferenceRequest,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: _Progress,
    deliver: Deliver,
) -> None:
    """Deliver the answer of one endpoint; raises as ``Engines.generate``."""
    endpoint_id = ticket.endpoint
    assert endpoint_id is not None
    progress.fruitless += 1
    try:
        trial = parts.suspects.begin(fingerprint(request), endpoint_id, ticket.due_s)
    except RefusalError as refusal:
        raise _with_verdict(refusal, progress) from refusal
    order = FrameOrder(request.id, progress.offset)

    def take(frame: TokenFrame) -> bool:
        for due in order.due(frame):
            _check_total_deadline(request, progress)
            if progress.fruitless:
                _succeeded(parts, endpoint_id, trial, progress)
            if not due.finished:
                progress.offset += 1
            deliver(due)
        return order.is_whole

    try:
        with closing(
            _open(parts, request, endpoint_id, cancellation, progress)
        ) as stream:
            stream.pump(take)
        order.end()
    except RefusalError:
        raise
    except CamphoryardError as error:
        if not cancellation.cancelled and not _is_cut(request, error):
            _failed(parts, request, endpoint_id, trial, progress, error)
        raise
    finally:
        trial.end()


def _is_cut(request: InferenceRequest, error: CamphoryardError) -> bool:
    """Return whether the request's own total deadline ended the attempt."""
    match error:
        case StalledCallError():
            return time.monotonic() >= request.total_deadline_s
        case _:
            return False


def _open(
    parts: InferenceParts,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    cancellation: Cancellation,
    progress: _Progress,
) -> TokenStream:
    endpoint = parts.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        raise NotSentError(f"{endpoint_id} was removed")
    parts.residency.used(items_of(request.model, request.adapter))
    parts.breakers.started(endpoint_id)
    stream = parts.engines.generate(endpoint, request, progress.offset, cancellation)
    progress.may_have_run = True
    return stream


def _succeeded(
    parts: InferenceParts, endpoint: EndpointId, trial: Trial, progress: _Progress
) -> None:
    progress.fruitless = 0
    progress.failed.clear()
    parts.breakers.succeeded(endpoint)
    trial.passed()


def _failed(
    parts: InferenceParts,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    trial: Trial,
    progress: _Progress,
    error: CamphoryardError,
) -> None:
    """Note what a failed attempt says about the endpoint and the request."""
    progress.failed.add(endpoint_id)
    match error:
        case EndpointRefusedError(status=status):
            if status not in NOT_RUN_STATUSES:
                progress.may_have_run = True
            if status != NOT_RESIDENT_STATUS:
                parts.breakers.failed(endpoint_id)
        case NotSentError():
            parts.breakers.failed(endpoint_id)
        case StalledCallError():
            progress.may_have_run = True
            parts.breakers.failed(endpoint_id)
        case BrokenCallError():
            progress.may_have_run = True
            parts.breakers.failed(endpoint_id)
            if _has_crashed(parts, request, endpoint_id):
                trial.crashed()
    parts.timeline.record(
        "attempt_failed",
        request=request.id,
        endpoint=endpoint_id,
        offset=progress.offset,
        error=type(error).__name__,
    )


def _has_crashed(
    parts: InferenceParts, request: InferenceRequest, endpoint_id: EndpointId
) -> bool:
    """Return whether the endpoint is down, or back without what it held."""
    endpoint = parts.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        return False
    try:
        inventory = parts.engines.inventory(endpoint)
    except (NotSentError, BrokenCallError):
        return True
    items = items_of(request.model, request.adapter)
    return not all(item in inventory.resident for item in items)
