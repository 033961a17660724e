"""Requests that were running when their endpoint crashed.

A request whose endpoint crashed becomes a suspect at every node. A suspect runs
at one endpoint at a time across nodes, and until its first token no other
suspect may start at that endpoint: if the endpoint crashes in this trial the
suspect is the culprit and is quarantined, while the others that ran there only
become suspects in their turn.
"""

import threading
import time
from collections.abc import Iterable
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
from camphoryard.state.enums import Reason
from camphoryard.state.errors import PeerUnreachableError, RefusalError
from camphoryard.state.ids import EndpointId, Fingerprint, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import InferenceRequest
from camphoryard.state.verdict import Verdict

FINGERPRINT_BYTES = 12
SUSPECT_LIFE_S = 600.0
MAX_SUSPECTS = 20_000
MAX_TOLD = 2_000
LEARNING_LIMIT_S = 5.0
MAX_CRASHES = 3
RETRY_PERIOD_S = 0.05
ASK_TIMEOUT_S = 0.5
TRIAL_LIMIT_S = 15.0
RUN_LIMIT_S = 120.0
COORDINATOR_KEY = "suspects"


def fingerprint(request: InferenceRequest) -> Fingerprint:
    """Return a digest of what would run, whoever the caller is."""
    text = f"{request.model}\0{request.adapter}\0{request.prompt}"
    digest = blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


@dataclass(frozen=True, slots=True)
class _Suspect:
    """What a request is suspected of, until ``until_s``."""

    crashed: frozenset[EndpointId]
    quarantined: bool
    until_s: float


@dataclass(frozen=True, slots=True)
class _Run:
    """A suspect that runs; ``tried`` once it got past its trial."""

    endpoint: EndpointId
    holder: NodeId
    tried: bool
    until_s: float


@dataclass(slots=True)
class TrialLocks:
    """Which suspects run where; kept by the node that coordinates trials."""

    _lock: threading.Lock = field(default_factory=threading.Lock)
    _run_by_fingerprint: dict[Fingerprint, _Run] = field(default_factory=dict)

    def take(self, wanted: TrialRequest, alive: frozenset[NodeId]) -> bool:
        """Start a trial unless the suspect or another one at the endpoint runs.

        Runs of nodes that are not ``alive`` have ended, and so have those whose
        end was not told in a long time.
        """
        now_s = time.monotonic()
        with self._lock:
            self._drop_ended(alive, now_s)
            if wanted.fingerprint in self._run_by_fingerprint:
                return False
            for run in self._run_by_fingerprint.values():
                if run.endpoint == wanted.endpoint and not run.tried:
                    return False
            until_s = now_s + TRIAL_LIMIT_S
            run = _Run(wanted.endpoint, wanted.holder, False, until_s)
            self._run_by_fingerprint[wanted.fingerprint] = run
            return True

    def end(self, ended: TrialEnded) -> None:
        """End a trial; a run that only ``passed`` it still bars the suspect."""
        with self._lock:
            run = self._run_by_fingerprint.get(ended.fingerprint)
            if run is None or run.holder != ended.holder:
                return
            if ended.passed:
                until_s = time.monotonic() + RUN_LIMIT_S
                passed = _Run(run.endpoint, run.holder, True, until_s)
                self._run_by_fingerprint[ended.fingerprint] = passed
            else:
                del self._run_by_fingerprint[ended.fingerprint]

    def _drop_ended(self, alive: frozenset[NodeId], now_s: float) -> None:
        ended = [
            key
            for key, run in self._run_by_fingerprint.items()
            if run.holder not in alive or run.until_s <= now_s
        ]
        for key in ended:
            del self._run_by_fingerprint[key]


class Suspects:
    """The suspects that this node knows, and its part in their trials."""

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
        self._has_learned = threading.Event()
        if not must_sync:
            self._has_learned.set()

    def known(self) -> tuple[KnownSuspect, ...]:
        """Return the suspects known here, the latest ones if there are many."""
        now_s = time.monotonic()
        with self._changed:
            suspects = list(self._suspect_by_fingerprint.items())[-MAX_TOLD:]
        return tuple(
            KnownSuspect(
                key, tuple(item.crashed), item.quarantined, item.until_s - now_s
            )
            for key, item in suspects
            if item.until_s > now_s
        )

    def merge(self, known: Iterable[KnownSuspect]) -> None:
        """Take in what a peer knows, beside what is known here."""
        now_s = time.monotonic()
        with self._changed:
            for item in known:
                here = self._suspect_by_fingerprint.get(item.fingerprint)
                there = _Suspect(
                    frozenset(item.crashed), item.quarantined, now_s + item.left_s
                )
                self._keep(item.fingerprint, _joined(here, there), now_s)

    def mark_synced(self) -> None:
        """Let requests begin: what peers know has been taken in."""
        self._has_learned.set()

    def check(self, request: Fingerprint, verdict: Verdict) -> None:
        """Raise RefusalError with ``verdict`` if the request is quarantined.

        In a node that has just started it waits until suspects are learned.
        """
        self._has_learned.wait(LEARNING_LIMIT_S)
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
        """Return a trial, having waited for its turn if the request is a suspect.

        Raises
        ------
        RefusalError
            If the turn did not come by the deadline.
        """
        trial = Trial(self, request, endpoint, self._find(request) is not None)
        if trial.is_suspect:
            self._await_turn(trial, deadline_s)
        return trial

    def crashed(self, seen: CrashReport) -> None:
        """Tell every node that a request ran when its endpoint crashed."""
        self.observe(seen)
        coordinator = self._coordinator()
        for lease in self._nodes.alive():
            if lease.node not in (self._node, coordinator):
                self._peers.send(lease.node, seen)
        if coordinator == self._node:
            return
        try:
            self._peers.ask(coordinator, seen, ASK_TIMEOUT_S)
        except PeerUnreachableError:
            self._timeline.record("suspect_not_told", coordinator=coordinator)

    def observe(self, seen: CrashReport) -> None:
        """Take in a crash that this node or a peer saw."""
        now_s = time.monotonic()
        known = self._find(seen.fingerprint)
        crashed = known.crashed if known else frozenset()
        suspect = _Suspect(
            crashed | {seen.endpoint},
            _is_guilty(known, seen),
            now_s + SUSPECT_LIFE_S,
        )
        with self._changed:
            self._keep(seen.fingerprint, suspect, now_s)
            self._changed.notify_all()
        self._timeline.record(
            "suspect",
            fingerprint=seen.fingerprint,
            endpoint=seen.endpoint,
            quarantined=suspect.quarantined,
        )

    def wanted(self, wanted: TrialRequest) -> bool:
        """Return whether the trial may start, as the coordinator sees it."""
        suspect = self._find(wanted.fingerprint)
        if suspect is not None and suspect.quarantined:
            return False
        alive = frozenset(lease.node for lease in self._nodes.alive())
        return self._locks.take(wanted, alive | {self._node})

    def ended(self, ended: TrialEnded) -> None:
        """Take in, as the coordinator, that a trial ended."""
        self._locks.end(ended)
        with self._changed:
            self._changed.notify_all()

    def release(self, trial: "Trial", passed: bool) -> None:
        """Tell the coordinator that a trial of this node ended."""
        ended = TrialEnded(trial.request, self._node, passed)
        coordinator = self._coordinator()
        if coordinator == self._node:
            self.ended(ended)
            return
        self._peers.send(coordinator, ended)

    def _find(self, request: Fingerprint) -> _Suspect | None:
        suspect = self._suspect_by_fingerprint.get(request)
        if suspect is None or suspect.until_s <= time.monotonic():
            return None
        return suspect

    def _await_turn(self, trial: "Trial", deadline_s: float) -> None:
        """Block until the coordinator lets the trial start."""
        while not self._take(trial):
            self.check(trial.request, Verdict.NOT_RUN)
            if time.monotonic() >= deadline_s:
                raise RefusalError(
                    Reason.DEADLINE, "another run of this suspect has not ended"
                )
            with self._changed:
                self._changed.wait(RETRY_PERIOD_S)
        self._timeline.record(
            "trial", fingerprint=trial.request, endpoint=trial.endpoint
        )

    def _take(self, trial: "Trial") -> bool:
        wanted = TrialRequest(trial.request, trial.endpoint, self._node)
        coordinator = self._coordinator()
        if coordinator == self._node:
            return self.wanted(wanted)
        try:
            reply = self._peers.ask(coordinator, wanted, ASK_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return not isinstance(reply, Declined)

    def _coordinator(self) -> NodeId:
        nodes = {lease.node for lease in self._nodes.alive()} | {self._node}
        return rendezvous_owner(COORDINATOR_KEY, tuple(nodes))

    def _keep(self, request: Fingerprint, suspect: _Suspect, now_s: float) -> None:
        if len(self._suspect_by_fingerprint) >= MAX_SUSPECTS:
            self._drop_lapsed(now_s)
        self._suspect_by_fingerprint[request] = suspect

    def _drop_lapsed(self, now_s: float) -> None:
        """Forget lapsed suspects, and the oldest one if all are fresh."""
        lapsed = [
            key
            for key, suspect in self._suspect_by_fingerprint.items()
            if suspect.until_s <= now_s
        ]
        for key in lapsed or [next(iter(self._suspect_by_fingerprint))]:
            del self._suspect_by_fingerprint[key]


def _joined(here: _Suspect | None, there: _Suspect) -> _Suspect:
    """Return what two nodes together know of a request."""
    if here is None:
        return there
    return _Suspect(
        here.crashed | there.crashed,
        here.quarantined or there.quarantined,
        max(here.until_s, there.until_s),
    )


def _is_guilty(known: _Suspect | None, seen: CrashReport) -> bool:
    """Return whether a request is the cause of the crash.

    It is if it was the one suspect on trial there, if it never got a token at
    two endpoints that crashed, or if it was there at ``MAX_CRASHES`` crashes.
    Two runs at one endpoint when it crashed are one crash.
    """
    if known is None:
        return False
    if known.quarantined or seen.on_trial:
        return True
    elsewhere = len(known.crashed - {seen.endpoint})
    return elsewhere >= (1 if seen.early else MAX_CRASHES - 1)


@dataclass(slots=True)
class Trial:
    """One run of a request at an endpoint; does nothing unless it is a suspect."""

    suspects: Suspects
    request: Fingerprint
    endpoint: EndpointId
    is_suspect: bool
    _has_passed: bool = False
    _has_ended: bool = False

    def passed(self) -> None:
        """Note that a token came: other suspects may start at the endpoint."""
        if self._has_passed:
            return
        self._has_passed = True
        if self.is_suspect:
            self.suspects.release(self, passed=True)

    def crashed(self) -> None:
        """Note that the endpoint crashed during the run."""
        early = not self._has_passed
        seen = CrashReport(
            self.request, self.endpoint, early, early and self.is_suspect
        )
        self.suspects.crashed(seen)

    def end(self) -> None:
        """Let the suspect run elsewhere."""
        if self.is_suspect and not self._has_ended:
            self._has_ended = True
            self.suspects.release(self, passed=False)
