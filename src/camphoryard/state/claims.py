"""The durable claim on an idempotency key."""

from dataclasses import dataclass

from camphoryard.state.enums import ClaimState
from camphoryard.state.ids import Incarnation, RequestId, WriteId


@dataclass(frozen=True, slots=True)
class Claim:
    """Who may run the action behind a key, and what came of it.

    ``fingerprint`` tells a resend of the same action from another action that
    reuses the key. ``at_s`` is the wall clock of the claim, in seconds since
    the epoch. ``body`` is the recorded answer once the state is DONE, unless
    it was too large to be ``kept``.
    """

    state: ClaimState
    incarnation: Incarnation
    request: RequestId
    fingerprint: str
    write_id: WriteId
    at_s: float = 0.0
    status: int = 0
    body: bytes = b""
    kept: bool = True
