"""Tests of this node's counts of refusals."""

import time

from camphoryard.coordination.refusals.refusals import (
    RETENTION_MINUTES,
    SECONDS_PER_MINUTE,
    RefusalCounter,
)
from camphoryard.state.enums import Reason


class TestRefusalCounter:
    """Counting, replication and persistence."""

    def test_every_refusal_is_counted(self):
        """Refusals are counted by reason, label and caller."""
        counter = RefusalCounter("i1")
        for _ in range(3):
            counter.count(Reason.OVERLOADED, "desk=public", "meter-app")
        counter.count(Reason.DEADLINE, "desk=public", "meter-app")
        counts = {(key.reason, n) for key, n in counter.by_key().items()}
        assert counts == {(Reason.OVERLOADED, 3), (Reason.DEADLINE, 1)}

    def test_count_waits_for_replication(self):
        """Another node has the count before ``count`` returns."""
        counter = RefusalCounter("i1")
        replicated_counts = []

        def replicate():
            unreplicated = counter.unreplicated(0)
            replicated_counts.append(unreplicated.refusal_counts.counts[0].count)
            counter.mark_replicated(unreplicated.number)

        counter.subscribe(replicate)
        counter.count(Reason.OVERLOADED, "")
        assert replicated_counts == [1]
        assert counter.unreplicated(counter.number) is None

    def test_refusal_during_replication_is_still_unreplicated(self):
        """Only refusals up to the replicated number count as replicated."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        unreplicated = counter.unreplicated(0)
        counter.count(Reason.OVERLOADED, "")
        counter.mark_replicated(unreplicated.number)
        assert (
            counter.unreplicated(unreplicated.number).refusal_counts.counts[0].count
            == 2
        )

    def test_new_replica_is_sent_all_unpersisted_counts(self):
        """A new replica starts at refusal 0 and is sent the unpersisted counts."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.mark_persisted(counter.unpersisted().counts)
        counter.count(Reason.DEADLINE, "")
        counter.mark_replicated(counter.unreplicated(0).number)
        (left,) = counter.unreplicated(0).refusal_counts.counts
        assert (left.key.reason, left.count) == (Reason.DEADLINE, 1)

    def test_expired_persisted_counts_are_removed(self, monkeypatch):
        """Persisted counts do not use memory for ever."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.mark_persisted(counter.unpersisted().counts)
        later_s = time.time() + (RETENTION_MINUTES + 1) * SECONDS_PER_MINUTE
        monkeypatch.setattr(time, "time", lambda: later_s)
        counter.count(Reason.DEADLINE, "")
        counter.mark_persisted(counter.unpersisted().counts)
        assert {key.reason for key in counter.by_key()} == {Reason.DEADLINE}

    def test_persisted_counts_are_not_written_again(self):
        """Only keys that changed after the write are unpersisted."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.count(Reason.DEADLINE, "")
        written = counter.unpersisted().counts
        counter.count(Reason.DEADLINE, "")
        counter.mark_persisted(written)
        (left,) = counter.unpersisted().counts
        assert (left.key.reason, left.count) == (Reason.DEADLINE, 2)
