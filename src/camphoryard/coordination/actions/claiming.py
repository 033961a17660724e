"""Claims on idempotency keys: the gate before a non-idempotent call."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from uuid import uuid4

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer, Settlement
from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Records, Stored, Timer
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
REREAD_PERIOD_S = 0.1
MAX_TICKS_BETWEEN_READS = 16
ANSWER_MARGIN_S = 0.2
MAX_KEPT_BODY_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """What claims are made and ended with."""

    incarnation: Incarnation
    claims: Records[Claim]
    settler: ClaimFinalizer
    nodes: NodeTable
    timer: Timer
    timeline: Timeline


@dataclass(frozen=True, slots=True)
class Held:
    """A claim of ours at the version that our write made."""

    key: str
    claim: Claim
    version: Version


def claim_key(request: ActionRequest) -> str:
    """Return the claim's key: a caller's keys never meet another caller's."""
    scope = (request.caller, request.service, request.key or "")
    return _digest(*(part.encode() for part in scope))


def fingerprint(request: ActionRequest) -> str:
    """Return a digest of what the action would do."""
    return _digest(request.operation.encode(), request.body)


def _digest(*parts: bytes) -> str:
    """Return a digest in which no two lists of parts look the same."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def hold(parts: ClaimContext, request: ActionRequest) -> Held | ActionAnswer:
    """Claim the request's key, or return the answer of the finished action.

    A claim of another request that is under way is waited for, up to the
    deadline.

    Raises
    ------
    RefusalError
        If the key is not ours; the verdict is NOT_RUN only if no other request
        may have run the action.
    """
    key = claim_key(request)
    ours = Claim(
        ClaimState.CLAIMED,
        parts.incarnation,
        request.id,
        fingerprint(request),
        WriteId(uuid4().hex),
        time.time(),
    )
    version = ABSENT
    while True:
        try:
            version = write_resolved(parts.claims, key, ours, version)
        except ConflictError:
            found = _wait_for_outcome(parts, key, request.deadline_s, ours.fingerprint)
        except StoreUnavailableError as error:
            release_later(parts, key, ours)
            raise RefusalError(
                Reason.STORE_UNAVAILABLE, "the claim could not be recorded"
            ) from error
        else:
            parts.timeline.record("claimed", request=request.id, key=key)
            return Held(key, ours, version)
        answer = judge(found.record, ours.fingerprint)
        if answer is not None:
            return answer
        version = found.version


def finish(parts: ClaimContext, held: Held, answer: ActionAnswer) -> None:
    """Record the answer for those who send the action again."""
    if len(answer.body) > MAX_KEPT_BODY_BYTES:
        finish_unkept(parts, held, answer.status)
        return
    ending = replace(
        held.claim, state=ClaimState.DONE, status=answer.status, body=answer.body
    )
    _end(parts, held, ending)


def finish_unkept(parts: ClaimContext, held: Held, status: int) -> None:
    """Record that the action was answered with more than is kept."""
    ending = replace(held.claim, state=ClaimState.DONE, status=status, kept=False)
    _end(parts, held, ending)


def leave_unknown(parts: ClaimContext, held: Held) -> None:
    """Record that the action may have run and that no answer will come."""
    _end(parts, held, replace(held.claim, state=ClaimState.UNKNOWN))


def release(parts: ClaimContext, held: Held) -> None:
    """Free the key of an action that was not sent and will not be."""
    _end(parts, held, replace(held.claim, state=ClaimState.RELEASED))


def release_later(parts: ClaimContext, key: str, claim: Claim) -> None:
    """Free a key whose claim may or may not have been written."""
    ending = replace(claim, state=ClaimState.RELEASED, write_id=WriteId(uuid4().hex))
    parts.settler.settle_later(Settlement(key, claim.write_id, ending))


def recorded(parts: ClaimContext, request: ActionRequest) -> ActionAnswer | None:
    """Return the answer of the finished action, if there is one; claims nothing."""
    found = _read(parts, claim_key(request)).record
    if found is None or found.state is not ClaimState.DONE:
        return None
    return judge(found, fingerprint(request))


def judge(found: Claim | None, wanted: str) -> ActionAnswer | None:
    """Return the recorded answer, or None if the key is free to claim.

    ``wanted`` is the fingerprint of the action that asks.

    Raises
    ------
    RefusalError
        If the key belongs to another action, or the action may have run.
    """
    if found is None or found.state is ClaimState.RELEASED:
        return None
    if found.fingerprint != wanted:
        raise RefusalError(
            Reason.KEY_REUSED,
            "this key was used for another action; take a new key",
            field="Idempotency-Key",
        )
    match found.state:
        case ClaimState.DONE if found.kept:
            return ActionAnswer(found.status, found.body, replayed=True)
        case ClaimState.DONE:
            raise RefusalError(
                Reason.ANSWER_NOT_KEPT,
                f"the action ran with status {found.status}; its answer was too"
                " large to be kept",
                Verdict.RAN,
            )
        case ClaimState.CLAIMED:
            raise RefusalError(
                Reason.IN_PROGRESS,
                "an earlier request with this key is still under way; ask again",
                Verdict.MAY_HAVE_RUN,
            )
        case _:
            raise _outcome_unknown()


def _outcome_unknown() -> RefusalError:
    return RefusalError(
        Reason.OUTCOME_UNKNOWN,
        "an earlier request with this key may have run; ask the service itself",
        Verdict.MAY_HAVE_RUN,
    )


def _end(parts: ClaimContext, held: Held, ending: Claim) -> None:
    ending = replace(ending, write_id=WriteId(uuid4().hex))
    settlement = Settlement(held.key, held.claim.write_id, ending)
    parts.settler.settle(settlement, held.version)


def _wait_for_outcome(
    parts: ClaimContext, key: str, deadline_s: float, wanted: str
) -> Stored[Claim]:
    """Return the claim once it has an outcome or can be waited for no longer.

    A claim of another action than ``wanted`` is not waited for.

    Raises
    ------
    RefusalError
        If it cannot be read, or its claimant is gone.
    """
    found = _read(parts, key)
    for _ in _ticks_to_read_at(parts.timer):
        record = found.record
        if record is None or record.state is not ClaimState.CLAIMED:
            return found
        if record.fingerprint != wanted:
            return found
        if not _is_alive(parts, record.incarnation):
            raise _outcome_unknown()
        if time.monotonic() >= deadline_s - ANSWER_MARGIN_S:
            return found
        found = _read(parts, key)
    return found


def _ticks_to_read_at(timer: Timer) -> Iterator[int]:
    """Yield some ticks of the timer, at first often and then less so."""
    due = 0
    for tick, _ in enumerate(timer.every(REREAD_PERIOD_S)):
        if tick >= due:
            yield tick
            due = tick + min(tick + 1, MAX_TICKS_BETWEEN_READS)


def _is_alive(parts: ClaimContext, incarnation: Incarnation) -> bool:
    if incarnation == parts.incarnation:
        return True
    return any(lease.incarnation == incarnation for lease in parts.nodes.alive())


def _read(parts: ClaimContext, key: str) -> Stored[Claim]:
    try:
        stored = parts.claims.get(key)
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "an earlier claim could not be read",
            Verdict.MAY_HAVE_RUN,
        ) from error
    return stored or Stored(ObjectKey(key), ABSENT, None)
