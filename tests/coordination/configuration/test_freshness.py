"""Tests of when a configuration was last confirmed."""

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
    """Return a holder of generation 3, which is not yet confirmed."""
    holder = ConfigurationHolder(stale_after_s=60.0)
    holder.adopt(Configuration(3))
    return holder


@pytest.fixture
def freshness(holder):
    """Return the freshness at node a, one of five nodes."""
    return ConfigurationFreshness("a", holder, lambda: NODES, LIMIT_S)


class TestConfirm:
    """Confirmations by nodes."""

    def test_majority_confirms(self, freshness, holder):
        """Two of the four other nodes are a majority together with this node."""
        for node in ("b", "c"):
            freshness.record_confirmation(node, time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert holder.is_current()

    def test_minority_does_not_confirm(self, freshness, holder):
        """One of the four other nodes is too few."""
        freshness.record_confirmation("b", time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_half_of_an_even_number_does_not_confirm(self, holder):
        """Two of four are no majority: the other two could confirm another one."""
        freshness = ConfigurationFreshness("a", holder, lambda: NODES - {"e"}, LIMIT_S)
        freshness.record_confirmation("b", time.monotonic(), 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_node_with_newer_generation_does_not_confirm(self, freshness, holder):
        """A node with a newer configuration contradicts ours."""
        for node in ("b", "c"):
            freshness.record_confirmation(node, time.monotonic(), 4)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_old_contact_does_not_confirm(self, freshness, holder):
        """A contact from before the limit confirms nothing."""
        for node in ("b", "c"):
            freshness.record_confirmation(node, time.monotonic() - LONG_AGO_S, 3)
        freshness.confirm_among_nodes()
        assert not holder.is_current()

    def test_no_configuration_is_not_confirmed_by_nodes(self):
        """A node without a configuration cannot know that none was accepted."""
        holder = ConfigurationHolder(stale_after_s=60.0)
        ConfigurationFreshness(
            "a", holder, lambda: {"a"}, LIMIT_S
        ).confirm_among_nodes()
        assert not holder.is_current()


class TestRequireMajority:
    """Whether a change may be accepted."""

    def test_refused_without_a_majority(self, freshness):
        """The refusal names the nodes that were not heard from."""
        freshness.record_confirmation("b", time.monotonic() + LONG_AGO_S, 3)
        with pytest.raises(RefusalError, match="c, d, e") as caught:
            freshness.require_majority(NODES)
        assert caught.value.reason is Reason.UNHEARD_NODES

    def test_allowed_with_a_majority(self, freshness):
        """More than half is enough."""
        for node in ("b", "c"):
            freshness.record_confirmation(node, time.monotonic() + LONG_AGO_S, 3)
        freshness.require_majority(NODES)


class TestIsolated:
    """Whether a node is in contact with too few others."""

    @pytest.mark.parametrize(("heard", "isolated"), [("b", True), ("bc", False)])
    def test_isolated_without_recent_contact_to_a_majority(
        self, holder, heard, isolated
    ):
        """Two of the four others are enough; an old contact does not count."""
        freshness = ConfigurationFreshness("a", holder, lambda: NODES, 60.0)
        freshness._started_s -= 61.0
        freshness.record_confirmation("d", time.monotonic() - LONG_AGO_S, 3)
        for node in heard:
            freshness.record_confirmation(node, time.monotonic(), 3)
        assert freshness.is_isolated() is isolated

    def test_new_node_is_not_isolated(self, holder):
        """A node that has just started had no time to hear from others."""
        assert not ConfigurationFreshness(
            "a", holder, lambda: NODES, 60.0
        ).is_isolated()
