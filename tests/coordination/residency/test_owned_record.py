"""Tests of taking an endpoint's record over, reading and writing it."""

import pytest

from camphoryard.coordination.residency.owned_record import RecordKeeper
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
from tests.fakes.object_api import MemoryRecords
from tests.fakes.serving import timeline

ENDPOINT = Endpoint("e", EndpointKind.ENGINE, "h", 1, 100)
EARLIER = EndpointRecord("e", 90, "n2", "i2", 4, "w", {"m": 10})


def make_keeper(record=None, state=NodeState.SERVING, kind=EndpointKind.ENGINE):
    """Return a keeper at n1 and its records; n2's lease is in ``state``."""
    records, nodes, holder = MemoryRecords(), NodeTable(), ConfigurationHolder()
    if record is not None:
        records.put("e", record, ABSENT)
    nodes.observe(NodeLease("n2", "i2", "z", "h", 1, "key", state, 9.0, "w"), 1)
    endpoint = Endpoint("e", kind, "h", 1, 100)
    holder.adopt(Configuration(1, {}, {}, {"e": endpoint}))
    parts = ResidencyContext(
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
    return RecordKeeper("e", parts), records


class TestOwn:
    """Taking the record."""

    def test_makes_the_first_record(self):
        """Nobody owned the endpoint before."""
        keeper, records = make_keeper()
        record = keeper.own(ENDPOINT)
        assert (record.owner, record.fence, record.memory_mb) == ("n1", 1, 100)
        assert records.get("e").record == record

    def test_waits_for_an_owner_that_may_still_be_there(self):
        """A node that just started has not heard of all the others."""
        keeper, records = make_keeper(EARLIER)
        assert keeper.own(ENDPOINT) is None
        assert records.get("e").record == EARLIER

    def test_takes_over_from_one_that_drains(self):
        """The number goes up, the memory is the configured one, residents stay."""
        keeper, _ = make_keeper(EARLIER, NodeState.DRAINING)
        record = keeper.own(ENDPOINT)
        assert (record.owner_incarnation, record.fence) == ("i1", 5)
        assert (record.memory_mb, record.resident_mb_by_item) == (100, {"m": 10})

    def test_an_owned_record_is_not_written_again(self):
        """Nothing changed, so nothing is written."""
        keeper, records = make_keeper()
        keeper.own(ENDPOINT)
        version = records.get("e").version
        keeper.own(ENDPOINT)
        assert records.get("e").version == version


class TestEndpoint:
    """What the configuration says."""

    @pytest.mark.parametrize("kind", list(EndpointKind))
    def test_only_engines_are_kept(self, kind):
        """Services hold no models."""
        keeper, _ = make_keeper(kind=kind)
        assert (keeper.endpoint() is None) == (kind is not EndpointKind.ENGINE)

    def test_another_node_owns_it(self):
        """The rendezvous winner among live nodes is n2, the only one seen."""
        keeper, _ = make_keeper()
        assert not keeper.is_ours()
