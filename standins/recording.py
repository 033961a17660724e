"""Sends actions as a caller and records the answers."""

import time
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException

from camphoryard.state.verdict import Verdict
from standins.fleet import CALLER_TOKEN, HOST
from standins.history import ActionSend

VERDICT_HEADER = "Camphoryard-Verdict"
REPLAYED_HEADER = "Camphoryard-Replayed"
SEND_TIMEOUT_S = 90.0


@dataclass(frozen=True, slots=True)
class Action:
    """A non-idempotent action, sent one or more times under the same key."""

    key: str
    body: str
    caller: str = "front-desk"
    path: str = "/v1/services/bookings/book"
    deadline_ms: int = 20_000


@dataclass(frozen=True, slots=True)
class RecordedSend:
    """The answer to one send; ``text`` is its body."""

    send: ActionSend
    replayed: bool = False
    text: str = ""


def send_action(port: int, action: Action) -> RecordedSend:
    """Send an action to the node at ``port``; without an answer, verdict is None."""
    sent_s = time.time()
    connection = HTTPConnection(HOST, port, timeout=SEND_TIMEOUT_S)
    headers = {
        "Authorization": f"Bearer {CALLER_TOKEN}-{action.caller}",
        "Idempotency-Key": action.key,
        "Camphoryard-Deadline-Ms": str(action.deadline_ms),
    }
    try:
        connection.request("POST", action.path, action.body, headers)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, HTTPException):
        return RecordedSend(ActionSend(action.body, action.key, sent_s, None))
    finally:
        connection.close()
    verdict = Verdict(response.headers[VERDICT_HEADER])
    replayed = response.headers.get(REPLAYED_HEADER) == "true"
    send = ActionSend(action.body, action.key, sent_s, verdict, response.status, text)
    return RecordedSend(send, replayed, text)
