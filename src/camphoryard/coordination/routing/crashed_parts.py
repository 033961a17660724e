"""Quarantine of parts of prompts that crash the endpoints that answer them.

Requests that share such a part need not be alike otherwise, and sound requests share
their other parts. A part is sound if a request with it has been answered. Among the
other parts of the requests whose answers had just begun when endpoints crashed, the one
that most crashes have in common is quarantined; of several, the one that is last in the
prompt, because the fewest sound requests have it. A crash that a quarantined part
explains counts against no other part.
"""

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from camphoryard.coordination.forwarding.ports import PromptPart
from camphoryard.coordination.messages import CrashReport
from camphoryard.coordination.ports import DecisionLog
from camphoryard.coordination.routing.crash_counter import QUARANTINE_S
from camphoryard.state.ids import EndpointId, PromptPartId

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


@dataclass(slots=True)
class _Crash:
    """Parts of the requests at an endpoint that crashed, by position in the prompt.

    ``begun`` are those of requests whose answers had begun, ``waiting`` those of the
    others, ``answered`` those that a reporting node has seen answered.
    """

    at_s: float
    begun: dict[PromptPartId, int] = field(default_factory=dict)
    waiting: dict[PromptPartId, int] = field(default_factory=dict)
    answered: set[PromptPartId] = field(default_factory=set)

    @property
    def suspects(self) -> dict[PromptPartId, int]:
        """Parts of which one may have caused the crash, by position."""
        return self.begun or self.waiting


@dataclass(slots=True)
class _Evidence:
    """Crashes that may be due to one part and that no quarantined part explains."""

    first_s: float
    crashes: int = 0
    begun: int = 0
    is_answered: bool = False
    position: int = 0


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that was sent and has no sound answer yet."""

    parts: frozenset[PromptPartId]
    abort: Callable[[], None]


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
        self._crash_by_start: OrderedDict[tuple[EndpointId, int], _Crash] = (
            OrderedDict()
        )
        self._answered_s_by_part: OrderedDict[PromptPartId, float] = OrderedDict()
        self._recent_answers: deque[tuple[float, frozenset[PromptPartId]]] = deque(
            maxlen=MAX_RECENT_ANSWERS
        )
        self._until_s_by_part: dict[PromptPartId, float] = {}
        self._waiting_by_id: dict[int, _Waiting] = {}
        self._last_id = 0

    def answered(self, parts: Sequence[PromptPartId]) -> tuple[PromptPartId, ...]:
        """Return those of ``parts`` that requests of this node were answered with."""
        with self._lock:
            return tuple(part for part in parts if part in self._answered_s_by_part)

    def find(self, parts: Sequence[PromptPartId]) -> PromptPartId | None:
        """Return one of ``parts`` that is quarantined, or None."""
        with self._lock:
            now_s = self._clock()
            for part in parts:
                if self._until_s_by_part.get(part, 0.0) > now_s:
                    return part
        return None

    def observe(self, report: CrashReport) -> None:
        """Record a request that was at an endpoint when it crashed.

        If this shows which part crashes endpoints, abort the requests with it that
        other endpoints have.
        """
        with self._lock:
            crash = self._crash(report)
            positions = crash.begun if report.has_begun else crash.waiting
            positions.update({part: n for n, part in enumerate(report.parts)})
            crash.answered.update(report.answered_parts)
            part = self._quarantine()
            if part is None:
                return
            crashes = sum(
                part in crash.suspects for crash in self._crash_by_start.values()
            )
            aborted = [w for w in self._waiting_by_id.values() if part in w.parts]
        self._log("part_quarantined", part=part, crashes=crashes, aborted=len(aborted))
        for waiting in aborted:
            waiting.abort()

    def quarantine_s_by_part(self) -> Mapping[PromptPartId, float]:
        """Return the quarantined parts with the time left in seconds."""
        with self._lock:
            now_s = self._clock()
            return {
                part: until_s - now_s
                for part, until_s in self._until_s_by_part.items()
                if until_s > now_s
            }

    def adopt(self, quarantine_s_by_part: Mapping[PromptPartId, float]) -> None:
        """Quarantine the parts of a peer that this node has not seen answered."""
        with self._lock:
            now_s = self._clock()
            adopted = [
                part
                for part in quarantine_s_by_part
                if part not in self._until_s_by_part
                and part not in self._answered_s_by_part
            ]
            for part in adopted:
                left_s = min(QUARANTINE_S, quarantine_s_by_part[part])
                self._until_s_by_part[part] = now_s + left_s
        for part in adopted:
            self._log("part_quarantined", part=part, crashes=0, aborted=0)

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
            lifted = [part for part in parts if self._until_s_by_part.pop(part, 0.0)]
        for part in lifted:
            self._log("part_released", part=part)

    @contextmanager
    def abort_if_quarantined(
        self, parts: Sequence[PromptPartId], abort: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``abort`` if one of ``parts`` is quarantined during the context."""
        if not parts:
            yield
            return
        with self._lock:
            self._last_id += 1
            id = self._last_id
            self._waiting_by_id[id] = _Waiting(frozenset(parts), abort)
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

    def _quarantine(self) -> PromptPartId | None:
        """Quarantine the part that the evidence is against; return it, or None."""
        now_s = self._clock()
        self._until_s_by_part = {
            part: until_s
            for part, until_s in self._until_s_by_part.items()
            if until_s > now_s
        }
        conclusive = {
            part: item
            for part, item in self._evidence(now_s - QUARANTINE_S).items()
            if self._is_conclusive(part, item)
        }
        if not conclusive:
            return None
        part = max(
            conclusive,
            key=lambda id: (conclusive[id].crashes, conclusive[id].position),
        )
        self._until_s_by_part[part] = now_s + QUARANTINE_S
        return part

    def _is_conclusive(self, part: PromptPartId, item: _Evidence) -> bool:
        if not item.is_answered and item.begun >= MIN_CRASHES:
            return True
        if item.crashes < MIN_CRASHES_OF_ANSWERED:
            return False
        other_answers = sum(
            at_s >= item.first_s and part not in parts
            for at_s, parts in self._recent_answers
        )
        return other_answers >= MIN_OTHER_ANSWERS

    def _evidence(self, since_s: float) -> dict[PromptPartId, _Evidence]:
        """Return the evidence against each part."""
        evidence_by_part: dict[PromptPartId, _Evidence] = {}
        for crash in self._crash_by_start.values():
            suspects = crash.suspects
            if crash.at_s < since_s or suspects.keys() & self._until_s_by_part.keys():
                continue
            for part, position in suspects.items():
                answered_s = self._answered_s_by_part.get(part)
                if answered_s is not None and answered_s >= crash.at_s:
                    continue
                item = evidence_by_part.setdefault(part, _Evidence(crash.at_s))
                item.first_s = min(item.first_s, crash.at_s)
                item.crashes += 1
                item.begun += part in crash.begun
                item.is_answered |= answered_s is not None or part in crash.answered
                item.position = max(item.position, position)
        return evidence_by_part
