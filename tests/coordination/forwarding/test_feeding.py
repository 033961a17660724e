"""Tests of how listings and changes update the directory."""

from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.directory import MISSING_GRACE_S, Directory
from camphoryard.state.ids import ObjectKey, Revision, Version
from tests.fakes.engines import (
    SERVICE,
    Clock,
    RecordedLog,
    make_endpoint,
    make_rules,
)


class Feed:
    """A feed with its directory and clock."""

    def __init__(self):
        self.clock = Clock()
        self.directory = Directory(self.clock)
        self.feed = DirectoryFeed(self.directory, RecordedLog(), self.clock)

    def list(self, *names):
        """List endpoints by name."""
        items = tuple(
            Stored(ObjectKey(name), Version(1), make_endpoint(name)) for name in names
        )
        self.feed.apply_listing(Snapshot(Revision(1), items))
        self.feed.record_availability(True)

    def ready(self):
        """Return the names of the endpoints that accept new work."""
        return sorted(item.id for item in self.directory.ready(SERVICE))


class TestDirectoryFeed:
    """Listings, changes and outages."""

    def test_entry_that_expired_in_an_outage_stays_for_the_grace_period(self):
        """The endpoint could not renew its entry and writes it again."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.record_availability(False)
        feed.list("e1")
        assert feed.ready() == ["e1", "e2"]

    def test_entry_missing_after_the_grace_period_is_removed(self):
        """About two seconds after the store's return the listing is authoritative."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.record_availability(False)
        feed.list("e1")
        feed.clock.advance(MISSING_GRACE_S + 0.1)
        assert feed.directory.expire() == ("e2",)
        assert feed.ready() == ["e1"]

    def test_entry_removed_right_after_an_outage_is_removed_at_once(self):
        """A removal reported by the watch is no expiry: requests stop at once."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.record_availability(False)
        feed.list("e1", "e2")
        feed.clock.advance(1.0)
        feed.feed.apply_endpoint(Stored(ObjectKey("e2"), Version(9), None))
        assert feed.ready() == ["e1"]

    def test_entry_missing_without_an_outage_is_removed_at_once(self):
        """A listing after a gap in the watch's history is authoritative."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.list("e1")
        assert feed.ready() == ["e1"]

    def test_older_rules_are_ignored(self):
        """The version in use never decreases."""
        feed = Feed()
        for version in (3, 2):
            rules = make_rules(version=version)
            feed.feed.apply_rules(Stored(ObjectKey("main"), Version(1), rules))
        assert feed.directory.rules.version == 3

    def test_unreadable_entry_removes_its_endpoint(self):
        """The other endpoints are unchanged."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.apply_endpoint(Stored(ObjectKey("e1"), Version(2), None))
        assert feed.ready() == ["e2"]
