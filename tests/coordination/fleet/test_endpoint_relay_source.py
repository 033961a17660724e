"""Tests of the changes that a leader collects for other nodes."""

import pytest

from camphoryard.coordination.fleet.endpoint_relay_source import (
    MAX_REMOVED,
    EndpointRelaySource,
)
from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.endpoint_relay import RelayedEndpoint
from tests.fakes.engines import make_endpoint

E1, E2 = make_endpoint("e1"), make_endpoint("e2")
E1_LOADED = make_endpoint("e1", ("m1",))


def snapshot(revision, **records):
    """Return an answer of the store with a record, or None, for each name."""
    items = (Stored(name, revision, record) for name, record in records.items())
    return Snapshot(revision, tuple(items))


@pytest.fixture
def source():
    """Return a source that has listed e1 and e2 and has heard n1."""
    source = EndpointRelaySource()
    source.apply_listing(snapshot(10, e1=E1, e2=E2))
    source.hear("n1", "i1", 1, 100.0)
    return source


def changed(source, position):
    """Return the ids of the endpoints that a node at this position lacks."""
    relay = source.relay_for("n1", position)
    return None if relay is None else [item.id for item in relay.changes]


class TestChanges:
    """Which changes a node is told."""

    def test_node_is_told_what_changed_after_its_view(self, source):
        """Each endpoint once, as it is now."""
        source.apply_changes(snapshot(11, e1=E1_LOADED))
        source.apply_changes(snapshot(12, e2=None))
        relay = source.relay_for("n1", 10)
        assert (relay.since, relay.until) == (10, 12)
        assert relay.changes == (
            RelayedEndpoint("e1", E1_LOADED),
            RelayedEndpoint("e2", None),
        )
        assert changed(source, 11) == ["e2"]
        assert changed(source, 12) == []

    def test_writes_that_change_nothing_are_not_passed_on(self, source):
        """34 endpoints that write their entries each second cost no bytes."""
        source.apply_changes(snapshot(11, e1=E1, e2=E2))
        assert changed(source, 10) == []

    def test_node_whose_view_is_older_than_the_listing_must_list(self, source):
        """A leader that lost the store for a while does not know what it missed."""
        assert changed(source, 9) is None
        source.apply_listing(snapshot(20, e1=E1))
        assert changed(source, 12) is None

    def test_node_with_a_newer_view_is_told_nothing(self, source):
        """It read the store after the leader."""
        relay = source.relay_for("n1", 15)
        assert (relay.since, relay.until, relay.changes) == (10, 10, ())

    def test_removals_are_bounded(self, source):
        """Nodes that lack a forgotten one must list."""
        for number in range(MAX_REMOVED + 1):
            added = 11 + 2 * number
            source.apply_changes(snapshot(added, **{f"x{number}": E1}))
            source.apply_changes(snapshot(added + 1, **{f"x{number}": None}))
        assert changed(source, 11) is None
        assert len(changed(source, 12)) == MAX_REMOVED

    def test_without_a_listing_nothing_is_known(self):
        """A leader that has not reached the store yet."""
        source = EndpointRelaySource()
        source.hear("n1", "i1", 1, 100.0)
        assert source.relay_for("n1", 10) is None


class TestHeardBeats:
    """Which digest of a node the view is known to be newer than."""

    def test_only_digests_heard_before_the_call_count(self, source):
        """A change may be confirmed between a call and a later digest."""
        source.hear("n1", "i1", 2, 101.0)
        source.confirm(100.5)
        assert source.relay_for("n1", 10).heard_beat == 1
        source.confirm(101.0)
        assert source.relay_for("n1", 10).heard_beat == 2

    def test_without_a_call_no_digest_counts(self, source):
        """The store does not answer the leader."""
        assert source.relay_for("n1", 10).heard_beat == 0

    def test_beats_of_an_earlier_process_do_not_count(self, source):
        """A node that was restarted counts from one again."""
        source.confirm(100.5)
        source.hear("n1", "i2", 1, 101.0)
        relay = source.relay_for("n1", 10)
        assert (relay.incarnation, relay.heard_beat) == ("i2", 0)
