"""Tests of what becomes of the record of a silent engine."""

import pytest

from camphoryard.coordination.membership.missed_rounds import (
    SILENT_ROUNDS,
    MissedRounds,
)
from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.state.endpoint_record import EndpointRecord, Intent
from camphoryard.state.enums import OrderKind


def make_record(kind):
    """Return a record with one open intent."""
    intent = Intent("o", kind, 10, 1, "n", "i")
    return EndpointRecord("e", 100, "n", "i", 1, "w", {}, {"m": intent})


class TestLetGo:
    """Letting go of what an engine does not answer."""

    def test_says_so_after_some_rounds_in_a_row(self):
        """An answer in between begins the count anew."""
        record = EndpointRecord("e", 100, "n", "i", 1, "w")
        silence = MissedRounds(lambda order: OrderStatus.UNSENT)
        for _ in range(SILENT_ROUNDS - 1):
            assert not silence.count_round(record).is_silent
        silence.reset()
        for _ in range(SILENT_ROUNDS - 1):
            assert not silence.count_round(record).is_silent
        assert silence.count_round(record).is_silent

    @pytest.mark.parametrize(
        "fate, doubts", [(OrderStatus.UNSENT, 0), (OrderStatus.UNANSWERED, 1)]
    )
    def test_an_unanswered_load_keeps_its_memory(self, fate, doubts):
        """One that was never sent is withdrawn; one that may arrive is in doubt."""
        after = MissedRounds(lambda order: fate).count_round(
            make_record(OrderKind.LOAD)
        )
        assert not after.intents_by_item
        assert len(after.in_doubt_by_id) == doubts

    @pytest.mark.parametrize("fate", [OrderStatus.UNSENT, OrderStatus.UNANSWERED])
    def test_an_unload_stays_open(self, fate):
        """It is sent again once the engine is back."""
        record = make_record(OrderKind.UNLOAD)
        assert MissedRounds(lambda order: fate).count_round(record) == record
