"""Calls of plain services; a non-idempotent one runs at most once.

The claim in the object API is the gate: it is written by a conditional create
before the call is sent, and only its writer sends. Whoever finds a claim with
no outcome never sends the action again.
"""

from dataclasses import dataclass, replace
from hashlib import blake2b
from uuid import uuid4

from camphoryard.coordination.ports import Records, Services, Stored
from camphoryard.coordination.residency import Identity
from camphoryard.coordination.routing import Router, route
from camphoryard.coordination.timeline import Timeline
from camphoryard.coordination.writing import write_resolved
from camphoryard.state.claims import Claim
from camphoryard.state.configuration import Endpoint, Service
from camphoryard.state.enums import ClaimState, EndpointKind, Reason
from camphoryard.state.errors import (
    BrokenCallError,
    ConflictError,
    NotSentError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, EndpointId, ObjectKey, Version, WriteId
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.tables import ConfigurationHolder, InFlightTable
from camphoryard.state.verdict import Verdict

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ActionParts:
    """What an action task works with."""

    identity: Identity
    configuration: ConfigurationHolder
    claims: Records[Claim]
    in_flight: InFlightTable
    router: Router
    services: Services
    timeline: Timeline


@dataclass(frozen=True, slots=True)
class _Held:
    """A claim of ours at the version we wrote."""

    key: str
    claim: Claim
    version: Version


def act(parts: ActionParts, request: ActionRequest) -> ActionAnswer:
    """Call the operation and return its answer, or the recorded one.

    Raises
    ------
    RefusalError
        If there is no answer; its verdict says whether the action may have run.
    """
    current = parts.configuration.current
    service = current.services_by_id.get(request.service)
    if service is None:
        raise RefusalError(
            Reason.UNKNOWN_SERVICE, f"no service {request.service!r}", field="service"
        )
    where = route(
        current,
        request.caller,
        service.labels,
        EndpointKind.SERVICE,
        request.priority,
    )
    if request.operation in service.idempotent:
        return _call_idempotent(parts, request, where.candidates)
    return _call_once(parts, request, service, where.candidates)


def _call_idempotent(
    parts: ActionParts, request: ActionRequest, candidates: tuple[EndpointId, ...]
) -> ActionAnswer:
    left = list(candidates)
    while left:
        endpoint_id = parts.router.choose(left)
        left.remove(endpoint_id)
        try:
            return _send(parts, request, endpoint_id)
        except (NotSentError, BrokenCallError):
            continue
    raise RefusalError(
        Reason.ENDPOINT_FAILED, "every endpoint failed", Verdict.MAY_HAVE_RUN
    )


def _call_once(
    parts: ActionParts,
    request: ActionRequest,
    service: Service,
    candidates: tuple[EndpointId, ...],
) -> ActionAnswer:
    if request.key is None:
        raise RefusalError(
            Reason.KEY_REQUIRED,
            f"{service.id}/{request.operation} needs an Idempotency-Key header",
            field="Idempotency-Key",
        )
    held = _claim(parts, request)
    if isinstance(held, ActionAnswer):
        return held
    left = list(candidates)
    while left:
        endpoint_id = parts.router.choose(left)
        left.remove(endpoint_id)
        try:
            answer = _send(parts, request, endpoint_id)
        except NotSentError:
            continue
        except BrokenCallError as error:
            raise RefusalError(
                Reason.ENDPOINT_FAILED, str(error), Verdict.MAY_HAVE_RUN
            ) from error
        _record(parts, held, ClaimState.DONE, answer)
        return answer
    _record(parts, held, ClaimState.RELEASED, ActionAnswer(0, b""))
    raise RefusalError(Reason.ENDPOINT_FAILED, "no endpoint could be reached")


def _send(
    parts: ActionParts, request: ActionRequest, endpoint_id: EndpointId
) -> ActionAnswer:
    endpoint: Endpoint = parts.configuration.current.endpoints_by_id[endpoint_id]
    parts.in_flight.begin(endpoint_id)
    try:
        return parts.services.call(endpoint, request)
    finally:
        parts.in_flight.end(endpoint_id)


def claim_key(request: ActionRequest) -> str:
    """Return the claim's key: a caller's keys never meet another caller's."""
    scope = f"{request.caller}\0{request.service}\0{request.key}"
    return _digest(scope.encode())


def fingerprint(request: ActionRequest) -> str:
    """Return a digest of what the action would do."""
    return _digest(request.operation.encode() + b"\0" + request.body)


def _digest(content: bytes) -> str:
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _claim(parts: ActionParts, request: ActionRequest) -> _Held | ActionAnswer:
    """Claim the key, or return the recorded answer of the finished action."""
    key = claim_key(request)
    claim = Claim(
        ClaimState.CLAIMED,
        parts.identity.incarnation,
        request.id,
        fingerprint(request),
        WriteId(uuid4().hex),
    )
    version = ABSENT
    while True:
        try:
            version = write_resolved(parts.claims, key, claim, version)
            parts.timeline.record("claimed", request=request.id, key=key)
            return _Held(key, claim, version)
        except ConflictError:
            found = _found(parts, key)
        except StoreUnavailableError as error:
            raise RefusalError(
                Reason.STORE_UNAVAILABLE, "the claim could not be recorded"
            ) from error
        match _judge(found.record, claim):
            case ActionAnswer() as answer:
                return answer
            case None:
                version = found.version


def _found(parts: ActionParts, key: str) -> Stored[Claim]:
    try:
        stored = parts.claims.get(key)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "an earlier claim could not be read",
            Verdict.MAY_HAVE_RUN,
        ) from error
    return stored or Stored(ObjectKey(key), ABSENT, None)


def _judge(found: Claim | None, ours: Claim) -> ActionAnswer | None:
    """Return the recorded answer, or None if the key is free to claim.

    Raises
    ------
    RefusalError
        If the key belongs to another action, or the action may have run.
    """
    if found is None:
        return None
    if found.fingerprint != ours.fingerprint:
        raise RefusalError(
            Reason.KEY_REUSED,
            "this key was used for another action",
            field="Idempotency-Key",
        )
    match found.state:
        case ClaimState.DONE:
            return ActionAnswer(found.status, found.body, replayed=True)
        case ClaimState.RELEASED:
            return None
        case ClaimState.CLAIMED:
            raise RefusalError(
                Reason.IN_PROGRESS,
                "an earlier attempt claimed this key and has no outcome yet",
                Verdict.MAY_HAVE_RUN,
            )


def _record(
    parts: ActionParts, held: _Held, state: ClaimState, answer: ActionAnswer
) -> None:
    """Write the outcome; if that fails the claim stays and bars any rerun."""
    claim = replace(
        held.claim,
        state=state,
        status=answer.status,
        body=answer.body,
        write_id=WriteId(uuid4().hex),
    )
    try:
        write_resolved(parts.claims, held.key, claim, held.version)
    except (StoreUnavailableError, ConflictError) as error:
        parts.timeline.record("outcome_not_recorded", key=held.key, error=error)
