"""Tests of changes to a configuration."""

from camphoryard.coordination.configuration.changes import (
    Change,
    apply_change,
    differences,
    items_by_name,
    merge_configurations,
)
from camphoryard.state.configuration import Configuration, Model
from camphoryard.state.enums import ChangeKind


def models(generation=0, **memory_mb_by_id):
    """Return a configuration of models with these sizes."""
    by_id = {key: Model(key, memory_mb) for key, memory_mb in memory_mb_by_id.items()}
    return Configuration(generation, models_by_id=by_id)


class TestApplyChange:
    """Applying a change."""

    def test_adds_and_replaces_items(self):
        """Items of the change win, others stay, and the generation is the next one."""
        changed = apply_change(models(4, a=1, b=1), Change(models(b=2, c=3)))
        assert changed == models(5, a=1, b=2, c=3)

    def test_removes_by_kind_and_name(self):
        """Only the named item of the named kind is removed."""
        change = Change(models(), removed=frozenset({"model/a", "adapter/b"}))
        assert apply_change(models(1, a=1, b=1), change) == models(2, b=1)

    def test_does_not_modify_the_current_configuration(self):
        """The configuration in force is never changed in place."""
        current = models(1, a=1)
        apply_change(current, Change(models(a=2), removed=frozenset({"model/a"})))
        assert current == models(1, a=1)


class TestMergeConfigurations:
    """Merging a part into a configuration."""

    def test_generation_is_that_of_the_whole(self):
        """A part's own generation is ignored."""
        assert merge_configurations(models(7, a=1), models(3, b=1)) == models(
            7, a=1, b=1
        )


class TestDifferences:
    """Comparing two configurations."""

    def test_names_each_kind_of_change(self):
        """Added, changed and removed items are returned in order, others are not."""
        changes = differences(models(a=1, b=1, c=1), models(a=1, b=2, d=1))
        assert [(item.name, item.kind) for item in changes] == [
            ("model/b", ChangeKind.CHANGED),
            ("model/c", ChangeKind.REMOVED),
            ("model/d", ChangeKind.ADDED),
        ]

    def test_generation_alone_is_no_difference(self):
        """The same items under another generation do not differ."""
        assert differences(models(1, a=1), models(2, a=1)) == ()


class TestItemsByName:
    """Names of items."""

    def test_name_contains_the_kind(self):
        """A model has the name that operators use, ``kind/id``."""
        assert set(items_by_name(models(a=1))) == {"model/a"}
