"""Tests of log lines: limited in rate, and written without blocking callers."""

import contextlib
import io
import os
import threading
import time

from camphoryard.transport.log_lines import MAX_QUEUED_LINES, LineLog
from tests.fakes.engines import Clock

TIMEOUT_S = 10.0


def close_and_read(log, stream):
    """Close a log and return its lines."""
    writer = threading.Thread(target=log.run)
    writer.start()
    log.close()
    writer.join(TIMEOUT_S)
    return stream.getvalue().splitlines()


class TestLineLog:
    """One line of key=value pairs per event."""

    def test_line_has_node_event_and_fields(self):
        """Each event is one line with the node, the event and its fields."""
        stream = io.StringIO()
        log = LineLog("n1", stream, Clock())
        log("request_refused", request="q1", detail="no room")
        assert close_and_read(log, stream) == [
            'at=1000.000 node=n1 event=request_refused request=q1 detail="no room"'
        ]

    def test_lines_above_the_rate_are_counted(self):
        """The number of dropped lines is logged before the next line of the event."""
        stream, clock = io.StringIO(), Clock()
        log = LineLog("n1", stream, clock, lines_per_s=2)
        for _ in range(5):
            log("busy")
        clock.advance(1.0)
        log("busy")
        lines = close_and_read(log, stream)
        assert len(lines) == 4
        assert "event=lines_left_out of=busy lines=3" in lines[2]

    def test_rate_is_limited_per_event(self):
        """Many lines of one event drop no line of another."""
        stream = io.StringIO()
        log = LineLog("n1", stream, Clock(), lines_per_s=1)
        for _ in range(5):
            log("busy")
        log("store_lost")
        assert "event=store_lost" in close_and_read(log, stream)[-1]

    def test_a_pipe_that_nobody_reads_blocks_nobody(self):
        """Lines beyond the queue limit are dropped; the caller is never blocked."""
        read_end, write_end = os.pipe()
        clock = Clock()
        stream = os.fdopen(write_end, "w")
        log = LineLog("n1", stream, clock, lines_per_s=100)
        writing = threading.Thread(target=log.run, daemon=True)
        writing.start()
        began_s = time.monotonic()
        for _ in range(2 * MAX_QUEUED_LINES):
            clock.advance(0.02)
            log("filled", text="x" * 200)
        assert time.monotonic() - began_s < TIMEOUT_S
        os.close(read_end)
        while writing.is_alive() and time.monotonic() - began_s < 2 * TIMEOUT_S:
            log.close()
            writing.join(0.01)
        assert not writing.is_alive()
        # Closing flushes the lines that nobody has read.
        with contextlib.suppress(BrokenPipeError):
            stream.close()
