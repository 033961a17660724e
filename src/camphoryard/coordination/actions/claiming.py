"""Claims on idempotency keys, required before a non-idempotent call is sent."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from uuid import uuid4

from camphoryard.coordination.actions.claim_finalizer import (
    ClaimFinalizer,
    Finalization,
)
from camphoryard.coordination.actions.recent_claims import RecentClaims
from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records, Stored, Timer
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, Reason
from camphoryard.state.errors import (
    ConflictError,
    RefusalError,
    StoreUnavailableError,
)
from camphoryard.state.ids import ABSENT, Incarnation, ObjectKey, Version, WriteId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.verdict import Verdict

DIGEST_BYTES = 16
POLL_PERIOD_S = 0.1
MAX_TICKS_BETWEEN_POLLS = 16
RESPONSE_MARGIN_S = 0.2
MAX_STORED_BODY_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """The collaborators that create and finalize claims."""

    incarnation: Incarnation
    claims: Records[Claim]
    finalizer: ClaimFinalizer
    nodes: NodeTable
    timer: Timer
    timeline: Timeline
    restores: StoreRestores = field(default_factory=StoreRestores)
    recent: RecentClaims = field(default_factory=RecentClaims)


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim written by this node, with the stored version of that write."""

    key: str
    claim: Claim
    version: Version


def claim_key(request: ActionRequest) -> str:
    """Return the claim's key, which is specific to the caller and the service."""
    scope = (request.caller, request.service, request.key or "")
    return _digest(*(name.encode() for name in scope))


def fingerprint(request: ActionRequest) -> str:
    """Return a digest of the action: its operation and body."""
    return _digest(request.operation.encode(), request.body)


def _digest(*fields: bytes) -> str:
    """Return a digest that differs for different lists of fields.

    Each field is preceded by its length, so that boundaries between fields count.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in fields:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def acquire_claim(
    context: ClaimContext, request: ActionRequest
) -> HeldClaim | ActionAnswer:
    """Claim the request's key, or return the answer of the finished action.

    If another request has claimed the key for the same action and is in progress,
    wait for its outcome until the deadline.

    Raises
    ------
    RefusalError
        If the key cannot be claimed; the verdict is NOT_RUN only if no other
        request may have run the action.
    """
    key = claim_key(request)
    new_claim = Claim(
        ClaimState.CLAIMED,
        context.incarnation,
        request.id,
        fingerprint(request),
        WriteId(uuid4().hex),
        time.time(),
    )
    version = ABSENT
    while True:
        _wait_until_settled(context, request.deadline_s)
        try:
            version = write_resolved(context.claims, key, new_claim, version)
        except ConflictError:
            stored = _wait_for_outcome(
                context, key, request.deadline_s, new_claim.fingerprint
            )
        except StoreUnavailableError as error:
            release_unconfirmed_claim(context, key, new_claim)
            raise RefusalError(
                Reason.STORE_UNAVAILABLE, "the claim could not be recorded"
            ) from error
        else:
            held_claim = HeldClaim(key, new_claim, version)
            # Before the check: a later restore is then heard by `write_claims_again`.
            context.recent.remember(
                Finalization(key, new_claim.write_id, new_claim, is_confirmed=True)
            )
            if context.restores.is_confirmed(version):
                context.timeline.record("claimed", request=request.id, key=key)
                return held_claim
            release_claim(context, held_claim)
            new_claim = replace(new_claim, write_id=WriteId(uuid4().hex))
            version = ABSENT
            continue
        answer = answer_from_claim(stored.record, new_claim.fingerprint)
        if answer is not None:
            return answer
        version = stored.version


def _wait_until_settled(context: ClaimContext, deadline_s: float) -> None:
    """Block until claims that a restored store has lost are written again.

    Raises
    ------
    RefusalError
        If that is not before the deadline.
    """
    if not context.restores.wait_settled(deadline_s - RESPONSE_MARGIN_S):
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "the object API was restored from an older copy; an earlier request with"
            " this key may not be recorded again yet",
            retry_after_s=context.restores.settling_left_s(),
        )


def write_claims_again(context: ClaimContext) -> None:
    """Write the claims of this node again, since the store may have lost them."""
    context.finalizer.write_again(context.recent.all())


def record_answer(
    context: ClaimContext, held_claim: HeldClaim, answer: ActionAnswer
) -> None:
    """Record the answer, to be replayed when the action is sent again."""
    if len(answer.body) > MAX_STORED_BODY_BYTES:
        record_answer_too_large(context, held_claim, answer.status)
        return
    final_claim = replace(
        held_claim.claim, state=ClaimState.DONE, status=answer.status, body=answer.body
    )
    _finalize(context, held_claim, final_claim)


def record_answer_too_large(
    context: ClaimContext, held_claim: HeldClaim, status: int
) -> None:
    """Record that the action ran but its answer was too large to be stored."""
    final_claim = replace(
        held_claim.claim, state=ClaimState.DONE, status=status, kept=False
    )
    _finalize(context, held_claim, final_claim)


def record_unknown_outcome(context: ClaimContext, held_claim: HeldClaim) -> None:
    """Record that the action may have run and its answer is lost."""
    _finalize(context, held_claim, replace(held_claim.claim, state=ClaimState.UNKNOWN))


def release_claim(context: ClaimContext, held_claim: HeldClaim) -> None:
    """Release the key of an action that was not sent and will not be sent."""
    _finalize(context, held_claim, replace(held_claim.claim, state=ClaimState.RELEASED))


def release_unconfirmed_claim(context: ClaimContext, key: str, claim: Claim) -> None:
    """Release a key when the outcome of the claim's write is unknown."""
    final_claim = replace(
        claim, state=ClaimState.RELEASED, write_id=WriteId(uuid4().hex)
    )
    context.finalizer.finalize_later(Finalization(key, claim.write_id, final_claim))


def find_recorded_answer(
    context: ClaimContext, request: ActionRequest
) -> ActionAnswer | None:
    """Return the answer of the finished action, or None; does not claim the key."""
    claim = _read_claim(context, claim_key(request)).record
    if claim is None or claim.state is not ClaimState.DONE:
        return None
    return answer_from_claim(claim, fingerprint(request))


def answer_from_claim(
    claim: Claim | None, requested_fingerprint: str
) -> ActionAnswer | None:
    """Return the recorded answer, or None if the key is free to claim.

    ``requested_fingerprint`` is that of the action to be run now.

    Raises
    ------
    RefusalError
        If the key belongs to another action, or the action may have run.
    """
    if claim is None or claim.state is ClaimState.RELEASED:
        return None
    if claim.fingerprint != requested_fingerprint:
        raise RefusalError(
            Reason.KEY_REUSED,
            "this key was used for another action; use a new key",
            field="Idempotency-Key",
        )
    match claim.state:
        case ClaimState.DONE if claim.kept:
            return ActionAnswer(claim.status, claim.body, replayed=True)
        case ClaimState.DONE:
            raise RefusalError(
                Reason.ANSWER_NOT_KEPT,
                f"the action ran with status {claim.status}; its answer was too"
                " large to be stored",
                Verdict.RAN,
            )
        case ClaimState.CLAIMED:
            raise RefusalError(
                Reason.IN_PROGRESS,
                "an earlier request with this key is in progress; retry later",
                Verdict.MAY_HAVE_RUN,
            )
        case _:
            raise _unknown_outcome_refusal()


def _unknown_outcome_refusal() -> RefusalError:
    return RefusalError(
        Reason.OUTCOME_UNKNOWN,
        "an earlier request with this key may have run; check with the service",
        Verdict.MAY_HAVE_RUN,
    )


def _finalize(context: ClaimContext, held_claim: HeldClaim, final_claim: Claim) -> None:
    final_claim = replace(final_claim, write_id=WriteId(uuid4().hex))
    finalization = Finalization(
        held_claim.key, held_claim.claim.write_id, final_claim, is_confirmed=True
    )
    context.recent.remember(finalization)
    context.finalizer.finalize(finalization, held_claim.version)


def _wait_for_outcome(
    context: ClaimContext, key: str, deadline_s: float, requested_fingerprint: str
) -> Stored[Claim]:
    """Return the claim when it has an outcome, or shortly before the deadline.

    A claim with another fingerprint than ``requested_fingerprint`` is returned at
    once: it belongs to another action.

    Raises
    ------
    RefusalError
        If the claim cannot be read, or the node that wrote it is no longer alive.
    """
    stored = _read_claim(context, key)
    for _ in _poll_ticks(context.timer):
        claim = stored.record
        if claim is None or claim.state is not ClaimState.CLAIMED:
            return stored
        if claim.fingerprint != requested_fingerprint:
            return stored
        if not _is_claimant_alive(context, claim.incarnation):
            raise _unknown_outcome_refusal()
        if time.monotonic() >= deadline_s - RESPONSE_MARGIN_S:
            return stored
        stored = _read_claim(context, key)
    return stored


def _poll_ticks(timer: Timer) -> Iterator[int]:
    """Yield the timer ticks at which to poll, at growing intervals."""
    next_poll_tick = 0
    for tick, _ in enumerate(timer.every(POLL_PERIOD_S)):
        if tick >= next_poll_tick:
            yield tick
            next_poll_tick = tick + min(tick + 1, MAX_TICKS_BETWEEN_POLLS)


def _is_claimant_alive(context: ClaimContext, incarnation: Incarnation) -> bool:
    if incarnation == context.incarnation:
        return True
    return any(lease.incarnation == incarnation for lease in context.nodes.alive())


def _read_claim(context: ClaimContext, key: str) -> Stored[Claim]:
    try:
        stored = context.claims.get(key)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "the claim on this key could not be read",
            Verdict.MAY_HAVE_RUN,
        ) from error
    return stored or Stored(ObjectKey(key), ABSENT, None)
