"""Tests of the updates to the record of an unresponsive engine."""

import pytest

from camphoryard.coordination.membership.missed_rounds import (
    UNRESPONSIVE_ROUNDS,
    MissedRounds,
)
from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.state.endpoint_record import EndpointRecord, Intent
from camphoryard.state.enums import OrderKind


def make_record(kind):
    """Return a record with one open intent."""
    intent = Intent("o", kind, 10, 1, "n", "i")
    return EndpointRecord("e", 100, "n", "i", 1, "w", {}, {"m": intent})


class TestCountRound:
    """Counting a round that an engine did not answer."""

    def test_unresponsive_after_consecutive_rounds(self):
        """An answer in between resets the count."""
        record = EndpointRecord("e", 100, "n", "i", 1, "w")
        missed_rounds = MissedRounds(lambda order: OrderStatus.UNSENT)
        for _ in range(UNRESPONSIVE_ROUNDS - 1):
            assert not missed_rounds.count_round(record).is_silent
        missed_rounds.reset()
        for _ in range(UNRESPONSIVE_ROUNDS - 1):
            assert not missed_rounds.count_round(record).is_silent
        assert missed_rounds.count_round(record).is_silent

    @pytest.mark.parametrize(
        "status, unconfirmed", [(OrderStatus.UNSENT, 0), (OrderStatus.UNANSWERED, 1)]
    )
    def test_load_that_may_arrive_keeps_its_memory(self, status, unconfirmed):
        """A load order never sent is withdrawn, others become unconfirmed."""
        after = MissedRounds(lambda order: status).count_round(
            make_record(OrderKind.LOAD)
        )
        assert not after.intents_by_item
        assert len(after.in_doubt_by_id) == unconfirmed

    @pytest.mark.parametrize("status", [OrderStatus.UNSENT, OrderStatus.UNANSWERED])
    def test_unload_stays_open(self, status):
        """The unload order is sent again once the engine answers."""
        record = make_record(OrderKind.UNLOAD)
        assert MissedRounds(lambda order: status).count_round(record) == record
