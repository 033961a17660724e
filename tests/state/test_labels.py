"""Tests of labels and selectors."""

import pytest

from camphoryard.state.labels import (
    Equals,
    Missing,
    NoneOf,
    NotEquals,
    OneOf,
    Present,
    Selector,
    selects,
)

LABELS = {"zone": "a", "tier": "gold"}


class TestSelects:
    """Matching selectors against labels."""

    @pytest.mark.parametrize(
        "requirement",
        [
            Equals("zone", "a"),
            NotEquals("zone", "b"),
            NotEquals("other", "b"),
            OneOf("zone", frozenset("ab")),
            NoneOf("zone", frozenset("bc")),
            Present("tier"),
            Missing("other"),
        ],
    )
    def test_requirement_is_met(self, requirement):
        """Each kind of requirement matches labels that meet it."""
        assert selects(Selector((requirement,)), LABELS)

    @pytest.mark.parametrize(
        "requirement",
        [
            Equals("zone", "b"),
            NotEquals("zone", "a"),
            OneOf("zone", frozenset("bc")),
            NoneOf("zone", frozenset("ab")),
            Present("other"),
            Missing("tier"),
        ],
    )
    def test_requirement_is_not_met(self, requirement):
        """Each kind of requirement rejects labels that do not meet it."""
        assert not selects(Selector((requirement,)), LABELS)

    def test_empty_selects_all(self):
        """An empty selector matches everything."""
        assert selects(Selector(), {})
