"""Tests of the command that follows a request through logs."""

import json

import pytest
from typer.testing import CliRunner

from camphoryard.cli import app
from camphoryard.cli.options import EXIT_REFUSED, EXIT_USAGE

LOG = """\
at=98.0 node=n1 event=stood_still for_ms=7000
at=100.0 node=n1 event=request_refused request=r1 detail="held in about 3.0 s"
"""


@pytest.fixture
def log(tmp_path):
    """Return the path of a node's log."""
    path = tmp_path / "n1.log"
    path.write_text(LOG)
    return str(path)


def run(*arguments):
    """Return the result of the command."""
    return CliRunner().invoke(app, ["trace", *arguments])


class TestTrace:
    """What an engineer on call sees."""

    def test_the_request_is_marked_among_what_went_on(self, log):
        """In the order of the node's clock."""
        done = run("r1", log)
        assert done.exit_code == 0
        assert done.stdout.splitlines() == [
            "n1:",
            "  98.000 stood_still for_ms=7000",
            "> 100.000 request_refused request=r1 detail=held in about 3.0 s",
        ]

    def test_json_has_the_same(self, log):
        """For other tools."""
        (node,) = json.loads(run("r1", log, "--output", "json").stdout)["nodes"]
        assert [item["event"] for item in node["own"]] == ["request_refused"]

    def test_a_request_that_no_log_names_is_said_so(self, log):
        """With what to look at next."""
        done = run("r2", log)
        assert done.exit_code == EXIT_REFUSED
        assert "no node has read it" in done.stderr

    def test_a_log_that_cannot_be_read_is_named(self, tmp_path):
        """Nothing is traced from the others alone."""
        done = run("r1", str(tmp_path / "none.log"))
        assert done.exit_code == EXIT_USAGE
        assert "none.log" in done.stderr
