"""Collaborators of the forwarding tasks, and the state of a forwarded request."""

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.dispatch.turns import EngineTurns, OwnChoice, TakenTurn
from camphoryard.coordination.forwarding.account_counts import AccountCounts
from camphoryard.coordination.forwarding.endpoint_chooser import EndpointChooser
from camphoryard.coordination.forwarding.in_progress import InProgress
from camphoryard.coordination.forwarding.ports import (
    ClientReply,
    ClientRequest,
    Upstream,
)
from camphoryard.coordination.forwarding.progress import StreamProgress
from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_counter import CrashCounter, fingerprint
from camphoryard.coordination.routing.crashed_parts import (
    CrashedParts,
    Suspect,
    crashing_parts,
)
from camphoryard.coordination.routing.endpoint_notices import EndpointNotices
from camphoryard.coordination.routing.first_events import FirstEventTracker
from camphoryard.coordination.routing.recent_failures import RecentFailures
from camphoryard.coordination.routing.retry_window import RetryWindow
from camphoryard.state.accounts import Account
from camphoryard.state.directory import Directory
from camphoryard.state.ids import (
    EndpointId,
    Fingerprint,
    PromptPartId,
    ServiceId,
    Urgency,
    Version,
)
from camphoryard.state.quotas import Admitted, QuotaDecision
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.tables import InFlightTable
from camphoryard.state.traffic import RequestedModel, RouteRule
from camphoryard.state.verdict import Verdict

MIN_FIRST_DEADLINE_SHARE = 0.85
"""Least share of a route's timeout that a client's first deadline has."""
MIN_RETURN_S = 0.2
"""Clients that come back do so later than this after they first sent a request."""


class ModelLocator(Protocol):
    """Finds or loads the model and adapter that a request needs."""

    def locate(
        self,
        service: ServiceId,
        requested_model: RequestedModel,
        deadline_s: float,
        avoid: Collection[EndpointId] = (),
        has_begun: bool = False,
    ) -> ServingEndpoint:
        """Block until an endpoint has ``requested_model`` loaded, and return it.

        Endpoints in ``avoid`` could not be reached. A request whose answer
        ``has_begun`` is not refused because this node stops.

        Raises
        ------
        NotLoadedBeforeDeadlineError
            If the model will not be loaded by ``deadline_s``, a monotonic time.
        """

    def arrived(self, requested_model: RequestedModel) -> None:
        """Record the arrival of a request for ``requested_model``."""

    def finished(self, requested_model: RequestedModel, slot_time_s: float) -> None:
        """Record that a request for the model occupied a slot for ``slot_time_s`` s."""


class AccountQuotas(Protocol):
    """Admits the requests of accounts up to their quotas."""

    def admit(self, account: Account | None, tokens: int) -> QuotaDecision:
        """Decide on a request with that sum of token counts, and count it if admitted.

        Waits for a short time for the leader if this node alone cannot admit it.
        """

    def refund(self, admitted: Admitted) -> None:
        """Give back what an admitted request has used, as it has not run."""


class NoQuotas:
    """Admits all requests; see the AccountQuotas port."""

    def admit(self, account: Account | None, tokens: int) -> QuotaDecision:
        """Admit a request."""
        return Admitted()

    def refund(self, admitted: Admitted) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Collaborators of a forwarding task."""

    directory: Directory
    chooser: EndpointChooser
    in_flight: InFlightTable
    breakers: Breakers
    first_events: FirstEventTracker
    retries: RetryWindow[ServiceId]
    upstream: Upstream
    models: ModelLocator
    crashes: CrashCounter
    crashed_parts: CrashedParts
    notices: EndpointNotices
    broadcast_crash: Callable[[CrashReport], None]
    log: DecisionLog
    observe: Callable[[str, float], None]
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic
    in_progress: InProgress["RequestInProgress"] = field(default_factory=InProgress)
    recent_failures: RecentFailures = field(default_factory=RecentFailures)
    account_counts: AccountCounts = field(default_factory=AccountCounts)
    quotas: AccountQuotas = field(default_factory=NoQuotas)
    turns: EngineTurns = field(default_factory=OwnChoice)


@dataclass(slots=True)
class ForwardedRequest:
    """One request while it is forwarded: its route and its progress.

    ``deadline_s`` is when the request as a whole ends; ``event_deadline_s`` is when
    the client leaves unless it has received an event or the first byte of a whole
    answer. ``account`` holds the client's key; there are none unless
    ``has_accounts``. ``runs`` counts the endpoints at which the request may have run,
    ``sends`` all endpoints that it was sent to. ``progress`` is the part of a stream
    that the client has received. ``failed`` contains the endpoints whose call failed,
    ``unreached`` those of them that accepted no connection. ``endpoint`` and
    ``urgency`` are those of the last send, and ``view_age_s`` is how old the view of
    the endpoints may have been then.
    ``has_begun_answer`` is True if the last endpoint has begun to answer with success,
    ``is_answered`` if it has sent enough to show that the request does not crash it.
    ``crashing_parts`` are the parts of the prompt that other requests may share,
    ``suspects`` are those and the request itself.
    ``turn`` is a turn at an endpoint whose end has not been reported.
    ``load_wait_s``, ``first_event_s`` and ``longest_gap_s`` are written to the request
    log for on-call engineers. Deadlines are monotonic times; all times are in seconds.
    """

    request: ClientRequest
    rule: RouteRule
    rules_version: Version
    service: ServiceId
    deadline_s: float
    event_deadline_s: float
    account: Account | None = None
    has_accounts: bool = False
    runs: int = 0
    sends: int = 0
    may_have_run: bool = False
    failed: set[EndpointId] = field(default_factory=set)
    progress: StreamProgress = field(default_factory=StreamProgress)
    unreached: set[EndpointId] = field(default_factory=set)
    endpoint: EndpointId | None = None
    load_wait_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    urgency: Urgency | None = None
    view_age_s: float = 0.0
    has_begun_answer: bool = False
    is_answered: bool = False
    turn: TakenTurn | None = None
    fingerprint: Fingerprint = field(init=False)
    crashing_parts: tuple[PromptPartId, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.fingerprint = fingerprint(self.request)
        self.crashing_parts = crashing_parts(self.request.prompt_parts)

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """Shared parts and the request itself; none without shared parts."""
        if not self.crashing_parts:
            return ()
        return *self.crashing_parts, self.fingerprint

    @property
    def rank(self) -> int:
        """Urgency of the account, else of the route; 0 goes first."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.rule.rank

    @property
    def first_sent_s(self) -> float:
        """Monotonic time at which the client first sent the request.

        Derived from the deadline: a client that retries has less time left. Clients'
        deadlines also differ, so only one far below the route's timeout tells.
        """
        request = self.request
        left_s = request.deadline_s - request.arrived_s
        least_s = self.rule.timeout_s * MIN_FIRST_DEADLINE_SHARE
        return request.arrived_s - max(0.0, least_s - left_s)

    @property
    def has_returned(self) -> bool:
        """Whether the client has sent the request before, by its shorter deadline."""
        return self.request.arrived_s - self.first_sent_s > MIN_RETURN_S

    @property
    def has_begun(self) -> bool:
        """Whether the client has received a part of its answer."""
        return self.progress.has_begun

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Whether the request may be sent again although it may have run."""
        return (
            self.rule.repeatability.may_run_again and self.runs < self.rule.max_attempts
        )


@dataclass(frozen=True, slots=True, eq=False)
class RequestInProgress:
    """A forwarded request, its cancellation and the answer that its client gets."""

    forwarded: ForwardedRequest
    cancellation: Cancellation
    reply: ClientReply
