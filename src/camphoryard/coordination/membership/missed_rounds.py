"""What becomes of the record of an engine that gives no answer."""

from collections.abc import Callable
from dataclasses import replace

from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    with_load_unconfirmed,
    without_intent,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import OrderId

SILENT_ROUNDS = 3


class MissedRounds:
    """Counts the rounds in which one engine gave no answer."""

    def __init__(self, fate: Callable[[OrderId], OrderStatus]) -> None:
        self._fate = fate
        self._rounds = 0

    def reset(self) -> None:
        """Note that the engine answered."""
        self._rounds = 0

    def count_round(self, record: EndpointRecord) -> EndpointRecord:
        """Return the record without the loads that the engine has not answered.

        After a few rounds it says that the engine is silent, so that its items
        are loaded elsewhere.
        """
        self._rounds += 1
        is_silent = self._rounds >= SILENT_ROUNDS
        after = replace(record, is_silent=record.is_silent or is_silent)
        for item, intent in record.intents_by_item.items():
            if intent.kind is OrderKind.UNLOAD:
                continue
            match self._fate(intent.order_id):
                case OrderStatus.UNSENT:
                    after = without_intent(after, item)
                case OrderStatus.UNANSWERED:
                    after = with_load_unconfirmed(after, item)
                case _:
                    continue
        return after
