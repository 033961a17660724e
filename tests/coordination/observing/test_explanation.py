"""Tests of explaining how a request is routed."""

import pytest

from camphoryard.coordination.observing.explanation import explain
from camphoryard.protocol.configuration import convert_change
from camphoryard.state.enums import EndpointKind, Reason, SelectorKind
from camphoryard.state.errors import RefusalError
from camphoryard.state.tables import EndpointTable

ENGINE = {"kind": "engine", "host": "10.0.0.1", "port": 1, "memory_mb": 9}
CONFIGURATION = convert_change(
    {
        "models": [{"id": "m", "memory_mb": 1, "labels": {"family": "f"}}],
        "adapters": [
            {"id": "a", "base": "m", "memory_mb": 1, "labels": {"lot": "north"}}
        ],
        "services": [{"id": "s", "labels": {"kind": "booking"}}],
        "callers": [{"id": "c", "labels": {"desk": "public"}}],
        "endpoints": [
            {"id": "e1", **ENGINE, "labels": {"pool": "main"}},
            {"id": "e2", **ENGINE, "labels": {"pool": "main", "leaving": "true"}},
            {"id": "e3", **ENGINE},
        ],
        "groups": [
            {
                "id": "batch",
                "order": 1,
                "priority": "deferrable",
                "callers": "desk=batch",
            },
            {"id": "north", "order": 2, "priority": "urgent", "targets": "lot=north"},
            {
                "id": "rest",
                "order": 3,
                "priority": "standard",
                "targets": "family",
                "endpoints": "pool=main",
            },
        ],
    }
).items


def explained(target, caller="c"):
    """Return the explanation with an empty endpoint table."""
    return explain(CONFIGURATION, EndpointTable(), caller, target)


class TestExplainService:
    """Plain services."""

    def test_kind_distinguishes_services_from_engines(self):
        """Endpoints of a service have no resident items."""
        assert explained("s/book").kind is EndpointKind.SERVICE
        assert explained("m").kind is EndpointKind.ENGINE


class TestExplain:
    """Tested groups and endpoints, with their mismatches."""

    def test_groups_before_the_match_have_a_mismatch(self):
        """Each tested group names its first requirement that does not match."""
        explanation = explained("m")
        assert explanation.matched == "rest"
        assert [match.group.id for match in explanation.group_matches] == [
            "batch",
            "north",
            "rest",
        ]
        selectors = [
            match.mismatch and match.mismatch.selector
            for match in explanation.group_matches
        ]
        assert selectors == [SelectorKind.CALLERS, SelectorKind.TARGETS, None]

    def test_adapter_labels_are_matched(self):
        """An adapter's labels are added to its base model's."""
        assert explained("m:a").matched == "north"

    def test_endpoints_have_a_mismatch(self):
        """Leaving endpoints and endpoints that are not selected are distinguished."""
        by_id = {item.id: item for item in explained("m").endpoints}
        assert not by_id["e1"].leaving and by_id["e1"].mismatch is None
        assert by_id["e2"].leaving
        assert by_id["e3"].mismatch.selector is SelectorKind.ENDPOINTS

    def test_no_group(self):
        """A service that no group selects has no match and no endpoints."""
        explanation = explained("s/book", caller="stranger")
        assert explanation.matched is None
        assert not explanation.caller_known
        assert explanation.endpoints == ()

    @pytest.mark.parametrize("target", ["x", "m:x", ""])
    def test_unknown_target(self, target):
        """A target that is not configured is refused."""
        with pytest.raises(RefusalError) as caught:
            explained(target)
        assert caught.value.reason is Reason.NOT_FOUND
