"""Tests of folding counts of refusals into the object API."""

import time

from camphoryard.coordination.refusals.refusal_persistence import (
    HELD_S,
    RefusalPersister,
)
from camphoryard.coordination.refusals.refusals import (
    SECONDS_PER_MINUTE,
    RefusalCounter,
)
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey
from tests.fakes.object_api import MemoryRecords


def sheet_of(incarnation, count):
    """Return a sheet with one key of this minute."""
    minute = int(time.time() // SECONDS_PER_MINUTE)
    key = RefusalKey(Reason.OVERLOADED, "", minute)
    return RefusalCounts(incarnation, (RefusalCount(key, count),))


def make_folder(records, nodes=None):
    """Return the folder of incarnation i1."""
    return RefusalPersister(records, RefusalCounter("i1"), nodes or NodeTable())


def sum_of(folder):
    """Return the sum of all counts of the last two hours."""
    return sum(folder.total(2).values())


class TestRefusalFolder:
    """Own counts and copies of peers' counts."""

    def test_counts_of_a_gone_node_are_folded_once(self):
        """Two holders and the node itself may all write them."""
        records = MemoryRecords()
        first, second = make_folder(records), make_folder(records)
        for folder, count in ((first, 3), (second, 5), (second, 4)):
            folder.store_copy(sheet_of("i9", count))
            folder.fold()
        assert sum_of(make_folder(records)) == 5

    def test_counts_of_a_live_node_are_only_held(self):
        """Their own node folds them; both views show them once."""
        records, nodes = MemoryRecords(), NodeTable()
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.SERVING, 60.0, "w")
        nodes.observe(lease, 1)
        folder = make_folder(records, nodes)
        folder.store_copy(sheet_of("i9", 3))
        folder.fold()
        assert not records.stored_by_key
        assert sum_of(folder) == 3

    def test_counts_of_a_live_node_that_does_not_fold_are_folded(self):
        """A holder does not wait until it is sure that the node is gone."""
        records, nodes, now_s = MemoryRecords(), NodeTable(), [0.0]
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.SERVING, 60.0, "w")
        nodes.observe(lease, 1)
        counter = RefusalCounter("i1")
        folder = RefusalPersister(records, counter, nodes, lambda: now_s[0])
        folder.store_copy(sheet_of("i9", 3))
        now_s[0] = HELD_S / 2
        folder.store_copy(sheet_of("i9", 5))
        folder.fold()
        assert not records.stored_by_key
        now_s[0] = HELD_S
        folder.fold()
        assert sum_of(make_folder(records)) == 5

    def test_outage_loses_nothing(self):
        """What could not be written is written at a later fold."""
        records = MemoryRecords()
        folder = make_folder(records)
        folder.store_copy(sheet_of("i9", 3))
        records.outage = True
        folder.fold()
        records.outage = False
        folder.fold()
        assert sum_of(make_folder(records)) == 3

    def test_folding_again_writes_nothing(self):
        """A record that has the counts already is left alone."""
        records = MemoryRecords()
        for _ in range(2):
            folder = make_folder(records)
            folder.store_copy(sheet_of("i9", 3))
            folder.fold()
        (stored,) = records.stored_by_key.values()
        assert stored.version == 1

    def test_a_stopping_node_writes_what_it_just_got(self):
        """Its peer may be stopping too, before it writes its own."""
        records, nodes = MemoryRecords(), NodeTable()
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.DRAINING, 60.0, "w")
        nodes.observe(lease, 1)
        folder = make_folder(records, nodes)
        folder.store_copy(sheet_of("i9", 3))
        assert folder.fold_all() == []
        assert sum_of(make_folder(records)) == 3

    def test_a_stopping_node_tells_what_it_could_not_write(self):
        """Those counts are for another node to hold."""
        records = MemoryRecords()
        folder = make_folder(records)
        folder.store_copy(sheet_of("i9", 3))
        records.outage = True
        assert folder.fold_all() == [sheet_of("i9", 3)]
