"""Quotas of accounts over the fleet: admission at a node, and the leader's grants."""

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
    Short,
)
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
from camphoryard.state.accounts import Account, Accounts
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import AccountId, FencingNumber, Incarnation, NodeId
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.quotas import (
    WHOLE,
    Admitted,
    OverQuota,
    QuotaDecision,
    QuotaRenewal,
    QuotaReport,
    Spend,
    window_limit,
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


class QuotaSharing:
    """Admits requests to accounts up to their quotas, over all nodes together.

    Parameters
    ----------
    is_first_start : bool
        Whether no node of the fleet has run before.
    accounts : callable
        Return the accounts of the configuration in force, or None.
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
        window_s: float,
        is_first_start: bool,
        accounts: Callable[[], Accounts | None],
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
        self._window_s = window_s
        self._is_first_start = is_first_start
        self._accounts = accounts
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

    def admit(self, account: Account | None, tokens: int) -> QuotaDecision:
        """Decide on a request; see the AccountQuotas port."""
        if account is None or account.quota is None:
            return Admitted()
        limit = window_limit(account.quota, self._window_s)
        units = account.quota.cost(tokens)
        for _ in range(MAX_ASKS):
            match self._shares.take(account.id, limit, units):
                case Spend() as spend:
                    return Admitted(spend)
                case Short(parts) as short:
                    if self._ask({account.id: parts}):
                        continue
                    if self._is_leaderless() and self._take_at_backup(
                        account.id, units
                    ):
                        return Admitted()
                    break
        retry_after_s = self._retry_after_s(short)
        self._shares.expect_return(account.id, units, retry_after_s)
        self._log_refused(account.id, units, limit, retry_after_s)
        return OverQuota(retry_after_s)

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request has used; see the AccountQuotas port."""
        if admitted.spend is not None:
            self._shares.refund(admitted.spend)

    def run(self, timer: Timer) -> None:
        """Keep spare parts at this node until the timer service closes."""
        for _ in timer.every(SPARE_PERIOD_S):
            self.ask_for_spare()

    def ask_for_spare(self) -> None:
        """Ask the leader for the spare parts that this node lacks."""
        wanted = self._shares.wanted_spare_parts(self._limited_accounts())
        if wanted:
            self._ask(wanted, is_spare=True)

    def report(
        self, leader: NodeId, term: FencingNumber, beat: int
    ) -> QuotaReport | None:
        """Return the report to a leader; None without quotas or if it is outdated."""
        if not self._limited_accounts():
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
        if digest.quota_report is not None:
            with self._lock:
                ledger = self._current_ledger()
                if ledger is not None:
                    self._observe(
                        ledger,
                        digest.node,
                        digest.incarnation,
                        digest.beat,
                        digest.quota_report,
                    )
        if digest.quota_renewal is not None:
            self._renew(digest.duty_term, digest.quota_renewal)

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
                request.parts_by_account,
                request.is_spare,
            )
        return QuotaGrant(request.term, granted)

    def take_for_peer(self, request: QuotaTake) -> Reply:
        """Admit a request of another node, as a backup."""
        accounts = self._accounts()
        account = accounts.by_id.get(request.account) if accounts else None
        if account is None or account.quota is None:
            return Declined("no such account with a quota")
        limit = window_limit(account.quota, self._window_s)
        match self._shares.take(
            account.id, limit, request.units, within_s=TAKE_WITHIN_S
        ):
            case Spend():
                return Done()
            case Short():
                return Declined("over quota")

    def _take_at_backup(self, account: AccountId, units: float) -> bool:
        """Return whether a backup admits a request in place of this node."""
        others = [node for node in self._backups if node != self._node]
        for node in random.sample(others, len(others)):
            asked_s = self._clock()
            try:
                reply = self._peers.request(
                    node, QuotaTake(account, units), ASK_TIMEOUT_S
                )
            except PeerUnreachableError as error:
                self._log("quota_backup_unreached", backup=node, error=str(error))
                continue
            is_late = self._clock() - asked_s > TAKE_WITHIN_S
            if reply == Done() and not is_late:
                self._count("quota_backup_takes")
                return True
        return False

    def _is_leaderless(self) -> bool:
        """Return whether the last known leader does not answer."""
        return self._clock() < self._asks_from_s

    def _renew(self, term: FencingNumber, renewal: QuotaRenewal) -> None:
        if self._shares.renew(term, renewal, self._node in renewal.backups):
            self._backups = renewal.backups

    def _ask(
        self, parts_by_account: Mapping[AccountId, int], is_spare: bool = False
    ) -> bool:
        """Ask the leader for parts; return whether it has granted any."""
        leader = self._leader
        if leader is None or self._clock() < self._asks_from_s:
            return False
        number = self._shares.begin_ask(parts_by_account.keys())
        if number is None:
            return False
        request = QuotaRequest(
            self._node,
            self._incarnation,
            leader.term,
            number,
            parts_by_account,
            is_spare,
        )
        grant = QuotaGrant(NO_TERM, {})
        try:
            grant = self._request(leader, request)
        finally:
            self._shares.settle_ask(
                number, grant.term, grant.parts_by_account, is_spare
            )
        self._count("quota_grants" if grant.parts_by_account else "quota_grants_denied")
        return bool(grant.parts_by_account)

    def _request(self, leader: _Leader, request: QuotaRequest) -> QuotaGrant:
        if leader.node == self._node:
            return self.answer(request)
        try:
            reply = self._peers.request(leader.node, request, ASK_TIMEOUT_S)
        except PeerUnreachableError as error:
            self._asks_from_s = self._clock() + UNREACHED_PAUSE_S
            self._log("quota_leader_unreached", leader=leader.node, error=str(error))
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
                self._window_s,
                self._clock,
                self._burst_parts,
            )
        return self._ledger

    def _burst_parts(self, account: AccountId) -> int:
        accounts = self._accounts()
        found = accounts.by_id.get(account) if accounts else None
        quota = found.quota if found else None
        if quota is None:
            return 0
        return int(quota.burst / window_limit(quota, self._window_s) * WHOLE)

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

    def _limited_accounts(self) -> tuple[AccountId, ...]:
        accounts = self._accounts()
        if accounts is None:
            return ()
        return tuple(account.id for account in accounts.by_id.values() if account.quota)

    def _retry_after_s(self, short: Short) -> float:
        has_room = math.isfinite(short.room_in_s)
        room_s = short.room_in_s if has_room else NO_ROOM_RETRY_S
        return room_s * (1.0 + RETRY_SPREAD * self._spread())

    def _log_refused(
        self, account: AccountId, units: float, limit: float, retry_after_s: float
    ) -> None:
        usage = self._shares.usage(account)
        self._count("requests_over_quota")
        self._log(
            "over_quota",
            account=account,
            units=units,
            limit=limit,
            spent=usage.spent,
            parts=usage.parts,
            even_parts=usage.even_parts,
            renewed_age_s=round(usage.renewed_age_s, 2),
            retry_after_s=round(retry_after_s, 3),
        )
