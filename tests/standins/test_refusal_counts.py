"""Tests of comparing received refusals with counted refusals."""

import pytest

from standins.history import ViolationKind
from standins.refusal_counts import check_refusals, refusal_reason


class TestRefusalReason:
    """Parsing the reason of a refusal."""

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
        """A stream that ends with an error event is a refusal as well."""
        assert refusal_reason(body) == reason


class TestCheckRefusals:
    """Each received refusal is counted, and no others."""

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
    def test_counts_lie_between_received_and_possible(
        self, received, counted, unanswered, kinds
    ):
        """A surplus for one reason does not compensate for a deficit of another."""
        found = check_refusals(received, counted, unanswered)
        assert [item.kind for item in found] == kinds

    def test_refusals_stored_only_on_a_killed_node_may_be_missing(self):
        """Only up to their number, and only for the same reason."""
        received, lost = {"deadline": 5, "draining": 2}, {"deadline": 2}
        assert check_refusals(received, {"deadline": 3, "draining": 2}, 0, lost) == ()
        for counted in ({"deadline": 2, "draining": 2}, {"deadline": 5, "draining": 1}):
            (found,) = check_refusals(received, counted, 0, lost)
            assert found.kind is ViolationKind.NOT_COUNTED
