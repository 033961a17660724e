"""Checks of the quotas of accounts in the history of a soak of entry daemons."""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import zip_longest

from faults.entry_checks import APPLY_S, BUSY_SLACK_S, SoakHistory

QUOTA_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class _Run:
    """A request that ran: when its client sent it, and when it reached a replica."""

    sent_s: float
    arrived_s: float


@dataclass(frozen=True, slots=True)
class _Version:
    """Limits that some node may have had within a span of time."""

    from_s: float
    until_s: float
    limit_by_account: Mapping[str, float]


def find_quota_violations(history: SoakHistory) -> list[str]:
    """Return the accounts that got more than their limit in a window, one line each.

    Requests count that are sent and reach a replica which runs them within the window,
    whichever node they went through.
    """
    versions = _versions(history)
    violations = []
    for account, runs in _runs_by_account(history).items():
        beyond, count, allowed = _worst_window(versions, account, runs)
        if beyond > 0:
            violations.append(f"QUOTA: {count} of {account}, {allowed:g} allowed")
    return violations


def _worst_window(
    versions: Sequence[_Version], account: str, runs: Sequence[_Run]
) -> tuple[float, int, float]:
    worst = -math.inf, 0, 0.0
    for last in runs:
        since_s = last.arrived_s - QUOTA_WINDOW_S
        count = sum(
            run.sent_s >= since_s and run.arrived_s <= last.arrived_s for run in runs
        )
        allowed = max(
            version.limit_by_account.get(account, math.inf)
            for version in versions
            if version.from_s <= last.arrived_s and since_s < version.until_s
        )
        worst = max(worst, (count - allowed, count, allowed))
    return worst


def _versions(history: SoakHistory) -> list[_Version]:
    """Return the limits of each version, with the time for which they may be in force.

    The next version binds in windows that begin after all nodes had the time to apply
    it in touch.
    """
    versions = []
    numbers = sorted(history.keys_by_version)
    for number, following in zip_longest(numbers, numbers[1:]):
        confirmed_s = history.confirmed_s.get(following)
        until_s = math.inf
        if confirmed_s is not None:
            applied_s = confirmed_s + APPLY_S + BUSY_SLACK_S
            if _are_in_touch(history, confirmed_s, applied_s):
                until_s = applied_s
        written = history.keys_by_version[number]
        versions.append(_Version(written.at_s, until_s, written.limit_by_account))
    return versions


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
