"""Log lines on a stream; limited in rate and written without blocking callers."""

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

import structlog

MAX_QUEUED_LINES = 2000
"""Lines queued while the reader of the stream is slow; more are dropped."""
MAX_LINES_PER_EVENT_AND_S = 40
"""Lines of one event per second; more are only counted."""


@dataclass(slots=True)
class _RateWindow:
    """Number of lines of one event in the second that began at ``start_s``."""

    start_s: float = 0.0
    lines: int = 0


class LineLog:
    """Writes one line of key=value pairs per event, in a separate task.

    Parameters
    ----------
    node : str
        Node name in every line.
    stream : TextIO
        Stream that the lines are written to.
    """

    def __init__(
        self,
        node: str,
        stream: TextIO,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: int = MAX_LINES_PER_EVENT_AND_S,
    ) -> None:
        self._node = node
        self._stream = stream
        self._clock = clock
        self._max_lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._window_by_event: dict[str, _RateWindow] = {}
        self._all_written = threading.Event()
        self._dropped_by_event: Counter[str] = Counter()
        self._queue: queue.Queue[dict[str, object] | None] = queue.Queue(
            MAX_QUEUED_LINES
        )
        self._render = structlog.processors.LogfmtRenderer(
            key_order=["at", "node", "event"], bool_as_flag=False
        )

    def __call__(self, event: str, **fields: object) -> None:
        """Queue one line unless the event has reached its limit in this second."""
        now_s = self._clock()
        with self._lock:
            dropped = self._count_line(event, now_s)
            if dropped is None:
                return
        if dropped:
            self._put({"event": "lines_left_out", "of": event, "lines": dropped})
        self._put({"event": event, **fields})

    def run(self) -> None:
        """Write queued lines until closed."""
        self._write()
        self._all_written.set()

    def wait_written(self, limit_s: float) -> None:
        """Block until the last line is written, for ``limit_s`` seconds at most."""
        self._all_written.wait(limit_s)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._stream.write(self._format(line) + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The reader is gone, and there is no other place to report it.
                continue

    def close(self) -> None:
        """End the writing task once it has written all queued lines."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # The reader is blocked; the process ends without writing its last lines.
            return

    def _count_line(self, event: str, now_s: float) -> int | None:
        """Return the number of lines dropped before this one; None to drop this one."""
        window = self._window_by_event.setdefault(event, _RateWindow(now_s))
        if now_s - window.start_s >= 1.0:
            window.start_s, window.lines = now_s, 0
        if window.lines >= self._max_lines_per_s:
            self._dropped_by_event[event] += 1
            return None
        window.lines += 1
        return self._dropped_by_event.pop(event, 0)

    def _put(self, line: dict[str, object]) -> None:
        line["at"] = f"{self._clock():.3f}"
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            with self._lock:
                self._dropped_by_event[str(line["event"])] += 1

    def _format(self, line: dict[str, object]) -> str:
        line["node"] = self._node
        text = self._render(None, "", line)
        return text if isinstance(text, str) else text.decode()
