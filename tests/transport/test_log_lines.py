"""Tests of log lines: bounded, and never waited for."""

import io
import os
import threading
import time

from camphoryard.transport.log_lines import MAX_WAITING_LINES, LineLog
from tests.fakes.engines import Clock

LIMIT_S = 10.0


def written(log, stream):
    """Return the lines of a log once it is closed."""
    task = threading.Thread(target=log.run)
    task.start()
    log.close()
    task.join(LIMIT_S)
    return stream.getvalue().splitlines()


class TestLineLog:
    """One line of key=value pairs for each event."""

    def test_a_line_has_its_fields(self):
        """Node, event and fields stand in one line."""
        stream = io.StringIO()
        log = LineLog("n1", stream, Clock())
        log("request_refused", request="q1", detail="no room")
        assert written(log, stream) == [
            'at=1000.000 node=n1 event=request_refused request=q1 detail="no room"'
        ]

    def test_lines_above_the_rate_are_counted(self):
        """The next line of the kind says how many were left out."""
        stream, clock = io.StringIO(), Clock()
        log = LineLog("n1", stream, clock, lines_per_s=2)
        for _ in range(5):
            log("busy")
        clock.advance(1.0)
        log("busy")
        lines = written(log, stream)
        assert len(lines) == 4
        assert "event=lines_left_out of=busy lines=3" in lines[2]

    def test_other_kinds_keep_their_rate(self):
        """A flood of one kind hides no other."""
        stream = io.StringIO()
        log = LineLog("n1", stream, Clock(), lines_per_s=1)
        for _ in range(5):
            log("busy")
        log("store_lost")
        assert "event=store_lost" in written(log, stream)[-1]

    def test_a_pipe_that_nobody_reads_blocks_nobody(self):
        """Lines beyond those kept are left out; the caller goes on at once."""
        read_end, write_end = os.pipe()
        clock = Clock()
        with os.fdopen(write_end, "w") as stream:
            log = LineLog("n1", stream, clock, lines_per_s=100)
            threading.Thread(target=log.run, daemon=True).start()
            began_s = time.monotonic()
            for _ in range(2 * MAX_WAITING_LINES):
                clock.advance(0.02)
                log("filled", text="x" * 200)
            assert time.monotonic() - began_s < LIMIT_S
            log.close()
            os.close(read_end)
