"""Tests of acquiring, reading and writing the record of an owned endpoint."""

import pytest

from camphoryard.coordination.residency.owned_record import OwnedRecord
from camphoryard.coordination.residency.residency_context import (
    Identity,
    ResidencyContext,
)
from camphoryard.state.configuration import Configuration, Endpoint
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState
from camphoryard.state.ids import ABSENT
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable
from camphoryard.state.vms import VmTable
from tests.fakes.object_api import InMemoryRecords
from tests.fakes.serving import timeline

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "h", 1, 100)
PREVIOUS = EndpointRecord("e", 90, "n2", "i2", 4, "w", {"m": 10})


def make_owned(record=None, state=NodeState.SERVING, kind=EndpointKind.ENGINE):
    """Return an owned record at n1, and its store; n2's lease is in ``state``."""
    records, nodes, holder = InMemoryRecords(), NodeTable(), ConfigurationHolder()
    if record is not None:
        records.put("e", record, ABSENT)
    nodes.observe(NodeLease("n2", "i2", "z", "h", 1, "key", state, 9.0, "w"), 1)
    endpoint = Endpoint("e", kind, "h", 1, 100)
    holder.adopt(Configuration(1, {}, {}, {"e": endpoint}))
    context = ResidencyContext(
        Identity("n1", "i1"),
        records,
        EndpointTable(),
        nodes,
        VmTable(),
        holder,
        None,
        None,
        timeline(),
        None,
        None,
        60.0,
    )
    return OwnedRecord("e", context), records


class TestAcquire:
    """Acquiring the record."""

    def test_creates_the_first_record(self):
        """The endpoint had no owner before."""
        owned, records = make_owned()
        record = owned.acquire(ENDPOINT)
        assert (record.owner, record.fence, record.memory_mb) == ("n1", 1, 100)
        assert records.get("e").record == record

    def test_waits_for_an_owner_that_may_be_alive(self):
        """A node that just started may not know the owner's lease yet."""
        owned, records = make_owned(PREVIOUS)
        assert owned.acquire(ENDPOINT) is None
        assert records.get("e").record == PREVIOUS

    def test_takes_over_from_a_draining_owner(self):
        """The fencing number rises, the memory is as configured, residents stay."""
        owned, _ = make_owned(PREVIOUS, NodeState.DRAINING)
        record = owned.acquire(ENDPOINT)
        assert (record.owner_incarnation, record.fence) == ("i1", 5)
        assert (record.memory_mb, record.resident_mb_by_item) == (100, {"m": 10})

    def test_an_owned_record_is_not_written_again(self):
        """An unchanged record is not written."""
        owned, records = make_owned()
        owned.acquire(ENDPOINT)
        version = records.get("e").version
        owned.acquire(ENDPOINT)
        assert records.get("e").version == version


class TestEndpoint:
    """The configured endpoint and its assignment."""

    @pytest.mark.parametrize("kind", list(EndpointKind))
    def test_only_engines_have_records(self, kind):
        """Services have no models loaded."""
        owned, _ = make_owned(kind=kind)
        assert (owned.endpoint() is None) == (kind is not EndpointKind.ENGINE)

    def test_assigned_to_another_node(self):
        """The rendezvous hash selects n2, the only node known to be alive."""
        owned, _ = make_owned()
        assert not owned.is_assigned_here()
