"""The leader's ledger of the parts of shared limits that nodes hold."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.admission.quota_shares import (
    HOLDING_S,
    TAKE_WITHIN_S,
)
from camphoryard.coordination.admission.sharing_policy import SharingPolicy
from camphoryard.coordination.leadership.leader_lease import LEASE_S, boot_clock_s
from camphoryard.state.ids import FencingNumber, Incarnation, LimitedId, NodeId
from camphoryard.state.quotas import WHOLE, QuotaRenewal, QuotaReport

SCARCE_PARTS = WHOLE // 10
"""Free parts below which nodes keep no unused ones."""
RESERVED_PARTS = WHOLE // 5
"""Free parts that are kept for nodes which need them, not lent as spare ones."""
AHEAD = 4
AHEAD_FRACTION = 16
"""A grant is larger than asked for by as many times the parts, but by no more than this
fraction of those that are free."""
PACE_CAPACITY_PARTS = WHOLE // 4
"""Parts of a limit that may be granted at once, or its burst if that is more. Others
follow at the pace of the limit, so that who suddenly asks for much more uses it over
seconds."""
BACKUPS = 3
BACKUP_SILENCE_S = 2.0
"""Time without a report after which another node is made a backup; four reports."""
STOPPING_S = 2.5
"""Time in which a node that has left the store may still admit requests."""
DROP_PERIOD_S = 0.5
"""Minimum time between two searches for processes that are silent."""


@dataclass(slots=True)
class _Holder:
    """The parts of one process, by its last report, and those granted since.

    ``disputed`` are the limits of which it has reported more than it can hold.
    """

    heard_s: float
    renewed_beat: int = 0
    settled: int = 0
    parts_by_id: dict[LimitedId, int] = field(default_factory=dict)
    grant_by_number: dict[int, Mapping[LimitedId, int]] = field(default_factory=dict)
    disputed: set[LimitedId] = field(default_factory=set)

    def held(self) -> Counter[LimitedId]:
        """Return the most that the process can hold of each limit."""
        held = Counter(self.parts_by_id)
        for granted in self.grant_by_number.values():
            held.update(granted)
        return held

    def apply(self, report: QuotaReport, now_s: float) -> None:
        """Record a report and forget the grants that it includes."""
        self.heard_s = now_s
        self.settled = max(self.settled, report.settled)
        self.parts_by_id = dict(report.parts_by_id)
        for number in tuple(self.grant_by_number):
            if number <= self.settled:
                del self.grant_by_number[number]


@dataclass(slots=True)
class _Pace:
    """Parts of a limit that may be granted now; less than 0 after a large grant."""

    parts: float = math.inf
    capacity: float = 0.0
    updated_s: float = 0.0

    def refill(self, capacity: float, parts_per_s: float, now_s: float) -> None:
        """Add what has become grantable since the last call."""
        added = parts_per_s * (now_s - self.updated_s)
        self.parts = min(self.parts + added, capacity)
        self.capacity, self.updated_s = capacity, now_s

    def allows(self, parts: int) -> bool:
        """Return whether ``parts`` may be granted; large ones when none were lately."""
        return parts <= self.parts or self.parts >= self.capacity

    def plenty(self, parts: int) -> int:
        """Return how much beyond ``parts`` leaves half of the capacity for others."""
        return max(0, int(self.parts - parts - self.capacity / 2))


class QuotaLedger:
    """Counts which process holds how much of each limit, for one term.

    A part is granted again only if its holder has reported that it gave it back, or if
    the holder was not heard of until its parts have lapsed and all units that it had
    admitted have rested for a window. The leader of a later term does not know the
    grants of its predecessor: what no node has reported counts as held by an unknown
    process until every grant of an earlier term has lapsed like that. Once all nodes
    have reported, others can only have been granted to processes that have ended, and
    only their units have to rest.

    Parameters
    ----------
    node : NodeId
        The leader.
    policy : SharingPolicy
        How the limits are shared.
    is_first : bool
        Whether no other leader can have granted anything before.
    clock : callable
        Return seconds, including time during which the VM is suspended.
    burst_parts : callable
        Return the parts of a limit that are its burst.
    """

    def __init__(
        self,
        node: NodeId,
        term: FencingNumber,
        is_first: bool,
        policy: SharingPolicy,
        clock: Callable[[], float] = boot_clock_s,
        burst_parts: Callable[[LimitedId], int] = lambda id: 0,
    ) -> None:
        self.term = term
        self._burst_parts = burst_parts
        self._node = node
        self._clock = clock
        self._pace_parts_per_s = WHOLE / policy.window_s
        self._pace_by_id: defaultdict[LimitedId, _Pace] = defaultdict(_Pace)
        self._lapse_s = HOLDING_S + TAKE_WITHIN_S + policy.rest_s
        # A predecessor that the store has forgotten may act for as long as a lease.
        known_in_s = 0.0 if is_first else LEASE_S + self._lapse_s
        self._all_known_s = clock() + known_in_s
        self._rest_s = policy.rest_s
        self._lendable_parts = policy.lendable_parts
        self._is_complete = False
        self._holder_by_process: dict[tuple[NodeId, Incarnation], _Holder] = {}
        self._held: Counter[LimitedId] = Counter()
        self._claimed: Counter[LimitedId] = Counter()
        self._next_drop_s = clock()

    def observe(
        self,
        node: NodeId,
        incarnation: Incarnation,
        beat: int,
        report: QuotaReport,
        renews: bool,
    ) -> None:
        """Record a report; its parts are renewed if ``renews``.

        Reports of one process have to come in the order of their beats. One that holds
        more than the ledger accounts for is not renewed until it has given that back.
        """
        if report.term != self.term:
            return
        self._drop_silent()
        process = node, incarnation
        holder = self._holder_by_process.get(process)
        is_new = holder is None
        if holder is None:
            holder = self._holder_by_process[process] = _Holder(self._clock())
        before = holder.held()
        for id, parts in report.parts_by_id.items():
            excess = parts - before[id]
            if excess > 0 and not (is_new and self._claim(id, excess)):
                holder.disputed.add(id)
        holder.disputed.intersection_update(report.parts_by_id)
        holder.apply(report, self._clock())
        self._held.subtract(before)
        self._held.update(holder.held())
        if renews and not holder.disputed:
            holder.renewed_beat = beat

    def note_nodes(self, listed: Collection[NodeId]) -> None:
        """Record the nodes that the store lists; any other has ended or is stopping."""
        if self._is_complete:
            return
        heard = {node for node, _ in self._holder_by_process}
        if heard.issuperset(listed):
            self._is_complete = True
            rested_s = self._clock() + STOPPING_S + self._rest_s
            self._all_known_s = min(self._all_known_s, rested_s)

    def grant(
        self,
        node: NodeId,
        incarnation: Incarnation,
        number: int,
        parts_by_id: Mapping[LimitedId, int],
        is_spare: bool = False,
    ) -> Mapping[LimitedId, int]:
        """Return the parts that a process gets which asks for ``parts_by_id``.

        Parts that it needs are granted with a few more, or not at all, and no faster
        than the pace of the limit. Spare ones are granted as far as they leave a
        reserve.
        """
        self._drop_silent()
        holder = self._holder_by_process.get((node, incarnation))
        if holder is None or number <= holder.settled:
            return {}
        if number in holder.grant_by_number:
            return {}
        granted = {}
        for id, parts in parts_by_id.items():
            amount = self._amount(id, parts, is_spare)
            if amount > 0:
                granted[id] = amount
        holder.grant_by_number[number] = granted
        self._held.update(granted)
        return granted

    def free_parts(self, id: LimitedId) -> int:
        """Return how many parts of a limit nobody can hold."""
        free = self._lendable_parts - self._unknown(id) - self._held[id]
        return max(0, free)

    def renewal(self, node: NodeId, incarnation: Incarnation) -> QuotaRenewal | None:
        """Return the answer to the reports of a process, or None if it has none."""
        holder = self._holder_by_process.get((node, incarnation))
        if holder is None or not holder.renewed_beat:
            return None
        scarce = [
            id
            for id, held in self._held.items()
            if held > 0 and self.free_parts(id) < SCARCE_PARTS
        ]
        return QuotaRenewal(holder.renewed_beat, tuple(sorted(scarce)), self._backups())

    def _backups(self) -> tuple[NodeId, ...]:
        """Return the nodes that keep spare parts: others than the leader, all heard."""
        since_s = self._clock() - BACKUP_SILENCE_S
        heard = {
            node
            for (node, _), holder in self._holder_by_process.items()
            if holder.heard_s > since_s and node != self._node
        }
        return tuple(nsmallest(BACKUPS, heard, key=_backup_order))

    def _amount(self, id: LimitedId, parts: int, is_spare: bool) -> int:
        free = self.free_parts(id)
        if is_spare:
            return min(parts, free - RESERVED_PARTS)
        pace = self._pace_by_id[id]
        capacity = max(PACE_CAPACITY_PARTS, self._burst_parts(id))
        pace.refill(capacity, self._pace_parts_per_s, self._clock())
        if parts > free or not pace.allows(parts):
            return 0
        ahead = min(AHEAD * parts, free // AHEAD_FRACTION, pace.plenty(parts))
        amount = min(free, parts + ahead)
        pace.parts -= amount
        return amount

    def _claim(self, id: LimitedId, parts: int) -> bool:
        """Take parts that a process holds from an earlier term; False if too many."""
        claimed = min(parts, self._unknown(id))
        is_free = parts - claimed <= self.free_parts(id)
        self._claimed[id] += claimed
        return is_free

    def _unknown(self, id: LimitedId) -> int:
        if self._clock() >= self._all_known_s:
            return 0
        return self._lendable_parts - self._claimed[id]

    def _drop_silent(self) -> None:
        """Free the parts of processes that were not heard of until all have lapsed."""
        now_s = self._clock()
        if now_s < self._next_drop_s:
            return
        self._next_drop_s = now_s + DROP_PERIOD_S
        since_s = now_s - self._lapse_s
        for process, holder in tuple(self._holder_by_process.items()):
            if holder.heard_s < since_s:
                self._held.subtract(holder.held())
                del self._holder_by_process[process]
        # What nobody holds has rested for a window, so its pace is whole again.
        for id in [id for id, parts in self._held.items() if not parts]:
            del self._held[id]
            self._pace_by_id.pop(id, None)


def _backup_order(node: NodeId) -> int:
    return xxh3_64_intdigest(f"backup/{node}".encode())
