"""Tests of the shared tables."""

import math

from camphoryard.state.configuration import Configuration
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.tables import ConfigurationHolder, EndpointTable


def make_record(endpoint, *resident):
    """Return a record that holds items."""
    held = dict.fromkeys(resident, 1)
    return EndpointRecord(endpoint, 9, "n", "i", 1, "w", held)


class TestEndpointTable:
    """Dates of copies."""

    def test_dates_copies_from_when_they_were_first_seen(self):
        """A later record with the same item does not make the copy younger."""
        now_s = [1.0]
        table = EndpointTable(lambda: now_s[0])
        table.observe(make_record("e", "m"), 1)
        now_s[0] = 2.0
        table.observe(make_record("e", "m", "other"), 2)
        assert table.resident_since_s("e", "m") == 1.0
        assert table.resident_since_s("e", "other") == 2.0
        assert table.resident_since_s("f", "m") is None

    def test_an_item_leaves_with_its_last_copy(self):
        """While a copy is anywhere the item is resident now."""
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
    """The configuration in force."""

    def test_moves_only_upward(self):
        """An older or equal generation changes nothing."""
        holder = ConfigurationHolder()
        assert holder.adopt(Configuration(2))
        assert not holder.adopt(Configuration(1))
        assert not holder.adopt(Configuration(2))
        assert holder.current.generation == 2
