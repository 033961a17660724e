"""Checks of the quotas of accounts in the history of a soak of entry daemons."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise

from faults.entry_checks import APPLY_S, BUSY_SLACK_S, SoakHistory

QUOTA_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class WrittenQuotas:
    """The limits of accounts in one version: requests in a window, over all nodes.

    ``at_s`` is when its write began, ``confirmed_s`` when the store acknowledged it.
    """

    at_s: float
    confirmed_s: float
    limit_by_account: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class _Run:
    """A request that ran: when its client sent it, and when it reached a replica."""

    sent_s: float
    arrived_s: float


def find_quota_violations(
    history: SoakHistory, versions: Sequence[WrittenQuotas]
) -> list[str]:
    """Return the accounts that got more than their limit in a window, one line each.

    Requests count that are sent and reach a replica which runs them within the window,
    whichever node they went through.
    """
    violations = []
    for account, runs in _runs_by_account(history).items():
        beyond, count, allowed = _worst_window(history, versions, account, runs)
        if beyond > 0:
            violations.append(f"QUOTA: {count} of {account}, {allowed:g} allowed")
    return violations


def _worst_window(
    history: SoakHistory,
    versions: Sequence[WrittenQuotas],
    account: str,
    runs: Sequence[_Run],
) -> tuple[float, int, float]:
    worst = -math.inf, 0, 0.0
    for last in runs:
        since_s = last.arrived_s - QUOTA_WINDOW_S
        count = sum(
            run.sent_s >= since_s and run.arrived_s <= last.arrived_s for run in runs
        )
        allowed = max(
            version.limit_by_account.get(account, math.inf)
            for version in _in_force(history, versions, since_s, last.arrived_s)
        )
        worst = max(worst, (count - allowed, count, allowed))
    return worst


def _in_force(
    history: SoakHistory,
    versions: Sequence[WrittenQuotas],
    from_s: float,
    until_s: float,
) -> Iterable[WrittenQuotas]:
    """Return the versions that some node may have had within a span of time.

    A version binds in windows that begin after all nodes had the time to apply it in
    touch.
    """
    for version, following in pairwise([*versions, None]):
        assert version is not None
        ended_s = math.inf
        if following is not None:
            applied_s = following.confirmed_s + APPLY_S + BUSY_SLACK_S
            if _are_in_touch(history, following.confirmed_s, applied_s):
                ended_s = applied_s
        if version.at_s <= until_s and from_s < ended_s:
            yield version


def _are_in_touch(history: SoakHistory, from_s: float, until_s: float) -> bool:
    nodes = {item.node for item in history.attempts}
    return all(history.is_in_touch(node, from_s, until_s) for node in nodes)


def _runs_by_account(history: SoakHistory) -> Mapping[str, list[_Run]]:
    """Return the first arrival of each request that ran, by the account it ran for."""
    sent_s_by_id = {item.id: item.sent_s for item in history.attempts}
    ran = {
        (replica, line["id"])
        for replica, lines in history.lines_by_replica.items()
        for line in lines
        if line["event"] == "ran"
    }
    runs: dict[str, list[_Run]] = defaultdict(list)
    seen: set[str] = set()
    arrivals = sorted(history.arrivals(), key=lambda item: float(item[1]["at_s"]))
    for replica, line in arrivals:
        id, account = line["id"], line.get("account")
        if account and id in sent_s_by_id and id not in seen and (replica, id) in ran:
            seen.add(id)
            runs[account].append(_Run(sent_s_by_id[id], line["at_s"]))
    return runs
