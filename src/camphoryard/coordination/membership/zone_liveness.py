"""How long ago each start of a node was surely there, one byte for a node.

The words of a zone go under a hash of its starts, so that nobody has to be
named: two nodes that know the same starts of a zone read the same bytes, and
words under another hash count for nothing. Each word so stands for one start;
none is counted twice, whatever way it came.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.messages import ZoneWords
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease

STEPS_PER_SECOND = 10
UNHEARD = 255


@dataclass(frozen=True, slots=True)
class ReadWords:
    """Ages, in seconds, of the nodes heard, and the zones known otherwise here."""

    age_s_by_node: Mapping[NodeId, float]
    differing: tuple[Zone, ...]


def starts_by_zone(leases: Iterable[NodeLease]) -> dict[Zone, list[NodeLease]]:
    """Return the leases of each zone, sorted by node; seeds have no zone yet."""
    by_zone: dict[Zone, list[NodeLease]] = defaultdict(list)
    for lease in sorted(leases, key=lambda lease: lease.node):
        if lease.zone:
            by_zone[lease.zone].append(lease)
    return by_zone


def make_words(
    leases: Iterable[NodeLease], age_s_by_node: Mapping[NodeId, float]
) -> tuple[ZoneWords, ...]:
    """Return what is known of each zone; nodes without an age are unheard."""
    return tuple(
        ZoneWords(
            zone,
            _hash_starts(starts),
            bytes(_to_step(age_s_by_node.get(lease.node)) for lease in starts),
        )
        for zone, starts in starts_by_zone(leases).items()
    )


def read_words(words: Collection[ZoneWords], leases: Iterable[NodeLease]) -> ReadWords:
    """Return what the words say to a node that knows ``leases``."""
    known_by_zone = starts_by_zone(leases)
    age_s_by_node: dict[NodeId, float] = {}
    differing = []
    for item in words:
        starts = known_by_zone.get(item.zone, [])
        if not _is_alike(item, starts):
            differing.append(item.zone)
            continue
        for lease, step in zip(starts, item.steps, strict=True):
            if step != UNHEARD:
                age_s_by_node[lease.node] = step / STEPS_PER_SECOND
    return ReadWords(age_s_by_node, tuple(differing))


def _is_alike(words: ZoneWords, starts: Sequence[NodeLease]) -> bool:
    return len(words.steps) == len(starts) and words.starts == _hash_starts(starts)


def _hash_starts(starts: Sequence[NodeLease]) -> int:
    text = "\n".join(f"{lease.node}/{lease.incarnation}" for lease in starts)
    return xxh3_64_intdigest(text.encode())


def _to_step(age_s: float | None) -> int:
    """Return an age rounded up, so that none shrinks on its way."""
    if age_s is None:
        return UNHEARD
    return min(math.ceil(age_s * STEPS_PER_SECOND), UNHEARD)
