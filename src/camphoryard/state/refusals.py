"""Counts of refusals, their keys, and how copies of them are merged.

The counts of one incarnation only grow. Copies are therefore merged by taking
the larger count of each key; the order and number of merges do not matter.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason
from camphoryard.state.ids import Incarnation
from camphoryard.state.labels import Labels


@dataclass(frozen=True, slots=True)
class RefusalKey:
    """Key by which refusals are counted.

    ``label`` is the caller's labels at the time, as ``key=value`` joined by
    commas; ``minute`` is in minutes since the epoch.
    """

    reason: Reason
    label: str
    minute: int
    caller: str = ""


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """Number of refusals with one key."""

    key: RefusalKey
    count: int


@dataclass(frozen=True, slots=True)
class RefusalCounts:
    """Total counts of one incarnation of a node so far."""

    incarnation: Incarnation
    counts: tuple[RefusalCount, ...]


def label_text(labels: Labels) -> str:
    """Return labels as text; equal labels give equal texts.

    Examples
    --------
    >>> label_text({"shift": "day", "desk": "public"})
    'desk=public,shift=day'
    """
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


def merge_counts(*copies: Iterable[RefusalCount]) -> tuple[RefusalCount, ...]:
    """Return the larger count of each key; all are of one incarnation."""
    count_by_key: dict[RefusalKey, int] = {}
    for counts in copies:
        for item in counts:
            count_by_key[item.key] = max(item.count, count_by_key.get(item.key, 0))
    return tuple(RefusalCount(key, count) for key, count in count_by_key.items())


def total_by_key(copies: Iterable[RefusalCounts]) -> Mapping[RefusalKey, int]:
    """Return the totals over all incarnations.

    Several copies of the counts of one incarnation count once.
    """
    counts_by_incarnation: dict[Incarnation, tuple[RefusalCount, ...]] = {}
    for copy in copies:
        known = counts_by_incarnation.get(copy.incarnation, ())
        counts_by_incarnation[copy.incarnation] = merge_counts(known, copy.counts)
    totals: dict[RefusalKey, int] = {}
    for counts in counts_by_incarnation.values():
        for item in counts:
            totals[item.key] = totals.get(item.key, 0) + item.count
    return totals
