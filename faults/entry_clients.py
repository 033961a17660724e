"""Clients of a soak of entry daemons."""

import random
import time
from dataclasses import replace
from http.client import HTTPConnection, HTTPException

from faults.entry_checks import DEADLINE_S, Attempt
from faults.soak_keys import draw_key
from faults.soak_site import MODELS, SoakSite
from standins.fleet import HOST

REQUEST_PAUSE_S = 0.02
REFUSED_PAUSE_S = 0.1
"""Pause of a client whose node accepts no connection."""
TIMEOUT_S = 20.0
IMPATIENT_SHARE = 0.3
"""Share of the streams that their client resumes at another node after a pause."""
PATIENCE_S = (0.1, 0.8)
"""Range of the pauses after which such a client leaves."""
KINDS = ("chat", "chat", "book", "look", "ask", "sign")
MODEL_KINDS = ("ask", "sign")
EVENT_END = b"\n\n"
DEADLY_SHARE = 0.1
MILLISECONDS_PER_SECOND = 1000


def run_client(site: SoakSite, number: int) -> None:
    """Send requests over kept connections until the site stops.

    Some streams are left at a pause and resumed at another node.
    """
    rng = random.Random(f"{site.seed}/client/{number}")
    key_rng = random.Random(f"{site.seed}/client-keys/{number}")
    connection_by_node: dict[str, HTTPConnection] = {}
    count = 0
    left: Attempt | None = None
    while not site.stop.wait(rng.uniform(0, 2 * REQUEST_PAUSE_S)):
        count += 1
        others = [item for item in site.nodes if left and item != left.node]
        node = rng.choice(others or site.nodes)
        connection = connection_by_node.get(node)
        if connection is None:
            port = site.client_port_by_node[node]
            connection = HTTPConnection(HOST, port, timeout=TIMEOUT_S)
        kind = "chat" if left else rng.choice(KINDS)
        id = f"{number}-{count}"
        parts = f"system:100,topic{rng.randrange(4)}:50,"
        if site.deadly_part and kind == "chat" and rng.random() < DEADLY_SHARE:
            parts += f"{site.deadly_part}:20,"
        headers = {
            "Host": "site.example",
            "Attempt-Id": id,
            "Deadline-Ms": str(int(DEADLINE_S * MILLISECONDS_PER_SECOND)),
            "Prompt-Prefix": f"{parts}own-{id}:10",
        }
        key = left.key if left else draw_key(key_rng, kind)
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if kind in MODEL_KINDS:
            headers["Model"] = rng.choice(MODELS)
        if left:
            headers["Last-Event-Id"] = str(left.after + left.body.count(EVENT_END))
        leaves = kind == "chat" and not left and rng.random() < IMPATIENT_SHARE
        attempt = _send(
            connection,
            Attempt(
                id,
                node,
                f"/{kind}/{id}",
                time.monotonic(),
                resumes=left.id if left else "",
                after=int(headers.get("Last-Event-Id", 0)),
                key=key,
            ),
            headers,
            rng.uniform(*PATIENCE_S) if leaves else TIMEOUT_S,
        )
        with site.lock:
            site.history.attempts.append(attempt)
        left = attempt if attempt.has_left and EVENT_END in attempt.body else None
        if attempt.is_whole and attempt.headers.get("connection") != "close":
            connection_by_node[node] = connection
        else:
            connection.close()
            connection_by_node.pop(node, None)
        if not attempt.is_sent:
            site.stop.wait(REFUSED_PAUSE_S)


def _send(
    connection: HTTPConnection,
    attempt: Attempt,
    headers: dict[str, str],
    patience_s: float,
) -> Attempt:
    """Return the attempt with its answer, which may pause for ``patience_s``."""
    status, answered, body = 0, {}, b""
    is_sent, is_whole, has_left = True, False, False
    try:
        connection.request("POST", attempt.path, b"x", headers)
        connection.sock.settimeout(patience_s)
        response = connection.getresponse()
        status = response.status
        answered = {name.lower(): text for name, text in response.headers.items()}
        while chunk := response.read1(65_536):
            body += chunk
        is_whole = not response.length
        response.close()
    except ConnectionRefusedError:
        is_sent = False
    except TimeoutError:
        has_left = patience_s < TIMEOUT_S
    except (OSError, HTTPException, ValueError):
        is_whole = False
    return replace(
        attempt,
        done_s=time.monotonic(),
        status=status,
        headers=answered,
        body=body,
        is_whole=is_whole,
        is_sent=is_sent,
        has_left=has_left,
    )
