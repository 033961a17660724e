"""The durable claim on an idempotency key."""

from dataclasses import dataclass

from camphoryard.state.enums import ClaimState
from camphoryard.state.ids import Incarnation, RequestId, WriteId


@dataclass(frozen=True, slots=True)
class Claim:
    """Who may run the action behind a key, and what came of it.

    ``fingerprint`` tells a resend of the same action from another action that
    reuses the key. ``body`` is the recorded answer once the state is DONE.
    """

    state: ClaimState
    incarnation: Incarnation
    request: RequestId
    fingerprint: str
    write_id: WriteId
    status: int = 0
    body: bytes = b""
