"""Tests of `camphoryard.state.store_eras`."""

import pytest

from camphoryard.state.ids import ABSENT, StoreEra, Version
from camphoryard.state.store_eras import (
    MAX_REVISION,
    NewestEra,
    era_of,
    revision_in,
    stored_revision,
    version_in,
)


class TestVersions:
    """Versions across restores of the store."""

    def test_versions_without_eras_are_revisions(self) -> None:
        """A store that tells no era keeps its own numbers."""
        assert version_in(StoreEra(0), 17) == 17

    def test_later_eras_are_higher(self) -> None:
        """A revision that is given out again is a higher version."""
        assert version_in(StoreEra(3), 1) > version_in(StoreEra(2), MAX_REVISION)

    def test_parts_are_kept(self) -> None:
        """Era and revision can be read again."""
        revision = revision_in(StoreEra(5), 1234)
        assert (era_of(revision), stored_revision(revision)) == (5, 1234)

    @pytest.mark.parametrize("revision", [-1, MAX_REVISION + 1])
    def test_odd_revisions_are_rejected(self, revision: int) -> None:
        """A revision that would change the era is an error."""
        with pytest.raises(ValueError, match="revision"):
            version_in(StoreEra(1), revision)


class TestNewestEra:
    """The newest era that answers have told."""

    def test_only_later_eras_count(self) -> None:
        """An answer that was on its way during a restore changes nothing."""
        newest = NewestEra()
        assert newest.observe(StoreEra(2))
        assert not newest.observe(StoreEra(2))
        assert not newest.observe(StoreEra(1))
        assert newest.current == 2

    def test_era_of_a_write(self) -> None:
        """A write of a new object expects the newest era, others that of the object."""
        newest = NewestEra()
        newest.observe(StoreEra(2))
        assert newest.of_write(ABSENT) == 2
        assert newest.of_write(Version(5)) == 0

    def test_a_restore_is_an_era_after_the_first_answer(self) -> None:
        """The first era that a process hears of may be any."""
        newest = NewestEra()
        newest.observe(StoreEra(2))
        assert not newest.has_changed
        newest.observe(StoreEra(3))
        assert newest.has_changed
