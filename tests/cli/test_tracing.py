"""Tests of the command that traces a request through logs."""

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
    """Tracing one request."""

    def test_lines_of_the_request_are_marked(self, log):
        """Lines are in the order of the node's clock."""
        result = run("r1", log)
        assert result.exit_code == 0
        assert result.stdout.splitlines() == [
            "n1:",
            "  98.000 stood_still for_ms=7000",
            "> 100.000 request_refused request=r1 detail=held in about 3.0 s",
        ]

    def test_json(self, log):
        """JSON output has the lines that name the request."""
        (node,) = json.loads(run("r1", log, "--output", "json").stdout)["nodes"]
        assert [item["event"] for item in node["own"]] == ["request_refused"]

    def test_unknown_request_fails(self, log):
        """The error says that no node has read the request."""
        result = run("r2", log)
        assert result.exit_code == EXIT_REFUSED
        assert "no node has read it" in result.stderr

    def test_unreadable_log_is_named(self, tmp_path):
        """A missing log fails the command instead of giving a partial trace."""
        result = run("r1", str(tmp_path / "none.log"))
        assert result.exit_code == EXIT_USAGE
        assert "none.log" in result.stderr
