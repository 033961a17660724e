"""What the tasks that forward requests work with, and how far one has come."""

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from camphoryard.coordination.forwarding.choosing import EndpointChooser
from camphoryard.coordination.forwarding.ports import ClientRequest, Upstream
from camphoryard.coordination.forwarding.progress import StreamProgress
from camphoryard.coordination.messages import CrashSeen
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_tally import CrashTally
from camphoryard.coordination.routing.first_events import FirstEvents
from camphoryard.coordination.routing.retry_window import RetryWindow
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, ServiceId, Urgency, Version
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.tables import InFlightTable
from camphoryard.state.traffic import RequestedModel, RouteRule
from camphoryard.state.verdict import Verdict


class DecisionLog(Protocol):
    """Where each decision about a request is written."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line; never blocks."""


class ModelSeeker(Protocol):
    """Has models and adapters loaded that a request needs."""

    def seek(
        self,
        service: ServiceId,
        wanted: RequestedModel,
        deadline_s: float,
        avoid: Collection[EndpointId] = (),
    ) -> ServingEndpoint:
        """Block until ``wanted`` is held somewhere, and return where.

        Endpoints in ``avoid`` could not be reached.

        Raises
        ------
        NotLoadedBeforeDeadlineError
            If it will not be by the deadline.
        """

    def arrived(self, wanted: RequestedModel) -> None:
        """Note a request for ``wanted``."""

    def finished(self, wanted: RequestedModel, held_s: float) -> None:
        """Note that a request for ``wanted`` held a slot for ``held_s`` seconds."""


@dataclass(frozen=True, slots=True)
class ForwardingParts:
    """What a forwarding task works with."""

    directory: Directory
    chooser: EndpointChooser
    in_flight: InFlightTable
    breakers: Breakers
    first_events: FirstEvents
    retries: RetryWindow[ServiceId]
    upstream: Upstream
    models: ModelSeeker
    crashes: CrashTally
    tell_crash: Callable[[CrashSeen], None]
    log: DecisionLog
    observe: Callable[[str, float], None]
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic


@dataclass(slots=True)
class ForwardedRequest:
    """One request on its way: its route and what it has met so far.

    ``due_s`` is when all is over, ``event_due_s`` when the client leaves unless an
    event, or the first byte of a whole answer, has come. ``runs`` counts the
    endpoints at which it may have run, ``sends`` all that it was sent to;
    ``progress`` is what the client has of a stream. ``failed`` are endpoints whose
    call broke, ``unreached`` those of them that took no connection. ``endpoint`` and
    ``urgency`` are those of the last sending; the times, in seconds, are what on-call
    engineers ask for.
    """

    request: ClientRequest
    rule: RouteRule
    rules_version: Version
    service: ServiceId
    due_s: float
    event_due_s: float
    runs: int = 0
    sends: int = 0
    may_have_run: bool = False
    failed: set[EndpointId] = field(default_factory=set)
    progress: StreamProgress = field(default_factory=StreamProgress)
    unreached: set[EndpointId] = field(default_factory=set)
    endpoint: EndpointId | None = None
    loads_awaited_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    urgency: Urgency | None = None

    @property
    def began_s(self) -> float:
        """When the client first sent the request, as far as its deadline tells.

        A client that comes back has less time left than the route allows.
        """
        request = self.request
        left_s = request.deadline_s - request.arrived_s
        return request.arrived_s - max(0.0, self.rule.timeout_s - left_s)

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Whether it may be sent to another endpoint although it may have run."""
        return (
            self.rule.repeatability.may_run_again and self.runs < self.rule.max_attempts
        )
