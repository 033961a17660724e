"""The durable claim on an idempotency key."""

from dataclasses import dataclass

from camphoryard.state.enums import ClaimState
from camphoryard.state.ids import Incarnation, RequestId, WriteId


@dataclass(frozen=True, slots=True)
class Claim:
    """Which request may run the action of an idempotency key, and its result.

    ``fingerprint`` distinguishes a retry of the same action from another action
    that reuses the key. ``at_s`` is the wall-clock time of the claim, in seconds
    since the epoch. Once the state is DONE, ``body`` is the recorded answer;
    ``kept`` is False if the answer was too large to store.
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
