"""What the tasks of inference requests work with, and how far one has come."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.coordination.admission.admission import Admission
from camphoryard.coordination.admission.concurrency_limits import ConcurrencyLimits
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Engines
from camphoryard.coordination.residency.residency_client import ResidencyClient
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.leaving_endpoints import LeavingEndpoints
from camphoryard.coordination.routing.retry_budget import RetryBudget
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import EndpointId, GroupId
from camphoryard.state.requests import InferenceRequest, TokenFrame
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.verdict import Verdict

Deliver: TypeAlias = Callable[[TokenFrame], None]


@dataclass(frozen=True, slots=True)
class InferenceContext:
    """What an inference task works with."""

    configuration: ConfigurationHolder
    table: EndpointTable
    limits: ConcurrencyLimits
    admission: Admission
    breakers: Breakers
    leaving: LeavingEndpoints
    retries: RetryBudget[GroupId]
    suspects: Suspects
    residency: ResidencyClient
    demand: DemandMeter
    engines: Engines
    timeline: Timeline


@dataclass(slots=True)
class Progress:
    """What one request has got and met so far; ``offset`` is the next token's."""

    offset: int = 0
    fruitless: int = 0
    may_have_run: bool = False
    failed: set[EndpointId] = field(default_factory=set)

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


def check_total_deadline(request: InferenceRequest, progress: Progress) -> None:
    """Raise RefusalError if the request's total deadline has passed."""
    if time.monotonic() >= request.total_deadline_s:
        raise RefusalError(
            Reason.DEADLINE,
            f"the total deadline passed after {progress.offset} tokens",
            progress.verdict,
        )


def with_verdict(refusal: RefusalError, progress: Progress) -> RefusalError:
    """Return the refusal with what earlier attempts make of its verdict."""
    return RefusalError(
        refusal.reason,
        refusal.detail,
        progress.verdict,
        refusal.field,
        refusal.retry_after_s,
    )
