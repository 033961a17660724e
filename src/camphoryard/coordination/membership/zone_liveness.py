"""Encoding of the time since each node was last confirmed alive, a byte per node.

The ages of a zone are sent with a hash of the incarnations of its nodes instead of
their names. A receiver that knows the same incarnations reads the bytes in the same
order, and ignores ages with a different hash. Each age thus belongs to exactly one
incarnation, so none is counted twice, by whatever path it was received.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.messages import ZoneLiveness
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeLease

STEPS_PER_SECOND = 10
UNKNOWN_AGE = 255
"""The step of a node with an unknown age, or one too long for a byte."""


@dataclass(frozen=True, slots=True)
class DecodedAges:
    """Ages of the nodes, in seconds, and the zones whose incarnations differ here."""

    age_s_by_node: Mapping[NodeId, float]
    differing_zones: tuple[Zone, ...]


def leases_by_zone(leases: Iterable[NodeLease]) -> dict[Zone, list[NodeLease]]:
    """Return the leases of each zone, sorted by node.

    Seeds are left out: their zone is unknown until they answer.
    """
    by_zone: dict[Zone, list[NodeLease]] = defaultdict(list)
    for lease in sorted(leases, key=lambda lease: lease.node):
        if lease.zone:
            by_zone[lease.zone].append(lease)
    return by_zone


def encode_ages(
    leases: Iterable[NodeLease], age_s_by_node: Mapping[NodeId, float]
) -> tuple[ZoneLiveness, ...]:
    """Return the encoded ages of each zone; a node without an age is unknown."""
    return tuple(
        ZoneLiveness(
            zone,
            _hash_incarnations(known),
            bytes(_to_step(age_s_by_node.get(lease.node)) for lease in known),
        )
        for zone, known in leases_by_zone(leases).items()
    )


def decode_ages(
    zone_ages: Collection[ZoneLiveness], leases: Iterable[NodeLease]
) -> DecodedAges:
    """Return the ages as read by a node that knows ``leases``."""
    known_by_zone = leases_by_zone(leases)
    age_s_by_node: dict[NodeId, float] = {}
    differing_zones = []
    for ages in zone_ages:
        known = known_by_zone.get(ages.zone, [])
        if not _matches(ages, known):
            differing_zones.append(ages.zone)
            continue
        for lease, step in zip(known, ages.steps, strict=True):
            if step != UNKNOWN_AGE:
                age_s_by_node[lease.node] = step / STEPS_PER_SECOND
    return DecodedAges(age_s_by_node, tuple(differing_zones))


def _matches(ages: ZoneLiveness, known: Sequence[NodeLease]) -> bool:
    return len(ages.steps) == len(known) and ages.starts == _hash_incarnations(known)


def _hash_incarnations(leases: Sequence[NodeLease]) -> int:
    text = "\n".join(f"{lease.node}/{lease.incarnation}" for lease in leases)
    return xxh3_64_intdigest(text.encode())


def _to_step(age_s: float | None) -> int:
    """Return an age as a step, rounded up so that it never appears younger."""
    if age_s is None:
        return UNKNOWN_AGE
    return min(math.ceil(age_s * STEPS_PER_SECOND), UNKNOWN_AGE)
