"""Tests of orders and their fates."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.ports import Order
from camphoryard.coordination.residency.orders import (
    EndpointOrders,
    GivenUpError,
    OrderStatus,
)
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, OrderKind, OrderOutcome
from camphoryard.state.errors import BrokenCallError, NotSentError

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "127.0.0.1", 1)


class FakeEngines:
    """Answers each order with ``outcome``, an error is raised."""

    def __init__(self, outcome=OrderOutcome.ACCEPTED):
        self.outcome = outcome
        self.got = []
        self.entered = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()

    def order(self, endpoint, order):
        """Answer an order once it may."""
        self.got.append(order.id)
        self.entered.set()
        self.may_answer.wait()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def make_order(order_id="o", fence=1):
    """Return a load."""
    return Order(order_id, OrderKind.LOAD, "a", 10, fence)


class TestEndpointOrders:
    """Sending and giving up."""

    @pytest.mark.parametrize(
        ("outcome", "fate"),
        [
            (OrderOutcome.ACCEPTED, OrderStatus.ACCEPTED),
            (OrderOutcome.FENCED, OrderStatus.FENCED),
            (OrderOutcome.REFUSED, OrderStatus.REFUSED),
            (NotSentError("x"), OrderStatus.UNSENT),
            (BrokenCallError("x"), OrderStatus.UNANSWERED),
        ],
    )
    def test_fate(self, outcome, fate):
        """A fate tells whether the order may still arrive."""
        orders = EndpointOrders(FakeEngines(outcome))
        assert orders.send(ENDPOINT, make_order()) is fate
        assert orders.fate("o") is fate

    def test_given_up_order_is_not_sent(self):
        """An order below the new owner's number never leaves."""
        engines = FakeEngines()
        orders = EndpointOrders(engines)
        assert orders.give_up(2) == frozenset()
        with pytest.raises(GivenUpError):
            orders.send(ENDPOINT, make_order(fence=1))
        assert engines.got == []
        assert orders.send(ENDPOINT, make_order(fence=2)) is OrderStatus.ACCEPTED

    def test_giving_up_waits_for_a_send(self):
        """An order that is being sent is told of truly: it got no answer."""
        engines = FakeEngines(BrokenCallError("x"))
        engines.may_answer.clear()
        orders = EndpointOrders(engines)
        with ThreadPoolExecutor() as executor:
            executor.submit(orders.send, ENDPOINT, make_order())
            engines.entered.wait()
            given_up = executor.submit(orders.give_up, 2)
            engines.may_answer.set()
            assert given_up.result() == {"o"}

    def test_keep(self):
        """Orders that no record names are forgotten."""
        orders = EndpointOrders(FakeEngines())
        orders.send(ENDPOINT, make_order())
        orders.keep([])
        assert orders.fate("o") is OrderStatus.UNSENT
