"""Tests of what a node knows of rules and endpoints."""

import threading

from camphoryard.state.directory import LEARNED_LIFE_S, UNHELD_LIFE_S, Directory
from camphoryard.state.ids import AdapterId, EndpointId, ModelId
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


class TestHolders:
    """Which endpoints can run a request."""

    def test_a_base_without_the_adapter_does_not_do(self):
        """A request for an adapter needs it."""
        directory, _ = make_directory()
        assert directory.loaded_endpoints(SERVICE, A1) == []
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1

    def test_what_was_just_loaded_counts_before_the_entry_says_so(self):
        """It counts for a while only, as the entry is the truth in the end."""
        directory, clock = make_directory()
        directory.record_loaded(E1, A1)
        assert len(directory.loaded_endpoints(SERVICE, A1)) == 1
        clock.advance(LEARNED_LIFE_S)
        assert directory.loaded_endpoints(SERVICE, A1) == []

    def test_an_endpoint_that_declined_is_left_alone_for_a_moment(self):
        """Its entry may be old."""
        directory, clock = make_directory()
        directory.record_declined(E1, M1)
        assert directory.loaded_endpoints(SERVICE, M1) == []
        clock.advance(UNHELD_LIFE_S)
        assert len(directory.loaded_endpoints(SERVICE, M1)) == 1


class TestReadiness:
    """Whether a node can serve."""

    def test_rules_and_endpoints_are_both_needed(self):
        """A listing without endpoints is one too."""
        directory = Directory()
        assert not directory.is_ready
        directory.adopt(make_rules())
        assert not directory.is_ready
        directory.replace_all([], False)
        assert directory.is_ready


class TestWaitUntil:
    """Tasks that wait for a change."""

    def test_a_change_wakes_them(self):
        """They see it at once, not at their deadline."""
        directory = Directory()
        seen = threading.Event()

        def wait():
            if directory.wait_until(lambda: directory.rules is not None, 1e9):
                seen.set()

        task = threading.Thread(target=wait, daemon=True)
        task.start()
        directory.adopt(make_rules())
        assert seen.wait(10)
