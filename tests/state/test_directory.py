"""Tests of the directory of traffic rules and endpoints."""

import threading

import pytest

from camphoryard.state.directory import (
    DECLINED_LIFETIME_S,
    HOLD_S,
    LOADED_REPORT_LIFETIME_S,
    UNLISTED_MEMORY_S,
    UNLOADING_LIFETIME_S,
    Directory,
)
from camphoryard.state.ids import AdapterId, EndpointId, ModelId
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import SERVICE, Clock, make_endpoint, make_rules

E1 = EndpointId("e1")
M1 = RequestedModel(ModelId("m1"))
A1 = RequestedModel(ModelId("m1"), AdapterId("a1"))


def make_directory(models=("m1",)):
    """Return a directory with one endpoint, and its clock."""
    clock = Clock()
    directory = Directory(clock)
    directory.replace_all([make_endpoint("e1", models)], False)
    return directory, clock


class TestLoadedEndpoints:
    """Endpoints that have a requested model loaded."""

    def test_base_model_without_adapter_does_not_match(self):
        """An endpoint with only the base model cannot serve the adapter."""
        directory, _ = make_directory()
        assert directory.loaded_endpoints(SERVICE, A1) == []
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1

    def test_recorded_load_counts_until_it_expires(self):
        """The report expires, after which the endpoint's entry is authoritative."""
        directory, clock = make_directory()
        directory.record_loaded(E1, A1)
        assert len(directory.loaded_endpoints(SERVICE, A1)) == 1
        clock.advance(LOADED_REPORT_LIFETIME_S)
        assert directory.loaded_endpoints(SERVICE, A1) == []

    def test_declining_endpoint_is_skipped_until_expiry(self):
        """It is skipped for DECLINED_LIFETIME_S, as its entry may be outdated."""
        directory, clock = make_directory()
        directory.record_declined(E1, M1)
        assert directory.loaded_endpoints(SERVICE, M1) == []
        clock.advance(DECLINED_LIFETIME_S)
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1

    def test_model_being_unloaded_is_skipped_with_its_adapters(self):
        """The endpoint declines requests for them before its entry changes."""
        directory, clock = make_directory()
        directory.record_unloads({E1: (M1.model,)})
        assert directory.loaded_endpoints(SERVICE, M1) == []
        clock.advance(UNLOADING_LIFETIME_S)
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1

    def test_model_that_is_loaded_again_counts(self):
        """A load that the leader reports is newer than its unload."""
        directory, _ = make_directory()
        directory.record_unloads({E1: (M1.model,)})
        directory.record_loaded(E1, M1)
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1


class TestReadiness:
    """Whether a node can serve."""

    def test_ready_needs_rules_and_endpoints(self):
        """An empty listing of endpoints counts as a listing."""
        directory = Directory()
        assert not directory.is_ready
        directory.adopt(make_rules())
        assert not directory.is_ready
        directory.replace_all([], False)
        assert directory.is_ready


class TestWaitUntil:
    """Tasks that wait for a condition."""

    def test_change_wakes_waiting_tasks(self):
        """A change wakes waiting tasks before their deadline."""
        directory = Directory()
        woken = threading.Event()

        def wait():
            if directory.wait_until(lambda: directory.rules is not None, 1e9):
                woken.set()

        task = threading.Thread(target=wait, daemon=True)
        task.start()
        directory.adopt(make_rules())
        assert woken.wait(10)


class TestLeaving:
    """Endpoints whose answers or entries say that they leave."""

    def ready(self, directory):
        """Return the names of the endpoints that accept new requests."""
        return [item.id for item in directory.ready(SERVICE)]

    def test_entry_that_is_still_ready_does_not_count(self):
        """The store learns of a leave later than the clients of the endpoint."""
        directory, _ = make_directory()
        assert directory.record_leaving(E1, 1)
        assert not directory.record_leaving(E1, 1)
        assert self.ready(directory) == []
        directory.observe(make_endpoint("e1", ["m1"]))
        directory.replace_all([make_endpoint("e1", ["m1"])], True)
        assert self.ready(directory) == []

    def test_entry_that_returns_after_an_outage_does_not_count(self):
        """Entries may expire and be written again by the same start."""
        directory, _ = make_directory()
        directory.record_leaving(E1, 1)
        directory.remove(E1)
        directory.observe(make_endpoint("e1", ["m1"]))
        assert self.ready(directory) == []

    def test_later_start_counts_again(self):
        """The endpoint has left and come back under its id."""
        directory, _ = make_directory()
        directory.record_leaving(E1, 1)
        directory.observe(make_endpoint("e1", ["m1"], started_ms=2))
        assert self.ready(directory) == [E1]

    def test_word_holds_for_as_long_as_the_start_is_listed(self):
        """An endpoint may take longer to leave than any time set here."""
        directory, clock = make_directory()
        directory.record_leaving(E1, 1)
        for _ in range(3):
            clock.advance(UNLISTED_MEMORY_S)
            directory.expire()
            directory.observe(make_endpoint("e1", ["m1"]))
            directory.replace_all([make_endpoint("e1", ["m1"])], False)
            assert self.ready(directory) == []
            assert directory.leaving_by_endpoint() == {E1: 1}
            assert not directory.record_leaving(E1, 1)

    def test_word_is_forgotten_after_the_endpoint_is_gone(self):
        """What was said of endpoints that are gone does not pile up."""
        directory, clock = make_directory()
        directory.record_leaving(E1, 1)
        clock.advance(UNLISTED_MEMORY_S)
        directory.remove(E1)
        clock.advance(UNLISTED_MEMORY_S - 1.0)
        directory.expire()
        assert not directory.record_leaving(E1, 1)
        clock.advance(1.0)
        directory.expire()
        assert directory.record_leaving(E1, 1)
        clock.advance(UNLISTED_MEMORY_S)
        directory.expire()
        directory.observe(make_endpoint("e1", ["m1"]))
        assert self.ready(directory) == [E1]

    def test_word_of_an_earlier_start_is_not_heeded(self):
        """A peer may still list the start before."""
        directory, _ = make_directory()
        directory.record_leaving(E1, 1)
        directory.observe(make_endpoint("e1", ["m1"], started_ms=2))
        assert not directory.record_leaving(E1, 1)
        assert directory.leaving_by_endpoint() == {}
        assert self.ready(directory) == [E1]

    @pytest.mark.parametrize("is_listed", [True, False])
    def test_entry_that_was_draining_is_not_ready_again(self, is_listed):
        """A restored store shows an entry from before, in a listing or a watch."""
        directory, _ = make_directory()
        directory.observe(make_endpoint("e1", ["m1"], EndpointState.DRAINING))
        if is_listed:
            directory.replace_all([make_endpoint("e1", ["m1"])], False)
        else:
            directory.observe(make_endpoint("e1", ["m1"]))
        assert self.ready(directory) == []
        assert directory.leaving_by_endpoint() == {E1: 1}

    def test_entry_that_was_listed_as_draining_is_not_ready_again(self):
        """The node need not have seen the change."""
        directory = Directory(Clock())
        directory.replace_all(
            [make_endpoint("e1", state=EndpointState.DRAINING)], False
        )
        directory.observe(make_endpoint("e1"))
        assert self.ready(directory) == []

    def test_later_start_of_an_entry_that_was_draining_counts(self):
        """The endpoint has left and come back under its id."""
        directory, _ = make_directory()
        directory.observe(make_endpoint("e1", ["m1"], EndpointState.DRAINING))
        directory.observe(make_endpoint("e1", ["m1"], started_ms=2))
        assert self.ready(directory) == [E1]
        assert directory.leaving_by_endpoint() == {}

    # Guards against an endpoint that no request ever reaches again.
    def test_entry_that_tells_no_start_may_be_ready_again(self):
        """A restart under the same id shows only in its state."""
        directory, _ = make_directory()
        draining = make_endpoint("e1", state=EndpointState.DRAINING, started_ms=0)
        directory.observe(draining)
        directory.observe(make_endpoint("e1", started_ms=0))
        assert self.ready(directory) == [E1]

    def test_peers_are_told_of_listed_endpoints_only(self):
        """What has left needs no mention."""
        directory, _ = make_directory()
        directory.record_leaving(E1, 7)
        assert directory.leaving_by_endpoint() == {E1: 7}
        directory.remove(E1)
        assert directory.leaving_by_endpoint() == {}


class TestRestoredEndpoints:
    """Endpoints that had been removed and are listed by a restored store."""

    def make_restored(self, **fields):
        """Return a directory that lists a removed endpoint again, and its clock."""
        directory, clock = make_directory()
        directory.remove(E1)
        restored = make_endpoint("e1", **fields)
        directory.replace_all([restored], True, is_restored=True)
        return directory, clock

    def ready(self, directory):
        """Return the names of the endpoints that accept new requests."""
        return [item.id for item in directory.ready(SERVICE)]

    def test_removed_endpoint_counts_as_draining(self):
        """It may have left; its entry then expires."""
        directory, clock = self.make_restored()
        assert directory.held() == (E1,)
        assert self.ready(directory) == []
        assert directory.find(E1).state is EndpointState.DRAINING
        assert directory.leaving_by_endpoint() == {}
        clock.advance(HOLD_S - 0.1)
        directory.confirm_endpoints(clock())
        directory.remove(E1)
        clock.advance(HOLD_S)
        directory.confirm_endpoints(clock())
        assert directory.find(E1) is None

    def test_removed_endpoint_that_stays_listed_counts(self):
        """Its entry would have expired if the endpoint were silent."""
        directory, clock = self.make_restored()
        clock.advance(HOLD_S)
        directory.expire()
        assert self.ready(directory) == []
        directory.confirm_endpoints(clock() - 0.1)
        assert self.ready(directory) == []
        directory.confirm_endpoints(clock())
        assert self.ready(directory) == [E1]
        assert directory.held() == ()

    def test_removed_endpoint_that_drains_stays_draining(self):
        """The time of being held ends, the leaving does not."""
        directory, clock = self.make_restored(state=EndpointState.DRAINING)
        clock.advance(HOLD_S)
        directory.confirm_endpoints(clock())
        assert directory.held() == ()
        assert self.ready(directory) == []

    def test_removed_endpoint_that_writes_its_entry_counts_at_once(self):
        """Only an endpoint that is alive writes."""
        directory, _ = self.make_restored()
        directory.observe(make_endpoint("e1", ["m1"]))
        assert self.ready(directory) == [E1]
        directory.confirm_endpoints(1e9)
        assert self.ready(directory) == [E1]

    def test_further_listing_does_not_make_it_count(self):
        """A listing shows an entry, not that the endpoint is alive."""
        directory, clock = self.make_restored()
        clock.advance(HOLD_S / 2)
        directory.replace_all([make_endpoint("e1", ["m1"])], True)
        assert self.ready(directory) == []
        clock.advance(HOLD_S / 2)
        directory.confirm_endpoints(clock())
        assert self.ready(directory) == [E1]

    def test_further_restore_holds_it_anew(self):
        """The time for which an entry outlives its endpoint starts again."""
        directory, clock = self.make_restored()
        clock.advance(HOLD_S / 2)
        directory.replace_all([make_endpoint("e1", ["m1"])], True, is_restored=True)
        clock.advance(HOLD_S / 2)
        directory.confirm_endpoints(clock())
        assert self.ready(directory) == []

    def test_held_endpoint_that_is_missing_gets_no_grace(self):
        """Only endpoints in use are kept for their return."""
        directory, _ = self.make_restored()
        directory.replace_all([], True, is_restored=True)
        assert directory.find(E1) is None

    def test_endpoint_that_was_listed_before_counts(self):
        """Its entry was there before and after the restore."""
        directory, _ = make_directory()
        directory.replace_all([make_endpoint("e1")], True, is_restored=True)
        assert self.ready(directory) == [E1]

    def test_later_start_counts(self):
        """Only the start before was removed."""
        directory, _ = self.make_restored(started_ms=2)
        assert self.ready(directory) == [E1]

    def test_removed_endpoint_that_returns_without_a_restore_counts(self):
        """Its entry expired in an outage and was written again."""
        directory, _ = make_directory()
        directory.remove(E1)
        directory.replace_all([make_endpoint("e1")], True)
        assert self.ready(directory) == [E1]
        directory.replace_all([make_endpoint("e1")], True, is_restored=True)
        assert self.ready(directory) == [E1]

    def test_earlier_start_than_the_known_one_is_held(self):
        """The endpoint has started again in the span that the store has lost."""
        directory, clock = make_directory()
        directory.observe(make_endpoint("e1", started_ms=2))
        for _ in range(2):
            directory.replace_all([make_endpoint("e1")], True, is_restored=True)
            directory.replace_all([make_endpoint("e1")], True)
            assert self.ready(directory) == []
        directory.observe(make_endpoint("e1", started_ms=2))
        assert self.ready(directory) == [E1]
        directory.replace_all([make_endpoint("e1")], True, is_restored=True)
        clock.advance(HOLD_S)
        directory.confirm_endpoints(clock())
        assert self.ready(directory) == [E1]
