"""Tests of dating the last confirmation of a configuration."""

import time

import pytest

from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.state.configuration import Configuration
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.tables import ConfigurationHolder

LIMIT_S = 0.05
LONG_AGO_S = 1000.0
NODES = {"a", "b", "c", "d", "e"}


@pytest.fixture
def holder():
    """Return a holder with generation 3 in force, not yet confirmed."""
    holder = ConfigurationHolder(stale_after_s=60.0)
    holder.adopt(Configuration(3))
    return holder


@pytest.fixture
def freshness(holder):
    """Return the currency of node a among five."""
    return ConfigurationFreshness("a", holder, lambda: NODES, LIMIT_S)


class TestConfirm:
    """Confirmations by nodes."""

    def test_more_than_half_confirm(self, freshness, holder):
        """Two others of five make a majority with this node."""
        for node in ("b", "c"):
            freshness.heard(node, time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert holder.is_current()

    def test_half_does_not_confirm(self, freshness, holder):
        """One other of five is too few."""
        freshness.heard("b", time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_half_of_an_even_number_does_not_confirm(self, holder):
        """Two of four are no majority: the other two may be one as well."""
        freshness = ConfigurationFreshness("a", holder, lambda: NODES - {"e"}, LIMIT_S)
        freshness.heard("b", time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_node_with_newer_generation_does_not_confirm(self, freshness, holder):
        """A node that has a newer configuration speaks against ours."""
        for node in ("b", "c"):
            freshness.heard(node, time.monotonic(), 4)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_old_word_does_not_confirm(self, freshness, holder):
        """What was true long ago confirms nothing now."""
        for node in ("b", "c"):
            freshness.heard(node, time.monotonic() - LONG_AGO_S, 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_no_configuration_is_not_confirmed_by_nodes(self):
        """A node that never had one cannot take it as accepted to have none."""
        holder = ConfigurationHolder(stale_after_s=60.0)
        ConfigurationFreshness(
            "a", holder, lambda: {"a"}, LIMIT_S
        ).confirm_among_nodes()
        assert not holder.is_current()


class TestRequireMajority:
    """Whether a change may be accepted."""

    def test_refused_without_a_majority(self, freshness):
        """The refusal names the nodes that were not heard."""
        freshness.heard("b", time.monotonic() + LONG_AGO_S, 3)
        with pytest.raises(RefusalError, match="c, d, e") as caught:
            freshness.require_majority(NODES)
        assert caught.value.reason is Reason.UNHEARD_NODES

    def test_allowed_with_a_majority(self, freshness):
        """More than half is enough."""
        for node in ("b", "c"):
            freshness.heard(node, time.monotonic() + LONG_AGO_S, 3)
        freshness.require_majority(NODES)


class TestIsolated:
    """Whether a node hears too few others."""

    @pytest.mark.parametrize(("heard", "isolated"), [("b", True), ("bc", False)])
    def test_hears_a_majority_or_not(self, holder, heard, isolated):
        """Two others of five are enough; an old word is none."""
        freshness = ConfigurationFreshness("a", holder, lambda: NODES, 60.0)
        freshness._started_s -= 61.0
        freshness.heard("d", time.monotonic() - LONG_AGO_S, 3)
        for node in heard:
            freshness.heard(node, time.monotonic(), 3)
        assert freshness.is_isolated() is isolated

    def test_is_given_time_to_hear(self, holder):
        """A node that has just started is not isolated yet."""
        assert not ConfigurationFreshness(
            "a", holder, lambda: NODES, 60.0
        ).is_isolated()
