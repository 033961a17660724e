"""Calls of plain services; a non-idempotent one runs at most once.

A claim in the object API is the gate: it is written by a conditional create
before the call is sent, and only its writer sends. Whoever finds a claim with
no outcome never sends the action.
"""

import time
from dataclasses import dataclass

from camphoryard.coordination.actions.claiming import (
    ClaimContext,
    Held,
    finish,
    finish_unkept,
    hold,
    leave_unknown,
    recorded,
    release,
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
    """What an action task works with."""

    configuration: ConfigurationHolder
    claiming: ClaimContext
    in_flight: InFlightTable
    router: Router
    services: Services


def act(parts: ActionContext, request: ActionRequest) -> ActionAnswer:
    """Call the operation and return its answer, or the recorded one.

    Raises
    ------
    RefusalError
        If there is no answer; its verdict says whether the action may have run.
    """
    service = parts.configuration.current.services_by_id.get(request.service)
    if service is None:
        raise RefusalError(
            Reason.UNKNOWN_SERVICE, f"no service {request.service!r}", field="service"
        )
    if request.operation in service.idempotent:
        return _call_idempotent(parts, request, _candidates(parts, request, service))
    if request.key is None:
        raise RefusalError(
            Reason.KEY_REQUIRED,
            f"{service.id}/{request.operation} needs an Idempotency-Key header",
            field="Idempotency-Key",
        )
    return _call_once(parts, request, service)


def _candidates(
    parts: ActionContext, request: ActionRequest, service: Service
) -> tuple[EndpointId, ...]:
    where = route(
        parts.configuration.current,
        request.caller,
        service.labels,
        EndpointKind.SERVICE,
        request.priority,
    )
    return where.candidates


def _call_idempotent(
    parts: ActionContext, request: ActionRequest, candidates: tuple[EndpointId, ...]
) -> ActionAnswer:
    left = list(candidates)
    verdict = Verdict.NOT_RUN
    while left and time.monotonic() < request.deadline_s:
        endpoint_id = parts.router.choose(left)
        left.remove(endpoint_id)
        try:
            return _send(parts, request, endpoint_id)
        except AnswerTooLargeError as error:
            raise _too_large(error) from error
        except NotSentError:
            continue
        except BrokenCallError:
            verdict = Verdict.MAY_HAVE_RUN
    if left:
        raise RefusalError(Reason.DEADLINE, "the deadline passed", verdict)
    raise RefusalError(Reason.ENDPOINT_FAILED, "every endpoint failed", verdict)


def _call_once(
    parts: ActionContext, request: ActionRequest, service: Service
) -> ActionAnswer:
    try:
        candidates = _candidates(parts, request, service)
    except RefusalError as refusal:
        # A finished action keeps its answer while its endpoints are away.
        if refusal.reason is Reason.NO_ENDPOINT:
            answer = recorded(parts.claiming, request)
            if answer is not None:
                return answer
        raise
    match hold(parts.claiming, request):
        case ActionAnswer() as answer:
            return answer
        case Held() as held:
            return _dispatch(parts, request, held, candidates)


def _dispatch(
    parts: ActionContext,
    request: ActionRequest,
    held: Held,
    candidates: tuple[EndpointId, ...],
) -> ActionAnswer:
    """Send the claimed action to one endpoint; to another only if nothing left."""
    left = list(candidates)
    while left and time.monotonic() < request.deadline_s:
        endpoint_id = parts.router.choose(left)
        left.remove(endpoint_id)
        try:
            answer = _send(parts, request, endpoint_id)
        except NotSentError:
            continue
        except BrokenCallError as error:
            leave_unknown(parts.claiming, held)
            raise RefusalError(
                Reason.ENDPOINT_FAILED, str(error), Verdict.MAY_HAVE_RUN
            ) from error
        except AnswerTooLargeError as error:
            finish_unkept(parts.claiming, held, error.status)
            raise _too_large(error) from error
        finish(parts.claiming, held, answer)
        return answer
    release(parts.claiming, held)
    if left:
        raise RefusalError(Reason.DEADLINE, "the deadline passed before the call")
    raise RefusalError(Reason.ENDPOINT_FAILED, "no endpoint could be reached")


def _too_large(error: AnswerTooLargeError) -> RefusalError:
    """Return the refusal of a call that was answered all the same."""
    verdict = ActionAnswer(error.status, b"").verdict
    detail = f"the service answered {error.status}, but {error}"
    return RefusalError(Reason.ANSWER_TOO_LARGE, detail, verdict)


def _send(
    parts: ActionContext, request: ActionRequest, endpoint_id: EndpointId
) -> ActionAnswer:
    endpoint = parts.configuration.current.endpoints_by_id.get(endpoint_id)
    if endpoint is None:
        raise NotSentError(f"{endpoint_id} is no longer configured")
    parts.in_flight.begin(endpoint_id)
    try:
        return parts.services.call(endpoint, request)
    finally:
        parts.in_flight.end(endpoint_id)
