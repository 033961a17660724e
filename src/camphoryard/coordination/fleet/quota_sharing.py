"""Limits that all nodes share: use at a node, and the leader's grants."""

import math
import random
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from camphoryard.coordination.admission.quota_ledger import QuotaLedger
from camphoryard.coordination.admission.quota_shares import (
    HOLDING_S,
    TAKE_WITHIN_S,
    QuotaShares,
    ShareUsage,
    Short,
)
from camphoryard.coordination.admission.sharing_policy import SharingPolicy
from camphoryard.coordination.leadership.leader_lease import NO_TERM, boot_clock_s
from camphoryard.coordination.messages import (
    Declined,
    Done,
    QuotaGrant,
    QuotaRequest,
    QuotaTake,
    Reply,
)
from camphoryard.coordination.ports import DecisionLog, Peers, Timer
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import FencingNumber, Incarnation, LimitedId, NodeId
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.quotas import (
    WHOLE,
    Admitted,
    QuotaKind,
    QuotaRenewal,
    QuotaReport,
    Spend,
    WindowLimit,
)

ASK_TIMEOUT_S = 0.3
"""How long a request waits for the leader; an answer takes some milliseconds."""
UNREACHED_PAUSE_S = 1.0
"""Time in which the leader is not asked again after it did not answer."""
MAX_ASKS = 3
"""Requests that arrive together use parts that another one has asked for."""
SPARE_PERIOD_S = 1.0
NO_ROOM_RETRY_S = 1.0
"""Retry-After if nothing that this node has admitted will make room."""
RETRY_SPREAD = 0.5
"""Random part of Retry-After, so that clients do not come back together."""


class Lease(Protocol):
    """The lease of leadership of this node."""

    @property
    def claimed_term(self) -> FencingNumber:
        """The term of this node, or 0 if it is not the leader."""

    @property
    def is_renewed(self) -> bool:
        """Whether the lease is certain not to be another node's yet."""

    @property
    def is_first_term(self) -> bool:
        """Whether the store has shown no leader before the term of this node."""


@dataclass(frozen=True, slots=True)
class _Leader:
    node: NodeId
    term: FencingNumber


class Limits(Protocol):
    """The limits of one kind that are in force."""

    def ids(self) -> Collection[LimitedId]:
        """Return what is limited."""

    def find(self, id: LimitedId) -> WindowLimit | None:
        """Return a limit, or None if there is none."""


class QuotaSharing:
    """Admits requests up to the limits of one kind, over all nodes together.

    Parameters
    ----------
    kind : QuotaKind
        What the limits apply to.
    policy : SharingPolicy
        How they are shared.
    is_first_start : bool
        Whether no node of the fleet has run before.
    limits : Limits
        The limits that this node knows.
    shares : QuotaShares
        What this node holds.
    lease : Lease
        While this node is the leader, it grants parts to all nodes.
    count : callable
        Count an event by its name.
    clock : callable
        Return seconds, including time during which the VM is suspended.
    spread : callable
        Return a random number from 0 to 1.
    listed : callable
        Return the nodes that the store lists, or None while that is not known.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        kind: QuotaKind,
        policy: SharingPolicy,
        is_first_start: bool,
        limits: Limits,
        shares: QuotaShares,
        peers: Peers,
        lease: Lease,
        log: DecisionLog,
        count: Callable[[str], None],
        clock: Callable[[], float] = boot_clock_s,
        spread: Callable[[], float] = random.random,
        listed: Callable[[], Collection[NodeId] | None] = lambda: None,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._kind = kind
        self._policy = policy
        self._is_first_start = is_first_start
        self._limits = limits
        self._shares = shares
        self._peers = peers
        self._lease = lease
        self._log = log
        self._count = count
        self._clock = clock
        self._spread = spread
        self._listed = listed
        self._lock = threading.Lock()
        self._ledger: QuotaLedger | None = None
        self._certain_s = clock()
        self._leader: _Leader | None = None
        self._backups: tuple[NodeId, ...] = ()
        self._asks_from_s = clock()

    @property
    def kind(self) -> QuotaKind:
        """What the limits apply to."""
        return self._kind

    @property
    def policy(self) -> SharingPolicy:
        """How the limits are shared."""
        return self._policy

    def use(self, id: LimitedId, limit: float, units: float) -> Admitted | Short:
        """Use ``units`` of a limit, if need be after asking the leader for parts.

        Returns
        -------
        Admitted or Short
            What is used, or what this node is short of.
        """
        for _ in range(MAX_ASKS):
            match self._shares.take(id, limit, units):
                case Spend() as spend:
                    return Admitted(spend)
                case Short(parts) as short:
                    if self._ask({id: parts}):
                        continue
                    if self._is_leaderless() and self._take_at_backup(id, units):
                        return Admitted()
                    break
        return short

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request has used that has not run."""
        if admitted.spend is not None:
            self._shares.refund(admitted.spend)

    def room_in_s(self, id: LimitedId, limit: float, units: float) -> float:
        """Return when ``units`` may be used; inf if this node cannot know."""
        return self._shares.room_in_s(id, limit, units)

    def expect_return(self, id: LimitedId, units: float, room_in_s: float) -> float:
        """Return when a refused request may come back, in seconds.

        Those that are refused later are told to come back after it.
        """
        room_s = room_in_s if math.isfinite(room_in_s) else NO_ROOM_RETRY_S
        retry_after_s = room_s * (1.0 + RETRY_SPREAD * self._spread())
        self._shares.expect_return(id, units, retry_after_s)
        return retry_after_s

    def usage(self, id: LimitedId) -> ShareUsage:
        """Return what the use of a limit at this node is made of now."""
        return self._shares.usage(id)

    def run(self, timer: Timer) -> None:
        """Keep spare parts at this node until the timer service closes."""
        for _ in timer.every(SPARE_PERIOD_S):
            self.ask_for_spare()

    def ask_for_spare(self) -> None:
        """Ask the leader for the spare parts that this node lacks."""
        wanted = self._shares.wanted_spare_parts(self._limits.ids())
        if wanted:
            self._ask(wanted, is_spare=True)

    def report(
        self, leader: NodeId, term: FencingNumber, beat: int
    ) -> QuotaReport | None:
        """Return the report to a leader; None without limits or if it is outdated."""
        if not self._limits.ids():
            return None
        report = self._shares.report(term, beat)
        if report is not None and self._leader != _Leader(leader, term):
            self._leader = _Leader(leader, term)
            self._asks_from_s = self._clock()
        return report

    def report_to_self(self, beat: int) -> None:
        """Record and renew this node's own report, as the leader."""
        with self._lock:
            ledger = self._current_ledger()
            if ledger is None:
                return
            report = self.report(self._node, ledger.term, beat)
            if report is None:
                return
            self._observe(ledger, self._node, self._incarnation, beat, report)
            renewal = ledger.renewal(self._node, self._incarnation)
        if renewal is not None:
            self._renew(report.term, renewal)

    def renewal(self, node: NodeId, incarnation: Incarnation) -> QuotaRenewal | None:
        """Return the answer to the reports of a node, or None if there is none."""
        with self._lock:
            ledger = self._current_ledger()
            return None if ledger is None else ledger.renewal(node, incarnation)

    def receive(self, digest: NodeDigest) -> None:
        """Record the report of a node, or the renewal of a leader."""
        report = digest.quota_report_by_kind.get(self._kind)
        if report is not None:
            with self._lock:
                ledger = self._current_ledger()
                if ledger is not None:
                    self._observe(
                        ledger,
                        digest.node,
                        digest.incarnation,
                        digest.beat,
                        report,
                    )
        renewal = digest.quota_renewal_by_kind.get(self._kind)
        if renewal is not None:
            self._renew(digest.duty_term, renewal)

    def answer(self, request: QuotaRequest) -> QuotaGrant:
        """Grant parts to a node that asks for them, as the leader."""
        with self._lock:
            ledger = self._current_ledger()
            # Later than this, a successor may count the parts as free.
            is_late = self._clock() - self._certain_s > HOLDING_S
            if ledger is None or ledger.term != request.term or is_late:
                return QuotaGrant(NO_TERM, {})
            granted = ledger.grant(
                request.node,
                request.incarnation,
                request.number,
                request.parts_by_id,
                request.is_spare,
            )
        return QuotaGrant(request.term, granted)

    def take_for_peer(self, request: QuotaTake) -> Reply:
        """Admit a request of another node, as a backup."""
        limit = self._limits.find(request.id)
        if limit is None:
            return Declined("no such limit")
        match self._shares.take(
            request.id, limit.units, request.units, within_s=TAKE_WITHIN_S
        ):
            case Spend():
                return Done()
            case Short():
                return Declined("over the limit")

    def _take_at_backup(self, id: LimitedId, units: float) -> bool:
        """Return whether a backup admits a request in place of this node."""
        others = [node for node in self._backups if node != self._node]
        for node in random.sample(others, len(others)):
            asked_s = self._clock()
            try:
                reply = self._peers.request(
                    node, QuotaTake(id, units, self._kind), ASK_TIMEOUT_S
                )
            except PeerUnreachableError as error:
                self._log(self._name("backup_unreached"), backup=node, error=str(error))
                continue
            is_late = self._clock() - asked_s > TAKE_WITHIN_S
            if reply == Done() and not is_late:
                self._count(self._name("backup_takes"))
                return True
        return False

    def _is_leaderless(self) -> bool:
        """Return whether the last known leader does not answer."""
        return self._clock() < self._asks_from_s

    def _renew(self, term: FencingNumber, renewal: QuotaRenewal) -> None:
        if self._shares.renew(term, renewal, self._node in renewal.backups):
            self._backups = renewal.backups if self._policy.spare_parts else ()

    def _ask(
        self, parts_by_id: Mapping[LimitedId, int], is_spare: bool = False
    ) -> bool:
        """Ask the leader for parts; return whether it has granted any."""
        leader = self._leader
        if leader is None or self._clock() < self._asks_from_s:
            return False
        number = self._shares.begin_ask(parts_by_id.keys())
        if number is None:
            return False
        request = QuotaRequest(
            self._node,
            self._incarnation,
            leader.term,
            number,
            parts_by_id,
            is_spare,
            self._kind,
        )
        grant = QuotaGrant(NO_TERM, {})
        try:
            grant = self._request(leader, request)
        finally:
            self._shares.settle_ask(number, grant.term, grant.parts_by_id, is_spare)
        outcome = "grants" if grant.parts_by_id else "grants_denied"
        self._count(self._name(outcome))
        return bool(grant.parts_by_id)

    def _request(self, leader: _Leader, request: QuotaRequest) -> QuotaGrant:
        if leader.node == self._node:
            return self.answer(request)
        try:
            reply = self._peers.request(leader.node, request, ASK_TIMEOUT_S)
        except PeerUnreachableError as error:
            self._asks_from_s = self._clock() + UNREACHED_PAUSE_S
            self._log(
                self._name("leader_unreached"), leader=leader.node, error=str(error)
            )
            return QuotaGrant(NO_TERM, {})
        match reply:
            case QuotaGrant() as grant:
                return grant
            case _:
                return QuotaGrant(NO_TERM, {})

    def _current_ledger(self) -> QuotaLedger | None:
        """Return the ledger of this node's term, or None if it is not the leader."""
        term = self._lease.claimed_term
        if not term:
            return None
        if self._lease.is_renewed:
            self._certain_s = self._clock()
        if self._ledger is None or self._ledger.term != term:
            self._ledger = QuotaLedger(
                self._node,
                term,
                self._is_first_start and self._lease.is_first_term,
                self._policy,
                self._clock,
                self._burst_parts,
            )
        return self._ledger

    def _burst_parts(self, id: LimitedId) -> int:
        limit = self._limits.find(id)
        return 0 if limit is None else int(limit.burst / limit.units * WHOLE)

    def _observe(
        self,
        ledger: QuotaLedger,
        node: NodeId,
        incarnation: Incarnation,
        beat: int,
        report: QuotaReport,
    ) -> None:
        ledger.observe(node, incarnation, beat, report, self._lease.is_renewed)
        listed = self._listed()
        if listed is not None:
            ledger.note_nodes(listed)

    def _name(self, event: str) -> str:
        return f"{self._kind.value}_{event}"
