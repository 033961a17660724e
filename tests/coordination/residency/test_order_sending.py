"""Tests of writing intents and sending their orders."""

import pytest

from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.residency import order_sending
from camphoryard.coordination.residency.order_sending import (
    MAX_LOADS_IN_DOUBT,
    OrderSender,
    past_number,
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
    """An engine that takes orders, or breaks the connection."""

    def __init__(self):
        self.got, self.breaks = [], False

    def order(self, endpoint, order):
        """Note an order."""
        self.got.append(order)
        if self.breaks:
            raise BrokenCallError("x")
        return OrderOutcome.ACCEPTED


@pytest.fixture
def engines():
    """Return an engine."""
    return FakeEngines()


@pytest.fixture
def sender(engines, monkeypatch):
    """Return a sender that waits for no period before it sends again."""
    monkeypatch.setattr(order_sending, "RESEND_PERIOD_S", 0.0)
    return OrderSender("e", Identity("n", "i"), EndpointOrders(engines), timeline())


def with_load(sender, record=RECORD):
    """Return the record with a load of an item."""
    return with_intent(record, "m", sender.intent(record, OrderKind.LOAD, 10))


class TestOrderSender:
    """Intents and orders."""

    def test_an_unload_raises_the_number(self, sender):
        """A copy of an earlier load is refused after it."""
        assert sender.intent(RECORD, OrderKind.LOAD, 10).fence == 3
        assert sender.intent(RECORD, OrderKind.UNLOAD, 10).fence == 4

    def test_an_answered_order_is_sent_once(self, sender, engines):
        """Its effect is waited for."""
        record = with_load(sender)
        sender.send_all(ENDPOINT, record)
        sender.send_all(ENDPOINT, record)
        assert len(engines.got) == 1
        assert sender.resend_loads(record, {"m"}) == record

    def test_an_unanswered_load_is_replaced_while_it_is_wished(self, sender, engines):
        """Under a higher number, the first one being in doubt."""
        engines.breaks = True
        record = with_load(sender)
        sender.send_all(ENDPOINT, record)
        again = sender.resend_loads(record, {"m"})
        assert again.intents_by_item["m"].fence == 4
        assert len(again.in_doubt_by_id) == 1
        given_up = sender.resend_loads(record, set())
        assert not given_up.intents_by_item
        assert len(given_up.in_doubt_by_id) == 1

    def test_only_so_many_loads_are_in_doubt(self, sender, engines):
        """Each of them keeps memory."""
        engines.breaks = True
        record = with_load(sender)
        for _ in range(MAX_LOADS_IN_DOUBT + 1):
            sender.send_all(ENDPOINT, record)
            record = sender.resend_loads(record, {"m"})
        assert not record.intents_by_item

    def test_a_checking_engine_is_shown_the_number(self, sender, engines):
        """Unless it has it, or an open order will show it."""
        old = Inventory(frozenset(), frozenset(), 2, 0, 0)
        sender.send_number(ENDPOINT, RECORD, old)
        assert [order.fence for order in engines.got] == [3]
        sender.send_number(
            ENDPOINT, RECORD, Inventory(frozenset(), frozenset(), 3, 0, 0)
        )
        sender.send_number(ENDPOINT, with_load(sender), old)
        assert len(engines.got) == 1


class TestPastNumber:
    """Numbers that the record has lost."""

    @pytest.mark.parametrize("taken, expected", [(2, 3), (3, 3), (7, 8)])
    def test_goes_past_what_the_engine_took(self, taken, expected):
        """Else the engine would refuse this owner's orders."""
        inventory = Inventory(frozenset(), frozenset(), taken, 0, 0)
        assert past_number(RECORD, inventory).fence == expected
