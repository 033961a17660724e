"""Tests of the command that shows the health of the system."""

import json
import time

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
    """Return a fake daemon that reports a risk and refusals."""
    daemon.answer(STATUS_PATH, STATUS)
    daemon.answer(REFUSALS_PATH, COUNTS)
    daemon.answer(TIMELINE_PATH, {"events": [], "silent": []})
    return daemon


class TestStatus:
    """Risks, nodes, endpoints and refusals."""

    def test_text(self, answers, snapshot):
        """Risks are first, then nodes, endpoints and refusals of all nodes."""
        result = answers.run("status")
        assert (result.exit_code, result.stdout) == snapshot

    def test_text_of_a_caller(self, answers, snapshot):
        """With a caller, only risks and that caller's refusals are shown."""
        result = answers.run("status", "--caller", "c")
        assert (result.exit_code, result.stdout) == snapshot

    def test_refusals_at_any_node_are_a_risk(self, answers):
        """Recent refusals at another node than the queried one are a risk."""
        minute = int(time.time() // 60)
        answers.answer(STATUS_PATH, {**STATUS, "risks": []})
        answers.answer(REFUSALS_PATH, [{**COUNTS[0], "minute": minute}])
        result = answers.run("status", "--check")
        assert result.exit_code == 5
        assert result.stdout.startswith("AT RISK refusals deadline: 2 refused at all")

    def test_json(self, answers):
        """JSON has the status and the refusals."""
        report = json.loads(answers.run("status", "--output", "json").stdout)
        assert report["status"]["risks"] == [RISK]
        assert report["refusals"]["counts"] == COUNTS

    def test_check(self, answers):
        """With --check the exit code says whether a promise is at risk."""
        assert answers.run("status", "--check").exit_code == 5
        answers.answer(STATUS_PATH, {**STATUS, "risks": []})
        result = answers.run("status", "--check")
        assert result.exit_code == 0
        assert result.stdout.startswith("no promise is at risk")

    def test_refused_and_unreachable(self, answers, unreachable):
        """A refusal exits with 1, no answer with 3."""
        answers.refuse(STATUS_PATH, "unauthenticated", status=401)
        assert answers.run("status").exit_code == 1
        answers.answers_by_path[STATUS_PATH] = unreachable
        assert answers.run("status").exit_code == 3
