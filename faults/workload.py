"""Callers and operators of a fault run; they record each request they send."""

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

from camphoryard.state.verdict import Verdict
from faults.lost_counts import ReceivedRefusal
from standins.fleet import CALLER_TOKEN, HOST, OPERATOR_TOKEN, HttpError
from standins.history import ActionSend, CompletionSend
from standins.refusal_counts import refusal_reason
from standins.site import Site

CALLER = "meter-app"
RECOVERY_CALLER = "front-desk"
"""Caller of the requests sent after the faults, which are counted separately."""

REQUEST_TIMEOUT_S = 40.0
DEADLINE_MS = 15_000
RESENDS = 3
PAUSE_S = 0.05
MAX_TOKENS = (1, 120)
OPERATOR_PAUSE_S = 0.7


@dataclass(slots=True)
class History:
    """All requests of callers and operators and their results."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    actions: list[ActionSend] = field(default_factory=list)
    completions: list[CompletionSend] = field(default_factory=list)
    unanswered: int = 0
    refusals: list[ReceivedRefusal] = field(default_factory=list)
    accepted_by_item: dict[str, str] = field(default_factory=dict)
    accepted: int = 0
    conflicts: int = 0

    @property
    def refusals_by_reason(self) -> Counter[str]:
        """Refusals that callers received, by reason."""
        return Counter(refusal.reason for refusal in self.refusals)


@dataclass(frozen=True, slots=True)
class _Response:
    """A response to a caller; ``verdict`` is None if it is missing or incomplete."""

    node: str
    at_s: float
    status: int
    verdict: Verdict | None
    body: bytes


def send(site: Site, node: str, path: str, body: bytes, **headers: str) -> _Response:
    """Send one request as a caller and return the response."""
    connection = HTTPConnection(HOST, site.fleet.port(node), timeout=REQUEST_TIMEOUT_S)
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    sent["Authorization"] = f"Bearer {CALLER_TOKEN}-{CALLER}"
    sent["Camphoryard-Deadline-Ms"] = str(DEADLINE_MS)
    try:
        connection.request("POST", path, body, sent)
        response = connection.getresponse()
        content = response.read()
    except (OSError, HTTPException):
        return _Response(node, time.time(), 0, None, b"")
    finally:
        connection.close()
    text = response.headers.get("Camphoryard-Verdict")
    verdict = Verdict(text) if text else None
    return _Response(node, time.time(), response.status, verdict, content)


def run_caller(
    site: Site, seed: int, number: int, history: History, stop: threading.Event
) -> None:
    """Send completions and bookings through random nodes until ``stop`` is set."""
    rng = random.Random(f"{seed}/caller/{number}")
    count = 0
    while not stop.wait(PAUSE_S * rng.random()):
        count += 1
        name = f"{number}-{count}"
        match rng.random():
            case draw if draw < 0.5:
                _complete(site, name, rng, history)
            case draw if draw < 0.75:
                _stream(site, name, rng, history)
            case _:
                _book(site, name, rng, history)


def _model(site: Site, rng: random.Random) -> str:
    return rng.choice(site.spec.models).id


def _complete(site: Site, name: str, rng: random.Random, history: History) -> None:
    prompt, tokens = f"complete {name}", rng.randint(*MAX_TOKENS)
    body = {"model": _model(site, rng), "prompt": prompt, "max_tokens": tokens}
    sent_s = time.time()
    response = send(
        site, rng.choice(site.nodes), "/v1/completions", json.dumps(body).encode()
    )
    text = ""
    if response.status == 200:
        text = json.loads(response.body)["choices"][0]["text"]
    _record_completion(
        history,
        CompletionSend(prompt, tokens, sent_s, response.verdict, text),
        response,
    )


def _stream(site: Site, name: str, rng: random.Random, history: History) -> None:
    prompt, tokens = f"stream {name}", rng.randint(*MAX_TOKENS)
    body = {
        "model": _model(site, rng),
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    sent_s = time.time()
    response = send(
        site, rng.choice(site.nodes), "/v1/completions", json.dumps(body).encode()
    )
    verdict, text = response.verdict, ""
    if response.status == 200:
        verdict, text = _parse_stream(response.body)
    record = CompletionSend(prompt, tokens, sent_s, verdict, text)
    _record_completion(history, record, response)


def _parse_stream(body: bytes) -> tuple[Verdict | None, str]:
    """Return verdict and text of a stream; a truncated one has no verdict."""
    texts = []
    for event in body.split(b"\n\n"):
        if event.startswith(b"event: error"):
            error = json.loads(event.partition(b"data: ")[2])["error"]
            return Verdict(error["verdict"]), ""
        if event.startswith(b"data: {"):
            choice = json.loads(event.removeprefix(b"data: "))["choices"][0]
            texts.append(choice["text"] or "")
        if event == b"data: [DONE]":
            return Verdict.RAN, "".join(texts)
    return None, ""


def _record_refusal(
    history: History, verdict: Verdict | None, response: _Response
) -> None:
    """Record the reason of a refusal, if the response is a complete refusal."""
    reason = refusal_reason(response.body)
    if verdict is not None and reason:
        history.refusals.append(ReceivedRefusal(response.node, response.at_s, reason))


def _record_completion(
    history: History, record: CompletionSend, response: _Response
) -> None:
    with history.lock:
        history.completions.append(record)
        history.unanswered += record.verdict is None
        _record_refusal(history, record.verdict, response)


def _book(site: Site, name: str, rng: random.Random, history: History) -> None:
    """Send a booking; resend it through random nodes, up to RESENDS times."""
    body = json.dumps({"booking": name}).encode()
    for attempt in range(1 + RESENDS):
        sent_s = time.time()
        response = send(
            site,
            rng.choice(site.nodes),
            "/v1/services/bookings/book",
            body,
            Idempotency_Key=name,
        )
        record = ActionSend(
            body.decode(),
            name,
            sent_s,
            response.verdict,
            response.status,
            response.body.decode(errors="replace") if response.status == 200 else "",
        )
        with history.lock:
            history.actions.append(record)
            history.unanswered += response.verdict is None
            _record_refusal(history, response.verdict, response)
        resend_completed = attempt == 0 and rng.random() < 0.3
        if response.verdict is Verdict.RAN and not resend_completed:
            return
        time.sleep(PAUSE_S)


def run_operator(
    site: Site, seed: int, number: int, history: History, stop: threading.Event
) -> None:
    """Change the label of one caller repeatedly; record the accepted changes."""
    rng = random.Random(f"{seed}/operator/{number}")
    caller = f"operator-{number}"
    count = 0
    while not stop.wait(OPERATOR_PAUSE_S * rng.random()):
        count += 1
        item = {"id": caller, "labels": {"count": str(count)}}
        status, _ = apply(site, rng.choice(site.nodes), {"callers": [item]})
        with history.lock:
            if status == 200:
                history.accepted_by_item[caller] = str(count)
                history.accepted += 1
            elif status == 409:
                history.conflicts += 1


def apply(site: Site, node: str, change: dict[str, Any]) -> tuple[int, Any]:
    """Send a change; return status and body, or 0 and None without an answer."""
    connection = HTTPConnection(HOST, site.fleet.port(node), timeout=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    path = "/admin/v1/configuration"
    try:
        connection.request("POST", path, json.dumps(change), headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"{}")
    except (OSError, HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


@dataclass(slots=True)
class GenerationRollbacks:
    """The highest generation observed, and every decrease on a running node."""

    highest: int = 0
    found: list[str] = field(default_factory=list)


def watch_generations(
    site: Site, rollbacks: GenerationRollbacks, stop: threading.Event
) -> None:
    """Record every decrease of a node's generation while the node runs."""
    generation_by_process: dict[tuple[str, int], int] = {}
    while not stop.wait(OPERATOR_PAUSE_S / 2):
        for node in site.nodes:
            pid = site.fleet.process_by_name[node].popen.pid
            try:
                generation = site.status(node)["generation"]
            except (OSError, HTTPException, HttpError):
                continue
            before = generation_by_process.get((node, pid), 0)
            if generation < before:
                rollbacks.found.append(f"{node}: {before} -> {generation}")
            generation_by_process[(node, pid)] = generation
            rollbacks.highest = max(rollbacks.highest, generation)


def callers(site: Site) -> Sequence[dict[str, Any]]:
    """Return the callers in the active configuration of the first node."""
    port = site.fleet.port(site.nodes[0])
    connection = HTTPConnection(HOST, port, timeout=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    connection.request("GET", "/admin/v1/configuration", headers=headers)
    active_callers: Sequence[dict[str, Any]] = json.loads(
        connection.getresponse().read()
    )["callers"]
    connection.close()
    return active_callers
