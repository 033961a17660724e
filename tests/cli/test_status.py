"""Tests of the command that tells whether the system is well."""

import json

import pytest

from camphoryard.cli.connection import REFUSALS_PATH, STATUS_PATH, TIMELINE_PATH

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
    "refusals": [],
    "risks": [RISK],
}
COUNTS = [{"reason": "deadline", "label": "", "minute": 9, "count": 2, "caller": "c"}]


@pytest.fixture
def answers(daemon):
    """Return a daemon of a system at risk, with refusals."""
    daemon.answer(STATUS_PATH, STATUS)
    daemon.answer(REFUSALS_PATH, COUNTS)
    daemon.answer(TIMELINE_PATH, {"events": [], "silent": []})
    return daemon


class TestStatus:
    """Whether a promise is at risk."""

    def test_text(self, answers, snapshot):
        """Risks come first, then nodes, endpoints and refusals of all nodes."""
        result = answers.run("status")
        assert (result.exit_code, result.stdout) == snapshot

    def test_text_of_a_caller(self, answers, snapshot):
        """With a caller it tells risks and that caller's refusals only."""
        result = answers.run("status", "--caller", "c")
        assert (result.exit_code, result.stdout) == snapshot

    def test_json(self, answers):
        """JSON has the status and the refusals."""
        report = json.loads(answers.run("status", "--output", "json").stdout)
        assert report["status"]["risks"] == [RISK]
        assert report["refusals"]["counts"] == COUNTS

    def test_check(self, answers):
        """Only with --check does a risk change the exit code."""
        assert answers.run("status", "--check").exit_code == 5
        answers.answer(STATUS_PATH, {**STATUS, "risks": []})
        result = answers.run("status", "--check")
        assert result.exit_code == 0
        assert result.stdout.startswith("no promise is at risk")

    def test_refused_and_unreachable(self, answers, unreachable):
        """A refusal ends with 1, no answer with 3."""
        answers.refuse(STATUS_PATH, "unauthenticated", status=401)
        assert answers.run("status").exit_code == 1
        answers.answers_by_path[STATUS_PATH] = unreachable
        assert answers.run("status").exit_code == 3
