"""Orders to one engine at a time, numbered by its book, and questions to it."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.coordination.duty.keeper import NO_TERM, DutyKeeper
from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.book import EngineBook
from camphoryard.coordination.loading.ports import (
    EngineOrder,
    EngineOrders,
    EngineReport,
    OrderAnswer,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import NodeId
from camphoryard.state.traffic import WantedModel

ORDER_TRIES = 3
REPORT_LAG_S = 0.25
"""Reports are as of so long ago; one asked for sooner may lack the last order."""
TOOK = (OrderAnswer.ACCEPTED, OrderAnswer.DONE)
"""Answers of an engine that did, or does, what it was ordered."""


@dataclass(slots=True)
class EngineCalls:
    """Sends orders in the present term; callers hold the book's ``calls``."""

    node: NodeId
    duty: DutyKeeper
    orders: EngineOrders
    log: DecisionLog
    count: Callable[[str], None]
    _pause: threading.Event = field(default_factory=threading.Event)

    def send(
        self, book: EngineBook, kind: OrderKind, item: WantedModel
    ) -> OrderAnswer | None:
        """Send an order until it is answered; None if the engine did not take it.

        Sent again with the same number, it can take effect only once.
        """
        for _ in range(ORDER_TRIES):
            answer = self.send_once(book, kind, item)
            match answer:
                case OrderAnswer.BUSY:
                    self.ask_again(book)
                case None if self.may_send(book, kind, item):
                    self.ask(book)
                case _:
                    return answer
        book.rest()
        return None

    def send_once(
        self, book: EngineBook, kind: OrderKind, item: WantedModel
    ) -> OrderAnswer | None:
        """Send an order once; None if it was not sent, or not answered."""
        if book.orders is None and not self.ask(book):
            return None
        term = self.duty.term
        if term == NO_TERM or not is_safe(book, kind, item):
            return None
        assert book.orders is not None
        order = EngineOrder(kind, item, self.node, term, book.orders)
        try:
            answer = self.orders.order(book.endpoint, order)
        except (NotSentError, BrokenCallError) as error:
            self._log_order(book, order, None, repr(error))
            return None
        self._log_order(book, order, answer, "")
        match answer:
            case OrderAnswer.ACCEPTED:
                book.accepted()
            case OrderAnswer.DONE:
                # Whether the engine counted it is not told.
                self.ask_again(book)
            case OrderAnswer.FENCED:
                self.duty.fenced(term)
            case OrderAnswer.REFUSED:
                book.rest()
            case OrderAnswer.BUSY:
                pass
        return answer

    def ask(self, book: EngineBook) -> bool:
        """Ask the engine what it holds; return whether its report is current."""
        report = self._report(book)
        return report is not None and book.reported(report)

    def answers(self, book: EngineBook) -> bool:
        """Ask the engine what it holds; return whether it answered."""
        report = self._report(book)
        if report is not None:
            book.reported(report)
        return report is not None

    def _report(self, book: EngineBook) -> EngineReport | None:
        try:
            return self.orders.report(book.endpoint)
        except (NotSentError, BrokenCallError) as error:
            self.log("report_failed", endpoint=book.endpoint.id, error=repr(error))
            return None

    def ask_again(self, book: EngineBook) -> bool:
        """Ask the engine once its reports include the last order."""
        self._pause.wait(REPORT_LAG_S)
        return self.ask(book)

    def ask_until_current(self, book: EngineBook) -> bool:
        """Ask until the engine's report includes the last order; False if none does."""
        if self.ask(book):
            return True
        return any(self.ask_again(book) for _ in range(ORDER_TRIES))

    def may_send(self, book: EngineBook, kind: OrderKind, item: WantedModel) -> bool:
        """Return whether this node may send an order, and it is safe."""
        return self.duty.term != NO_TERM and is_safe(book, kind, item)

    def _log_order(
        self,
        book: EngineBook,
        order: EngineOrder,
        answer: OrderAnswer | None,
        error: str,
    ) -> None:
        self.count(f"orders_{answer.value if answer else 'unanswered'}")
        self.log(
            "order",
            endpoint=book.endpoint.id,
            kind=order.kind.value,
            model=order.item.model,
            adapter=order.item.adapter or "",
            expected=order.expected,
            term=order.term,
            answer=answer.value if answer else "",
            error=error,
        )


def is_safe(book: EngineBook, kind: OrderKind, item: WantedModel) -> bool:
    """Return whether an order cannot overfill the engine, by all that is known.

    An engine that is busy may be loading what another node ordered, of which
    nothing but its being busy is told.
    """
    if kind is OrderKind.UNLOAD:
        return True
    if item.adapter is None:
        return not book.is_engine_busy and book.has_room_for(item.model)
    return book.has_room_for_adapter(item.model)
