"""Numbered orders to engines, and questions to them."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.coordination.duty.keeper import NO_TERM, DutyKeeper
from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import (
    EngineOrder,
    EngineOrders,
    EngineReport,
    OrderAnswer,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import NodeId
from camphoryard.state.traffic import RequestedModel

ORDER_TRIES = 3
REPORT_LAG_S = 0.25
"""Reports are as of so long ago; one asked for sooner may lack the last order."""
TOOK = (OrderAnswer.ACCEPTED, OrderAnswer.DONE)
"""Answers of an engine that did, or does, what it was ordered."""


@dataclass(slots=True)
class EngineCalls:
    """Sends orders in the present term; callers hold the engine's ``calls``."""

    node: NodeId
    duty: DutyKeeper
    orders: EngineOrders
    log: DecisionLog
    count: Callable[[str], None]
    _pause: threading.Event = field(default_factory=threading.Event)

    def send(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> OrderAnswer | None:
        """Send an order until it is answered; None if the engine did not take it.

        Sent again with the same number, it can take effect only once.
        """
        for _ in range(ORDER_TRIES):
            answer = self.send_once(engine, kind, item)
            match answer:
                case OrderAnswer.BUSY:
                    self.ask_again(engine)
                case None if self.may_send(engine, kind, item):
                    self.ask(engine)
                case _:
                    return answer
        engine.rest()
        return None

    def send_once(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> OrderAnswer | None:
        """Send an order once; None if it was not sent, or not answered."""
        if engine.orders is None and not self.ask(engine):
            return None
        term = self.duty.term
        if term == NO_TERM or not is_safe(engine, kind, item):
            return None
        assert engine.orders is not None
        order = EngineOrder(kind, item, self.node, term, engine.orders)
        try:
            answer = self.orders.order(engine.endpoint, order)
        except (NotSentError, BrokenCallError) as error:
            self._log_order(engine, order, None, repr(error))
            return None
        self._log_order(engine, order, answer, "")
        match answer:
            case OrderAnswer.ACCEPTED:
                engine.accepted()
            case OrderAnswer.DONE:
                # Whether the engine counted it is not told.
                self.ask_again(engine)
            case OrderAnswer.FENCED:
                self.duty.fenced(term)
            case OrderAnswer.REFUSED:
                engine.rest()
            case OrderAnswer.BUSY:
                pass
        return answer

    def ask(self, engine: EngineState) -> bool:
        """Ask the engine what it holds; return whether its report is current."""
        report = self._report(engine)
        return report is not None and engine.reported(report)

    def answers(self, engine: EngineState) -> bool:
        """Ask the engine what it holds; return whether it answered."""
        report = self._report(engine)
        if report is not None:
            engine.reported(report)
        return report is not None

    def _report(self, engine: EngineState) -> EngineReport | None:
        try:
            return self.orders.report(engine.endpoint)
        except (NotSentError, BrokenCallError) as error:
            self.log("report_failed", endpoint=engine.endpoint.id, error=repr(error))
            return None

    def ask_again(self, engine: EngineState) -> bool:
        """Ask the engine once its reports include the last order."""
        self._pause.wait(REPORT_LAG_S)
        return self.ask(engine)

    def ask_until_current(self, engine: EngineState) -> bool:
        """Ask until the engine's report includes the last order; False if none does."""
        if self.ask(engine):
            return True
        return any(self.ask_again(engine) for _ in range(ORDER_TRIES))

    def may_send(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> bool:
        """Return whether this node may send an order, and it is safe."""
        return self.duty.term != NO_TERM and is_safe(engine, kind, item)

    def _log_order(
        self,
        engine: EngineState,
        order: EngineOrder,
        answer: OrderAnswer | None,
        error: str,
    ) -> None:
        self.count(f"orders_{answer.value if answer else 'unanswered'}")
        self.log(
            "order",
            endpoint=engine.endpoint.id,
            kind=order.kind.value,
            model=order.item.model,
            adapter=order.item.adapter or "",
            expected=order.expected,
            term=order.term,
            answer=answer.value if answer else "",
            error=error,
        )


def is_safe(engine: EngineState, kind: OrderKind, item: RequestedModel) -> bool:
    """Return whether an order cannot overfill the engine, by all that is known.

    An engine that is busy may be loading what another node ordered, of which
    nothing but its being busy is told.
    """
    if kind is OrderKind.UNLOAD:
        return True
    if item.adapter is None:
        return not engine.is_engine_busy and engine.has_room_for(item.model)
    return engine.has_room_for_adapter(item.model)
