"""Tests of persisting refusal counts in the object API."""

import time

from camphoryard.coordination.refusals.refusal_persistence import (
    OWN_WRITE_GRACE_S,
    RefusalPersister,
)
from camphoryard.coordination.refusals.refusals import (
    SECONDS_PER_MINUTE,
    RefusalCounter,
)
from camphoryard.state.enums import NodeState, Reason
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.refusals import RefusalCount, RefusalCounts, RefusalKey
from tests.fakes.object_api import InMemoryRecords


def counts_of(incarnation, count):
    """Return counts with one key of this minute."""
    minute = int(time.time() // SECONDS_PER_MINUTE)
    key = RefusalKey(Reason.OVERLOADED, "", minute)
    return RefusalCounts(incarnation, (RefusalCount(key, count),))


def make_persister(records, nodes=None):
    """Return the persister of incarnation i1."""
    return RefusalPersister(records, RefusalCounter("i1"), nodes or NodeTable())


def sum_of(persister):
    """Return the sum of all counts of the last two hours."""
    return sum(persister.total(2).values())


class TestRefusalPersister:
    """Own counts and copies of peers' counts."""

    def test_counts_of_a_lost_node_are_persisted_once(self):
        """Two nodes with copies can both write them; the largest count is kept."""
        records = InMemoryRecords()
        first, second = make_persister(records), make_persister(records)
        for persister, count in ((first, 3), (second, 5), (second, 4)):
            persister.store_copy(counts_of("i9", count))
            persister.persist()
        assert sum_of(make_persister(records)) == 5

    def test_counts_of_a_live_node_are_only_stored(self):
        """A new copy is left for its own node to write, but is in the total."""
        records, nodes = InMemoryRecords(), NodeTable()
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.SERVING, 60.0, "w")
        nodes.observe(lease, 1)
        persister = make_persister(records, nodes)
        persister.store_copy(counts_of("i9", 3))
        persister.persist()
        assert not records.stored_by_key
        assert sum_of(persister) == 3

    def test_unwritten_counts_of_a_live_node_are_persisted(self):
        """A copy is written after the grace period although its node is alive."""
        records, nodes, now_s = InMemoryRecords(), NodeTable(), [0.0]
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.SERVING, 60.0, "w")
        nodes.observe(lease, 1)
        counter = RefusalCounter("i1")
        persister = RefusalPersister(records, counter, nodes, lambda: now_s[0])
        persister.store_copy(counts_of("i9", 3))
        now_s[0] = OWN_WRITE_GRACE_S / 2
        persister.store_copy(counts_of("i9", 5))
        persister.persist()
        assert not records.stored_by_key
        now_s[0] = OWN_WRITE_GRACE_S
        persister.persist()
        assert sum_of(make_persister(records)) == 5

    def test_outage_loses_no_counts(self):
        """Counts that could not be written are written by a later ``persist``."""
        records = InMemoryRecords()
        persister = make_persister(records)
        persister.store_copy(counts_of("i9", 3))
        records.outage = True
        persister.persist()
        records.outage = False
        persister.persist()
        assert sum_of(make_persister(records)) == 3

    def test_persisting_again_writes_nothing(self):
        """A record that already has the counts is not written again."""
        records = InMemoryRecords()
        for _ in range(2):
            persister = make_persister(records)
            persister.store_copy(counts_of("i9", 3))
            persister.persist()
        (stored,) = records.stored_by_key.values()
        assert stored.version == 1

    def test_stopping_node_writes_new_copies(self):
        """The peer may also stop before it has written its own counts."""
        records, nodes = InMemoryRecords(), NodeTable()
        lease = NodeLease("n9", "i9", "a", "h", 1, "", NodeState.DRAINING, 60.0, "w")
        nodes.observe(lease, 1)
        persister = make_persister(records, nodes)
        persister.store_copy(counts_of("i9", 3))
        assert persister.persist_all() == []
        assert sum_of(make_persister(records)) == 3

    def test_stopping_node_returns_unwritten_copies(self):
        """The unwritten copies are returned, to be transferred to another node."""
        records = InMemoryRecords()
        persister = make_persister(records)
        persister.store_copy(counts_of("i9", 3))
        records.outage = True
        assert persister.persist_all() == [counts_of("i9", 3)]

    # Guards against a wrong total: a restored store had lost persisted counts.
    def test_lost_counts_are_persisted_again(self):
        """Once, as they are merged into what the store still has."""
        records, counter = InMemoryRecords(), RefusalCounter("i1")
        persister = RefusalPersister(records, counter, NodeTable())
        counter.count(Reason.OVERLOADED, "")
        persister.persist()
        copy = dict(records.stored_by_key)
        counter.count(Reason.OVERLOADED, "")
        persister.persist()
        records.stored_by_key = copy
        counter.mark_unpersisted()
        persister.persist()
        counter.mark_unpersisted()
        persister.persist()
        assert sum_of(make_persister(records)) == 2
