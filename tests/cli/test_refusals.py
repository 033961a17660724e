"""Tests of the command that shows refusals."""

import json

import pytest

from camphoryard.cli.connection import REFUSALS_PATH, STATUS_PATH, TIMELINE_PATH

COUNTS = [
    {
        "reason": "deadline",
        "label": "desk=public",
        "minute": 29_000_001,
        "count": 2,
        "caller": "c",
    },
    {"reason": "bad_header", "label": "", "minute": 29_000_000, "count": 1},
]
REFUSED = {
    "wall_ms": 1_740_000_000_123,
    "count": 0,
    "node": "n0",
    "name": "refused",
    "fields": {
        "request": "r",
        "caller": "c",
        "reason": "deadline",
        "verdict": "not run",
        "detail": "no slot fell free in time",
    },
}
STATUS = {
    "node": "n0",
    "state": "serving",
    "generation": 7,
    "in_flight": 1,
    "nodes": [],
    "endpoints": [],
    "refusals": COUNTS[:1],
}


@pytest.fixture
def answers(daemon):
    """Return a fake daemon that has refusals."""
    daemon.answer(REFUSALS_PATH, COUNTS)
    daemon.answer(TIMELINE_PATH, {"events": [REFUSED], "silent": ["n2"]})
    daemon.answer(STATUS_PATH, STATUS)
    return daemon


class TestRefusals:
    """Counts of all nodes, and individual refusals."""

    def test_text(self, answers, snapshot):
        """Counts are shown by minute, reason, caller and label."""
        result = answers.run("refusals", "--hours", "3")
        assert answers.calls[0].query == {"hours": "3"}
        assert (result.exit_code, result.stdout) == snapshot

    def test_text_of_a_caller(self, answers, snapshot):
        """A caller's counts and refused requests are shown with advice."""
        result = answers.run("refusals", "--caller", "c")
        assert answers.calls[1].query == {"event": "refused", "caller": "c"}
        assert (result.exit_code, result.stdout, result.stderr) == snapshot

    def test_request_filter_is_sent(self, answers):
        """The daemons look up the request, not the tool."""
        answers.run("refusals", "--request", "r")
        assert answers.calls[1].query == {"event": "refused", "request": "r"}

    def test_none(self, answers, snapshot):
        """Without refusals the output says so."""
        answers.answer(REFUSALS_PATH, [])
        answers.answer(TIMELINE_PATH, {"events": [], "silent": []})
        assert answers.run("refusals", "--caller", "x").stdout == snapshot

    def test_outage_falls_back_to_one_node(self, answers, snapshot):
        """While the object API is unavailable, one node's counts are shown as such."""
        answers.refuse(REFUSALS_PATH, "store_unavailable", status=503)
        result = answers.run("refusals")
        assert (result.exit_code, result.stdout, result.stderr) == snapshot

    def test_json(self, answers):
        """JSON has counts, requests and whether all nodes are counted."""
        arguments = ("refusals", "--caller", "c", "--output", "json")
        report = json.loads(answers.run(*arguments).stdout)
        assert report["is_whole"]
        assert report["counts"] == COUNTS[:1]
        assert report["requests"][0]["fields"]["reason"] == "deadline"

    def test_refused_and_unreachable(self, answers, unreachable):
        """A refusal exits with 1, no answer with 3."""
        answers.refuse(REFUSALS_PATH, "bad_field", status=400)
        assert answers.run("refusals").exit_code == 1
        answers.answers_by_path[REFUSALS_PATH] = unreachable
        assert answers.run("refusals").exit_code == 3
