"""The dispatcher: answers nodes that ask which engine their requests go to.

Questions wait until their request's turn comes, for a short time, and their node asks
again. The task of one of them, the timekeeper, takes the steps that are due meanwhile,
so that no task runs while nothing waits.
"""

import random
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from camphoryard.coordination.dispatch.dispatch_queue import (
    Decision,
    DispatchQueue,
    QueuedRequest,
)
from camphoryard.coordination.dispatch.engine_ledger import EngineLedger
from camphoryard.coordination.ports import DecisionLog
from camphoryard.state.directory import Directory
from camphoryard.state.dispatch import (
    DispatchAnswer,
    Dispatched,
    DispatchRequest,
    NotDispatched,
    Progress,
    Queued,
    Rejected,
    RunEnded,
)
from camphoryard.state.ids import EndpointId, NodeId, TicketId

MAX_ASK_S = 0.3
"""Longest time that a question waits for its answer."""
MAX_WAITING_ASKS = 160
"""Maximum number of questions that wait; each occupies a task of those that handle the
messages of peers."""
CROWD_ASK_AGAIN_S = 0.5
"""When to ask again if more than `MAX_WAITING_ASKS` wait; the last in order do so."""
MIN_STEP_S = 0.005
MAX_STEP_S = 0.05
"""Shortest and longest time between two steps while requests wait."""
STEP_TIME_FACTOR = 8
"""Steps are at least this many times as far apart as the last one took."""
RETAIN_PERIOD_S = 1.0
"""How often what engines and nodes had that are gone is forgotten."""
MAX_RUN_S = 60.0
"""How long a run is remembered whose end nobody reports."""


@dataclass(frozen=True, slots=True)
class DispatcherContext:
    """Collaborators of a Dispatcher.

    ``leads`` returns whether this node dispatches, ``alive`` the nodes that are up, and
    ``in_flight`` the requests at an endpoint as nodes report them.
    """

    directory: Directory
    alive: Callable[[], Collection[NodeId]]
    leads: Callable[[], bool]
    in_flight: Callable[[EndpointId], float]
    log: DecisionLog
    observe: Callable[[str, float], None]
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic
    rng: random.Random | None = None


@dataclass(frozen=True, slots=True)
class _Run:
    """A request of ``node`` that was sent to an endpoint at ``since_s``."""

    endpoint: EndpointId
    node: NodeId | None
    since_s: float


class Dispatcher:
    """Dispatches the requests of all nodes to the engines, if this node leads.

    Parameters
    ----------
    ledger : EngineLedger
        What the engines have in hand; by default an empty one.
    """

    def __init__(
        self, context: DispatcherContext, ledger: EngineLedger | None = None
    ) -> None:
        self._context = context
        self._ledger = ledger or EngineLedger(context.clock)
        self._queue = DispatchQueue(
            self._ledger,
            context.directory,
            context.in_flight,
            context.clock,
            context.rng,
        )
        self._lock = threading.Lock()
        self._changed_by_ticket: dict[TicketId, threading.Event] = {}
        self._keeper: TicketId | None = None
        self._next_step_s = 0.0
        self._earliest_step_s = 0.0
        self._retain_s = 0.0
        self._run_by_ticket: dict[TicketId, _Run] = {}

    def ask(self, request: DispatchRequest) -> DispatchAnswer:
        """Return where the request goes, waiting `MAX_ASK_S` for its turn at most."""
        if not self._context.leads():
            return NotDispatched()
        with self._lock:
            run = self._run_by_ticket.get(request.ticket)
            if run is not None:
                # The node has not received the answer.
                return Dispatched(run.endpoint)
            queued = self._queue.enter(request)
            changed = threading.Event()
            self._changed_by_ticket[request.ticket] = changed
            self._step_if_allowed()
            self._send_last_away()
        try:
            return self._wait(queued, changed)
        finally:
            with self._lock:
                self._stop_waiting(queued, changed)

    def record(self, progress: Progress) -> None:
        """Record a first event or an end; requests that wait may go then."""
        with self._lock:
            self._ledger.record(progress)
            match progress:
                case RunEnded(ticket):
                    self._run_by_ticket.pop(ticket, None)
                    self._queue.end(ticket)
                case _:
                    pass
            if len(self._queue):
                self._plan(self._context.clock())

    def withdraw(self, ticket: TicketId) -> None:
        """Remove a request whose node no longer waits for an answer."""
        with self._lock:
            queued = self._queue.withdraw(ticket)
            if queued is not None:
                queued.answer = NotDispatched()
                self._wake(ticket)
            self._end_run(ticket)

    def count_waiting(self, rank: int) -> int:
        """Return the number of requests of a rank that wait."""
        with self._lock:
            return self._queue.count_by_rank()[rank]

    def _wait(self, queued: QueuedRequest, changed: threading.Event) -> DispatchAnswer:
        """Block until the request has an answer, or its question has waited enough."""
        ticket = queued.request.ticket
        until_s = self._context.clock() + MAX_ASK_S
        while True:
            with self._lock:
                self._keeper = self._keeper or ticket
                if self._keeper == ticket:
                    self._step_if_due()
                if queued.answer is not None:
                    return queued.answer
                now_s = self._context.clock()
                if now_s >= until_s:
                    return Queued(0.0)
                wake_s = until_s
                if self._keeper == ticket:
                    wake_s = min(wake_s, self._next_step_s)
            changed.wait(max(0.0, wake_s - now_s))
            changed.clear()

    def _stop_waiting(self, queued: QueuedRequest, changed: threading.Event) -> None:
        """Remove a question; another one keeps the time if this one did."""
        ticket = queued.request.ticket
        if self._changed_by_ticket.get(ticket) is not changed:
            # The node has asked again meanwhile.
            return
        del self._changed_by_ticket[ticket]
        self._queue.stop_asking(queued)
        if self._keeper == ticket:
            self._keeper = next(iter(self._changed_by_ticket), None)
            if self._keeper is not None:
                self._wake(self._keeper)

    def _send_last_away(self) -> None:
        """Have the last in order ask again later if too many questions wait."""
        if len(self._changed_by_ticket) <= MAX_WAITING_ASKS:
            return
        last = self._queue.last_asking()
        if last is not None:
            last.answer = Queued(CROWD_ASK_AGAIN_S)
            self._wake(last.request.ticket)

    def _plan(self, at_s: float) -> None:
        """Have the next step taken at a time, or when steps are allowed again."""
        step_s = max(at_s, self._earliest_step_s)
        if step_s < self._next_step_s:
            self._next_step_s = step_s
            if self._keeper is not None:
                self._wake(self._keeper)

    def _step_if_allowed(self) -> None:
        """Take a step, or plan one if the last was just now."""
        now_s = self._context.clock()
        if now_s < self._earliest_step_s:
            self._plan(now_s)
        else:
            self._step(now_s)

    def _step_if_due(self) -> None:
        """Take the step that is planned, if it is time for it."""
        now_s = self._context.clock()
        if now_s >= self._next_step_s:
            self._step(now_s)

    def _step(self, now_s: float) -> None:
        """Decide about the requests that wait, and plan the next step."""
        self._retain_if_due(now_s)
        if not self._context.leads():
            for queued in self._queue.clear():
                self._wake(queued.request.ticket)
            return
        for decision in self._queue.decide():
            self._tell(decision, now_s)
        step_time_s = self._context.clock() - now_s
        self._earliest_step_s = now_s + max(MIN_STEP_S, STEP_TIME_FACTOR * step_time_s)
        change_s = self._queue.next_change_s() or MAX_STEP_S
        next_s = now_s + min(change_s, MAX_STEP_S)
        self._next_step_s = max(self._earliest_step_s, next_s)

    def _retain_if_due(self, now_s: float) -> None:
        """Forget engines that are no longer listed, and runs of nodes that are gone."""
        if now_s < self._retain_s:
            return
        self._retain_s = now_s + RETAIN_PERIOD_S
        self._ledger.retain(self._context.directory.endpoints_by_id().values())
        alive = self._context.alive()
        gone = [
            ticket
            for ticket, run in self._run_by_ticket.items()
            if run.node not in alive or now_s - run.since_s >= MAX_RUN_S
        ]
        for ticket in gone:
            self._end_run(ticket)

    def _end_run(self, ticket: TicketId) -> None:
        """Forget a run whose node does not report its end."""
        run = self._run_by_ticket.pop(ticket, None)
        if run is not None:
            ended = RunEnded(ticket, run.endpoint, was_declined=True)
            self._ledger.record(ended)
            self._queue.end(ticket)

    def _tell(self, decision: Decision, now_s: float) -> None:
        """Wake the question that a decision answers, and log the decision."""
        ticket = decision.request.ticket
        match decision.answer:
            case Dispatched(endpoint):
                run = _Run(endpoint, decision.request.node, now_s)
                self._run_by_ticket[ticket] = run
                self._context.observe("turn_wait", decision.waited_s)
            case Rejected():
                self._context.count("turns_refused")
            case _:
                pass
        self._wake(ticket)
        _log(self._context.log, decision)

    def _wake(self, ticket: TicketId) -> None:
        changed = self._changed_by_ticket.get(ticket)
        if changed is not None:
            changed.set()


def _log(log: DecisionLog, decision: Decision) -> None:
    """Write the line of a decision."""
    request = decision.request
    fields: dict[str, object] = {
        "ticket": request.ticket,
        "rank": request.rank,
        "account": request.account or "",
        "waited_s": round(decision.waited_s, 3),
        "queued": decision.queued,
        "objective_left_s": round(request.objective_left_s, 3),
        "leave_left_s": round(request.leave_left_s, 3),
    }
    match decision.answer:
        case Dispatched(endpoint) if decision.candidate is not None:
            outlook = decision.candidate.outlook
            log(
                "turn",
                **fields,
                endpoint=endpoint,
                first_event_s=round(outlook.first_event_s, 3),
                pause_s=round(outlook.pause_s, 3),
                load=round(outlook.load, 2),
                unread=outlook.unread_tokens,
            )
        case Rejected(retry_after_s, detail):
            log(
                "turn_refused",
                **fields,
                retry_after_s=round(retry_after_s, 2),
                detail=detail,
            )
        case _:
            log("turn_not_given", **fields)
