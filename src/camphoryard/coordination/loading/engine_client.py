"""Client of the engines: numbered orders and report requests."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.coordination.leadership.leader_lease import NO_TERM, LeaderLease
from camphoryard.coordination.loading.engine_state import EngineState
from camphoryard.coordination.loading.ports import (
    EngineApi,
    EngineOrder,
    EngineReport,
    OrderAnswer,
)
from camphoryard.coordination.ports import DecisionLog
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError, NotWantedError
from camphoryard.state.ids import NodeId
from camphoryard.state.traffic import RequestedModel

MAX_ORDER_ATTEMPTS = 3
REPORT_LAG_S = 0.25
"""Age of the state in a report; a report requested earlier may lack the last order."""
SUCCESSFUL_ANSWERS = (OrderAnswer.ACCEPTED, OrderAnswer.DONE)
"""Answers of an engine that has carried out the order or is doing so."""


@dataclass(slots=True)
class EngineClient:
    """Sends orders in the current term; callers hold the engine's ``call_lock``."""

    node: NodeId
    leader_lease: LeaderLease
    api: EngineApi
    log: DecisionLog
    count: Callable[[str], None]
    _pause: threading.Event = field(default_factory=threading.Event)

    def send(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> OrderAnswer | None:
        """Send an order until it is answered; None if the engine did not accept it.

        A retry has the same number, so the order takes effect at most once.
        """
        for _ in range(MAX_ORDER_ATTEMPTS):
            answer = self.send_once(engine, kind, item)
            match answer:
                case OrderAnswer.BUSY:
                    self.query_after_lag(engine)
                case None if self.may_send(engine, kind, item):
                    self.query(engine)
                case _:
                    return answer
        engine.back_off()
        return None

    def send_once(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> OrderAnswer | None:
        """Send an order once; return None if it was not sent or not answered."""
        if engine.accepted_orders is None and not self.query(engine):
            return None
        term = self.leader_lease.term
        if term == NO_TERM or not is_safe(engine, kind, item):
            return None
        assert engine.accepted_orders is not None
        order = EngineOrder(kind, item, self.node, term, engine.accepted_orders)
        try:
            answer = self.api.order(
                engine.endpoint, order, lambda: self.leader_lease.term == term
            )
        except (NotSentError, BrokenCallError) as error:
            self._log_order(engine, order, None, repr(error))
            return None
        self._log_order(engine, order, answer, "")
        match answer:
            case OrderAnswer.ACCEPTED:
                engine.count_accepted_order()
            case OrderAnswer.DONE:
                # The answer does not say whether the engine counted the order.
                self.query_after_lag(engine)
            case OrderAnswer.FENCED:
                self.leader_lease.reject_term(term)
            case OrderAnswer.REFUSED:
                engine.back_off()
            case OrderAnswer.BUSY:
                pass
        return answer

    def query(self, engine: EngineState) -> bool:
        """Request a report; return whether it includes the last accepted order."""
        report = self._query_report(engine)
        return report is not None and engine.apply_report(report)

    def responds(self, engine: EngineState) -> bool:
        """Request a report; return whether the engine answered.

        So does one that wants no call now, as it has said so.
        """
        try:
            report = self.report(engine)
        except NotWantedError:
            return True
        except (NotSentError, BrokenCallError) as error:
            self._log_report_failed(engine, error)
            return False
        engine.apply_report(report)
        return True

    def report(self, engine: EngineState) -> EngineReport:
        """Request and count a report; raises as `EngineApi.report`."""
        self.count("engine_reports")
        return self.api.report(engine.endpoint)

    def _query_report(self, engine: EngineState) -> EngineReport | None:
        try:
            return self.report(engine)
        except (NotSentError, BrokenCallError) as error:
            self._log_report_failed(engine, error)
            return None

    def _log_report_failed(self, engine: EngineState, error: Exception) -> None:
        self.log("report_failed", endpoint=engine.endpoint.id, error=repr(error))

    def query_after_lag(self, engine: EngineState) -> bool:
        """Request a report after the time that reports lag behind the last order."""
        self._pause.wait(REPORT_LAG_S)
        return self.query(engine)

    def query_until_current(self, engine: EngineState) -> bool:
        """Request reports until one includes the last order; return whether one did."""
        if self.query(engine):
            return True
        return any(self.query_after_lag(engine) for _ in range(MAX_ORDER_ATTEMPTS))

    def may_send(
        self, engine: EngineState, kind: OrderKind, item: RequestedModel
    ) -> bool:
        """Return whether this node may send an order and the order is safe."""
        return self.leader_lease.term != NO_TERM and is_safe(engine, kind, item)

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
    """Return whether an order cannot overfill the engine, as far as is known.

    A busy engine may be loading a model that another node ordered; its reports do not
    name that model.
    """
    if kind is OrderKind.UNLOAD:
        return True
    if item.adapter is None:
        return not engine.is_engine_busy and engine.has_room_for(item.model)
    return engine.has_room_for_adapter(item.model)
