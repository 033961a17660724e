"""Tests of the parts that a node is made of."""

from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from camphoryard.coordination.ports import Snapshot
from camphoryard.node.assembly import make_endpoint_watcher, make_lease_watcher

LEASE_S = 6.0


class Watched:
    """Records that count how long the first watch waits, and then end the test."""

    def __init__(self):
        self.waits_s = []

    def list(self):
        """Return an empty listing."""
        return Snapshot(1, ())

    def watch(self, since, wait_s):
        """Record the wait."""
        self.waits_s.append(wait_s)
        raise StopIteration


class TestWatchers:
    """Watchers of the object API."""

    @pytest.mark.parametrize("make", [make_endpoint_watcher, make_lease_watcher])
    def test_an_unanswered_watch_is_over_within_a_lease(self, make):
        """A view whose watch is never answered is not used for longer than a lease."""
        settings = SimpleNamespace(peers=SimpleNamespace(lease_s=LEASE_S))
        shared = SimpleNamespace(
            settings=settings, endpoint_table=Mock(), nodes=Mock(), peers=Mock()
        )
        records = Watched()
        watcher = make(shared, SimpleNamespace(endpoints=records, leases=records))
        with pytest.raises(StopIteration):
            watcher.run(Mock(every=lambda period_s: iter([None])))
        assert records.waits_s and max(records.waits_s) < LEASE_S
