"""The collaborators of inference requests, and the progress of one request."""

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
    """The collaborators of an inference request."""

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
    """Tokens delivered and attempts made so far.

    ``offset`` is that of the next token. ``failed`` holds the endpoints to avoid,
    which have failed since the last token; ``attempts_without_token`` counts the
    attempts since then; ``last_token_s`` is its monotonic time in seconds.
    """

    offset: int = 0
    attempts_without_token: int = 0
    last_token_s: float = 0.0
    may_have_run: bool = False
    failed: set[EndpointId] = field(default_factory=set)

    @property
    def verdict(self) -> Verdict:
        """Verdict on whether an endpoint may have run the request."""
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
    """Return the refusal with the verdict of the earlier attempts."""
    return RefusalError(
        refusal.reason,
        refusal.detail,
        progress.verdict,
        refusal.field,
        refusal.retry_after_s,
    )
