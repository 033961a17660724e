"""Quarantine of parts of prompts that crash the endpoints that answer them.

Requests that share such a part need not be alike otherwise, and sound requests share
their other parts. A part is sound if a request with it has been answered. The suspects
of a crash are the other parts of the requests whose answers had just begun at the
endpoint, and these requests themselves. Suspects of the same crashes cannot be told
apart, and the sound ones among them may be new parts that many requests are about to
share. So only requests that have all of them are refused: an answer to another one
clears the parts that it has, and another crash clears those that it does not have. A
crash that is explained counts against no other part.
"""

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.crash_counter import QUARANTINE_S
from camphoryard.state.dispatch import PromptPart
from camphoryard.state.ids import EndpointId, Fingerprint, PromptPartId

SOUND_EVENTS = 2
"""Events after which an answer shows that the parts of its prompt are sound."""
MIN_CRASHES = 2
"""Crashes after which a part that has never been answered is quarantined, if answers
with it had begun."""
MIN_CRASHES_OF_ANSWERED = 3
"""Crashes without an answer between them after which any part is quarantined."""
MIN_OTHER_ANSWERS = 20
"""Minimum number of requests without the part that are answered meanwhile. While all
endpoints are down, or this node stands still, a lack of answers shows nothing."""
MAX_PARTS = 16
"""Maximum number of parts of one request that are considered, the last ones."""
MAX_CRASHES = 200
MAX_ANSWERED_PARTS = 20_000
MAX_RECENT_ANSWERS = 1_000


def crashing_parts(parts: Sequence[PromptPart]) -> tuple[PromptPartId, ...]:
    """Return the parts that other requests may share: all but the last."""
    return tuple(part.id for part in parts[:-1][-MAX_PARTS:])


Suspect: TypeAlias = PromptPartId | Fingerprint
"""A part of a prompt, or a whole request."""
_CrashKey: TypeAlias = tuple[EndpointId, int]
"""An endpoint that crashed, and the time of its start."""


@dataclass(slots=True)
class _Crash:
    """Requests at an endpoint that crashed, with their parts.

    ``begun`` are those whose answers had begun, ``waiting`` the others. ``answered``
    are the parts that a reporting node has seen answered.
    """

    at_s: float
    begun: dict[Fingerprint, frozenset[PromptPartId]] = field(default_factory=dict)
    waiting: dict[Fingerprint, frozenset[PromptPartId]] = field(default_factory=dict)
    answered: set[PromptPartId] = field(default_factory=set)

    @property
    def suspects(self) -> Mapping[Fingerprint, frozenset[PromptPartId]]:
        """Requests of which one may have caused the crash, with their parts."""
        return self.begun or self.waiting


@dataclass(slots=True)
class _Evidence:
    """Crashes that may be due to one part and that nothing else explains.

    ``begun`` counts those at which the answer to a request with the part had begun.
    """

    first_s: float
    crashes: set[_CrashKey] = field(default_factory=set)
    begun: int = 0
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class _Quarantine:
    """Suspects of which one explains ``crashes``.

    Requests with all of ``parts`` are refused. If the same request was at each of the
    crashes, it is a suspect itself, and only the ``requests`` that were are refused.
    """

    parts: frozenset[PromptPartId]
    requests: frozenset[Fingerprint]
    crashes: frozenset[_CrashKey]
    until_s: float

    @property
    def name(self) -> str:
        """The suspects, for the log."""
        return ",".join((*sorted(self.parts), *sorted(self.requests)))

    def includes(self, suspects: Collection[Suspect]) -> bool:
        """Return whether a request with these suspects is refused."""
        if not self.parts.issubset(suspects):
            return False
        return not self.requests or not self.requests.isdisjoint(suspects)


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that was sent and has no sound answer yet."""

    suspects: frozenset[Suspect]
    abort: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Changes:
    """New quarantines with the requests that they abort, and parts found sound."""

    added: Sequence[tuple[_Quarantine, Sequence[_Waiting]]]
    released: Sequence[PromptPartId]


class CrashedParts:
    """Decides from crash reports which parts of prompts crash endpoints.

    Parameters
    ----------
    log : callable
        Called with each decision.
    clock : callable
        Return monotonic time, in seconds.
    """

    def __init__(
        self, log: DecisionLog, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._crash_by_start: OrderedDict[_CrashKey, _Crash] = OrderedDict()
        self._answered_s_by_part: OrderedDict[PromptPartId, float] = OrderedDict()
        self._recent_answers: deque[tuple[float, frozenset[PromptPartId]]] = deque(
            maxlen=MAX_RECENT_ANSWERS
        )
        self._quarantines: tuple[_Quarantine, ...] = ()
        self._adopted_s_by_parts: dict[frozenset[PromptPartId], float] = {}
        self._waiting_by_id: dict[int, _Waiting] = {}
        self._last_id = 0

    def answered(self, parts: Sequence[PromptPartId]) -> tuple[PromptPartId, ...]:
        """Return those of ``parts`` that requests of this node were answered with."""
        with self._lock:
            return tuple(part for part in parts if part in self._answered_s_by_part)

    def find(self, suspects: Collection[Suspect]) -> str | None:
        """Return the quarantine that includes a request, or None.

        ``suspects`` are the parts of the request that others may share, and its
        fingerprint.
        """
        with self._lock:
            for quarantine in self._active(self._clock()):
                if quarantine.includes(suspects):
                    return quarantine.name
        return None

    def observe(self, report: CrashReport) -> None:
        """Record a request that was at an endpoint when it crashed.

        If this shows which parts crash endpoints, abort the requests with them that
        other endpoints have.
        """
        with self._lock:
            crash = self._crash(report)
            requests = crash.begun if report.has_begun else crash.waiting
            requests[report.fingerprint] = frozenset(report.parts)
            crash.answered.update(report.answered_parts)
            changes = self._decide_again()
        self._apply(changes)

    def quarantine_s_by_parts(self) -> Mapping[frozenset[PromptPartId], float]:
        """Return the sets of parts that are refused, with the time left in seconds.

        Those of single requests are told by the `CrashCounter`.
        """
        with self._lock:
            now_s = self._clock()
            return {
                item.parts: item.until_s - now_s
                for item in self._active(now_s)
                if not item.requests
            }

    def adopt(
        self, quarantine_s_by_parts: Mapping[frozenset[PromptPartId], float]
    ) -> None:
        """Quarantine the parts of a peer, unless this node has seen one answered."""
        with self._lock:
            now_s = self._clock()
            known = {item.parts for item in self._active(now_s)}
            adopted = [
                parts
                for parts in quarantine_s_by_parts
                if parts not in known
                and parts
                and self._answered_s_by_part.keys().isdisjoint(parts)
            ]
            for parts in adopted:
                left_s = min(QUARANTINE_S, quarantine_s_by_parts[parts])
                self._adopted_s_by_parts[parts] = now_s + left_s
        for parts in adopted:
            self._log(
                "part_quarantined", part=",".join(sorted(parts)), crashes=0, aborted=0
            )

    def record_answered(self, parts: Sequence[PromptPartId]) -> None:
        """Record that a request with ``parts`` is being answered: they are sound."""
        with self._lock:
            now_s = self._clock()
            self._recent_answers.append((now_s, frozenset(parts)))
            for part in parts:
                self._answered_s_by_part[part] = now_s
                self._answered_s_by_part.move_to_end(part)
            while len(self._answered_s_by_part) > MAX_ANSWERED_PARTS:
                self._answered_s_by_part.popitem(last=False)
            if all(item.parts.isdisjoint(parts) for item in self._active(now_s)):
                return
            self._adopted_s_by_parts = {
                adopted - frozenset(parts): until_s
                for adopted, until_s in self._adopted_s_by_parts.items()
                if adopted - frozenset(parts)
            }
            changes = self._decide_again(parts)
        self._apply(changes)

    @contextmanager
    def abort_if_quarantined(
        self, suspects: Collection[Suspect], abort: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``abort`` if a request is quarantined during the context."""
        if not suspects:
            yield
            return
        with self._lock:
            self._last_id += 1
            id = self._last_id
            self._waiting_by_id[id] = _Waiting(frozenset(suspects), abort)
        try:
            yield
        finally:
            with self._lock:
                del self._waiting_by_id[id]

    def _crash(self, report: CrashReport) -> _Crash:
        key = report.endpoint, report.started_ms
        crash = self._crash_by_start.setdefault(key, _Crash(self._clock()))
        while len(self._crash_by_start) > MAX_CRASHES:
            self._crash_by_start.popitem(last=False)
        return crash

    def _active(self, now_s: float) -> list[_Quarantine]:
        """Return the quarantines in force, also those adopted from peers."""
        adopted = [
            _Quarantine(parts, frozenset(), frozenset(), until_s)
            for parts, until_s in self._adopted_s_by_parts.items()
        ]
        return [item for item in (*self._quarantines, *adopted) if item.until_s > now_s]

    def _decide_again(self, answered: Collection[PromptPartId] = ()) -> _Changes:
        """Decide from all evidence which suspects are quarantined; return the changes.

        ``answered`` are the parts that have just been answered.
        """
        now_s = self._clock()
        before = self._active(now_s)
        self._adopted_s_by_parts = {
            parts: until_s
            for parts, until_s in self._adopted_s_by_parts.items()
            if until_s > now_s
        }
        self._quarantines = tuple(self._quarantined(now_s))
        after = self._active(now_s)
        known = {(item.parts, item.requests) for item in before}
        added = [item for item in after if (item.parts, item.requests) not in known]
        refused = {part for item in after for part in item.parts}
        released = [
            part
            for part in answered
            if part not in refused and any(part in item.parts for item in before)
        ]
        return _Changes(
            [
                (
                    item,
                    [
                        waiting
                        for waiting in self._waiting_by_id.values()
                        if item.includes(waiting.suspects)
                    ],
                )
                for item in added
            ],
            released,
        )

    def _apply(self, changes: _Changes) -> None:
        """Log the changes and abort the requests that are refused now."""
        for quarantine, aborted in changes.added:
            self._log(
                "part_quarantined",
                part=quarantine.name,
                crashes=len(quarantine.crashes),
                aborted=len(aborted),
            )
            for waiting in aborted:
                waiting.abort()
        for part in changes.released:
            self._log("part_released", part=part)

    def _quarantined(self, now_s: float) -> Iterator[_Quarantine]:
        """Yield the suspects that explain most crashes, then those of the others."""
        counted = {key for item in self._quarantines for key in item.crashes}
        unexplained = {
            key: crash
            for key, crash in self._crash_by_start.items()
            if (crash.at_s >= now_s - QUARANTINE_S or key in counted)
            and not self._is_explained_by_peer(crash)
        }
        while True:
            evidence_by_part = self._evidence(unexplained)
            conclusive = {
                part: item
                for part, item in evidence_by_part.items()
                if self._is_conclusive(part, item)
            }
            if not conclusive:
                return
            first = max(
                conclusive,
                key=lambda part: (
                    len(conclusive[part].crashes),
                    not conclusive[part].is_answered,
                    part,
                ),
            )
            crashes = frozenset(conclusive[first].crashes)
            parts = frozenset(
                part
                for part, item in evidence_by_part.items()
                if item.crashes >= crashes
                and (not item.is_answered or part in conclusive)
            )
            requests = frozenset.intersection(
                *(frozenset(unexplained[key].suspects) for key in crashes)
            )
            last_s = max(unexplained[key].at_s for key in crashes)
            yield _Quarantine(parts, requests, crashes, last_s + QUARANTINE_S)
            for key in crashes:
                del unexplained[key]

    def _is_explained_by_peer(self, crash: _Crash) -> bool:
        return any(
            adopted <= parts
            for adopted in self._adopted_s_by_parts
            for parts in crash.suspects.values()
        )

    def _is_conclusive(self, part: PromptPartId, item: _Evidence) -> bool:
        if not item.is_answered and item.begun >= MIN_CRASHES:
            return True
        if len(item.crashes) < MIN_CRASHES_OF_ANSWERED:
            return False
        other_answers = sum(
            at_s >= item.first_s and part not in parts
            for at_s, parts in self._recent_answers
        )
        return other_answers >= MIN_OTHER_ANSWERS

    def _evidence(
        self, crash_by_start: Mapping[_CrashKey, _Crash]
    ) -> dict[PromptPartId, _Evidence]:
        """Return the evidence against each part."""
        evidence_by_part: dict[PromptPartId, _Evidence] = {}
        for key, crash in crash_by_start.items():
            begun = frozenset[PromptPartId]().union(*crash.begun.values())
            for part in frozenset[PromptPartId]().union(*crash.suspects.values()):
                answered_s = self._answered_s_by_part.get(part)
                if answered_s is not None and answered_s >= crash.at_s:
                    continue
                item = evidence_by_part.setdefault(part, _Evidence(crash.at_s))
                item.first_s = min(item.first_s, crash.at_s)
                item.crashes.add(key)
                item.begun += part in begun
                item.is_answered |= answered_s is not None or part in crash.answered
        return evidence_by_part
