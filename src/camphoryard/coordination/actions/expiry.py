"""Deletes what has been kept long enough: claims, jobs, refusals, leases.

One node does so for all, a part each second with a bound on deletions, so that
the cost does not grow with the fleet. Deletions are conditional; two nodes that
both believe it is their turn do no harm.
"""

import itertools
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias, TypeVar

from camphoryard.coordination.ports import Records, Timer
from camphoryard.coordination.residency.ownership import rendezvous_owner
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState, NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import NodeId
from camphoryard.state.jobs import SHARDS, Job
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCounts

SWEEP_PERIOD_S = 1.0
MAX_DELETIONS_A_SWEEP = 20
SECONDS_PER_HOUR = 3600.0
CLAIMS_KEPT_S = 24 * SECONDS_PER_HOUR
CLOCK_SKEW_MARGIN_S = SECONDS_PER_HOUR
RELEASED_KEPT_S = SECONDS_PER_HOUR
REFUSALS_KEPT_HOURS = 35 * 24
REFUSAL_HOURS_SWEPT = 48

RecordT = TypeVar("RecordT")


@dataclass(frozen=True, slots=True)
class ClaimsUnder:
    """Claims whose key begins with ``prefix``."""

    prefix: str


@dataclass(frozen=True, slots=True)
class JobsUnder:
    """Finished jobs of one shard."""

    shard: str


@dataclass(frozen=True, slots=True)
class RefusalsBefore:
    """Refusals of the hours just before the oldest one kept."""


@dataclass(frozen=True, slots=True)
class StaleLeases:
    """Leases of nodes that are gone."""


Part: TypeAlias = ClaimsUnder | JobsUnder | RefusalsBefore | StaleLeases

PARTS: tuple[Part, ...] = (
    *(ClaimsUnder(first + second) for first in SHARDS for second in SHARDS),
    *(JobsUnder(shard) for shard in SHARDS),
    RefusalsBefore(),
    StaleLeases(),
)


@dataclass(frozen=True, slots=True)
class ExpiryContext:
    """What is swept, and who does it."""

    node: NodeId
    nodes: NodeTable
    claims: Records[Claim]
    finished_jobs: Records[Job]
    refusals: Records[RefusalCounts]
    leases: Records[NodeLease]
    is_stale: Callable[[NodeLease], bool]


def run_expiry(parts: ExpiryContext, timer: Timer) -> None:
    """Sweep a part each second, while it is this node's turn."""
    rotation = itertools.cycle(PARTS)
    for _ in timer.every(SWEEP_PERIOD_S):
        if not _is_my_turn(parts):
            continue
        try:
            sweep(parts, next(rotation), time.time())
        except StoreUnavailableError:
            continue


def sweep(parts: ExpiryContext, part: Part, now_s: float) -> None:
    """Delete what has expired in one part, up to a bound.

    Raises
    ------
    StoreUnavailableError
        If the object API does not answer.
    """
    match part:
        case ClaimsUnder(prefix):
            _delete(parts.claims, prefix, lambda claim: _is_old(claim, now_s))
        case JobsUnder(shard):
            _delete(parts.finished_jobs, f"{shard}/", lambda job: job.expires_s < now_s)
        case RefusalsBefore():
            for hour in _expired_hours(now_s):
                _delete(parts.refusals, f"{hour}/", lambda sheet: True)
        case StaleLeases():
            _delete(parts.leases, "", parts.is_stale)


def _is_my_turn(parts: ExpiryContext) -> bool:
    serving = [
        lease.node for lease in parts.nodes.alive() if lease.state is NodeState.SERVING
    ]
    return bool(serving) and rendezvous_owner("expiry", serving) == parts.node


def _is_old(claim: Claim, now_s: float) -> bool:
    """Return whether a claim may go.

    A released one only makes writes lose that are still under way.
    """
    if claim.state is ClaimState.RELEASED:
        return claim.at_s + RELEASED_KEPT_S < now_s
    return claim.at_s + CLAIMS_KEPT_S + CLOCK_SKEW_MARGIN_S < now_s


def _expired_hours(now_s: float) -> Iterator[int]:
    last = int(now_s // SECONDS_PER_HOUR) - REFUSALS_KEPT_HOURS
    yield from range(last - REFUSAL_HOURS_SWEPT, last)


def _delete(
    records: Records[RecordT], prefix: str, is_old: Callable[[RecordT], bool]
) -> None:
    old = (
        item
        for item in records.list(prefix).items
        if item.record is not None and is_old(item.record)
    )
    for item in itertools.islice(old, MAX_DELETIONS_A_SWEEP):
        try:
            records.delete(item.key, item.version)
        except ConflictError:
            continue
