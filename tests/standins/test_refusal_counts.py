"""Tests of comparing refusals seen with refusals counted."""

import pytest

from standins.history import ViolationKind
from standins.refusal_counts import check_refusals, refusal_reason


class TestRefusedFor:
    """Reading the reason of a refusal."""

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (b'{"error":{"code":"deadline","verdict":"not run"}}', "deadline"),
            (
                b'data: {"choices": []}\n\nevent: error\n'
                b'data: {"error":{"code":"endpoint_failed"}}\n\n',
                "endpoint_failed",
            ),
            (b'data: {"choices": []}\n\ndata: [DONE]\n\n', ""),
            (b"", ""),
        ],
    )
    def test_reason_is_read_from_bodies_and_streams(self, body, reason):
        """A stream that broke off is a refusal as well."""
        assert refusal_reason(body) == reason


class TestCheckRefusals:
    """Each refusal seen is counted, and nothing else is."""

    @pytest.mark.parametrize(
        ("received", "counted", "unanswered", "kinds"),
        [
            ({"deadline": 2}, {"deadline": 2}, 0, []),
            ({"deadline": 2}, {"deadline": 4}, 2, []),
            ({"deadline": 2}, {"deadline": 1}, 9, [ViolationKind.NOT_COUNTED]),
            (
                {"deadline": 2, "draining": 1},
                {"draining": 3},
                9,
                [ViolationKind.NOT_COUNTED],
            ),
            ({"deadline": 2}, {"deadline": 3}, 0, [ViolationKind.OVERCOUNTED]),
            ({}, {"draining": 1}, 0, [ViolationKind.OVERCOUNTED]),
        ],
    )
    def test_counts_lie_between_seen_and_possible(
        self, received, counted, unanswered, kinds
    ):
        """A surplus of one reason does not make up for a lack of another."""
        found = check_refusals(received, counted, unanswered)
        assert [item.kind for item in found] == kinds

    def test_what_only_a_killed_node_held_may_be_missing(self):
        """No more than that, and only of its own reason."""
        received, lost = {"deadline": 5, "draining": 2}, {"deadline": 2}
        assert check_refusals(received, {"deadline": 3, "draining": 2}, 0, lost) == ()
        for counted in ({"deadline": 2, "draining": 2}, {"deadline": 5, "draining": 1}):
            (found,) = check_refusals(received, counted, 0, lost)
            assert found.kind is ViolationKind.NOT_COUNTED
