"""Tests of the durable record of one endpoint."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphoryard.state.endpoint_record import (
    EndpointRecord,
    Intent,
    OvercommitError,
    committed_mb,
    free_mb,
    with_confirmed_order,
    with_intent,
    without_intent,
)
from camphoryard.state.enums import OrderKind
from camphoryard.state.ids import (
    EndpointId,
    FencingNumber,
    Incarnation,
    ItemId,
    NodeId,
    OrderId,
    WriteId,
)


def make_record(memory_mb: int = 100) -> EndpointRecord:
    """Return an empty record."""
    return EndpointRecord(
        EndpointId("e"),
        memory_mb,
        NodeId("n"),
        Incarnation("i"),
        FencingNumber(1),
        WriteId("w"),
    )


def make_intent(kind: OrderKind, memory_mb: int) -> Intent:
    """Return an intent."""
    return Intent(
        OrderId("o"),
        kind,
        memory_mb,
        FencingNumber(1),
        NodeId("n"),
        Incarnation("i"),
    )


class TestWithIntent:
    """Opening an intent."""

    def test_reserves_memory(self):
        """An open load takes its memory before it is resident."""
        record = with_intent(
            make_record(), ItemId("m"), make_intent(OrderKind.LOAD, 60)
        )
        assert free_mb(record) == 40

    def test_refuses_what_does_not_fit(self):
        """A load beyond the endpoint's memory cannot even be written down."""
        record = with_intent(
            make_record(), ItemId("m"), make_intent(OrderKind.LOAD, 60)
        )
        with pytest.raises(OvercommitError):
            with_intent(record, ItemId("n"), make_intent(OrderKind.LOAD, 41))

    def test_unload_frees_only_when_confirmed(self):
        """An unload's memory stays taken until the engine confirms it."""
        load = make_intent(OrderKind.LOAD, 60)
        loaded = with_confirmed_order(
            with_intent(make_record(), ItemId("m"), load), ItemId("m")
        )
        unload = make_intent(OrderKind.UNLOAD, 60)
        unloading = with_intent(loaded, ItemId("m"), unload)
        assert free_mb(unloading) == 40
        assert free_mb(with_confirmed_order(unloading, ItemId("m"))) == 100

    @given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(1, 60))))
    def test_no_version_is_overcommitted(self, wishes):
        """Whatever is tried, no record commits more than the memory."""
        record = make_record()
        for name, memory_mb in wishes:
            item = ItemId(name)
            kind = (
                OrderKind.UNLOAD
                if item in record.resident_mb_by_item
                else OrderKind.LOAD
            )
            try:
                record = with_intent(record, item, make_intent(kind, memory_mb))
            except OvercommitError:
                continue
            assert committed_mb(record) <= 100
            if memory_mb % 2:
                record = with_confirmed_order(record, item)
            assert committed_mb(record) <= 100


class TestWithdrawn:
    """Withdrawing an intent."""

    def test_frees_the_reservation(self):
        """An order that was never sent leaves nothing behind."""
        record = with_intent(
            make_record(), ItemId("m"), make_intent(OrderKind.LOAD, 60)
        )
        assert without_intent(record, ItemId("m")) == make_record()
