"""Tests of orders and their statuses."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.ports import Order
from camphoryard.coordination.residency.orders import (
    EndpointOrders,
    OrderAbortedError,
    OrderStatus,
)
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, OrderKind, OrderOutcome
from camphoryard.state.errors import BrokenCallError, NotSentError

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "127.0.0.1", 1)


class FakeEngines:
    """Answers each order with ``outcome``, or raises it if it is an error."""

    def __init__(self, outcome=OrderOutcome.ACCEPTED):
        self.outcome = outcome
        self.order_ids = []
        self.entered = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()

    def order(self, endpoint, order):
        """Answer an order once ``may_answer`` is set."""
        self.order_ids.append(order.id)
        self.entered.set()
        self.may_answer.wait()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def make_order(order_id="o", fence=1):
    """Return a load."""
    return Order(order_id, OrderKind.LOAD, "a", 10, fence)


class TestEndpointOrders:
    """Sending and relinquishing."""

    @pytest.mark.parametrize(
        ("outcome", "status"),
        [
            (OrderOutcome.ACCEPTED, OrderStatus.ACCEPTED),
            (OrderOutcome.FENCED, OrderStatus.FENCED),
            (OrderOutcome.REFUSED, OrderStatus.REFUSED),
            (NotSentError("x"), OrderStatus.UNSENT),
            (BrokenCallError("x"), OrderStatus.UNANSWERED),
        ],
    )
    def test_status(self, outcome, status):
        """The status tells whether the order may still arrive."""
        orders = EndpointOrders(FakeEngines(outcome))
        assert orders.send(ENDPOINT, make_order()) is status
        assert orders.status("o") is status

    def test_relinquished_order_is_not_sent(self):
        """An order below the new owner's fencing number is never sent."""
        engines = FakeEngines()
        orders = EndpointOrders(engines)
        assert orders.relinquish(2) == frozenset()
        with pytest.raises(OrderAbortedError):
            orders.send(ENDPOINT, make_order(fence=1))
        assert engines.order_ids == []
        assert orders.send(ENDPOINT, make_order(fence=2)) is OrderStatus.ACCEPTED

    def test_relinquish_waits_for_a_send(self):
        """The send in progress is completed first and reported as unanswered."""
        engines = FakeEngines(BrokenCallError("x"))
        engines.may_answer.clear()
        orders = EndpointOrders(engines)
        with ThreadPoolExecutor() as executor:
            executor.submit(orders.send, ENDPOINT, make_order())
            engines.entered.wait()
            unanswered = executor.submit(orders.relinquish, 2)
            engines.may_answer.set()
            assert unanswered.result() == {"o"}

    def test_retain_only(self):
        """The status of an order that is not retained is dropped."""
        orders = EndpointOrders(FakeEngines())
        orders.send(ENDPOINT, make_order())
        orders.retain_only([])
        assert orders.status("o") is OrderStatus.UNSENT
