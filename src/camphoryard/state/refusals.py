"""Counts of refusals: what they are counted by, and how they are merged.

The counts of one incarnation only grow, so two copies of them are merged by
taking the larger count of each key, in any order and any number of times.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from camphoryard.state.enums import Reason
from camphoryard.state.ids import Incarnation
from camphoryard.state.labels import Labels


@dataclass(frozen=True, slots=True)
class RefusalKey:
    """What refusals are counted by.

    ``label`` has the caller's labels at the time, as ``key=value`` joined by
    commas; ``minute`` counts from the epoch.
    """

    reason: Reason
    label: str
    minute: int
    caller: str = ""


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """How many refusals there were of one key."""

    key: RefusalKey
    count: int


@dataclass(frozen=True, slots=True)
class RefusalCounts:
    """Counts of one incarnation of a node, each a total so far."""

    incarnation: Incarnation
    counts: tuple[RefusalCount, ...]


def label_text(labels: Labels) -> str:
    """Return labels as one text, the same for the same labels.

    Examples
    --------
    >>> label_text({"shift": "day", "desk": "public"})
    'desk=public,shift=day'
    """
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


def merge_counts(*sheets: Iterable[RefusalCount]) -> tuple[RefusalCount, ...]:
    """Return the larger count of each key; all must be of one incarnation."""
    count_by_key: dict[RefusalKey, int] = {}
    for counts in sheets:
        for item in counts:
            count_by_key[item.key] = max(item.count, count_by_key.get(item.key, 0))
    return tuple(RefusalCount(key, count) for key, count in count_by_key.items())


def total_by_key(sheets: Iterable[RefusalCounts]) -> Mapping[RefusalKey, int]:
    """Return the sums over all incarnations, whose sheets may overlap."""
    counts_by_incarnation: dict[Incarnation, tuple[RefusalCount, ...]] = {}
    for sheet in sheets:
        known = counts_by_incarnation.get(sheet.incarnation, ())
        counts_by_incarnation[sheet.incarnation] = merge_counts(known, sheet.counts)
    totals: dict[RefusalKey, int] = {}
    for counts in counts_by_incarnation.values():
        for item in counts:
            totals[item.key] = totals.get(item.key, 0) + item.count
    return totals
