"""One node's parts of the limits that all nodes share."""

import math
import threading
from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush

from camphoryard.coordination.admission.sharing_policy import SharingPolicy
from camphoryard.coordination.leadership.leader_lease import boot_clock_s
from camphoryard.state.ids import FencingNumber, LimitedId
from camphoryard.state.quotas import WHOLE, QuotaRenewal, QuotaReport, Spend

UNHEARD_NODES_FACTOR = 1.25
"""Nodes that joined unheard, as a factor on the number of nodes known."""
HOLDING_S = 8.0
"""Time after which parts lapse at their node, from when it sent the last report that
the leader has renewed. Longer than the fleet is without a leader when one is lost."""
SILENT_LEADER_S = 1.25
"""Time without an answer after which a leader may be lost."""
ASK_PAUSE_S = 0.25
"""Time after a declined request for parts in which no other is made."""
TAKE_WITHIN_S = 0.5
"""Time within which a node admits a request after it has asked a backup to count it."""
RELATIVE_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Short:
    """The node's parts do not cover a request; ``parts`` are missing.

    ``room_in_s`` is when units that were used before cover it, inf if they never do.
    """

    parts: int
    room_in_s: float


@dataclass(frozen=True, slots=True)
class ShareUsage:
    """What the use of one limit is made of now, for the log.

    ``spent`` are the units used within the window, ``renewed_age_s`` is the age of the
    last report that the leader has renewed.
    """

    parts: int
    even_parts: int
    spent: float
    renewed_age_s: float


@dataclass(slots=True)
class _Share:
    """Granted parts of one limit, and what was used of it within the window."""

    parts: int = 0
    limit: float = 0.0
    spent: float = 0.0
    spends: deque[Spend] = field(default_factory=deque)
    asks_from_s: float = -math.inf
    returning: list[tuple[float, float]] = field(default_factory=list)
    """Heap of when refused requests come back, and their units."""
    returning_units: float = 0.0

    def parts_of(self, units: float) -> int:
        """Return the parts that cover ``units``."""
        return math.ceil(units / self.limit * WHOLE) if units > 0 else 0


class QuotaShares:
    """Admits requests from the parts of limits that this node holds.

    A limit is what may be used in any window of ``policy.window_s``. Used units count
    against the node's parts until a window has passed, and parts whose units rest like
    that are never given back. So the units that all nodes admit within any window stay
    within the limit as long as no part is held twice.

    Parameters
    ----------
    policy : SharingPolicy
        How the limits are shared.
    node_count : callable
        Return how many nodes divide the limits, or 0 while that is not known.
    clock : callable
        Return seconds, including time during which the VM is suspended.
    """

    def __init__(
        self,
        policy: SharingPolicy,
        node_count: Callable[[], int],
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._policy = policy
        self._rest_s = policy.rest_s
        self._node_count = node_count
        self._clock = clock
        self._lock = threading.Lock()
        # An earlier process of this node may have used its even part until now.
        self._even_from_s = clock() + self._rest_s
        self._share_by_id: dict[LimitedId, _Share] = {}
        self._scarce: frozenset[LimitedId] = frozenset()
        self._spare_parts = 0
        self._renewed_s = self._heard_s = -math.inf
        self._sent_s_by_beat: dict[int, float] = {}
        self._term = FencingNumber(0)
        self._asks = 0
        self._open_asks: dict[int, frozenset[LimitedId]] = {}

    def take(
        self, id: LimitedId, limit: float, units: float, within_s: float = 0.0
    ) -> Spend | Short:
        """Use ``units`` of what the fleet may use ``limit`` of in a window.

        They may be used up to ``within_s`` seconds later.

        Returns
        -------
        Spend or Short
            The units used, or what is missing for that; nothing is used then.
        """
        with self._lock:
            share = self._share(id)
            missing = self._missing(share, limit, units)
            if missing > units * RELATIVE_TOLERANCE:
                parts = share.parts_of(missing) if limit > 0 else WHOLE
                return Short(parts, self._room_in_s(share, missing))
            spend = Spend(id, units, self._clock() + within_s)
            share.spends.append(spend)
            share.spent += units
            return spend

    def refund(self, spend: Spend) -> None:
        """Give back the units of a request that has not run."""
        with self._lock:
            share = self._share(spend.id)
            if spend in share.spends:
                share.spent -= spend.units
            spend.units = 0.0

    def room_in_s(self, id: LimitedId, limit: float, units: float) -> float:
        """Return when ``units`` may be used; inf if this node cannot know."""
        with self._lock:
            share = self._share(id)
            missing = self._missing(share, limit, units)
            is_covered = missing <= units * RELATIVE_TOLERANCE
            return 0.0 if is_covered else self._room_in_s(share, missing)

    def expect_return(self, id: LimitedId, units: float, in_s: float) -> None:
        """Record that a refused request was told to come back in ``in_s`` seconds.

        Those that are refused later are told to come back after it. No more are
        recorded than may be used in a window.
        """
        with self._lock:
            share = self._share(id)
            if share.returning_units < share.limit:
                heappush(share.returning, (self._clock() + in_s, units))
                share.returning_units += units

    def begin_ask(self, ids: Collection[LimitedId]) -> int | None:
        """Return the number of a new request to the leader, or None if none is due."""
        with self._lock:
            if not self._is_renewed():
                return None
            now_s = self._clock()
            if any(self._share(item).asks_from_s > now_s for item in ids):
                return None
            self._asks += 1
            self._open_asks[self._asks] = frozenset(ids)
            return self._asks

    def settle_ask(
        self,
        number: int,
        term: FencingNumber,
        parts_by_id: Mapping[LimitedId, int],
        is_spare: bool = False,
    ) -> None:
        """End a request to the leader, with what the leader of ``term`` has granted."""
        with self._lock:
            for id in self._open_asks.pop(number):
                share = self._share(id)
                parts = parts_by_id.get(id, 0)
                if not parts and not is_spare:
                    share.asks_from_s = self._clock() + ASK_PAUSE_S
                elif term == self._term and self._is_renewed():
                    share.parts += parts

    def wanted_spare_parts(self, ids: Collection[LimitedId]) -> Mapping[LimitedId, int]:
        """Return the parts that this node lacks to keep its spare parts."""
        if not self._policy.spare_parts:
            return {}
        with self._lock:
            target = self._spare_parts
            wanted = {}
            for id in ids:
                share = self._share(id)
                missing = target - share.parts + share.parts_of(share.spent)
                if id not in self._scarce and missing > target // 4:
                    wanted[id] = missing
            return wanted

    def report(self, term: FencingNumber, beat: int) -> QuotaReport | None:
        """Give back unused parts, and return what is left for a report to the leader.

        Returns None if a newer leader is known.
        """
        with self._lock:
            if term < self._term:
                return None
            if term > self._term:
                self._term = term
                self._sent_s_by_beat.clear()
            now_s = self._clock()
            self._sent_s_by_beat = {
                item: sent_s
                for item, sent_s in self._sent_s_by_beat.items()
                if sent_s > now_s - HOLDING_S
            }
            self._sent_s_by_beat[beat] = now_s
            for id in tuple(self._share_by_id):
                self._trim(id)
            settled = min(self._open_asks, default=self._asks + 1) - 1
            parts_by_id = {
                id: share.parts
                for id, share in self._share_by_id.items()
                if share.parts
            }
            return QuotaReport(term, settled, parts_by_id)

    def renew(
        self, term: FencingNumber, renewal: QuotaRenewal, is_backup: bool
    ) -> bool:
        """Count the parts as held on from when the renewed report was sent.

        Returns False if it is not the answer of the newest known leader.
        """
        with self._lock:
            if term != self._term:
                return False
            self._heard_s = self._clock()
            self._scarce = frozenset(renewal.scarce)
            self._spare_parts = 0
            if is_backup:
                self._spare_parts = self._policy.spare_parts // len(renewal.backups)
            sent_s = self._sent_s_by_beat.get(renewal.beat, -math.inf)
            self._renewed_s = max(self._renewed_s, sent_s)
            return True

    def usage(self, id: LimitedId) -> ShareUsage:
        """Return what the use of a limit is made of now."""
        with self._lock:
            share = self._share(id)
            age_s = self._clock() - self._renewed_s
            return ShareUsage(share.parts, self._even_parts(), share.spent, age_s)

    def renewed_age_s(self) -> float:
        """Return the age of the last report that the leader has renewed."""
        with self._lock:
            return self._clock() - self._renewed_s

    def _share(self, id: LimitedId) -> _Share:
        """Return the share of a limit, without the units of earlier windows."""
        share = self._share_by_id.setdefault(id, _Share())
        since_s = self._clock() - self._rest_s
        while share.spends and share.spends[0].at_s <= since_s:
            share.spent -= share.spends.popleft().units
        if not share.spends:
            share.spent = 0.0
        return share

    def _missing(self, share: _Share, limit: float, units: float) -> float:
        """Return how many units more than are covered ``units`` more would use."""
        share.limit = limit
        return share.spent + units - self._usable_parts(share) * limit / WHOLE

    def _is_renewed(self) -> bool:
        return self._clock() < self._renewed_s + HOLDING_S

    def _usable_parts(self, share: _Share) -> int:
        granted = share.parts if self._is_renewed() else 0
        return granted + self._even_parts()

    def _even_parts(self) -> int:
        nodes = self._node_count()
        if not nodes or self._clock() < self._even_from_s:
            return 0
        return int(self._policy.even_parts / (nodes * UNHEARD_NODES_FACTOR))

    def _trim(self, id: LimitedId) -> None:
        """Give back the parts of a limit that are neither resting nor kept.

        Parts that have not lapsed are not given back to a leader that may be lost.
        """
        share = self._share(id)
        if self._is_renewed() and self._clock() - self._heard_s > SILENT_LEADER_S:
            return
        kept = 0
        if self._is_renewed() and id not in self._scarce:
            kept = max(self._spare_parts, share.parts_of(self._recently_used(share)))
        needed = share.parts_of(share.spent) + kept - self._even_parts()
        share.parts = min(share.parts, max(0, needed))
        is_open = any(id in item for item in self._open_asks.values())
        if not (share.parts or share.spends or share.returning or is_open):
            del self._share_by_id[id]

    def _recently_used(self, share: _Share) -> float:
        since_s = self._clock() - self._policy.idle_s
        return sum(item.units for item in share.spends if item.at_s > since_s)

    def _room_in_s(self, share: _Share, missing: float) -> float:
        """Return when units that rest now cover what is missing.

        Requests that were refused before come back first, if that is within a window.
        Without such units there is room once those of an earlier process have rested:
        if all nodes have just restarted, none has any before.
        """
        now_s = self._clock()
        while share.returning and share.returning[0][0] <= now_s:
            share.returning_units -= heappop(share.returning)[1]
        queued = missing + share.returning_units
        even_in_s = self._even_from_s - now_s
        room_in_s = even_in_s if even_in_s > 0 else math.inf
        for spend in share.spends:
            missing -= spend.units
            queued -= spend.units
            if missing <= 0:
                room_in_s = spend.at_s + self._rest_s - now_s
            if queued <= 0:
                break
        return room_in_s
