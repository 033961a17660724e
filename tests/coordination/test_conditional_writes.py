"""Tests of conditional writes whose answers are lost."""

from dataclasses import dataclass

import pytest

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, WriteId
from tests.fakes.object_api import InMemoryRecords


@dataclass(frozen=True, slots=True)
class Record:
    """A record that contains its write id."""

    write_id: WriteId


OURS, THEIRS = Record(WriteId("ours")), Record(WriteId("theirs"))


class TestWriteResolved:
    """Outcomes of a write."""

    def test_answered_write(self):
        """The new version is returned."""
        records = InMemoryRecords()
        version = write_resolved(records, "k", OURS, ABSENT)
        assert records.get("k").version == version

    def test_own_write_is_recognised_after_a_lost_answer(self):
        """The retry after a lost answer does not conflict with the first attempt."""
        records = InMemoryRecords()
        records.lose_answers = 1
        version = write_resolved(records, "k", OURS, ABSENT)
        assert records.get("k").version == version
        assert records.get("k").record == OURS

    def test_conflict_on_the_first_attempt(self):
        """A version written by another writer is a conflict."""
        records = InMemoryRecords()
        records.put("k", THEIRS, ABSENT)
        with pytest.raises(ConflictError):
            write_resolved(records, "k", OURS, ABSENT)

    def test_conflict_after_a_lost_answer(self):
        """Another writer's change after our lost write is a conflict."""
        records = InMemoryRecords()
        records.lose_answers = 1
        records.after_put = lambda: records.put("k", THEIRS, records.get("k").version)
        with pytest.raises(ConflictError):
            write_resolved(records, "k", OURS, ABSENT)

    def test_unknown_outcome(self):
        """Without any answer the outcome of the write is unknown."""
        records = InMemoryRecords()
        records.outage = True
        with pytest.raises(StoreUnavailableError):
            write_resolved(records, "k", OURS, ABSENT)
