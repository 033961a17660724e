"""Tests of changes to a configuration."""

from camphoryard.coordination.configuration.changes import (
    Change,
    apply_change,
    differences,
    items_by_name,
    merged,
)
from camphoryard.state.configuration import Configuration, Model
from camphoryard.state.enums import ChangeKind


def models(generation=0, **memory_mb_by_id):
    """Return a configuration of models with these sizes."""
    by_id = {key: Model(key, memory_mb) for key, memory_mb in memory_mb_by_id.items()}
    return Configuration(generation, models_by_id=by_id)


class TestApplyChange:
    """Applying a change."""

    def test_adds_replaces_and_keeps(self):
        """Items of the change win, others stay, and the generation is one on."""
        got = apply_change(models(4, a=1, b=1), Change(models(b=2, c=3)))
        assert got == models(5, a=1, b=2, c=3)

    def test_removes_by_kind_and_name(self):
        """Only the named item of the named kind goes."""
        change = Change(models(), removed=frozenset({"model/a", "adapter/b"}))
        assert apply_change(models(1, a=1, b=1), change) == models(2, b=1)

    def test_leaves_the_current_one_as_it_was(self):
        """A configuration in force is never changed in place."""
        current = models(1, a=1)
        apply_change(current, Change(models(a=2), removed=frozenset({"model/a"})))
        assert current == models(1, a=1)


class TestMerged:
    """Putting parts together."""

    def test_generation_is_that_of_the_whole(self):
        """A part's own generation counts for nothing."""
        assert merged(models(7, a=1), models(3, b=1)) == models(7, a=1, b=1)


class TestDifferences:
    """Telling two configurations apart."""

    def test_names_each_kind_of_change(self):
        """What was added, changed and removed is told, sorted; the rest is not."""
        found = differences(models(a=1, b=1, c=1), models(a=1, b=2, d=1))
        assert [(item.name, item.kind) for item in found] == [
            ("model/b", ChangeKind.CHANGED),
            ("model/c", ChangeKind.REMOVED),
            ("model/d", ChangeKind.ADDED),
        ]

    def test_generation_alone_is_no_difference(self):
        """The same items under another generation do not differ."""
        assert differences(models(1, a=1), models(2, a=1)) == ()


class TestItemsByName:
    """Names of items."""

    def test_name_has_the_kind(self):
        """A model is named as operators name it."""
        assert set(items_by_name(models(a=1))) == {"model/a"}
