"""Tests of conditional writes whose answers get lost."""

from dataclasses import dataclass

import pytest

from camphoryard.coordination.conditional_writes import write_resolved
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import ABSENT, WriteId
from tests.fakes.object_api import InMemoryRecords


@dataclass(frozen=True, slots=True)
class Record:
    """A record that names its write."""

    write_id: WriteId


OURS, THEIRS = Record(WriteId("ours")), Record(WriteId("theirs"))


class TestWriteResolved:
    """What becomes of a write."""

    def test_answered(self):
        """The version written is returned."""
        records = InMemoryRecords()
        version = write_resolved(records, "k", OURS, ABSENT)
        assert records.get("k").version == version

    def test_own_write_is_recognised(self):
        """A lost answer does not turn our own write into a conflict."""
        records = InMemoryRecords()
        records.lose_answers = 1
        version = write_resolved(records, "k", OURS, ABSENT)
        assert records.get("k").version == version
        assert records.get("k").record == OURS

    def test_conflict_at_once(self):
        """A version that another writer made is a conflict."""
        records = InMemoryRecords()
        records.put("k", THEIRS, ABSENT)
        with pytest.raises(ConflictError):
            write_resolved(records, "k", OURS, ABSENT)

    def test_conflict_after_a_lost_answer(self):
        """Another's write on top of ours is a conflict, not ours."""
        records = InMemoryRecords()
        records.lose_answers = 1
        records.after_put = lambda: records.put("k", THEIRS, records.get("k").version)
        with pytest.raises(ConflictError):
            write_resolved(records, "k", OURS, ABSENT)

    def test_unknown(self):
        """Without any answer the fate of the write is unknown."""
        records = InMemoryRecords()
        records.outage = True
        with pytest.raises(StoreUnavailableError):
            write_resolved(records, "k", OURS, ABSENT)
