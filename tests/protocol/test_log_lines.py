"""Tests of parsing the log lines of entry nodes."""

import io

import pytest

from camphoryard.protocol.log_lines import parse_log_line
from camphoryard.transport.log_lines import LineLog


class TestParseLogLine:
    """Lines from nodes, collectors and other programs."""

    def test_parses_what_line_log_writes(self):
        """A field with quotes and spaces is parsed back unchanged."""
        stream = io.StringIO()
        log = LineLog("n1", stream)
        detail = "StalledCallError(\"TimeoutError('timed out')\")"
        log("request_refused", request="r1", detail=detail)
        log.close()
        log.run()
        line = parse_log_line(stream.getvalue())
        assert (line.node, line.event) == ("n1", "request_refused")
        assert line.fields == {"request": "r1", "detail": detail}

    def test_skips_prefix_of_log_collector(self):
        """The prefix has the collector's timestamp and host, for example."""
        line = parse_log_line("  10.1965 n1 at=7.5 node=n1 event=started zone=a")
        assert (line.at_s, line.event, line.fields) == (7.5, "started", {"zone": "a"})

    @pytest.mark.parametrize(
        "text", ["", "free text", "at=now node=n1 event=x", 'at=1.0 node=n1 x="open']
    )
    def test_other_lines_give_none(self, text):
        """Lines of other programs and malformed lines give None."""
        assert parse_log_line(text) is None
