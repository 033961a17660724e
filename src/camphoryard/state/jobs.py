"""Jobs: deferrable work that is stored durably until it is done."""

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
    """Work of a job: generate a completion."""

    model: ModelId
    adapter: AdapterId | None
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class CallWork:
    """Work of a job: call an idempotent operation of a plain service."""

    service: ServiceId
    operation: str
    body: bytes


Work: TypeAlias = CompletionWork | CallWork

SHARDS = tuple("0123456789abcdef")
"""First character of a job's id; one node at a time owns each shard."""


def record_key(job: JobId) -> str:
    """Return the key of a job's record, prefixed by its shard."""
    return f"{job[0]}/{job}"


@dataclass(frozen=True, slots=True)
class JobResult:
    """Result of a job: a service's or a model's answer, or a refusal."""

    body: bytes = b""
    status: int = 0
    reason: Reason | None = None
    detail: str = ""
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True, slots=True)
class Job:
    """A job at one version; exactly one of ``completion`` and ``call`` is set.

    ``holder`` runs the job while the state is RUNNING and the holder's lease is
    valid. Times are in seconds since the epoch; no attempt starts before
    ``due_s``.
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
        """The completion or call to run."""
        work = self.completion or self.call
        assert work is not None
        return work
