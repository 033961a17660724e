"""Deletes expired records: claims, finished jobs, refusal counts and stale leases.

One node sweeps for the fleet, one partition each second with a limit on deletions,
so that the cost does not grow with the fleet. Deletions are conditional, so two
nodes that sweep at the same time do no harm.
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
MAX_DELETIONS_PER_SWEEP = 20
SECONDS_PER_HOUR = 3600.0
CLAIM_RETENTION_S = 24 * SECONDS_PER_HOUR
CLOCK_SKEW_MARGIN_S = SECONDS_PER_HOUR
RELEASED_CLAIM_RETENTION_S = SECONDS_PER_HOUR
REFUSAL_RETENTION_HOURS = 35 * 24
EXPIRED_HOURS_PER_SWEEP = 48

RecordT = TypeVar("RecordT")


@dataclass(frozen=True, slots=True)
class ClaimsWithPrefix:
    """Claims whose key begins with ``prefix``."""

    prefix: str


@dataclass(frozen=True, slots=True)
class FinishedJobsInShard:
    """Finished jobs of one shard."""

    shard: str


@dataclass(frozen=True, slots=True)
class ExpiredRefusals:
    """Refusal counts of the hours just before the retention period."""


@dataclass(frozen=True, slots=True)
class StaleLeases:
    """Leases of nodes that are no longer running."""


Partition: TypeAlias = (
    ClaimsWithPrefix | FinishedJobsInShard | ExpiredRefusals | StaleLeases
)

PARTITIONS: tuple[Partition, ...] = (
    *(ClaimsWithPrefix(first + second) for first in SHARDS for second in SHARDS),
    *(FinishedJobsInShard(shard) for shard in SHARDS),
    ExpiredRefusals(),
    StaleLeases(),
)


@dataclass(frozen=True, slots=True)
class ExpiryContext:
    """The records to sweep and the collaborators of the sweep."""

    node: NodeId
    nodes: NodeTable
    claims: Records[Claim]
    finished_jobs: Records[Job]
    refusals: Records[RefusalCounts]
    leases: Records[NodeLease]
    is_stale: Callable[[NodeLease], bool]


def run_expiry(context: ExpiryContext, timer: Timer) -> None:
    """Sweep a partition each second while this node is the one that sweeps."""
    partitions = itertools.cycle(PARTITIONS)
    for _ in timer.every(SWEEP_PERIOD_S):
        if not _is_sweeper(context):
            continue
        try:
            sweep(context, next(partitions), time.time())
        except StoreUnavailableError:
            continue


def sweep(context: ExpiryContext, partition: Partition, now_s: float) -> None:
    """Delete expired records of one partition, up to a limit.

    Raises
    ------
    StoreUnavailableError
        If the object API does not answer.
    """
    match partition:
        case ClaimsWithPrefix(prefix):
            _delete(
                context.claims, prefix, lambda claim: _is_claim_expired(claim, now_s)
            )
        case FinishedJobsInShard(shard):
            _delete(
                context.finished_jobs, f"{shard}/", lambda job: job.expires_s < now_s
            )
        case ExpiredRefusals():
            for hour in _expired_hours(now_s):
                _delete(context.refusals, f"{hour}/", lambda counts: True)
        case StaleLeases():
            _delete(context.leases, "", context.is_stale)


def _is_sweeper(context: ExpiryContext) -> bool:
    serving_nodes = [
        lease.node
        for lease in context.nodes.alive()
        if lease.state is NodeState.SERVING
    ]
    return (
        bool(serving_nodes)
        and rendezvous_owner("expiry", serving_nodes) == context.node
    )


def _is_claim_expired(claim: Claim, now_s: float) -> bool:
    """Return whether a claim may be deleted.

    A released claim is kept only to make late writes of the original claim fail,
    so its retention is shorter.
    """
    if claim.state is ClaimState.RELEASED:
        return claim.at_s + RELEASED_CLAIM_RETENTION_S < now_s
    return claim.at_s + CLAIM_RETENTION_S + CLOCK_SKEW_MARGIN_S < now_s


def _expired_hours(now_s: float) -> Iterator[int]:
    first_retained_hour = int(now_s // SECONDS_PER_HOUR) - REFUSAL_RETENTION_HOURS
    yield from range(first_retained_hour - EXPIRED_HOURS_PER_SWEEP, first_retained_hour)


def _delete(
    records: Records[RecordT], prefix: str, is_expired: Callable[[RecordT], bool]
) -> None:
    expired = (
        item
        for item in records.list(prefix).items
        if item.record is not None and is_expired(item.record)
    )
    for item in itertools.islice(expired, MAX_DELETIONS_PER_SWEEP):
        try:
            records.delete(item.key, item.version)
        except ConflictError:
            continue
