"""One attempt to run a request at one endpoint."""

import time
from contextlib import closing

from camphoryard.coordination.admission.admission import Ticket
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.frames import FrameSequencer
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
    NoInventoryError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import InferenceRequest, TokenFrame

NOT_LOADED_STATUS = 404
NOT_RUN_STATUSES = frozenset({NOT_LOADED_STATUS, 409, 429, 503})


def attempt(
    context: InferenceContext,
    request: InferenceRequest,
    ticket: Ticket,
    cancellation: Cancellation,
    progress: Progress,
    deliver: Deliver,
) -> None:
    """Deliver the frames of one endpoint in order.

    Raises what ``Engines.generate`` raises, and the following.

    Raises
    ------
    RefusalError
        If a suspect's trial could not start by the deadline, the total deadline
        passed, or ``deliver`` raised it.
    """
    endpoint_id = ticket.endpoint
    assert endpoint_id is not None
    progress.attempts_without_token += 1
    try:
        trial = context.suspects.begin(
            fingerprint(request), endpoint_id, ticket.deadline_s
        )
    except RefusalError as refusal:
        raise with_verdict(refusal, progress) from refusal
    sequencer = FrameSequencer(request.id, progress.offset)

    def handle_frame(frame: TokenFrame) -> bool:
        for ready in sequencer.add(frame):
            check_total_deadline(request, progress)
            if progress.attempts_without_token:
                _record_success(context, endpoint_id, trial, progress)
            if not ready.finished:
                progress.offset += 1
                progress.last_token_s = time.monotonic()
            deliver(ready)
        return sequencer.is_complete

    try:
        with closing(
            _open_stream(context, request, endpoint_id, cancellation, progress)
        ) as stream:
            stream.read_frames(handle_frame)
        sequencer.end()
    except RefusalError:
        raise
    except CamphoryardError as error:
        _record_verdict(progress, error)
        if not cancellation.cancelled and not _hit_total_deadline(request, error):
            _record_failure(context, request, endpoint_id, trial, progress, error)
        raise
    finally:
        trial.end()


def _hit_total_deadline(request: InferenceRequest, error: CamphoryardError) -> bool:
    """Return whether the request's own total deadline ended the attempt."""
    match error:
        case StalledCallError():
            return time.monotonic() >= request.total_deadline_s
        case _:
            return False


def _open_stream(
    context: InferenceContext,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    cancellation: Cancellation,
    progress: Progress,
) -> TokenStream:
    endpoint = context.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        raise NotSentError(f"{endpoint_id} was removed from the configuration")
    # The request may have waited for the trial of another one since it was routed.
    if context.leaving.is_leaving(endpoint_id):
        raise NotSentError(f"{endpoint_id} leaves")
    context.residency.record_use(items_of(request.model, request.adapter))
    context.breakers.started(endpoint_id)
    stream = context.engines.generate(endpoint, request, progress.offset, cancellation)
    progress.may_have_run = True
    return stream


def _record_success(
    context: InferenceContext, endpoint: EndpointId, trial: Trial, progress: Progress
) -> None:
    progress.attempts_without_token = 0
    progress.failed.clear()
    context.breakers.succeeded(endpoint)
    trial.mark_passed()


def _record_verdict(progress: Progress, error: CamphoryardError) -> None:
    """Record whether the request may have run in an attempt that ended in ``error``."""
    match error:
        case EndpointRefusedError(status=status):
            if status not in NOT_RUN_STATUSES or not error.is_first_on_connection:
                progress.may_have_run = True
        case BrokenCallError():
            progress.may_have_run = True


def _record_failure(
    context: InferenceContext,
    request: InferenceRequest,
    endpoint_id: EndpointId,
    trial: Trial,
    progress: Progress,
    error: CamphoryardError,
) -> None:
    """Update the breaker and the suspects after a failed attempt."""
    progress.failed.add(endpoint_id)
    match error:
        case EndpointRefusedError(status=status):
            if status != NOT_LOADED_STATUS:
                context.breakers.failed(endpoint_id)
        case NotSentError():
            context.breakers.failed(endpoint_id)
        case StalledCallError():
            context.breakers.failed(endpoint_id)
        case BrokenCallError():
            context.breakers.failed(endpoint_id)
            if _has_crashed(context, request, endpoint_id):
                trial.record_crash()
    context.timeline.record(
        "attempt_failed",
        request=request.id,
        endpoint=endpoint_id,
        offset=progress.offset,
        error=type(error).__name__,
    )


def _has_crashed(
    context: InferenceContext, request: InferenceRequest, endpoint_id: EndpointId
) -> bool:
    """Return whether the endpoint is down, or restarted without the items loaded."""
    endpoint = context.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        return False
    try:
        inventory = context.engines.inventory(endpoint)
    except NoInventoryError:
        return False
    except (NotSentError, BrokenCallError):
        return True
    items = items_of(request.model, request.adapter)
    return not all(item in inventory.resident for item in items)
