"""Checks the verdicts that callers received against the logs of services and engines.

A history identifies each action by its body and each completion by its prompt, so
both must be unique within one history.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from camphoryard.state.verdict import Verdict
from standins.engine import expected_answer

ANSWER_NOT_STORED_STATUS = 410
"""Status of a resend whose action ran but whose answer was too large to store."""

ItemT = TypeVar("ItemT")


class ViolationKind(Enum):
    """Kinds of contradictions between the received answers and the logs."""

    NOT_RUN_BUT_RAN = "not run, but ran"
    RAN_TWICE = "ran twice"
    RAN_BEFORE_SENT = "ran before it was sent"
    RAN_BUT_NO_RUN = "ran, but no run is logged"
    ANSWERS_DIFFER = "answers of one action differ"
    NOT_WHOLE = "answer is incomplete"
    NOT_COUNTED = "refusal not counted"
    OVERCOUNTED = "more refusals counted than possible"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation; ``subject`` is an action body, a prompt or a refusal reason."""

    kind: ViolationKind
    subject: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ActionSend:
    """One send of a non-idempotent action and the answer to its caller.

    ``verdict`` is None if the caller received no answer; ``sent_s`` is in seconds of
    the wall clock, as in the services' logs.
    """

    body: str
    key: str
    sent_s: float
    verdict: Verdict | None
    status: int = 0
    answer: str = ""


@dataclass(frozen=True, slots=True)
class CompletionSend:
    """One completion request and the answer to its caller."""

    prompt: str
    max_tokens: int
    sent_s: float
    verdict: Verdict | None
    text: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """One run logged by a service or an engine."""

    subject: str
    at_s: float


def service_runs(control: Mapping[str, Any]) -> tuple[Run, ...]:
    """Return the runs listed by the control endpoint of a plain service."""
    return tuple(Run(item["body"], item["at_s"]) for item in control["executions"])


def engine_runs(control: Mapping[str, Any]) -> tuple[Run, ...]:
    """Return the runs listed by the control endpoint of a model engine."""
    return tuple(Run(item["prompt"], item["at_s"]) for item in control["log"])


def check_actions(
    sends: Iterable[ActionSend], runs: Iterable[Run]
) -> tuple[Violation, ...]:
    """Return every violation among actions, which may run at most once."""
    sends_by_body = _group_by(sends, lambda item: item.body)
    runs_by_body = _group_by(runs, lambda item: item.subject)
    violations: list[Violation] = []
    for body in sorted({*sends_by_body, *runs_by_body}):
        violations.extend(_check_action(body, sends_by_body[body], runs_by_body[body]))
    return tuple(violations)


def check_completions(
    sends: Iterable[CompletionSend], runs: Iterable[Run]
) -> tuple[Violation, ...]:
    """Return every violation among completions, which may run more than once."""
    runs_by_prompt = _group_by(runs, lambda item: item.subject)
    violations: list[Violation] = []
    for send in sends:
        ran = runs_by_prompt[send.prompt]
        if send.verdict is Verdict.NOT_RUN and ran:
            violations.append(Violation(ViolationKind.NOT_RUN_BUT_RAN, send.prompt))
        if send.verdict is Verdict.RAN:
            violations.extend(_check_text(send))
    return tuple(violations)


def _check_action(
    body: str, sends: Sequence[ActionSend], runs: Sequence[Run]
) -> Iterator[Violation]:
    if len(runs) > 1:
        yield Violation(ViolationKind.RAN_TWICE, body, f"{len(runs)} runs")
    for run in runs:
        yield from _check_run(sends, run)
    ran = [item for item in sends if item.verdict is Verdict.RAN]
    if ran and not runs:
        yield Violation(ViolationKind.RAN_BUT_NO_RUN, body)
    answers = {
        (item.status, item.answer)
        for item in ran
        if item.status != ANSWER_NOT_STORED_STATUS
    }
    if len(answers) > 1:
        yield Violation(ViolationKind.ANSWERS_DIFFER, body, str(sorted(answers)))


def _check_run(sends: Sequence[ActionSend], run: Run) -> Iterator[Violation]:
    """Check that an earlier send without the verdict "not run" explains a run."""
    earlier = [item for item in sends if item.sent_s <= run.at_s]
    if not earlier:
        yield Violation(ViolationKind.RAN_BEFORE_SENT, run.subject)
    elif all(item.verdict is Verdict.NOT_RUN for item in earlier):
        yield Violation(ViolationKind.NOT_RUN_BUT_RAN, run.subject)


def _check_text(send: CompletionSend) -> Iterator[Violation]:
    expected = expected_answer(send.prompt, send.max_tokens)
    if send.text != expected:
        detail = f"{len(send.text)} of {len(expected)} characters, or different text"
        yield Violation(ViolationKind.NOT_WHOLE, send.prompt, detail)


def _group_by(
    items: Iterable[ItemT], key: Callable[[ItemT], str]
) -> defaultdict[str, list[ItemT]]:
    items_by_key: defaultdict[str, list[ItemT]] = defaultdict(list)
    for item in items:
        items_by_key[key(item)].append(item)
    return items_by_key
