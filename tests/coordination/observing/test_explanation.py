"""Tests of explaining where a request goes."""

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
    """Return the explanation over an empty endpoint table."""
    return explain(CONFIGURATION, EndpointTable(), caller, target)


class TestExplainService:
    """Plain services."""

    def test_kind_tells_services_from_engines(self):
        """A service's endpoints have no residents to speak of."""
        assert explained("s/book").kind is EndpointKind.SERVICE
        assert explained("m").kind is EndpointKind.ENGINE


class TestExplain:
    """Groups and endpoints, and why not others."""

    def test_groups_before_the_match_say_what_failed(self):
        """Each group tried names its first requirement that does not hold."""
        found = explained("m")
        assert found.matched == "rest"
        assert [trial.group.id for trial in found.group_matches] == [
            "batch",
            "north",
            "rest",
        ]
        selectors = [
            trial.mismatch and trial.mismatch.selector for trial in found.group_matches
        ]
        assert selectors == [SelectorKind.CALLERS, SelectorKind.TARGETS, None]

    def test_adapter_labels_count(self):
        """An adapter's labels are added to its base model's."""
        assert explained("m:a").matched == "north"

    def test_endpoints_say_why_not(self):
        """Leaving endpoints and those not selected are told apart."""
        by_id = {item.id: item for item in explained("m").endpoints}
        assert not by_id["e1"].leaving and by_id["e1"].mismatch is None
        assert by_id["e2"].leaving
        assert by_id["e3"].mismatch.selector is SelectorKind.ENDPOINTS

    def test_no_group(self):
        """A service that no group selects has no match and no endpoints."""
        found = explained("s/book", caller="stranger")
        assert found.matched is None
        assert not found.caller_known
        assert found.endpoints == ()

    @pytest.mark.parametrize("target", ["x", "m:x", ""])
    def test_unknown_target(self, target):
        """A target that is not configured is refused."""
        with pytest.raises(RefusalError) as caught:
            explained(target)
        assert caught.value.reason is Reason.NOT_FOUND
