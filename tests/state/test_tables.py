"""Tests of the shared tables."""

from camphoryard.state.configuration import Configuration
from camphoryard.state.tables import ConfigurationHolder


class TestConfigurationHolder:
    """The configuration in force."""

    def test_moves_only_upward(self):
        """An older or equal generation changes nothing."""
        holder = ConfigurationHolder()
        assert holder.adopt(Configuration(2))
        assert not holder.adopt(Configuration(1))
        assert not holder.adopt(Configuration(2))
        assert holder.current.generation == 2
