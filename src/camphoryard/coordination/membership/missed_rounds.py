"""Updates to the endpoint record of an engine that does not answer."""

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

UNRESPONSIVE_ROUNDS = 3
"""Consecutive rounds without an answer that make an engine unresponsive."""


class MissedRounds:
    """Counts the consecutive rounds in which one engine did not answer."""

    def __init__(self, order_status: Callable[[OrderId], OrderStatus]) -> None:
        self._order_status = order_status
        self._rounds = 0

    def reset(self) -> None:
        """Start counting anew, since the engine answered."""
        self._rounds = 0

    def count_round(self, record: EndpointRecord) -> EndpointRecord:
        """Count a round without an answer and return the updated record.

        A load order that was not sent is withdrawn; one that may still be delivered
        becomes unconfirmed. After ``UNRESPONSIVE_ROUNDS`` rounds the record marks the
        engine as unresponsive, so that its items are loaded elsewhere.
        """
        self._rounds += 1
        is_unresponsive = self._rounds >= UNRESPONSIVE_ROUNDS
        after = replace(record, is_silent=record.is_silent or is_unresponsive)
        for item, intent in record.intents_by_item.items():
            if intent.kind is OrderKind.UNLOAD:
                continue
            match self._order_status(intent.order_id):
                case OrderStatus.UNSENT:
                    after = without_intent(after, item)
                case OrderStatus.UNANSWERED:
                    after = with_load_unconfirmed(after, item)
                case _:
                    continue
        return after
