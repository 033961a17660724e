"""One attempt to have a request answered by one endpoint."""

import time
from contextlib import closing

from camphoryard.coordination.admission.admission import Ticket
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.frames import FrameOrder
from camphoryard.coordination.inference.inference_context import (
    Deliver,
    InferenceContext,
    Progress,
    check_total_deadline,
    with_verdict,
)
from camphoryard.coordination.inference.suspects import Trial, fingerprint
from camphoryard.coordination.ports import TokenStream
from camphoryard.state.configuration import items_of
from camphoryard.state.errors import (
    BrokenCallError,
    CamphoryardError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import InferenceRequest, TokenFrame

NOT_RESIDENT_STATUS = 404
NOT_RUN_STATUSES = frozenset({NOT_RESIDENT_STATUS, 409, 429, 503})


def attempt(
    parts: InferenceContext,
    request: InferenceRequest,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: Progress,
    deliver: Deliver,
) -> None:
    """Deliver the answer of one endpoint; raises as ``Engines.generate``.

    Raises
    ------
    RefusalError
        If a suspect got no turn, the total deadline passed, or delivering failed so.
    """
    endpoint_id = ticket.endpoint
    assert endpoint_id is not None
    progress.fruitless += 1
    try:
        trial = parts.suspects.begin(
            fingerprint(request), endpoint_id, ticket.deadline_s
        )
    except RefusalError as refusal:
        raise with_verdict(refusal, progress) from refusal
    order = FrameOrder(request.id, progress.offset)

    def take(frame: TokenFrame) -> bool:
        for due in order.due(frame):
            check_total_deadline(request, progress)
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
            stream.read_frames(take)
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
    parts: InferenceContext,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    cancellation: Cancellation,
    progress: Progress,
) -> TokenStream:
    endpoint = parts.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        raise NotSentError(f"{endpoint_id} was removed")
    parts.residency.record_use(items_of(request.model, request.adapter))
    parts.breakers.started(endpoint_id)
    stream = parts.engines.generate(endpoint, request, progress.offset, cancellation)
    progress.may_have_run = True
    return stream


def _succeeded(
    parts: InferenceContext, endpoint: EndpointId, trial: Trial, progress: Progress
) -> None:
    progress.fruitless = 0
    progress.failed.clear()
    parts.breakers.succeeded(endpoint)
    trial.passed()


def _failed(
    parts: InferenceContext,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    trial: Trial,
    progress: Progress,
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
    parts: InferenceContext, request: InferenceRequest, endpoint_id: EndpointId
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
