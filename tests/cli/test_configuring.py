"""Tests of the commands that change the configuration."""

import json

import pytest

from camphoryard.cli import changing
from camphoryard.cli.connection import CONFIGURATION_PATH, STATUS_PATH

ACCEPTED = {
    "generation": 7,
    "changes": [
        {"name": "model/a", "kind": "added", "fields": ["memory_mb: - -> 5"]},
        {"name": "model/b", "kind": "removed", "fields": ["memory_mb: 6 -> -"]},
    ],
    "warnings": ["group/g: selects no endpoint"],
}


def status(*generations, alive=True):
    """Return a status of nodes with these generations."""
    return {
        "node": "n0",
        "state": "serving",
        "generation": 7,
        "in_flight": 0,
        "nodes": [
            {
                "node": f"n{index}",
                "state": "serving",
                "generation": generation,
                "alive": alive,
            }
            for index, generation in enumerate(generations)
        ],
        "endpoints": [],
        "refusals": [],
    }


@pytest.fixture
def file(tmp_path):
    """Return a file with a change."""
    path = tmp_path / "change.toml"
    path.write_text('removed = ["model/b"]\n[[models]]\nid = "a"\nmemory_mb = 5\n')
    return str(path)


class TestApply:
    """Applying a file."""

    def test_accepted(self, daemon, file, snapshot):
        """The generation is printed, warnings on standard error."""
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        result = daemon.run("apply", file)
        assert (result.exit_code, result.stdout, result.stderr) == snapshot

    def test_dry_run(self, daemon, file, snapshot):
        """A dry run asks for one and shows items."""
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        result = daemon.run("apply", file, "--dry-run")
        assert daemon.calls[0].query == {"dry_run": "true"}
        assert (result.exit_code, result.stdout) == snapshot

    def test_conflict(self, daemon, file):
        """A refused change ends with 1 and says why."""
        daemon.refuse(CONFIGURATION_PATH, "conflict")
        result = daemon.run("apply", file, "--base", "3")
        assert result.exit_code == 1
        assert json.loads(daemon.calls[0].body)["base"] == 3
        assert "conflict: why [verdict: not run]" in result.stderr

    def test_lost_answer_is_sent_again_with_its_write_id(
        self, daemon, file, unreachable
    ):
        """A change of unknown outcome is asked for again, as the same write."""
        unknown = daemon.refuse(
            CONFIGURATION_PATH, "store_unavailable", "may have run", 503
        )
        accepted = daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        daemon.answers_by_path[CONFIGURATION_PATH] = [unreachable, unknown, accepted]
        assert daemon.run("apply", file).exit_code == 0
        assert len({json.loads(call.body)["write_id"] for call in daemon.calls}) == 1
        assert len(daemon.calls) == 3

    def test_wait_returns_once_in_force(self, daemon, file):
        """Waiting ends when every live node has the generation."""
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        late = daemon.answer(STATUS_PATH, status(7, 6))
        done = daemon.answer(STATUS_PATH, status(7, 7))
        daemon.answers_by_path[STATUS_PATH] = [late, done]
        result = daemon.run("apply", file, "--wait")
        assert result.exit_code == 0
        assert "generation 7 in force on every live node" in result.stdout

    def test_wait_names_the_nodes_behind(self, daemon, file, monkeypatch):
        """Out of time, the nodes behind are named with their generations."""
        monkeypatch.setattr(changing, "IN_FORCE_LIMIT_S", 0.0)
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        daemon.answer(STATUS_PATH, status(7, 6))
        result = daemon.run("apply", file, "--wait")
        assert result.exit_code == 4
        assert "n1 (6)" in result.stderr

    def test_dead_nodes_are_not_waited_for(self, daemon, file):
        """A node whose lease lapsed holds nobody up."""
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        daemon.answer(STATUS_PATH, status(6, alive=False))
        assert daemon.run("apply", file, "--wait").exit_code == 0

    def test_unreadable_file(self, daemon, tmp_path):
        """A file that is missing or no TOML ends with 2."""
        bad = tmp_path / "bad.toml"
        bad.write_text("= 3")
        assert daemon.run("apply", str(bad)).exit_code == 2
        assert daemon.run("apply", str(tmp_path / "none.toml")).exit_code == 2

    def test_nobody_answers(self, daemon, file, unreachable, monkeypatch):
        """No daemon ends with 3."""
        monkeypatch.setattr(changing, "RESOLVE_LIMIT_S", 0.0)
        daemon.answers_by_path[CONFIGURATION_PATH] = unreachable
        assert daemon.run("apply", file).exit_code == 3


class TestDiff:
    """Showing what would change."""

    def test_fields(self, daemon, file, snapshot):
        """Each item is shown with its fields, before and after."""
        daemon.answer(CONFIGURATION_PATH, ACCEPTED)
        result = daemon.run("diff", file)
        assert (result.exit_code, result.stdout) == snapshot


class TestGet:
    """Reading the configuration back."""

    BODY = {"generation": 3, "models": [{"id": "m", "memory_mb": 5}]}

    def test_json_is_whole(self, daemon):
        """The default is all of it as JSON."""
        daemon.answer(CONFIGURATION_PATH, self.BODY)
        assert json.loads(daemon.run("get").stdout) == self.BODY

    def test_text_names_items(self, daemon):
        """As text each item is named, in the form that ``removed`` takes."""
        daemon.answer(CONFIGURATION_PATH, self.BODY)
        assert daemon.run("get", "--output", "text").stdout == "model/m\n"
