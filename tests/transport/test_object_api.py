"""Tests of the records in the object API across restores from an older copy."""

import time

import pytest

from camphoryard.protocol.platform import ERA_HEADER, LEASE_CODEC, VERSION_HEADER
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, StoreEra
from camphoryard.state.nodes import NodeLease
from camphoryard.state.store_eras import FIRST_ERA, MAX_ERA, era_of, stored_revision
from camphoryard.transport.http_client import Address
from camphoryard.transport.object_api import ObjectApi, ObjectRecords
from standins.object_api import Store
from tests.fakes.object_api import StoreClient


def make_lease(node="n", write_id="w"):
    """Return a serving node's lease."""
    return NodeLease(node, "i", "z", "h", 1, "key", NodeState.SERVING, 6.0, write_id)


class Site:
    """The leases in a stand-in of the object API, as a client sees them."""

    def __init__(self):
        self.store = Store()
        self.client = StoreClient(self.store)
        self.restores = []
        self.leases = self.new_client()

    def new_client(self):
        """Return the leases as another client sees them."""
        api = ObjectApi(
            self.client, Address("h", 1), "token", on_restored=self.restores.append
        )
        return ObjectRecords(api, "nodes/", LEASE_CODEC)

    def put(self, write_id, version=ABSENT):
        """Write the lease of one node."""
        return self.leases.put("n", make_lease(write_id=write_id), version)


@pytest.fixture
def site():
    """Return a client that has been told the first era."""
    site = Site()
    site.leases.get("n")
    return site


# Guards against CONFIG: a restored store gives revisions out again, so that a write
# replaced another object than the one that was read, and a watch missed changes.
class TestObjectRecords:
    """Records whose versions and revisions stay ordered."""

    def test_versions_grow_across_a_restore(self, site):
        """The version of an object after a restore is higher than any before."""
        copied_s = time.monotonic()
        before = [site.put("a")]
        before.append(site.put("b", before[0]))
        site.store.restore(copied_s)
        site.leases.get("n")
        after = site.put("c")
        assert after > max(before)
        assert stored_revision(after) == stored_revision(before[0])
        assert site.leases.get("n").version == after

    def test_write_at_a_version_from_before_a_restore_is_not_sent(self, site):
        """The store would take the same revision for the same object."""
        copied_s = time.monotonic()
        version = site.put("lost")
        site.store.restore(copied_s)
        site.leases.get("n")
        site.put("new")
        calls = len(site.client.calls)
        with pytest.raises(ConflictError):
            site.put("mine", version)
        with pytest.raises(ConflictError):
            site.leases.delete("n", version)
        assert len(site.client.calls) == calls
        assert site.leases.get("n").record.write_id == "new"

    def test_write_that_a_later_era_answers_has_an_unknown_outcome(self, site):
        """It may have replaced another object than the one that was read."""
        copied_s = time.monotonic()
        version = site.put("lost")
        site.store.restore(copied_s)
        other = site.new_client()
        other.get("n")
        other.put("n", make_lease(write_id="new"), ABSENT)
        with pytest.raises(StoreUnavailableError):
            site.put("mine", version)

    def test_conflict_of_a_later_era_is_a_conflict(self, site):
        """The write had no effect, whatever the era."""
        copied_s = time.monotonic()
        version = site.put("lost")
        site.store.restore(copied_s)
        with pytest.raises(ConflictError):
            site.put("mine", version)

    def test_watch_from_before_a_restore_conflicts(self, site):
        """The records are listed again, as its revision was given out again."""
        copied_s = time.monotonic()
        site.put("lost")
        since = site.leases.list().revision
        site.store.restore(copied_s)
        other = site.new_client()
        other.get("n")
        other.put("n", make_lease(write_id="new"), ABSENT)
        with pytest.raises(ConflictError):
            site.leases.watch(since, 0.0)
        listing = site.leases.list()
        with pytest.raises(ConflictError):
            site.leases.watch(since, 0.0)
        assert site.leases.watch(listing.revision, 0.0).items == ()

    def test_later_eras_are_told(self, site):
        """Each later era is told once; the first one is told too."""
        assert site.restores == [StoreEra(1)]
        site.store.restore(time.monotonic())
        site.leases.list()
        site.leases.list()
        assert site.restores == [StoreEra(1), StoreEra(2)]

    def test_store_without_eras_stays_in_the_first(self, site):
        """An object API that sends no era works as one that is never restored."""
        site = Site()
        site.client.dropped_header = ERA_HEADER
        version = site.put("a")
        assert era_of(version) == FIRST_ERA
        assert site.put("b", version) > version
        assert site.restores == []

    def test_case_of_header_names_does_not_matter(self, site):
        """Proxies and other servers write them in lower case."""
        site.client.edit_name = str.lower
        site.store.restore(time.monotonic())
        site.leases.list()
        version = site.put("a")
        assert site.restores == [StoreEra(1), StoreEra(2)]
        assert site.leases.get("n").version == version

    def test_answer_without_a_version_is_none(self, site):
        """An object is of no use without the version that a write has to name."""
        site.put("a")
        site.client.dropped_header = VERSION_HEADER
        with pytest.raises(StoreUnavailableError):
            site.leases.get("n")

    @pytest.mark.parametrize("era", ["x", "-1", "", MAX_ERA + 1])
    def test_invalid_era_is_no_answer(self, site, era):
        """An answer whose era cannot be read has no version."""
        site.store.era = era
        with pytest.raises(StoreUnavailableError):
            site.leases.get("n")

    @pytest.mark.parametrize("revision", [-1, 1 << 40])
    def test_invalid_revision_is_no_answer(self, site, revision):
        """A revision that does not fit into an era has no order."""
        site.put("a")
        site.store.revision = revision
        with pytest.raises(StoreUnavailableError):
            site.leases.list()
        site.store.item_by_key["nodes/n"].version = revision
        with pytest.raises(StoreUnavailableError):
            site.leases.get("n")
