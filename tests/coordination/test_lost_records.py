"""Tests of the task that writes lost records again."""

import pytest

from camphoryard.coordination.lost_records import LostRecordWriter
from camphoryard.coordination.store_restores import StoreRestores
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import StoreEra


class Writes:
    """Counts calls; each raises the next of ``errors``, if there is one."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.count = 0

    def __call__(self):
        """Write again."""
        self.count += 1
        if self.errors:
            raise self.errors.pop(0)


class TestLostRecordWriter:
    """When records are written again."""

    def test_nothing_is_written_without_a_restore(self):
        """A store that tells no era loses nothing."""
        writes = Writes()
        LostRecordWriter(writes, StoreRestores()).check()
        assert writes.count == 0

    def test_writes_until_the_era_has_settled(self):
        """And once after that."""
        now_s, writes = 0.0, Writes()
        restores = StoreRestores(1.0, lambda: now_s)
        writer = LostRecordWriter(writes, restores)
        restores.observe(StoreEra(2))
        writer.check()
        writer.check()
        now_s = 1.0
        for _ in range(3):
            writer.check()
        assert writes.count == 3
        restores.observe(StoreEra(3))
        writer.check()
        assert writes.count == 4

    @pytest.mark.parametrize("error", [ConflictError(""), StoreUnavailableError("")])
    def test_failed_write_is_repeated(self, error):
        """It was not the last one."""
        writes, restores = Writes(error), StoreRestores()
        writer = LostRecordWriter(writes, restores)
        restores.observe(StoreEra(2))
        for _ in range(3):
            writer.check()
        assert writes.count == 2
