"""Tests of merging counts of refusals."""

from camphoryard.state.enums import Reason
from camphoryard.state.refusals import (
    RefusalCount,
    RefusalCounts,
    RefusalKey,
    label_text,
    merge_counts,
    total_by_key,
)

KEY = RefusalKey(Reason.OVERLOADED, "desk=public", 7)
OTHER = RefusalKey(Reason.DEADLINE, "desk=public", 7)


class TestMerged:
    """Copies of one incarnation's counts."""

    def test_larger_count_wins_in_any_order(self):
        """Merging is commutative and idempotent."""
        old, new = (RefusalCount(KEY, 2),), (RefusalCount(KEY, 5),)
        assert (
            merge_counts(old, new)
            == merge_counts(new, old)
            == merge_counts(new, new)
            == new
        )


class TestTotalByKey:
    """Sums over incarnations."""

    def test_incarnations_add_and_copies_do_not(self):
        """A sheet seen twice counts once; two incarnations add up."""
        sheets = [
            RefusalCounts("i1", (RefusalCount(KEY, 2),)),
            RefusalCounts("i1", (RefusalCount(KEY, 3), RefusalCount(OTHER, 1))),
            RefusalCounts("i2", (RefusalCount(KEY, 4),)),
        ]
        assert total_by_key(sheets) == {KEY: 7, OTHER: 1}


class TestLabelText:
    """Labels as one text."""

    def test_order_does_not_matter(self):
        """The same labels give the same text."""
        assert label_text({"b": "2", "a": "1"}) == label_text({"a": "1", "b": "2"})
