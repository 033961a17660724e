"""Tests of eviction candidates and the demand that they serve."""

import time

from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.tables import EndpointTable

DEMAND = {"m": ItemDemand(1.0, 2.0), "m:x": ItemDemand(4.0, 0.0)}


def make_record(name, resident, **changes):
    """Return a record with resident items of 10 MB each."""
    resident_mb_by_item = dict.fromkeys(resident, 10)
    return EndpointRecord(name, 100, "n", "i", 1, "w", resident_mb_by_item, **changes)


def eviction_candidates(*records, excluded=(), since_s=0.0, size_mb=lambda item: 10):
    """Return the eviction candidates of the first record by item."""
    table = EndpointTable(lambda: since_s)
    for record in records:
        table.observe(record, 1)
    occupancy = Occupancy(size_mb, lambda item: 0.0, lambda: DEMAND, table, 5.0)
    found = occupancy.eviction_candidates(records[0], excluded)
    return {candidate.item: candidate for candidate in found}


class TestEvictionCandidates:
    """Items that may be evicted."""

    def test_a_base_serves_its_adapters_demand(self):
        """Evicting a base loses the demand for its adapters at the endpoint."""
        found = eviction_candidates(make_record("e", ["m", "m:x"]))
        assert (found["m"].served_slots, found["m:x"].served_slots) == (6.0, 4.0)

    def test_copies_share_the_demand(self):
        """With two copies, each serves half of the demand."""
        found = eviction_candidates(make_record("e", ["m"]), make_record("f", ["m"]))
        assert found["m"].has_other_copy
        assert found["m"].served_slots == 1.0

    def test_an_adapter_without_its_base_serves_nothing(self):
        """It cannot serve requests at this endpoint."""
        assert eviction_candidates(make_record("e", ["m:x"]))["m:x"].served_slots == 0.0

    def test_items_that_may_not_be_evicted(self):
        """Young, excluded and unconfirmed items may not be evicted."""
        unconfirmed = {"d": UnconfirmedLoad("m", 10, 1, "x", "y")}
        assert not eviction_candidates(
            make_record("e", ["m"]), since_s=time.monotonic()
        )
        assert not eviction_candidates(make_record("e", ["m"]), excluded={"m"})
        assert not eviction_candidates(
            make_record("e", ["m"], in_doubt_by_id=unconfirmed)
        )

    def test_an_unconfigured_item_may_be_evicted_at_any_age(self):
        """It can no longer be requested."""
        record = make_record("e", ["m"])
        assert eviction_candidates(
            record, since_s=time.monotonic(), size_mb=lambda item: None
        )
