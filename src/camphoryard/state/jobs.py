"""Deferrable work that was accepted and is kept until it is done."""

from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.enums import JobState, Reason
from camphoryard.state.ids import (
    AdapterId,
    CallerId,
    Incarnation,
    JobId,
    ModelId,
    ServiceId,
    WriteId,
)
from camphoryard.state.verdict import Verdict


@dataclass(frozen=True, slots=True)
class CompletionWork:
    """A completion to make."""

    model: ModelId
    adapter: AdapterId | None
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class CallWork:
    """An idempotent operation of a plain service to call."""

    service: ServiceId
    operation: str
    body: bytes


Work: TypeAlias = CompletionWork | CallWork

SHARDS = tuple("0123456789abcdef")
"""First character of a job's id; each shard is looked after by one node."""


def record_key(job: JobId) -> str:
    """Return the key of a job's record, below its shard."""
    return f"{job[0]}/{job}"


@dataclass(frozen=True, slots=True)
class JobResult:
    """What came of a job: a service's or a model's answer, or a refusal."""

    body: bytes = b""
    status: int = 0
    reason: Reason | None = None
    detail: str = ""
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True, slots=True)
class Job:
    """A job at one version; exactly one of ``completion`` and ``call`` is set.

    ``holder`` runs it while the state is RUNNING and its lease is alive. The
    times are seconds since the epoch; a job is not tried before ``due_s``.
    """

    id: JobId
    caller: CallerId
    state: JobState
    accepted_s: float
    expires_s: float
    write_id: WriteId
    completion: CompletionWork | None = None
    call: CallWork | None = None
    holder: Incarnation = Incarnation("")
    due_s: float = 0.0
    attempts: int = 0
    result: JobResult | None = None

    @property
    def work(self) -> Work:
        """What is to be done."""
        work = self.completion or self.call
        assert work is not None
        return work
