"""Tests of the encoding of the ages of whole zones."""

import pytest

from camphoryard.coordination.membership.zone_liveness import (
    decode_ages,
    encode_ages,
)
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease


def lease(node, zone="z", incarnation="i"):
    """Return a serving node's lease."""
    return NodeLease(
        node, incarnation, zone, "10.0.0.1", 1, "", NodeState.SERVING, 60.0, ""
    )


LEASES = [lease("a"), lease("b"), lease("c", "y"), lease("seed", "")]


class TestDecodeAges:
    """The ages that a node reads from another's encoding."""

    def test_same_incarnations(self):
        """A node that knows the same incarnations reads all ages."""
        zone_ages = encode_ages(LEASES, {"a": 0.0, "c": 3.0})
        assert decode_ages(zone_ages, LEASES[::-1]).age_s_by_node == {
            "a": 0.0,
            "c": 3.0,
        }

    @pytest.mark.parametrize("age_s", [0.01, 0.1, 0.24, 13.999, 25.4])
    def test_ages_never_shrink(self, age_s):
        """An age is rounded up, by less than a tenth of a second."""
        decoded = decode_ages(encode_ages(LEASES, {"a": age_s}), LEASES)
        assert age_s <= decoded.age_s_by_node["a"] < age_s + 0.1

    def test_age_too_long_for_a_byte_is_unknown(self):
        """Only ages of less than 25.5 seconds are sent."""
        decoded = decode_ages(encode_ages(LEASES, {"a": 25.5}), LEASES)
        assert decoded.age_s_by_node == {}

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
    def test_zone_with_other_incarnations(self, other):
        """Its ages are ignored, those of other zones are decoded."""
        zone_ages = encode_ages(LEASES, {"a": 1.0, "b": 1.0, "c": 1.0})
        decoded = decode_ages(zone_ages, other)
        assert decoded.age_s_by_node == {"c": 1.0}
        assert decoded.differing_zones == ("z",)


class TestEncodeAges:
    """The encoding of each zone."""

    def test_size_is_a_byte_for_each_node(self):
        """A zone takes its name, its hash and one byte for each node."""
        zone_ages = encode_ages([lease(f"n{index}") for index in range(200)], {})
        assert len(zone_ages) == 1
        assert len(zone_ages[0].steps) == 200
