"""Checks of the limits that replicas name in the history of a soak of entry daemons."""

from bisect import bisect
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import Any

from faults.entry_checks import BUSY_SLACK_S, STABLE_WINDOW_S, SoakHistory

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""Requests that a replica may get in a window beyond `LIMIT_FACTOR` times its limit."""


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A request that reached a replica, which named a limit in its answer if not 0."""

    at_s: float
    node: str
    passed_on_s: float
    limit_per_s: float

    @property
    def has_limit(self) -> bool:
        """Whether the replica named a limit."""
        return self.limit_per_s > 0


def find_limit_violations(history: SoakHistory) -> list[str]:
    """Return the replicas that got more than they take in a window, one line each.

    Only requests of nodes that had passed on such an answer some time before count,
    unless the node was under a fault since.
    """
    violations: list[str] = []
    for replica, lines in history.lines_by_replica.items():
        arrivals = _arrivals(history, replica, lines)
        for has_limit, period in groupby(arrivals, lambda item: item.has_limit):
            if has_limit:
                violations.extend(_beyond(history, replica, list(period)))
    return violations


def _arrivals(
    history: SoakHistory, replica: str, lines: Iterable[Mapping[str, Any]]
) -> Sequence[_Arrival]:
    """Return the requests of clients that reached a replica, in order of time."""
    attempt_by_id = {item.id: item for item in history.attempts}
    arrivals = []
    for line in lines:
        attempt = attempt_by_id.get(line["id"])
        if line["event"] != "arrived" or attempt is None:
            continue
        is_passed_on = attempt.headers.get("server-seal") == f"s.{replica}"
        passed_on_s = attempt.done_s if is_passed_on else float("inf")
        limit_per_s = line.get("limit_per_s", 0.0)
        arrivals.append(_Arrival(line["at_s"], attempt.node, passed_on_s, limit_per_s))
    return sorted(arrivals, key=lambda item: item.at_s)


def _beyond(
    history: SoakHistory, replica: str, period: Sequence[_Arrival]
) -> Iterable[str]:
    """Find the worst window of a period in which a replica named limits all the time.

    The highest limit of a window counts, and of the time before it in which nodes may
    not have heard of a lower one.
    """
    told_s: dict[str, list[float]] = defaultdict(list)
    for item in period:
        told_s[item.node].append(item.passed_on_s)
    bound = [item for item in period if _is_told(history, told_s[item.node], item)]
    times_s = [item.at_s for item in bound]
    worst = 0.0, 0, 0.0, 0.0
    for number, last in enumerate(bound, 1):
        if last.at_s < period[0].at_s + STABLE_WINDOW_S:
            continue
        since_s = last.at_s - LIMIT_WINDOW_S
        count = number - bisect(times_s, since_s)
        limit_per_s = max(
            item.limit_per_s
            for item in period
            if since_s - BUSY_SLACK_S <= item.at_s <= last.at_s
        )
        allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        worst = max(worst, (count - allowed, count, allowed, limit_per_s))
    beyond, count, allowed, limit_per_s = worst
    if beyond > 0:
        yield (
            f"LIMIT: {replica}, which named {limit_per_s:g} a second, got {count} in"
            f" {LIMIT_WINDOW_S:g} s, {allowed:g} allowed"
        )


def _is_told(history: SoakHistory, told_s: Iterable[float], item: _Arrival) -> bool:
    """Return whether the node of a request had passed on an answer with a limit."""
    return any(
        at_s <= item.at_s - BUSY_SLACK_S
        and not history.is_disturbed(item.node, at_s - STABLE_WINDOW_S, item.at_s)
        for at_s in told_s
    )
