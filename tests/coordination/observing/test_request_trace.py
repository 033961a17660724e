"""Tests of tracing one request through logs."""

from camphoryard.coordination.observing.request_trace import (
    CONTEXT_WINDOW_S,
    trace_request,
)
from camphoryard.state.log_lines import LogLine


def line(node, at_s, event, **fields):
    """Return a line of a log."""
    return LogLine(node, at_s, event, fields)


REFUSED = line("n1", 100.0, "request_refused", request="r1", model="m1", held_ms="800")


class TestTraceRequest:
    """A request's own lines and related lines."""

    def test_request_that_no_node_read_has_no_trace(self):
        """Its client may have been disconnected before a node read it."""
        assert trace_request([REFUSED], "r2").nodes == []

    def test_lines_of_its_model_and_of_the_whole_node_are_related(self):
        """The load that it waited for and a process pause are included."""
        load = line("n1", 99.0, "move_started", load="m1", endpoint="e1")
        pause = line("n1", 98.0, "stood_still", for_ms="7000")
        other = line("n1", 99.5, "move_started", load="m2", endpoint="e2")
        unrelated = line("n1", 99.6, "request_answered", request="r9", model="m1")
        (found,) = trace_request([pause, load, other, unrelated, REFUSED], "r1").nodes
        assert found.own == [REFUSED]
        assert found.around == [pause, load]

    def test_lines_long_before_its_arrival_are_omitted(self):
        """They do not explain it; its waiting time moves the start of the window."""
        before_s = REFUSED.at_s - 0.8 - CONTEXT_WINDOW_S
        early = line("n1", before_s - 0.1, "move_started", load="m1")
        near = line("n1", before_s + 0.1, "move_started", load="m1")
        (found,) = trace_request([early, near, REFUSED], "r1").nodes
        assert found.around == [near]

    def test_leader_changes_of_other_nodes_are_included(self):
        """All are included, as clocks of different nodes cannot be compared."""
        taken = line("n2", 7.0, "duty_taken", term="3")
        found = trace_request([REFUSED, taken, line("n2", 8.0, "order")], "r1")
        assert found.duty == [taken]
