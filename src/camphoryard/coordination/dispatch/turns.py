"""Turns of this node's requests at the engines, which the leader gives."""

import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.dispatch.dispatcher import MAX_ASK_S, Dispatcher
from camphoryard.coordination.messages import Reply
from camphoryard.coordination.ports import DecisionLog, Peers
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
    Withdrawn,
)
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import EndpointId, NodeId, RequestId, ServiceId, TicketId

ANSWER_TIMEOUT_S = MAX_ASK_S + 0.15
"""How long an answer is waited for. The dispatcher answers within `MAX_ASK_S`."""
PAUSE_S = 1.0
"""How long a node chooses for itself after the dispatcher has not answered."""
MIN_NODES_PER_ENGINE = 2
"""Nodes per engine of a service from which on its requests are dispatched. With fewer
nodes each of them knows most of what its engines have in hand."""
LEFT_RETRY_S = 0.5
"""Retry-After of a request whose client would leave before its turn."""


@dataclass(frozen=True, slots=True)
class TakenTurn:
    """A turn at an endpoint, whose end has to be reported."""

    ticket: TicketId
    endpoint: EndpointId


class EngineTurns(Protocol):
    """Gives requests their turns at the engines of a service."""

    def is_in_force(self, service: ServiceId) -> bool:
        """Return whether requests for a service take turns."""

    def make_ticket(self, request: RequestId) -> TicketId:
        """Return the ticket of one send of a request."""

    def take(
        self, request: DispatchRequest, cancellation: Cancellation
    ) -> Dispatched | Rejected | NotDispatched:
        """Block until the request's turn comes, or it is known not to come in time.

        After `NotDispatched` the node chooses for itself, or the request has been
        cancelled.
        """

    def tell(self, progress: Progress) -> None:
        """Report the first event or the end of a dispatched request."""


class OwnChoice:
    """Turns of a node that chooses for itself."""

    def is_in_force(self, service: ServiceId) -> bool:
        """Return False."""
        return False

    def make_ticket(self, request: RequestId) -> TicketId:
        """Return a ticket, which is not used."""
        return TicketId(request)

    def take(
        self, request: DispatchRequest, cancellation: Cancellation
    ) -> NotDispatched:
        """Return at once."""
        return NotDispatched()

    def tell(self, progress: Progress) -> None:
        """Ignore the report."""


def is_dispatched(nodes: int, engines: int) -> bool:
    """Return whether a fleet's requests to a service's engines are dispatched.

    Examples
    --------
    >>> is_dispatched(nodes=60, engines=30)
    True
    >>> is_dispatched(nodes=9, engines=8)
    False
    """
    return 0 < engines * MIN_NODES_PER_ENGINE <= nodes


@dataclass(frozen=True, slots=True)
class TurnsContext:
    """Collaborators of FleetTurns; ``nodes`` returns the number of nodes."""

    node: NodeId
    directory: Directory
    dispatcher: Dispatcher
    peers: Peers
    leader: Callable[[], NodeId | None]
    nodes: Callable[[], int]
    log: DecisionLog
    count: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic


class FleetTurns:
    """Asks the leader for turns; see the EngineTurns port.

    A node whose question is not answered in time chooses for itself for `PAUSE_S`.
    """

    def __init__(self, context: TurnsContext) -> None:
        self._context = context
        self._tickets = itertools.count()
        self._lock = threading.Lock()
        self._paused_until_s = 0.0
        self._is_lost = False

    def is_in_force(self, service: ServiceId) -> bool:
        """Return whether the leader is asked for turns at a service's engines now."""
        context = self._context
        if context.clock() < self._paused_until_s or context.leader() is None:
            return False
        engines = sum(
            item.service == service
            for item in context.directory.endpoints_by_id().values()
        )
        return is_dispatched(context.nodes(), engines)

    def make_ticket(self, request: RequestId) -> TicketId:
        """Return the ticket of one send of a request."""
        return TicketId(f"{request}.{next(self._tickets)}.{self._context.node}")

    def take(
        self, request: DispatchRequest, cancellation: Cancellation
    ) -> Dispatched | Rejected | NotDispatched:
        """Block until the request's turn comes; see the EngineTurns port."""
        cancelled = threading.Event()

        def withdraw() -> None:
            cancelled.set()
            self._send(Withdrawn(request.ticket))

        handle = cancellation.subscribe(withdraw)
        try:
            return self._ask_until_answered(request, cancelled)
        finally:
            cancellation.unsubscribe(handle)

    def tell(self, progress: Progress) -> None:
        """Report the first event or the end of a dispatched request."""
        self._send(progress)

    def _ask_until_answered(
        self, request: DispatchRequest, cancelled: threading.Event
    ) -> Dispatched | Rejected | NotDispatched:
        request = replace(request, node=self._context.node)
        began_s = self._context.clock()
        while not cancelled.is_set():
            waited_s = self._context.clock() - began_s
            if waited_s >= request.leave_left_s:
                self._send(Withdrawn(request.ticket))
                return Rejected(LEFT_RETRY_S, "no engine was free in time")
            answer = self._ask(
                replace(
                    request,
                    objective_left_s=request.objective_left_s - waited_s,
                    leave_left_s=request.leave_left_s - waited_s,
                )
            )
            match answer:
                case Queued(ask_again_s):
                    cancelled.wait(ask_again_s)
                case Dispatched() if cancelled.is_set():
                    self._send(RunEnded(request.ticket, answer.endpoint, True))
                case Dispatched() | Rejected():
                    return answer
                case NotDispatched():
                    return answer
        return NotDispatched()

    def _ask(self, request: DispatchRequest) -> DispatchAnswer:
        """Return the leader's answer; `NotDispatched` if there is none in time."""
        context = self._context
        leader = context.leader()
        if leader is None:
            return NotDispatched()
        if leader == context.node:
            return context.dispatcher.ask(request)
        try:
            reply = context.peers.request(leader, request, ANSWER_TIMEOUT_S)
        except PeerUnreachableError as error:
            self._lose(leader, str(error))
            context.peers.send(leader, Withdrawn(request.ticket))
            return NotDispatched()
        self._regain(leader)
        return _to_answer(reply)

    def _send(self, message: Progress | Withdrawn) -> None:
        leader = self._context.leader()
        if leader is None:
            return
        if leader != self._context.node:
            self._context.peers.send(leader, message)
            return
        record_message(self._context.dispatcher, message)

    def _lose(self, leader: NodeId, error: str) -> None:
        with self._lock:
            self._paused_until_s = self._context.clock() + PAUSE_S
            was_lost, self._is_lost = self._is_lost, True
        if not was_lost:
            self._context.log("dispatcher_lost", dispatcher=leader, error=error)
            self._context.count("dispatcher_lost")

    def _regain(self, leader: NodeId) -> None:
        with self._lock:
            was_lost, self._is_lost = self._is_lost, False
        if was_lost:
            self._context.log("dispatcher_regained", dispatcher=leader)


def record_message(dispatcher: Dispatcher, message: Progress | Withdrawn) -> None:
    """Pass a node's report on to the dispatcher."""
    match message:
        case Withdrawn(ticket):
            dispatcher.withdraw(ticket)
        case progress:
            dispatcher.record(progress)


def _to_answer(reply: Reply) -> DispatchAnswer:
    match reply:
        case Dispatched() | Queued() | Rejected():
            return reply
        case _:
            return NotDispatched()
