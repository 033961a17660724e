"""Tests of the shared tables."""

import math

from camphoryard.state.configuration import Configuration
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.tables import ConfigurationHolder, EndpointTable


def make_record(endpoint, *resident):
    """Return a record with resident items."""
    resident_mb_by_item = dict.fromkeys(resident, 1)
    return EndpointRecord(endpoint, 9, "n", "i", 1, "w", resident_mb_by_item)


class TestEndpointTable:
    """Times at which copies of items appear and disappear."""

    def test_records_when_copies_were_first_observed(self):
        """A later record with the same item does not change its time."""
        now_s = [1.0]
        table = EndpointTable(lambda: now_s[0])
        table.observe(make_record("e", "m"), 1)
        now_s[0] = 2.0
        table.observe(make_record("e", "m", "other"), 2)
        assert table.resident_since_s("e", "m") == 1.0
        assert table.resident_since_s("e", "other") == 2.0
        assert table.resident_since_s("f", "m") is None

    def test_item_is_resident_until_its_last_copy_disappears(self):
        """An item is resident until its last copy disappears."""
        now_s = [1.0]
        table = EndpointTable(lambda: now_s[0])
        assert table.last_resident_s("m", 9.0) == -math.inf
        table.observe(make_record("e", "m"), 1)
        table.observe(make_record("f", "m"), 1)
        now_s[0] = 2.0
        table.observe(make_record("e"), 2)
        assert table.last_resident_s("m", 9.0) == 9.0
        now_s[0] = 3.0
        table.observe(make_record("f"), 2)
        assert table.last_resident_s("m", 9.0) == 3.0
        assert table.resident_since_s("f", "m") is None


class TestConfigurationHolder:
    """Adoption of configurations."""

    def test_adopts_only_newer_generations(self):
        """An older or equal generation changes nothing."""
        holder = ConfigurationHolder()
        assert holder.adopt(Configuration(2))
        assert not holder.adopt(Configuration(1))
        assert not holder.adopt(Configuration(2))
        assert holder.current.generation == 2
