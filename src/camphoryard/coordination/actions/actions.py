"""Calls of plain services; a non-idempotent call runs at most once.

Before a non-idempotent call is sent, a claim is written to the object API by a
conditional create. Only the node that wrote the claim sends the call. A node that
finds a claim without an outcome never sends it.
"""

import time
from dataclasses import dataclass

from camphoryard.coordination.actions.claiming import (
    ClaimContext,
    HeldClaim,
    acquire_claim,
    find_recorded_answer,
    record_answer,
    record_answer_too_large,
    record_unknown_outcome,
    release_claim,
)
from camphoryard.coordination.ports import Services
from camphoryard.coordination.routing.routing import Router, route
from camphoryard.state.configuration import Service
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import (
    AnswerTooLargeError,
    BrokenCallError,
    NotSentError,
    RefusalError,
)
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.tables import ConfigurationHolder, InFlightTable
from camphoryard.state.verdict import Verdict


@dataclass(frozen=True, slots=True)
class ActionContext:
    """The collaborators of a service call."""

    configuration: ConfigurationHolder
    claim_context: ClaimContext
    in_flight: InFlightTable
    router: Router
    services: Services


def act(context: ActionContext, request: ActionRequest) -> ActionAnswer:
    """Call the operation and return its answer, or the one recorded earlier.

    Raises
    ------
    RefusalError
        If there is no answer; the verdict states whether the action may have run.
    """
    service = context.configuration.current.services_by_id.get(request.service)
    if service is None:
        raise RefusalError(
            Reason.UNKNOWN_SERVICE,
            f"no service {request.service!r}",
            field="service",
        )
    if request.operation in service.idempotent:
        return _call_idempotent(
            context, request, _candidates(context, request, service)
        )
    if request.key is None:
        raise RefusalError(
            Reason.KEY_REQUIRED,
            f"{service.id}/{request.operation} needs an Idempotency-Key header",
            field="Idempotency-Key",
        )
    return _call_at_most_once(context, request, service)


def _candidates(
    context: ActionContext, request: ActionRequest, service: Service
) -> tuple[EndpointId, ...]:
    target = route(
        context.configuration.current,
        request.caller,
        service.labels,
        EndpointKind.SERVICE,
        request.priority,
    )
    return target.candidates


def _call_idempotent(
    context: ActionContext, request: ActionRequest, candidates: tuple[EndpointId, ...]
) -> ActionAnswer:
    remaining = list(candidates)
    verdict = Verdict.NOT_RUN
    while remaining and time.monotonic() < request.deadline_s:
        endpoint_id = context.router.choose(remaining)
        remaining.remove(endpoint_id)
        try:
            return _send(context, request, endpoint_id)
        except AnswerTooLargeError as error:
            raise _answer_too_large_refusal(error) from error
        except NotSentError:
            continue
        except BrokenCallError:
            verdict = Verdict.MAY_HAVE_RUN
    if remaining:
        raise RefusalError(Reason.DEADLINE, "the deadline passed", verdict)
    raise RefusalError(Reason.ENDPOINT_FAILED, "every endpoint failed", verdict)


def _call_at_most_once(
    context: ActionContext, request: ActionRequest, service: Service
) -> ActionAnswer:
    try:
        candidates = _candidates(context, request, service)
    except RefusalError as refusal:
        # The answer of a finished action is returned even without usable endpoints.
        if refusal.reason is Reason.NO_ENDPOINT:
            answer = find_recorded_answer(context.claim_context, request)
            if answer is not None:
                return answer
        raise
    match acquire_claim(context.claim_context, request):
        case ActionAnswer() as answer:
            return answer
        case HeldClaim() as held_claim:
            return _dispatch(context, request, held_claim, candidates)


def _dispatch(
    context: ActionContext,
    request: ActionRequest,
    held_claim: HeldClaim,
    candidates: tuple[EndpointId, ...],
) -> ActionAnswer:
    """Send the claimed action to an endpoint.

    It is sent to another one only if no byte was sent to the first.
    """
    remaining = list(candidates)
    while remaining and time.monotonic() < request.deadline_s:
        endpoint_id = context.router.choose(remaining)
        remaining.remove(endpoint_id)
        try:
            answer = _send(context, request, endpoint_id)
        except NotSentError:
            continue
        except BrokenCallError as error:
            record_unknown_outcome(context.claim_context, held_claim)
            raise RefusalError(
                Reason.ENDPOINT_FAILED, str(error), Verdict.MAY_HAVE_RUN
            ) from error
        except AnswerTooLargeError as error:
            record_answer_too_large(context.claim_context, held_claim, error.status)
            raise _answer_too_large_refusal(error) from error
        record_answer(context.claim_context, held_claim, answer)
        return answer
    release_claim(context.claim_context, held_claim)
    if remaining:
        raise RefusalError(
            Reason.DEADLINE, "the deadline passed before the call was sent"
        )
    raise RefusalError(Reason.ENDPOINT_FAILED, "no endpoint could be reached")


def _answer_too_large_refusal(error: AnswerTooLargeError) -> RefusalError:
    """Return the refusal of a call that ran but whose answer is too large."""
    verdict = ActionAnswer(error.status, b"").verdict
    detail = f"the service answered with status {error.status}, but {error}"
    return RefusalError(Reason.ANSWER_TOO_LARGE, detail, verdict)


def _send(
    context: ActionContext, request: ActionRequest, endpoint_id: EndpointId
) -> ActionAnswer:
    endpoint = context.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        raise NotSentError(f"{endpoint_id} is no longer configured")
    context.in_flight.begin(endpoint_id)
    try:
        return context.services.call(endpoint, request)
    finally:
        context.in_flight.end(endpoint_id)
