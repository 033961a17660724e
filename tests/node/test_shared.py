"""Tests of the shared collaborators of a node."""

from structlog.testing import capture_logs

from camphoryard.node.shared import log_event
from camphoryard.state.ids import NodeId
from camphoryard.state.timeline import Event, Stamp


class TestLogEvent:
    """One line for each event."""

    def test_the_lines_own_fields_are_first(self):
        """All lines begin with the same fields in the same order."""
        with capture_logs() as lines:
            log_event(Event(Stamp(5, 1), NodeId("n1"), "claimed", {"key": "k"}))
        (line,) = lines
        assert list(line)[:4] == ["node", "wall_ms", "count", "key"]

    def test_an_event_field_named_like_an_own_field_is_replaced(self):
        """Otherwise a request fails with 'unexpected error', as in faults SEED=7."""
        with capture_logs() as lines:
            log_event(Event(Stamp(5, 1), NodeId("n1"), "told", {"node": "n2"}))
        assert lines[0]["node"] == "n1"
