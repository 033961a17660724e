"""Tests of the commands that show what the system does."""

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
        """Events are lines of pairs; nodes without answer go to standard error."""
        daemon.answer(TIMELINE_PATH, TIMELINE)
        result = daemon.run("timeline")
        assert (result.exit_code, result.stdout, result.stderr) == snapshot

    def test_filters_are_sent(self, daemon):
        """The daemons do the choosing."""
        daemon.answer(TIMELINE_PATH, TIMELINE)
        daemon.run("timeline", "--request", "r", "--model", "m", "--filter", "a=b=c")
        assert daemon.calls[0].query == {"request": "r", "model": "m", "a": "b=c"}

    def test_bad_filter(self, daemon):
        """A filter without a sign ends with 2."""
        assert daemon.run("timeline", "--filter", "loaded").exit_code == 2


class TestExplain:
    """Why a request goes where it goes."""

    def test_text(self, daemon, snapshot):
        """Groups are shown in order, up to the one that takes it."""
        daemon.answer(EXPLAIN_PATH, EXPLANATION)
        result = daemon.run("explain", "--caller", "c", "--target", "m")
        assert (result.exit_code, result.stdout) == snapshot


class TestEveryCommand:
    """What all commands share."""

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
        """JSON can be read back; a refusal ends with 1, no answer with 3."""
        daemon.answer(path, body)
        assert json.loads(daemon.run(*command, "--output", "json").stdout)
        daemon.refuse(path, "unauthenticated", status=401)
        assert daemon.run(*command).exit_code == 1
        daemon.answers_by_path[path] = unreachable
        assert daemon.run(*command).exit_code == 3
