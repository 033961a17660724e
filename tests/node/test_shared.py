"""Tests of the parts that both front ends of a node share."""

from structlog.testing import capture_logs

from camphoryard.node.shared import log_event
from camphoryard.state.ids import NodeId
from camphoryard.state.timeline import Event, Stamp


class TestLogEvent:
    """One line for each event."""

    def test_the_lines_own_names_come_first(self):
        """Their order is the same in all lines."""
        with capture_logs() as lines:
            log_event(Event(Stamp(5, 1), NodeId("n1"), "claimed", {"key": "k"}))
        (line,) = lines
        assert list(line)[:4] == ["node", "wall_ms", "count", "key"]

    def test_a_field_of_the_same_name_does_not_fail(self):
        """Make faults SEED=7: a request ended in 'unexpected error' for a log line."""
        with capture_logs() as lines:
            log_event(Event(Stamp(5, 1), NodeId("n1"), "told", {"node": "n2"}))
        assert lines[0]["node"] == "n1"
