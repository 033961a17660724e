"""Tests of the commands that show what happens."""

import json

import pytest

from camphoryard.cli.observing import EXPLAIN_PATH, STATUS_PATH, TIMELINE_PATH

RISK = {
    "kind": "node_behind",
    "subject": "n1",
    "detail": "it has generation 6 in force, not 7",
    "advice": "see its log",
}
STATUS = {
    "node": "n0",
    "state": "serving",
    "generation": 7,
    "in_flight": 1,
    "nodes": [
        {"node": "n0", "state": "serving", "generation": 7, "heard_age_s": 0.0},
        {"node": "n1", "state": "serving", "generation": 6, "heard_age_s": 1.2},
        {"node": "n2", "state": "serving", "generation": 6, "alive": False},
        {"node": "n3", "state": "serving", "generation": 5, "gone": True},
    ],
    "endpoints": [
        {
            "endpoint": "engine-1",
            "owner": "n0",
            "fence": 3,
            "memory_mb": 100,
            "committed_mb": 60,
            "resident": ["m"],
            "intents": [],
        }
    ],
    "refusals": [{"reason": "deadline", "label": "", "minute": 9, "count": 2}],
    "risks": [RISK],
}
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


class TestStatus:
    """Whether a promise is at risk."""

    def test_text(self, daemon, snapshot):
        """Risks come first, then nodes, endpoints and refusals."""
        daemon.answer(STATUS_PATH, STATUS)
        result = daemon.run("status")
        assert (result.exit_code, result.stdout) == snapshot

    def test_check(self, daemon):
        """Only with --check does a risk change the exit code."""
        daemon.answer(STATUS_PATH, STATUS)
        assert daemon.run("status", "--check").exit_code == 5
        daemon.answer(STATUS_PATH, {**STATUS, "risks": []})
        result = daemon.run("status", "--check")
        assert result.exit_code == 0
        assert result.stdout.startswith("no promise is at risk")


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

    def test_refusals_of_a_caller(self, daemon, snapshot):
        """Refusals are the refused events of that caller."""
        daemon.answer(TIMELINE_PATH, {**TIMELINE, "events": TIMELINE["events"][:1]})
        result = daemon.run("refusals", "--caller", "c")
        assert daemon.calls[0].query == {"event": "refused", "caller": "c"}
        assert result.stdout == snapshot


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
            (["status"], STATUS_PATH, STATUS),
            (["timeline"], TIMELINE_PATH, TIMELINE),
            (["refusals"], TIMELINE_PATH, TIMELINE),
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
