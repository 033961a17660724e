"""Tests of creating intents and sending their orders."""

import pytest

from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.residency import order_sending
from camphoryard.coordination.residency.order_sending import (
    MAX_UNCONFIRMED_LOADS,
    OrderSender,
    with_raised_fence,
)
from camphoryard.coordination.residency.orders import EndpointOrders
from camphoryard.coordination.residency.residency_context import Identity
from camphoryard.state.configuration import Endpoint
from camphoryard.state.endpoint_record import EndpointRecord, with_intent
from camphoryard.state.enums import EndpointKind, OrderKind, OrderOutcome
from camphoryard.state.errors import BrokenCallError
from tests.fakes.serving import timeline

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "h", 1, 100, checks_fencing=True)
RECORD = EndpointRecord("e", 100, "n", "i", 3, "w")


class FakeEngines:
    """An engine that accepts orders, or breaks the connection."""

    def __init__(self):
        self.orders, self.breaks = [], False

    def order(self, endpoint, order):
        """Record an order."""
        self.orders.append(order)
        if self.breaks:
            raise BrokenCallError("x")
        return OrderOutcome.ACCEPTED


@pytest.fixture
def engines():
    """Return an engine."""
    return FakeEngines()


@pytest.fixture
def sender(engines, monkeypatch):
    """Return a sender that may resend at once."""
    monkeypatch.setattr(order_sending, "RESEND_PERIOD_S", 0.0)
    return OrderSender("e", Identity("n", "i"), EndpointOrders(engines), timeline())


def with_load(sender, record=RECORD):
    """Return the record with a load of an item."""
    return with_intent(record, "m", sender.intent(record, OrderKind.LOAD, 10))


class TestOrderSender:
    """Intents and orders."""

    def test_an_unload_raises_the_fencing_number(self, sender):
        """A duplicate of an earlier load is rejected after the unload."""
        assert sender.intent(RECORD, OrderKind.LOAD, 10).fence == 3
        assert sender.intent(RECORD, OrderKind.UNLOAD, 10).fence == 4

    def test_an_answered_order_is_sent_once(self, sender, engines):
        """It is not resent while its effect is awaited."""
        record = with_load(sender)
        sender.send_all(ENDPOINT, record)
        sender.send_all(ENDPOINT, record)
        assert len(engines.orders) == 1
        assert sender.resend_loads(record, {"m"}) == record

    def test_an_unanswered_load_is_replaced_while_requested(self, sender, engines):
        """The new load has a higher fencing number; the old one is unconfirmed."""
        engines.breaks = True
        record = with_load(sender)
        sender.send_all(ENDPOINT, record)
        resent = sender.resend_loads(record, {"m"})
        assert resent.intents_by_item["m"].fence == 4
        assert len(resent.in_doubt_by_id) == 1
        abandoned = sender.resend_loads(record, set())
        assert not abandoned.intents_by_item
        assert len(abandoned.in_doubt_by_id) == 1

    def test_unconfirmed_loads_are_limited(self, sender, engines):
        """Each unconfirmed load reserves memory, so their number is limited."""
        engines.breaks = True
        record = with_load(sender)
        for _ in range(MAX_UNCONFIRMED_LOADS + 1):
            sender.send_all(ENDPOINT, record)
            record = sender.resend_loads(record, {"m"})
        assert not record.intents_by_item

    def test_a_checking_engine_is_sent_the_fencing_number(self, sender, engines):
        """No order is sent if it has the number, or an open order carries it."""
        old = Inventory(frozenset(), frozenset(), 2, 0, 0)
        sender.send_fence(ENDPOINT, RECORD, old)
        assert [order.fence for order in engines.orders] == [3]
        sender.send_fence(
            ENDPOINT, RECORD, Inventory(frozenset(), frozenset(), 3, 0, 0)
        )
        sender.send_fence(ENDPOINT, with_load(sender), old)
        assert len(engines.orders) == 1


class TestWithRaisedFence:
    """Engine numbers that the record does not contain."""

    @pytest.mark.parametrize("engine_fence, expected", [(2, 3), (3, 3), (7, 8)])
    def test_is_raised_above_a_higher_engine_number(self, engine_fence, expected):
        """Otherwise the engine would reject this owner's orders."""
        inventory = Inventory(frozenset(), frozenset(), engine_fence, 0, 0)
        assert with_raised_fence(RECORD, inventory).fence == expected
