"""What one engine has in hand, and when it is expected to have read it."""

import itertools
import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from camphoryard.coordination.dispatch.kept_prompts import KeptPrompts
from camphoryard.coordination.dispatch.reading_speed import Slowness
from camphoryard.state.dispatch import DispatchRequest
from camphoryard.state.ids import EndpointId, ServiceId, TicketId

PIECE_TOKENS = 2048
"""Tokens that an engine reads between two steps, about."""
STEPS_PER_EVENT = 4
"""Steps of a batch in which an event of a stream is made, about."""
STALL_S = 0.15
STALL_FACTOR = 2.0
"""An engine stalls if a first event is later than ``STALL_FACTOR`` times its expected
time, ``STALL_S``, and the time that notes of first events take."""


@dataclass(slots=True)
class Expected:
    """What is expected of a request when it is sent to an engine.

    The engine has to read others for ``line_s``, ``unread_tokens`` of its prompt for
    ``reading_s``, and then makes its first event within ``event_s``.
    """

    slowness: Slowness
    unread_tokens: int
    line_s: float
    reading_s: float
    event_s: float
    has_place: bool

    @property
    def first_event_s(self) -> float:
        """Time to the first event."""
        return self.line_s + self.reading_s + self.event_s

    @property
    def reading_share(self) -> float:
        """Part of the time to the first event in which prompts are read."""
        return (self.line_s + self.reading_s) / self.first_event_s


@dataclass(slots=True, eq=False)
class Run:
    """A request at an engine, which is expected to have read it at ``read_s``."""

    request: DispatchRequest
    endpoint: EndpointId
    sent_s: float
    lapses_s: float
    expected: Expected
    read_s: float = 0.0

    @property
    def begin_s(self) -> float:
        """When the engine is expected to begin reading."""
        return self.read_s - self.expected.reading_s

    @property
    def tokens(self) -> int:
        """Memory that it takes, in tokens."""
        return memory_tokens(self.request)


@dataclass(slots=True)
class EngineWork:
    """What one start of an engine has in hand.

    ``waiting_by_ticket`` are the runs without a first event, in the order in which
    they were sent; ``recent`` are runs that were read last. Runs sent after
    ``seen_sent_s`` have no first event yet.
    """

    id: EndpointId
    service: ServiceId
    started_ms: int
    kv_tokens: int = 0
    kept: KeptPrompts = field(default_factory=KeptPrompts)
    run_by_ticket: dict[TicketId, Run] = field(default_factory=dict)
    waiting_by_ticket: dict[TicketId, Run] = field(default_factory=dict)
    recent: deque[Run] = field(
        default_factory=lambda: deque(maxlen=2 * STEPS_PER_EVENT)
    )
    tokens: int = 0
    output_tokens: int = 0
    read_s: float = 0.0
    seen_sent_s: float = 0.0

    def line_s(self, now_s: float) -> float:
        """Return how long the engine has yet to read what was sent to it."""
        return max(0.0, self.read_s - now_s)

    def has_streams(self, now_s: float) -> bool:
        """Return whether it runs a request that has been read."""
        if len(self.run_by_ticket) > len(self.waiting_by_ticket):
            return True
        return any(run.read_s <= now_s for run in self.waiting_by_ticket.values())

    def stalled_s(self, now_s: float, note_lag_s: float) -> float:
        """Return for how long the oldest first event is awaited, if it is overdue.

        Notes of first events take up to ``note_lag_s``.
        """
        waiting = self.waiting_by_ticket.values()
        unseen = (run for run in waiting if run.sent_s > self.seen_sent_s)
        oldest = next(unseen, None)
        if oldest is None:
            return 0.0
        waited_s = now_s - oldest.sent_s - note_lag_s
        is_overdue = waited_s > STALL_FACTOR * oldest.expected.first_event_s + STALL_S
        return waited_s if is_overdue else 0.0

    def reads_backwards(self) -> Iterable[Run]:
        """Return the runs that were read or wait to be, the last one first."""
        return itertools.chain(
            reversed(self.waiting_by_ticket.values()), reversed(self.recent)
        )

    def change_s(self, now_s: float) -> float:
        """Return in how many seconds it has read a prompt, or made an event since."""
        waiting = self.waiting_by_ticket.values()
        left_s = [run.read_s - now_s for run in waiting if run.read_s > now_s]
        if left_s:
            return min(left_s)
        last = next(iter(self.reads_backwards()), None)
        return max(0.0, self.read_s + last.expected.event_s - now_s) if last else 0.0

    def has_room(self, slots: int, tokens: int) -> bool:
        """Return whether one of ``slots`` and memory for ``tokens`` are free."""
        has_slot = len(self.run_by_ticket) < slots
        return has_slot and self.tokens + tokens <= self.kv_tokens

    def used_share(self, slots: int) -> float:
        """Return the share of ``slots`` or of the memory that is in use."""
        slot_share = len(self.run_by_ticket) / max(1, slots)
        return max(slot_share, self.tokens / max(1, self.kv_tokens))

    def add(self, run: Run, now_s: float) -> None:
        """Add a run behind those that wait to be read."""
        ticket = run.request.ticket
        run.read_s = max(now_s, self.read_s) + run.expected.reading_s
        self.read_s = run.read_s
        self.run_by_ticket[ticket] = run
        self.waiting_by_ticket[ticket] = run
        self.tokens += run.tokens
        self.output_tokens += run.request.work.output_tokens

    def has_read(self, run: Run, read_s: float) -> None:
        """Record that ``run``, which has its first event, was read at ``read_s``.

        So were those that were sent before it.
        """
        later = self.waiting_after(run)
        del self.waiting_by_ticket[run.request.ticket]
        run.read_s = read_s
        self.recent.append(run)
        self.seen_sent_s = max(self.seen_sent_s, run.sent_s)
        for earlier in self.waiting_by_ticket.values():
            if earlier not in later:
                earlier.read_s = min(earlier.read_s, read_s)
        self._expect(later, read_s)

    def remove(self, run: Run, now_s: float) -> None:
        """Remove a run that has ended."""
        ticket = run.request.ticket
        del self.run_by_ticket[ticket]
        self.tokens -= run.tokens
        self.output_tokens -= run.request.work.output_tokens
        if ticket not in self.waiting_by_ticket:
            return
        later = self.waiting_after(run)
        del self.waiting_by_ticket[ticket]
        if run.read_s > now_s:
            self._expect(later, max(now_s, run.begin_s))

    def waiting_after(self, run: Run) -> Sequence[Run]:
        """Return the runs without a first event that were sent after ``run``."""
        waiting = list(self.waiting_by_ticket.values())
        return waiting[waiting.index(run) + 1 :]

    def _expect(self, runs: Sequence[Run], free_s: float) -> None:
        """Expect anew when ``runs``, the last in line, are read, from ``free_s`` on."""
        self.read_s = free_s
        for run in runs:
            self.read_s = max(self.read_s, run.sent_s) + run.expected.reading_s
            run.read_s = self.read_s


def reading_in_event_s(state: EngineWork, added: Expected, now_s: float) -> float:
    """Return how long an engine reads within one event, if one more prompt is added.

    The event ends with the reading of that prompt. Prompts that wait together are read
    in the same steps, others in steps of their own.
    """
    steps = added.unread_tokens / PIECE_TOKENS
    if steps >= STEPS_PER_EVENT:
        return added.reading_s * STEPS_PER_EVENT / steps
    step_s = added.event_s / STEPS_PER_EVENT
    total_s = added.reading_s
    steps_left = STEPS_PER_EVENT - steps
    next_sent_s, next_begin_s = now_s, max(now_s, state.read_s)
    for run in state.reads_backwards():
        if next_sent_s > run.begin_s:
            idle_s = max(0.0, next_begin_s - run.read_s)
            steps_left = math.floor(steps_left) - idle_s / step_s
        if steps_left <= 0:
            break
        steps = run.expected.unread_tokens / PIECE_TOKENS
        total_s += run.expected.reading_s * min(1.0, steps_left / steps)
        steps_left -= steps
        next_sent_s, next_begin_s = run.sent_s, run.begin_s
    return total_s


def memory_tokens(request: DispatchRequest) -> int:
    """Return the memory that a request takes, in tokens."""
    return request.work.prompt_tokens + request.work.output_tokens
