"""Tests of the commands that show events and explain routing."""

import json

import pytest

from camphoryard.cli.connection import EXPLAIN_PATH, TIMELINE_PATH

TIMELINE = {
    "events": [
        {
            "wall_ms": 1000,
            "count": 0,
            "node": "n0",
            "name": "refused",
            "fields": {"request": "r", "caller": "c", "detail": "the deadline passed"},
        },
        {"wall_ms": 1000, "count": 1, "node": "n1", "name": "loaded", "fields": {}},
    ],
    "silent": ["n2"],
}
EXPLANATION = {
    "caller": "c",
    "caller_known": True,
    "target": "m",
    "matched": "g2",
    "groups": [
        {
            "group": "g1",
            "order": 1,
            "priority": "urgent",
            "mismatch": "callers: 'desk=x' fails on labels [desk=y]",
        },
        {"group": "g2", "order": 2, "priority": "standard", "mismatch": ""},
    ],
    "endpoints": [
        {"endpoint": "e1", "mismatch": "", "owner": "n0", "resident": True},
        {"endpoint": "e2", "mismatch": "leaving", "owner": "", "resident": False},
    ],
}


class TestTimeline:
    """Events of all nodes."""

    def test_text(self, daemon, snapshot):
        """Events are key=value lines; unresponsive nodes go to standard error."""
        daemon.answer(TIMELINE_PATH, TIMELINE)
        result = daemon.run("timeline")
        assert (result.exit_code, result.stdout, result.stderr) == snapshot

    def test_filters_are_sent(self, daemon):
        """The daemons apply the filters, not the tool."""
        daemon.answer(TIMELINE_PATH, TIMELINE)
        daemon.run("timeline", "--request", "r", "--model", "m", "--filter", "a=b=c")
        assert daemon.calls[0].query == {"request": "r", "model": "m", "a": "b=c"}

    def test_bad_filter(self, daemon):
        """A filter without ``=`` exits with 2."""
        assert daemon.run("timeline", "--filter", "loaded").exit_code == 2


class TestExplain:
    """Which group and endpoints match a request."""

    def test_text(self, daemon, snapshot):
        """Groups are shown in order, up to the one that matches."""
        daemon.answer(EXPLAIN_PATH, EXPLANATION)
        result = daemon.run("explain", "--caller", "c", "--target", "m")
        assert (result.exit_code, result.stdout) == snapshot


class TestExplainWithoutOwnerOrMatch:
    """Explanations for services, and for requests that would be refused."""

    def test_service_has_no_owner(self, daemon):
        """A service endpoint is shown without residency and owner."""
        endpoints = [{**EXPLANATION["endpoints"][0], "owner": "", "resident": False}]
        daemon.answer(
            EXPLAIN_PATH, {**EXPLANATION, "kind": "service", "endpoints": endpoints}
        )
        result = daemon.run("explain", "--caller", "c", "--target", "s/book")
        assert result.stdout.splitlines()[-1] == "  at e1"

    def test_no_group_and_no_endpoint(self, daemon, snapshot):
        """Both explanations say what to change."""
        for change in (
            {"matched": "", "groups": EXPLANATION["groups"][:1], "endpoints": []},
            {"endpoints": EXPLANATION["endpoints"][1:]},
        ):
            daemon.answer(EXPLAIN_PATH, {**EXPLANATION, **change})
            result = daemon.run("explain", "--caller", "c", "--target", "m")
            assert result.stdout == snapshot


class TestEveryCommand:
    """Behaviour common to all commands."""

    @pytest.mark.parametrize(
        ("command", "path", "body"),
        [
            (["timeline"], TIMELINE_PATH, TIMELINE),
            (["explain", "--caller", "c", "--target", "m"], EXPLAIN_PATH, EXPLANATION),
        ],
    )
    def test_json_unauthenticated_and_unreachable(
        self, daemon, command, path, body, unreachable
    ):
        """JSON output parses; a refusal exits with 1, no answer with 3."""
        daemon.answer(path, body)
        assert json.loads(daemon.run(*command, "--output", "json").stdout)
        daemon.refuse(path, "unauthenticated", status=401)
        assert daemon.run(*command).exit_code == 1
        daemon.answers_by_path[path] = unreachable
        assert daemon.run(*command).exit_code == 3
