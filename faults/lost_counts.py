"""Refusals whose counts were stored only on a node that was killed.

A node replicates its counts to peers before it answers and writes them to the object
API within seconds. If it can reach neither and is killed before that changes, its last
counts are lost, since VMs have no persistent storage.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from faults.injections import (
    CutFromPeers,
    CutFromStore,
    CutOff,
    CutTowardsPeers,
    Injection,
    KillAllNodes,
    KillNode,
    StoreOutage,
)

COUNT_WRITE_S = 2.0
"""Counts are written each second, so a node that reaches the object API for this long
has stored them."""


@dataclass(frozen=True, slots=True)
class ReceivedRefusal:
    """A refusal that a caller received at ``at_s``, in seconds of the wall clock."""

    node: str
    at_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class InjectionInterval:
    """An injection and its start and end, in seconds of the wall clock."""

    injection: Injection
    started_s: float
    ended_s: float


def lost_by_reason(
    refusals: Iterable[ReceivedRefusal], intervals: Sequence[InjectionInterval]
) -> Counter[str]:
    """Return how many refusals may be missing from the counts, by reason."""
    return Counter(
        refusal.reason
        for refusal in refusals
        if any(_is_lost(refusal, interval, intervals) for interval in intervals)
    )


def _is_lost(
    refusal: ReceivedRefusal,
    kill: InjectionInterval,
    intervals: Sequence[InjectionInterval],
) -> bool:
    """Return whether a kill lost a refusal that was stored only on its node."""
    match kill.injection:
        case KillNode(node, _) if node == refusal.node:
            without_peers = [
                interval for interval in intervals if _cuts_peers(interval, node)
            ]
        case KillAllNodes():
            # Its peers are killed at the same time, so none of them keeps the counts.
            without_peers = [
                InjectionInterval(kill.injection, refusal.at_s, kill.started_s)
            ]
        case _:
            return False
    if not refusal.at_s <= kill.started_s:
        return False
    without_store = [
        interval for interval in intervals if _cuts_store(interval, refusal.node)
    ]
    return (
        _uncovered_s(refusal.at_s, kill.started_s, without_peers) == 0.0
        and _uncovered_s(refusal.at_s, kill.started_s, without_store) < COUNT_WRITE_S
    )


def _cuts_peers(interval: InjectionInterval, node: str) -> bool:
    match interval.injection:
        case CutOff(cut, _, _) | CutFromPeers(cut, _, _) | CutTowardsPeers(cut, _, _):
            return cut == node
        case _:
            return False


def _cuts_store(interval: InjectionInterval, node: str) -> bool:
    match interval.injection:
        case CutOff(cut, _, _) | CutFromStore(cut, _, _):
            return cut == node
        case StoreOutage():
            return True
        case _:
            return False


def _uncovered_s(
    started_s: float, ended_s: float, intervals: Iterable[InjectionInterval]
) -> float:
    """Return the seconds of a period that none of ``intervals`` covers."""
    uncovered_s = 0.0
    at_s = started_s
    for interval in sorted(intervals, key=lambda item: item.started_s):
        uncovered_s += max(0.0, min(interval.started_s, ended_s) - at_s)
        at_s = max(at_s, min(interval.ended_s, ended_s))
    return uncovered_s + max(0.0, ended_s - at_s)
