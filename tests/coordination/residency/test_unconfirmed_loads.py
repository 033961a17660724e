"""Tests of when an unconfirmed load can no longer reach the engine."""

import pytest

from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.coordination.residency.unconfirmed_loads import UnconfirmedLoads
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad

LONG_S = 3600.0


class FakeOrders:
    """Statuses by order id."""

    def __init__(self, **status_by_id):
        self._status_by_id = status_by_id

    def status(self, order_id):
        """Return the status of an order."""
        return self._status_by_id.get(order_id, OrderStatus.UNSENT)


def make_record(incarnation="other"):
    """Return a record with one unconfirmed load."""
    load = UnconfirmedLoad("a", 10, 1, "node", incarnation)
    return EndpointRecord("e", 100, "n", "mine", 2, "w", in_doubt_by_id={"o": load})


def make_unconfirmed(lifetime_s=0.0, has_ended=False, **status_by_id):
    """Return the unconfirmed loads, tracked by the incarnation ``mine``."""
    orders = FakeOrders(**status_by_id)
    return UnconfirmedLoads(
        "mine", orders, lambda node, incarnation: has_ended, lifetime_s
    )


class TestUnconfirmedLoads:
    """Tracking unconfirmed loads."""

    def test_sender_not_known_to_have_ended(self):
        """A sender that is not known to have ended may still send at any time."""
        unconfirmed = make_unconfirmed()
        assert unconfirmed.undeliverable(make_record()) == frozenset()
        assert unconfirmed.possible_senders(make_record()) == {"node": "other"}

    @pytest.mark.parametrize(
        ("lifetime_s", "undeliverable"), [(0.0, {"o"}), (LONG_S, set())]
    )
    def test_ended_sender(self, lifetime_s, undeliverable):
        """After its sender ended, an order may be in transit for its lifetime."""
        unconfirmed = make_unconfirmed(lifetime_s, has_ended=True)
        assert unconfirmed.undeliverable(make_record()) == undeliverable
        assert unconfirmed.possible_senders(make_record()) == {}

    @pytest.mark.parametrize(
        ("unanswered", "undeliverable"), [((), {"o"}), (("o",), set())]
    )
    def test_relinquished(self, unanswered, undeliverable):
        """An aborted load is undeliverable at once unless it was sent unanswered."""
        unconfirmed = make_unconfirmed(LONG_S)
        unconfirmed.record_relinquished(make_record(), "other", unanswered)
        assert unconfirmed.undeliverable(make_record()) == undeliverable
        assert unconfirmed.possible_senders(make_record()) == {}

    @pytest.mark.parametrize(
        ("status", "undeliverable"),
        [
            (OrderStatus.UNSENT, {"o"}),
            (OrderStatus.ACCEPTED, {"o"}),
            (OrderStatus.UNANSWERED, set()),
        ],
    )
    def test_own_orders(self, status, undeliverable):
        """A node knows which of its own orders may still be in transit."""
        assert (
            make_unconfirmed(LONG_S, o=status).undeliverable(make_record("mine"))
            == undeliverable
        )

    @pytest.mark.parametrize(
        ("status", "undeliverable"),
        [(OrderStatus.UNSENT, {"o"}), (OrderStatus.ACCEPTED, set())],
    )
    def test_own_orders_that_may_be_duplicated(self, status, undeliverable):
        """A duplicate of an answered order may arrive within its lifetime."""
        orders = FakeOrders(o=status)
        unconfirmed = UnconfirmedLoads(
            "mine", orders, lambda node, incarnation: False, LONG_S, True
        )
        assert unconfirmed.undeliverable(make_record("mine")) == undeliverable
        short = UnconfirmedLoads(
            "mine", orders, lambda node, incarnation: False, 0.0, True
        )
        assert short.undeliverable(make_record("mine")) == {"o"}

    def test_relinquished_where_orders_may_be_duplicated(self):
        """A duplicate of an order answered to a previous owner may arrive too."""
        unconfirmed = UnconfirmedLoads(
            "mine", FakeOrders(), lambda node, incarnation: False, LONG_S, True
        )
        unconfirmed.record_relinquished(make_record(), "other", ())
        assert unconfirmed.undeliverable(make_record()) == frozenset()
