"""Tests of reconciling a record with an inventory."""

import pytest

from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.residency.orders import OrderStatus
from camphoryard.coordination.residency.reconciliation import Evidence, reconcile
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


def make_evidence(
    resident=(), loading=(), fence=0, checks=False, status_by_id=None, undeliverable=()
):
    """Return evidence from an engine; unrecorded items have 50 MB."""
    inventory = Inventory(frozenset(resident), frozenset(loading), fence, 0, 0)
    status_by_id = status_by_id or {}
    return Evidence(
        inventory,
        checks,
        lambda order_id: status_by_id.get(order_id, OrderStatus.UNSENT),
        frozenset(undeliverable),
        lambda item: 50,
    )


class TestLoads:
    """Open loads."""

    def test_resident_confirms(self):
        """A load is confirmed when the engine has the item resident."""
        record = reconcile(make_record(("o", LOAD, A)), make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert not record.intents_by_item and not record.in_doubt_by_id

    @pytest.mark.parametrize("status", [OrderStatus.UNSENT, UNANSWERED])
    def test_absent_stays_reserved(self, status):
        """A load that may still arrive keeps its memory reserved."""
        record = make_record(("o", LOAD, A))
        assert reconcile(record, make_evidence(status_by_id={"o": status})) == record

    @pytest.mark.parametrize("status", [ACCEPTED, OrderStatus.REFUSED])
    def test_answered_and_absent_has_failed(self, status):
        """An answered load whose item is absent has failed and frees its memory."""
        record = reconcile(
            make_record(("o", LOAD, A)), make_evidence(status_by_id={"o": status})
        )
        assert committed_mb(record) == 0

    def test_second_load_leaves_the_first_unconfirmed(self):
        """Of two unanswered loads, one may still be in transit."""
        record = make_record(("o", LOAD, A), ("p", LOAD, A))
        evidence = make_evidence([A], status_by_id={"o": UNANSWERED, "p": UNANSWERED})
        record = reconcile(record, evidence)
        assert record.in_doubt_by_id.keys() == {"o", "p"}
        after_loss = reconcile(record, make_evidence())
        assert committed_mb(after_loss) == 60


class TestUnloads:
    """Open unloads."""

    @pytest.mark.parametrize("present", [{"resident": [A]}, {"loading": [A]}])
    def test_present_item_keeps_its_memory(self, present):
        """Memory is not reused while the engine still has the item."""
        record = make_record(("o", UNLOAD, A), resident=[A])
        assert reconcile(record, make_evidence(**present)) == record

    def test_checking_engine_must_have_the_number(self):
        """An unload is confirmed only once the engine has its fencing number."""
        record = make_record(("o", UNLOAD, A), resident=[A])
        assert reconcile(record, make_evidence(checks=True)) == record
        record = reconcile(record, make_evidence(checks=True, fence=1))
        assert committed_mb(record) == 0


class TestUnconfirmedLoads:
    """Unconfirmed loads after a takeover."""

    @pytest.fixture
    def record(self):
        """Return a record taken over with one open load."""
        return with_new_owner(make_record(("o", LOAD, A)), "m", "j", 2)

    def test_ignoring_engine_leaves_it_unconfirmed(self, record):
        """A newer number proves nothing if the engine ignores fencing numbers."""
        assert reconcile(record, make_evidence(fence=2)) == record

    def test_checking_engine_with_newer_number_rejects_it(self, record):
        """A checking engine with a newer fencing number rejects the load."""
        record = reconcile(record, make_evidence(checks=True, fence=2))
        assert committed_mb(record) == 0

    def test_arrived(self, record):
        """The only unconfirmed load is confirmed once its item is resident."""
        record = reconcile(record, make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert not record.in_doubt_by_id

    def test_which_of_two_loads_arrived_is_unknown(self, record):
        """With two unconfirmed loads, a resident item confirms neither."""
        intent = Intent("p", LOAD, 60, 2, "m", "j")
        record = with_new_owner(with_intent(record, A, intent), "n", "k", 3)
        record = reconcile(record, make_evidence([A]))
        assert record.resident_mb_by_item == {A: 60}
        assert record.in_doubt_by_id.keys() == {"o", "p"}

    def test_loading_is_not_undeliverable(self, record):
        """A load in progress at the engine keeps its memory until it is done."""
        evidence = make_evidence(loading=[A], checks=True, fence=2, undeliverable=["o"])
        assert reconcile(record, evidence) == record

    def test_undeliverable(self, record):
        """A load that can no longer reach the engine frees its memory."""
        assert committed_mb(reconcile(record, make_evidence(undeliverable=["o"]))) == 0


class TestDifferences:
    """Items that differ between the inventory and the record."""

    def test_unknown_resident_takes_memory(self):
        """Items that the engine has and the record lacks are added."""
        record = reconcile(make_record(), make_evidence([A], ["b"]))
        assert record.resident_mb_by_item == {A: 50, "b": 50}

    def test_lost_resident_frees_memory(self):
        """Items that a restarted engine lost are removed."""
        record = reconcile(make_record(resident=[A]), make_evidence())
        assert committed_mb(record) == 0
