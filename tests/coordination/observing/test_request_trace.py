"""Tests of following one request through logs."""

from camphoryard.coordination.observing.request_trace import CONTEXT_S, trace_request
from camphoryard.state.log_lines import LogLine


def line(node, at_s, event, **fields):
    """Return a line of a log."""
    return LogLine(node, at_s, event, fields)


REFUSED = line("n1", 100.0, "request_refused", request="r1", model="m1", held_ms="800")


class TestTraceRequest:
    """A request's own lines and those around them."""

    def test_a_request_that_nobody_read_has_no_trace(self):
        """Its client may have been cut off before."""
        assert trace_request([REFUSED], "r2").nodes == []

    def test_lines_of_its_model_and_of_the_whole_node_stand_around_it(self):
        """The load that it waited for, and a node that stood still."""
        load = line("n1", 99.0, "move_started", load="m1", endpoint="e1")
        still = line("n1", 98.0, "stood_still", for_ms="7000")
        other = line("n1", 99.5, "move_started", load="m2", endpoint="e2")
        theirs = line("n1", 99.6, "request_answered", request="r9", model="m1")
        (found,) = trace_request([still, load, other, theirs, REFUSED], "r1").nodes
        assert found.own == [REFUSED]
        assert found.around == [still, load]

    def test_lines_long_before_it_came_are_left_out(self):
        """They do not explain it; the time that it was held counts."""
        before_s = REFUSED.at_s - 0.8 - CONTEXT_S
        early = line("n1", before_s - 0.1, "move_started", load="m1")
        near = line("n1", before_s + 0.1, "move_started", load="m1")
        (found,) = trace_request([early, near, REFUSED], "r1").nodes
        assert found.around == [near]

    def test_who_ordered_engines_is_told_of_other_nodes(self):
        """Their clocks do not compare, so all of it is."""
        taken = line("n2", 7.0, "duty_taken", term="3")
        found = trace_request([REFUSED, taken, line("n2", 8.0, "order")], "r1")
        assert found.duty == [taken]
