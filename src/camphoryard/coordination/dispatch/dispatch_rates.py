"""Rates at which endpoints become free for further requests."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, TicketId

RATE_WINDOW_S = 4.0
"""Period over which the rate of dispatched requests is measured."""
INITIAL_RUN_S = 1.0
"""Length of a run that is assumed before any has ended."""
RUN_WEIGHT = 0.05
"""Weight of a run in the average of their lengths."""


@dataclass(frozen=True, slots=True)
class _Run:
    """A dispatched request that occupies its endpoint."""

    endpoint: EndpointId
    rank: int
    since_s: float


@dataclass(slots=True)
class DispatchRates:
    """Rates at which requests can be dispatched, by endpoint and rank.

    An endpoint that is not full gets as many requests as there are, so a rate that was
    measured then is too low. It becomes free as its runs end: the rate is at least the
    number of its runs divided by their average length.
    """

    _run_by_ticket: dict[TicketId, _Run] = field(default_factory=dict)
    _runs_by_endpoint: defaultdict[EndpointId, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    _times_by_endpoint: defaultdict[EndpointId, deque[tuple[float, int]]] = field(
        default_factory=lambda: defaultdict(deque)
    )
    _run_s: float = INITIAL_RUN_S

    def begin(
        self, ticket: TicketId, endpoint: EndpointId, rank: int, now_s: float
    ) -> None:
        """Record that a request of a rank is dispatched."""
        self._run_by_ticket[ticket] = _Run(endpoint, rank, now_s)
        self._runs_by_endpoint[endpoint][rank] += 1
        self._times_by_endpoint[endpoint].append((now_s, rank))

    def end(self, ticket: TicketId, now_s: float) -> None:
        """Record the end of a run, if it is known."""
        run = self._run_by_ticket.pop(ticket, None)
        if run is None:
            return
        self._runs_by_endpoint[run.endpoint][run.rank] -= 1
        self._run_s += RUN_WEIGHT * (now_s - run.since_s - self._run_s)

    def per_s(self, endpoint: EndpointId, rank: int, now_s: float) -> float:
        """Return how many requests of ``rank`` can go to an endpoint in a second.

        They take the places of runs that are not more urgent.
        """
        times = self._times_by_endpoint[endpoint]
        while times and times[0][0] < now_s - RATE_WINDOW_S:
            times.popleft()
        dispatched = sum(other >= rank for _, other in times)
        runs = sum(
            count
            for other, count in self._runs_by_endpoint[endpoint].items()
            if other >= rank
        )
        return max(dispatched / RATE_WINDOW_S, runs / self._run_s)
