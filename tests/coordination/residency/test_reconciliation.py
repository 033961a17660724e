"""Tests of what an inventory proves."""

import pytest

from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.coordination.residency.reconciliation import Evidence, settle
from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    committed_mb,
    with_intent,
    with_new_owner,
    with_resident,
)
from camphoryard.state.enums import OrderKind

A = "a"
LOAD, UNLOAD = OrderKind.LOAD, OrderKind.UNLOAD
UNANSWERED, ACCEPTED = OrderStatus.UNANSWERED, OrderStatus.ACCEPTED


def make_record(*intents, resident=()):
    """Return a record of 100 MB with residents and intents of 60 MB each."""
    record = EndpointRecord("e", 100, "n", "i", 1, "w")
    for item in resident:
        record = with_resident(record, item, 60)
    for order_id, kind, item in intents:
        intent = Intent(order_id, kind, 60, record.fence, "n", "i")
        record = with_intent(record, item, intent)
    return record


def make_evidence(resident=(), loading=(), fence=0, checks=False, fates=None, ended=()):
    """Return evidence of an engine; unknown items have 50 MB."""
    inventory = Inventory(frozenset(resident), frozenset(loading), fence, 0, 0)
    fates = fates or {}
    return Evidence(
        inventory,
        checks,
        lambda order_id: fates.get(order_id, OrderStatus.UNSENT),
        frozenset(ended),
        lambda item: 50,
    )


class TestLoads:
    """Open loads."""

    def test_resident_confirms(self):
        """A load is done when the engine holds the item."""
        record = settle(make_record(("o", LOAD, A)), make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert not record.intents_by_item and not record.in_doubt_by_id

    @pytest.mark.parametrize("fate", [OrderStatus.UNSENT, UNANSWERED])
    def test_absent_stays_reserved(self, fate):
        """A load that may yet arrive keeps its memory."""
        record = make_record(("o", LOAD, A))
        assert settle(record, make_evidence(fates={"o": fate})) == record

    @pytest.mark.parametrize("fate", [ACCEPTED, OrderStatus.REFUSED])
    def test_answered_and_absent_has_failed(self, fate):
        """A load that the engine answered and does not hold frees its memory."""
        record = settle(make_record(("o", LOAD, A)), make_evidence(fates={"o": fate}))
        assert committed_mb(record) == 0

    def test_second_load_leaves_the_first_in_doubt(self):
        """Of two loads without an answer, one may still be on its way."""
        record = make_record(("o", LOAD, A), ("p", LOAD, A))
        evidence = make_evidence([A], fates={"o": UNANSWERED, "p": UNANSWERED})
        record = settle(record, evidence)
        assert record.in_doubt_by_id.keys() == {"o", "p"}
        gone = settle(record, make_evidence())
        assert committed_mb(gone) == 60


class TestUnloads:
    """Open unloads."""

    @pytest.mark.parametrize("held", [{"resident": [A]}, {"loading": [A]}])
    def test_held_item_keeps_its_memory(self, held):
        """Memory is not reused while the engine still holds the item."""
        record = make_record(("o", UNLOAD, A), resident=[A])
        assert settle(record, make_evidence(**held)) == record

    def test_checking_engine_must_have_the_number(self):
        """An engine that forgot its number does not confirm an unload."""
        record = make_record(("o", UNLOAD, A), resident=[A])
        assert settle(record, make_evidence(checks=True)) == record
        record = settle(record, make_evidence(checks=True, fence=1))
        assert committed_mb(record) == 0


class TestDoubts:
    """Loads in doubt after a takeover."""

    @pytest.fixture
    def record(self):
        """Return a record taken over with one open load."""
        return with_new_owner(make_record(("o", LOAD, A)), "m", "j", 2)

    def test_ignoring_engine_keeps_it(self, record):
        """A newer number proves nothing at an engine that ignores numbers."""
        assert settle(record, make_evidence(fence=2)) == record

    def test_checking_engine_with_newer_number_ends_it(self, record):
        """A newer number at an engine that checks shuts the load out."""
        record = settle(record, make_evidence(checks=True, fence=2))
        assert committed_mb(record) == 0

    def test_arrived(self, record):
        """The only load in doubt is over once its item is there."""
        record = settle(record, make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert not record.in_doubt_by_id

    def test_which_of_two_arrived_is_not_known(self, record):
        """With two loads in doubt, the item's coming ends neither."""
        intent = Intent("p", LOAD, 60, 2, "m", "j")
        record = with_new_owner(with_intent(record, A, intent), "n", "k", 3)
        record = settle(record, make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert record.in_doubt_by_id.keys() == {"o", "p"}

    def test_arriving_is_not_ended(self, record):
        """A load that the engine carries out keeps its memory till it is done."""
        evidence = make_evidence(loading=[A], checks=True, fence=2, ended=["o"])
        assert settle(record, evidence) == record

    def test_ended(self, record):
        """A load that can no longer arrive frees its memory."""
        assert committed_mb(settle(record, make_evidence(ended=["o"]))) == 0


class TestFacts:
    """What the record did not say."""

    def test_unknown_resident_takes_memory(self):
        """What an engine holds without a record is counted."""
        record = settle(make_record(), make_evidence([A], ["b"]))
        assert record.resident_mb_by_item == {A: 50, "b": 50}

    def test_lost_resident_frees_memory(self):
        """What a restarted engine lost is resident no more."""
        record = settle(make_record(resident=[A]), make_evidence())
        assert committed_mb(record) == 0
