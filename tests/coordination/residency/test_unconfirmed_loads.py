"""Tests of when a load in doubt is over."""

import pytest

from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.coordination.residency.unconfirmed_loads import Doubts
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad

LONG_S = 3600.0


class FakeOrders:
    """Fates by order."""

    def __init__(self, **fates):
        self._fates = fates

    def fate(self, order_id):
        """Return the fate of an order."""
        return self._fates.get(order_id, OrderStatus.UNSENT)


def make_record(incarnation="theirs"):
    """Return a record with one load in doubt."""
    doubt = UnconfirmedLoad("a", 10, 1, "node", incarnation)
    return EndpointRecord("e", 100, "n", "mine", 2, "w", in_doubt_by_id={"o": doubt})


def make_doubts(lifetime_s=0.0, has_ended=False, **fates):
    """Return doubts as the start named ``mine`` has them."""
    orders = FakeOrders(**fates)
    return Doubts("mine", orders, lambda node, start: has_ended, lifetime_s)


class TestDoubts:
    """Following loads in doubt."""

    def test_paused_sender_is_waited_for(self):
        """A sender of which nothing is known may always send yet."""
        doubts = make_doubts()
        assert doubts.ended(make_record()) == frozenset()
        assert doubts.unheard(make_record()) == {"node": "theirs"}

    @pytest.mark.parametrize(("lifetime_s", "ended"), [(0.0, {"o"}), (LONG_S, set())])
    def test_ended_sender(self, lifetime_s, ended):
        """After its sender ended, an order may be on its way for its lifetime."""
        doubts = make_doubts(lifetime_s, has_ended=True)
        assert doubts.ended(make_record()) == ended
        assert doubts.unheard(make_record()) == {}

    @pytest.mark.parametrize(("unanswered", "ended"), [((), {"o"}), (("o",), set())])
    def test_given_up(self, unanswered, ended):
        """A load given up is over at once unless it was sent without answer."""
        doubts = make_doubts(LONG_S)
        doubts.given_up(make_record(), "theirs", unanswered)
        assert doubts.ended(make_record()) == ended
        assert doubts.unheard(make_record()) == {}

    @pytest.mark.parametrize(
        ("fate", "ended"),
        [
            (OrderStatus.UNSENT, {"o"}),
            (OrderStatus.ACCEPTED, {"o"}),
            (OrderStatus.UNANSWERED, set()),
        ],
    )
    def test_own_orders(self, fate, ended):
        """Of its own orders a node knows which may be on their way."""
        assert make_doubts(LONG_S, o=fate).ended(make_record("mine")) == ended

    @pytest.mark.parametrize(
        ("fate", "ended"), [(OrderStatus.UNSENT, {"o"}), (OrderStatus.ACCEPTED, set())]
    )
    def test_own_orders_that_may_be_copied(self, fate, ended):
        """An answered order may come again within its lifetime."""
        orders = FakeOrders(o=fate)
        doubts = Doubts("mine", orders, lambda node, start: False, LONG_S, True)
        assert doubts.ended(make_record("mine")) == ended
        brief = Doubts("mine", orders, lambda node, start: False, 0.0, True)
        assert brief.ended(make_record("mine")) == {"o"}

    def test_given_up_where_orders_may_be_copied(self):
        """An order that its sender had an answer to may come again too."""
        doubts = Doubts("mine", FakeOrders(), lambda node, start: False, LONG_S, True)
        doubts.given_up(make_record(), "theirs", ())
        assert doubts.ended(make_record()) == frozenset()
