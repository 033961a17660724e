"""Tests of what may leave an endpoint and what it is worth."""

import time

from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.tables import EndpointTable

DEMAND = {"m": ItemDemand(1.0, 2.0), "m:x": ItemDemand(4.0, 0.0)}


def make_record(name, resident, **changes):
    """Return a record that holds items of 10 MB each."""
    held = dict.fromkeys(resident, 10)
    return EndpointRecord(name, 100, "n", "i", 1, "w", held, **changes)


def eviction_candidates(*records, staying=(), since_s=0.0, size_mb=lambda item: 10):
    """Return the occupants of the first record by item."""
    table = EndpointTable(lambda: since_s)
    for record in records:
        table.observe(record, 1)
    occupancy = Occupancy(size_mb, lambda item: 0.0, lambda: DEMAND, table, 5.0)
    found = occupancy.eviction_candidates(records[0], staying)
    return {occupant.item: occupant for occupant in found}


class TestOccupants:
    """What may leave."""

    def test_a_base_serves_its_adapters_demand(self):
        """What is asked of the adapters here is lost with their base."""
        found = eviction_candidates(make_record("e", ["m", "m:x"]))
        assert (found["m"].served_slots, found["m:x"].served_slots) == (6.0, 4.0)

    def test_copies_share_the_demand(self):
        """A second copy halves what the first serves."""
        found = eviction_candidates(make_record("e", ["m"]), make_record("f", ["m"]))
        assert found["m"].is_elsewhere
        assert found["m"].served_slots == 1.0

    def test_an_adapter_without_its_base_serves_nothing(self):
        """It can answer nobody here."""
        assert eviction_candidates(make_record("e", ["m:x"]))["m:x"].served_slots == 0.0

    def test_some_stay(self):
        """Young, kept and doubtful items are no occupants to unload."""
        doubt = {"d": UnconfirmedLoad("m", 10, 1, "x", "y")}
        assert not eviction_candidates(
            make_record("e", ["m"]), since_s=time.monotonic()
        )
        assert not eviction_candidates(make_record("e", ["m"]), staying={"m"})
        assert not eviction_candidates(make_record("e", ["m"], in_doubt_by_id=doubt))

    def test_an_unconfigured_item_may_go_at_any_age(self):
        """Nobody can ask for it any more."""
        record = make_record("e", ["m"])
        assert eviction_candidates(
            record, since_s=time.monotonic(), size_mb=lambda item: None
        )
