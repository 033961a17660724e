"""Tests of how listings and changes update the directory."""

from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.ports import Snapshot, Stored
from camphoryard.state.directory import MISSING_GRACE_S, Directory
from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from camphoryard.state.ids import ObjectKey, StoreEra, Version
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.store_eras import revision_in, version_in
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
        self.log = RecordedLog()
        self.feed = DirectoryFeed(self.directory, self.log, self.clock)

    def list(self, *names, era=0):
        """List endpoints by name, from the store in ``era``."""
        items = tuple(
            Stored(ObjectKey(name), version_in(StoreEra(era), 1), make_endpoint(name))
            for name in names
        )
        self.feed.apply_listing(Snapshot(revision_in(StoreEra(era), 1), items))
        self.feed.record_availability(True)

    def listings(self):
        """Return the fields of the log lines of listings."""
        return [
            fields for event, fields in self.log.lines if event == "endpoints_listed"
        ]

    def ready(self):
        """Return the names of the endpoints that accept new work."""
        return sorted(item.id for item in self.directory.ready(SERVICE))


class TestRelays:
    """Changes that the leader passes on, beside calls to the store."""

    @staticmethod
    def relay(since, until, **endpoints):
        """Return a relay of changes."""
        changes = tuple(RelayedEndpoint(id, item) for id, item in endpoints.items())
        return EndpointRelay(since, until, changes, "i", 1)

    @staticmethod
    def answer(revision, **endpoints):
        """Return an answer of the store."""
        items = (Stored(id, revision, item) for id, item in endpoints.items())
        return Snapshot(revision, tuple(items))

    def test_listing_that_was_overtaken_brings_nothing_back(self):
        """It was on its way while a relay removed an endpoint."""
        feed = Feed()
        feed.list("e1", "e2")
        assert feed.feed.apply_relay(self.relay(1, 9, e2=None))
        feed.list("e1", "e2")
        assert (feed.ready(), feed.feed.position) == (["e1"], 9)

    def test_changes_that_were_overtaken_bring_nothing_back(self):
        """Nor do those that only end after the relay."""
        feed = Feed()
        feed.list("e1")
        feed.feed.apply_relay(self.relay(1, 9, e1=None))
        feed.feed.apply_changes(self.answer(8, e1=make_endpoint("e1")))
        assert feed.ready() == []
        both = self.answer(10, e1=make_endpoint("e1"))
        gone = self.answer(10, e1=None)
        feed.feed.apply_changes(Snapshot(10, both.items + gone.items))
        assert (feed.ready(), feed.feed.position) == ([], 10)
        seen = [event for event, _ in feed.log.lines if event == "endpoint_seen"]
        assert seen == []

    def test_relay_after_a_gap_is_not_applied(self):
        """What is between is not known."""
        feed = Feed()
        feed.list("e1")
        assert not feed.feed.apply_relay(self.relay(2, 9, e1=None))
        assert feed.ready() == ["e1"]

    def test_relay_of_an_older_view_changes_nothing(self):
        """But the view contains all that it tells."""
        feed = Feed()
        feed.list("e1")
        feed.feed.apply_changes(self.answer(9))
        assert feed.feed.apply_relay(self.relay(1, 5, e1=None))
        assert feed.ready() == ["e1"]


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

    def test_removed_endpoint_is_held_when_a_restored_store_lists_it(self):
        """A later era of the store tells that it was restored from an older copy."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.apply_endpoint(Stored(ObjectKey("e2"), Version(9), None))
        feed.list("e1", "e2", era=1)
        assert feed.ready() == ["e1"]
        feed.list("e1", "e2", era=1)
        assert feed.ready() == ["e1"]
        assert [item["held"] for item in feed.listings()] == ["", "e2", "e2"]

    def test_removed_endpoint_that_is_listed_again_in_the_same_era_counts(self):
        """It expired in an outage and has written its entry again."""
        feed = Feed()
        feed.list("e1", "e2", era=1)
        feed.feed.apply_endpoint(Stored(ObjectKey("e2"), Version(9), None))
        feed.list("e1", "e2", era=1)
        assert feed.ready() == ["e1", "e2"]

    def test_entry_missing_from_a_restored_store_stays_for_the_grace_period(self):
        """It was written after the copy was made, and is written again."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.list("e1", era=1)
        assert feed.ready() == ["e1", "e2"]
        feed.clock.advance(1.0)
        feed.list("e1", era=1)
        assert feed.ready() == ["e1", "e2"]
        feed.clock.advance(MISSING_GRACE_S - 1.0)
        assert feed.directory.expire() == ("e2",)
        assert feed.ready() == ["e1"]

    def test_draining_entry_missing_from_a_restored_store_is_not_used(self):
        """The grace is for endpoints in use."""
        feed = Feed()
        feed.list("e1", "e2")
        draining = make_endpoint("e2", state=EndpointState.DRAINING)
        feed.feed.apply_endpoint(Stored(ObjectKey("e2"), Version(9), draining))
        feed.list("e1", era=1)
        assert feed.ready() == ["e1"]
        feed.feed.apply_endpoint(
            Stored(ObjectKey("e2"), Version(9), make_endpoint("e2"))
        )
        assert feed.ready() == ["e1"]

    def test_first_listing_is_authoritative_in_any_era(self):
        """A node that starts cannot tell whether the store was restored."""
        feed = Feed()
        feed.list("e1", era=3)
        assert [item["restored"] for item in feed.listings()] == [False]
        feed.list(era=3)
        assert feed.ready() == []

    def test_further_restore_begins_the_grace_period_anew(self):
        """Entries are written again within some time of the last return."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.list("e1", era=1)
        feed.clock.advance(MISSING_GRACE_S - 0.1)
        feed.list("e1", era=2)
        feed.clock.advance(MISSING_GRACE_S - 0.1)
        assert feed.directory.expire() == ()
        assert feed.ready() == ["e1", "e2"]

    def test_unreadable_entry_removes_its_endpoint(self):
        """The other endpoints are unchanged."""
        feed = Feed()
        feed.list("e1", "e2")
        feed.feed.apply_endpoint(Stored(ObjectKey("e1"), Version(2), None))
        assert feed.ready() == ["e2"]


class TestRules:
    """Configurations that go back with the store, and are written again."""

    def write(self, feed, rules, revision, era=0):
        """Show the feed the record of the rules."""
        version = version_in(StoreEra(era), revision)
        feed.feed.apply_rules(Stored(ObjectKey("main"), version, rules))

    def told(self, feed):
        """Return the log lines of rules: the event and the rules' version."""
        return [(event, fields["version"]) for event, fields in feed.log.lines]

    def test_older_rules_are_ignored(self):
        """The version in use never decreases."""
        feed = Feed()
        for version in (3, 2):
            self.write(feed, make_rules(version=version), version)
        assert feed.directory.rules.version == 3

    def test_older_rules_of_a_restored_store_are_not_adopted(self):
        """The newest are in force all the while, and what is written after them."""
        feed = Feed()
        self.write(feed, make_rules(version=4), 4)
        newest = make_rules(version=5)
        self.write(feed, newest, 5)
        self.write(feed, make_rules(version=4), 4, era=1)
        assert feed.directory.rules is newest
        self.write(feed, make_rules(version=5), 5, era=1)
        assert feed.directory.rules == newest
        self.write(feed, make_rules(version=6), 6, era=1)
        assert feed.directory.rules.version == 6
        assert self.told(feed) == [
            ("configuration_adopted", 4),
            ("configuration_adopted", 5),
            ("configuration_older", 4),
            ("configuration_adopted", 6),
        ]

    def test_older_rules_are_logged_once_per_write(self):
        """Each further listing shows them again."""
        feed = Feed()
        self.write(feed, make_rules(version=5), 5)
        for _ in range(3):
            self.write(feed, make_rules(version=4), 4, era=1)
        for _ in range(3):
            self.write(feed, make_rules(version=4), 4, era=2)
        assert self.told(feed) == [
            ("configuration_adopted", 5),
            ("configuration_older", 4),
            ("configuration_older", 4),
        ]

    def test_older_rules_are_logged_with_those_in_force(self):
        """On-call sees what the operator has to write again."""
        feed = Feed()
        self.write(feed, make_rules(version=5), 5)
        self.write(feed, make_rules(version=4), 4, era=1)
        assert feed.log.lines[-1] == (
            "configuration_older",
            {"version": 4, "in_force": 5, "revision": version_in(StoreEra(1), 4)},
        )

    def test_version_of_what_was_read_counts_unreadable_rules(self):
        """A leader would otherwise have its nodes fetch them again and again."""
        feed = Feed()
        self.write(feed, make_rules(version=5), 5)
        self.write(feed, None, 6)
        assert feed.feed.rules_version == 6

    def test_missing_or_unreadable_rules_leave_those_in_force(self):
        """A restored store may show an invalid configuration from before, or none."""
        feed = Feed()
        self.write(feed, make_rules(version=5), 5)
        self.write(feed, None, 4, era=1)
        assert feed.directory.rules.version == 5
        self.write(feed, make_rules(version=6), 5, era=1)
        assert feed.directory.rules.version == 6
