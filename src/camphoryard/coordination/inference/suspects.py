"""Requests that were running when their endpoint crashed.

A request whose endpoint crashed becomes a suspect at every node. A suspect runs
at only one endpoint at a time across all nodes, and until its first token (its
trial) no other suspect may start at that endpoint. If the endpoint crashes during
the trial, the suspect is the cause and is quarantined; the other requests that ran
there only become suspects.
"""

import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from camphoryard.coordination.messages import (
    CrashReport,
    Declined,
    KnownSuspect,
    TrialEnded,
    TrialRequest,
)
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.ports import Peers
from camphoryard.coordination.residency.ownership import rendezvous_owner
from camphoryard.coordination.routing.told_quarantines import (
    choose_adopted,
    choose_told,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import PeerUnreachableError, RefusalError
from camphoryard.state.ids import EndpointId, Fingerprint, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import InferenceRequest
from camphoryard.state.verdict import Verdict

FINGERPRINT_BYTES = 12
SUSPECT_LIFETIME_S = 600.0
MAX_SUSPECTS = 20_000
MAX_SHARED_SUSPECTS = 2_000
SYNC_TIMEOUT_S = 5.0
MAX_CRASHES = 3
RETRY_PERIOD_S = 0.05
REQUEST_TIMEOUT_S = 0.5
TRIAL_TIMEOUT_S = 15.0
RUN_TIMEOUT_S = 120.0
COORDINATOR_KEY = "suspects"


def fingerprint(request: InferenceRequest) -> Fingerprint:
    """Return a digest of the model, adapter and prompt, the same for all callers."""
    text = f"{request.model}\0{request.adapter}\0{request.prompt}"
    digest = blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


@dataclass(frozen=True, slots=True)
class _Suspect:
    """Crashes that a request may have caused; expires at ``expires_s``."""

    crashed_endpoints: frozenset[EndpointId]
    quarantined: bool
    expires_s: float


@dataclass(frozen=True, slots=True)
class _Run:
    """A run of a suspect, which is assumed to have ended at ``expires_s``."""

    endpoint: EndpointId
    holder: NodeId
    has_passed_trial: bool
    expires_s: float


@dataclass(slots=True)
class TrialLocks:
    """The running suspects by endpoint, at the node that coordinates trials."""

    _lock: threading.Lock = field(default_factory=threading.Lock)
    _run_by_fingerprint: dict[Fingerprint, _Run] = field(default_factory=dict)

    def acquire(self, request: TrialRequest, alive: frozenset[NodeId]) -> bool:
        """Start a trial unless the suspect runs or another has a trial there.

        Runs of nodes that are not ``alive`` count as ended, and so do expired
        ones, whose end was never reported.
        """
        now_s = time.monotonic()
        with self._lock:
            self._remove_ended(alive, now_s)
            if request.fingerprint in self._run_by_fingerprint:
                return False
            for run in self._run_by_fingerprint.values():
                if run.endpoint == request.endpoint and not run.has_passed_trial:
                    return False
            expires_s = now_s + TRIAL_TIMEOUT_S
            run = _Run(request.endpoint, request.holder, False, expires_s)
            self._run_by_fingerprint[request.fingerprint] = run
            return True

    def end(self, ended: TrialEnded) -> None:
        """End a trial; if ``passed``, the suspect goes on running there only."""
        with self._lock:
            run = self._run_by_fingerprint.get(ended.fingerprint)
            if run is None or run.holder != ended.holder:
                return
            if ended.passed:
                expires_s = time.monotonic() + RUN_TIMEOUT_S
                passed = _Run(run.endpoint, run.holder, True, expires_s)
                self._run_by_fingerprint[ended.fingerprint] = passed
            else:
                del self._run_by_fingerprint[ended.fingerprint]

    def _remove_ended(self, alive: frozenset[NodeId], now_s: float) -> None:
        ended = [
            key
            for key, run in self._run_by_fingerprint.items()
            if run.holder not in alive or run.expires_s <= now_s
        ]
        for key in ended:
            del self._run_by_fingerprint[key]


class Suspects:
    """The suspects known to this node, and the trials of its own requests."""

    def __init__(
        self,
        node: NodeId,
        nodes: NodeTable,
        peers: Peers,
        timeline: Timeline,
        must_sync: bool = False,
    ) -> None:
        self._node = node
        self._nodes = nodes
        self._peers = peers
        self._timeline = timeline
        self._locks = TrialLocks()
        self._changed = threading.Condition()
        self._suspect_by_fingerprint: dict[Fingerprint, _Suspect] = {}
        self._quarantined: set[Fingerprint] = set()
        self._is_synced = threading.Event()
        if not must_sync:
            self._is_synced.set()

    def known(self) -> tuple[KnownSuspect, ...]:
        """Return the known suspects, at most the ``MAX_SHARED_SUSPECTS`` latest."""
        now_s = time.monotonic()
        with self._changed:
            suspects = list(self._suspect_by_fingerprint.items())[-MAX_SHARED_SUSPECTS:]
        return tuple(
            KnownSuspect(
                key,
                tuple(item.crashed_endpoints),
                item.quarantined,
                item.expires_s - now_s,
            )
            for key, item in suspects
            if item.expires_s > now_s
        )

    def merge(self, known: Iterable[KnownSuspect]) -> None:
        """Merge the suspects known to a peer into those known to this node."""
        now_s = time.monotonic()
        with self._changed:
            for item in known:
                own = self._suspect_by_fingerprint.get(item.fingerprint)
                received = _Suspect(
                    frozenset(item.crashed), item.quarantined, now_s + item.left_s
                )
                self._store(item.fingerprint, _merged(own, received), now_s)

    def quarantine_s_by_request(self) -> Mapping[Fingerprint, float]:
        """Return the quarantined requests to tell, with the time left in seconds."""
        now_s = time.monotonic()
        with self._changed:
            left_s_by_request = {
                request: self._suspect_by_fingerprint[request].expires_s - now_s
                for request in self._quarantined
            }
        return choose_told(left_s_by_request)

    def adopt(self, quarantine_s_by_request: Mapping[Fingerprint, float]) -> None:
        """Quarantine the requests that a peer repeats in its digests."""
        adopted = []
        now_s = time.monotonic()
        lasting = choose_adopted(quarantine_s_by_request, SUSPECT_LIFETIME_S)
        with self._changed:
            for request, left_s in lasting.items():
                known = self._find(request)
                if known is not None and known.quarantined:
                    continue
                received = _Suspect(frozenset(), True, now_s + left_s)
                self._store(request, _merged(known, received), now_s)
                adopted.append((request, left_s))
            if adopted:
                self._changed.notify_all()
        for request, left_s in adopted:
            self._timeline.record(
                "request_quarantined", fingerprint=request, left_s=round(left_s)
            )

    def mark_synced(self) -> None:
        """Let requests start: the suspects known to peers have been merged."""
        self._is_synced.set()

    def check(self, request: Fingerprint, verdict: Verdict) -> None:
        """Raise RefusalError with ``verdict`` if the request is quarantined.

        A node that has just started first waits until it has the suspects of its
        peers, for at most ``SYNC_TIMEOUT_S``.
        """
        self._is_synced.wait(SYNC_TIMEOUT_S)
        suspect = self._find(request)
        if suspect is not None and suspect.quarantined:
            raise RefusalError(
                Reason.QUARANTINED,
                "this request has crashed the endpoints that ran it",
                verdict,
            )

    def begin(
        self, request: Fingerprint, endpoint: EndpointId, deadline_s: float
    ) -> "Trial":
        """Return a trial; if the request is a suspect, wait until it may start.

        Raises
        ------
        RefusalError
            If the trial could not start by the deadline.
        """
        trial = Trial(self, request, endpoint, self._find(request) is not None)
        if trial.is_suspect:
            self._wait_for_turn(trial, deadline_s)
        return trial

    def report_crash(self, crash: CrashReport) -> None:
        """Notify every node that a request was running when its endpoint crashed."""
        self.record_crash(crash)
        coordinator = self._coordinator()
        for lease in self._nodes.alive():
            if lease.node not in (self._node, coordinator):
                self._peers.send(lease.node, crash)
        if coordinator == self._node:
            return
        try:
            self._peers.request(coordinator, crash, REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            self._timeline.record("suspect_not_told", coordinator=coordinator)

    def record_crash(self, crash: CrashReport) -> None:
        """Record a crash that this node or a peer observed."""
        now_s = time.monotonic()
        known = self._find(crash.fingerprint)
        crashed = known.crashed_endpoints if known else frozenset()
        suspect = _Suspect(
            crashed | {crash.endpoint},
            _is_cause(known, crash),
            now_s + SUSPECT_LIFETIME_S,
        )
        with self._changed:
            self._store(crash.fingerprint, suspect, now_s)
            self._changed.notify_all()
        self._timeline.record(
            "suspect",
            fingerprint=crash.fingerprint,
            endpoint=crash.endpoint,
            quarantined=suspect.quarantined,
        )

    def start_trial(self, request: TrialRequest) -> bool:
        """Start a trial as the coordinator; return whether it may start."""
        suspect = self._find(request.fingerprint)
        if suspect is not None and suspect.quarantined:
            return False
        alive = frozenset(lease.node for lease in self._nodes.alive())
        return self._locks.acquire(request, alive | {self._node})

    def end_trial(self, ended: TrialEnded) -> None:
        """Record the end of a trial as the coordinator."""
        self._locks.end(ended)
        with self._changed:
            self._changed.notify_all()

    def release(self, trial: "Trial", passed: bool) -> None:
        """Notify the coordinator that a trial of this node ended."""
        ended = TrialEnded(trial.request, self._node, passed)
        coordinator = self._coordinator()
        if coordinator == self._node:
            self.end_trial(ended)
            return
        self._peers.send(coordinator, ended)

    def _find(self, request: Fingerprint) -> _Suspect | None:
        suspect = self._suspect_by_fingerprint.get(request)
        if suspect is None or suspect.expires_s <= time.monotonic():
            return None
        return suspect

    def _wait_for_turn(self, trial: "Trial", deadline_s: float) -> None:
        """Block until the coordinator allows the trial to start."""
        while not self._request_turn(trial):
            self.check(trial.request, Verdict.NOT_RUN)
            if time.monotonic() >= deadline_s:
                raise RefusalError(
                    Reason.DEADLINE,
                    "this request may have crashed an endpoint; its trial could not"
                    " start before the deadline",
                )
            with self._changed:
                self._changed.wait(RETRY_PERIOD_S)
        self._timeline.record(
            "trial", fingerprint=trial.request, endpoint=trial.endpoint
        )

    def _request_turn(self, trial: "Trial") -> bool:
        request = TrialRequest(trial.request, trial.endpoint, self._node)
        coordinator = self._coordinator()
        if coordinator == self._node:
            return self.start_trial(request)
        try:
            reply = self._peers.request(coordinator, request, REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return not isinstance(reply, Declined)

    def _coordinator(self) -> NodeId:
        nodes = {lease.node for lease in self._nodes.alive()} | {self._node}
        return rendezvous_owner(COORDINATOR_KEY, tuple(nodes))

    def _store(self, request: Fingerprint, suspect: _Suspect, now_s: float) -> None:
        if len(self._suspect_by_fingerprint) >= MAX_SUSPECTS:
            self._remove_expired(now_s)
        self._suspect_by_fingerprint[request] = suspect
        if suspect.quarantined:
            self._quarantined.add(request)
        else:
            self._quarantined.discard(request)

    def _remove_expired(self, now_s: float) -> None:
        """Remove expired suspects, or the oldest one if none has expired."""
        expired = [
            key
            for key, suspect in self._suspect_by_fingerprint.items()
            if suspect.expires_s <= now_s
        ]
        for key in expired or [next(iter(self._suspect_by_fingerprint))]:
            del self._suspect_by_fingerprint[key]
            self._quarantined.discard(key)


def _merged(own: _Suspect | None, received: _Suspect) -> _Suspect:
    """Return the merged records that two nodes have of a request."""
    if own is None:
        return received
    return _Suspect(
        own.crashed_endpoints | received.crashed_endpoints,
        own.quarantined or received.quarantined,
        max(own.expires_s, received.expires_s),
    )


def _is_cause(known: _Suspect | None, crash: CrashReport) -> bool:
    """Return whether a request is taken for the cause of the crash.

    It is if it was the only suspect on trial there; if it had no token yet at two
    endpoints that crashed; or if it ran during ``MAX_CRASHES`` crashes. Two runs at
    one endpoint when it crashed count as one crash.
    """
    if known is None:
        return False
    if known.quarantined or crash.on_trial:
        return True
    elsewhere = len(known.crashed_endpoints - {crash.endpoint})
    return elsewhere >= (1 if crash.early else MAX_CRASHES - 1)


@dataclass(slots=True)
class Trial:
    """One run of a request at an endpoint; a trial only if it is a suspect."""

    suspects: Suspects
    request: Fingerprint
    endpoint: EndpointId
    is_suspect: bool
    _has_passed: bool = False
    _has_ended: bool = False

    def mark_passed(self) -> None:
        """Record the first token: other suspects may now start at the endpoint."""
        if self._has_passed:
            return
        self._has_passed = True
        if self.is_suspect:
            self.suspects.release(self, passed=True)

    def record_crash(self) -> None:
        """Report that the endpoint crashed during the run."""
        early = not self._has_passed
        crash = CrashReport(
            self.request, self.endpoint, early, early and self.is_suspect
        )
        self.suspects.report_crash(crash)

    def end(self) -> None:
        """End the run, so that the suspect may run elsewhere."""
        if self.is_suspect and not self._has_ended:
            self._has_ended = True
            self.suspects.release(self, passed=False)
