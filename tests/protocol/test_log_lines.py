"""Tests of reading the lines of entry nodes."""

import io

import pytest

from camphoryard.protocol.log_lines import parse_log_line
from camphoryard.transport.log_lines import LineLog


class TestReadLogLine:
    """Lines as nodes write them."""

    def test_what_a_node_writes_is_read_whole(self):
        """Also a text with quotes and spaces, as errors have."""
        stream = io.StringIO()
        log = LineLog("n1", stream)
        detail = "StalledCallError(\"TimeoutError('timed out')\")"
        log("request_refused", request="r1", detail=detail)
        log.close()
        log.run()
        line = parse_log_line(stream.getvalue())
        assert (line.node, line.event) == ("n1", "request_refused")
        assert line.fields == {"request": "r1", "detail": detail}

    def test_what_a_collector_puts_before_it_is_passed_over(self):
        """Its own time and the machine, for example."""
        line = parse_log_line("  10.1965 n1 at=7.5 node=n1 event=started zone=a")
        assert (line.at_s, line.event, line.fields) == (7.5, "started", {"zone": "a"})

    @pytest.mark.parametrize(
        "text", ["", "free text", "at=now node=n1 event=x", 'at=1.0 node=n1 x="open']
    )
    def test_other_lines_are_none(self, text):
        """Logs hold other programs' lines as well."""
        assert parse_log_line(text) is None
