"""Tests of words about whole zones."""

import pytest

from camphoryard.coordination.membership.zone_liveness import (
    make_words,
    read_words,
)
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease


def lease(node, zone="z", incarnation="i"):
    """Return a serving node's lease."""
    return NodeLease(
        node, incarnation, zone, "10.0.0.1", 1, "", NodeState.SERVING, 60.0, ""
    )


LEASES = [lease("a"), lease("b"), lease("c", "y"), lease("seed", "")]


class TestReadWords:
    """What a node takes from the words of another."""

    def test_same_starts(self):
        """Nodes that know the same starts understand each other."""
        words = make_words(LEASES, {"a": 0.0, "c": 3.0})
        assert read_words(words, LEASES[::-1]).age_s_by_node == {"a": 0.0, "c": 3.0}

    @pytest.mark.parametrize("age_s", [0.01, 0.1, 0.24, 13.999, 25.4])
    def test_ages_never_shrink(self, age_s):
        """An age is rounded up, by less than a tenth of a second."""
        read = read_words(make_words(LEASES, {"a": age_s}), LEASES)
        assert age_s <= read.age_s_by_node["a"] < age_s + 0.1

    def test_old_words_are_not_passed_on(self):
        """An age beyond what a byte holds counts as unheard."""
        read = read_words(make_words(LEASES, {"a": 25.5}), LEASES)
        assert read.age_s_by_node == {}

    @pytest.mark.parametrize(
        "other",
        [
            [lease("a"), lease("b", incarnation="later"), lease("c", "y")],
            [lease("a"), lease("c", "y")],
            [lease("a"), lease("b"), lease("b2"), lease("c", "y")],
            [lease("a"), lease("b2"), lease("c", "y")],
        ],
        ids=["restarted", "gone", "added", "replaced"],
    )
    def test_zone_known_otherwise(self, other):
        """Words of other starts count for nothing; other zones still do."""
        words = make_words(LEASES, {"a": 1.0, "b": 1.0, "c": 1.0})
        read = read_words(words, other)
        assert read.age_s_by_node == {"c": 1.0}
        assert read.differing == ("z",)


class TestMakeWords:
    """What a node says of each zone."""

    def test_size_is_a_byte_for_each_node(self):
        """A zone costs its name and hash, and one byte a node."""
        words = make_words([lease(f"n{index}") for index in range(200)], {})
        assert len(words) == 1
        assert len(words[0].steps) == 200
