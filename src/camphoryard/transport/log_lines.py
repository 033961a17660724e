"""Log lines on standard output: bounded in volume, and never waited for."""

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

import structlog

MAX_WAITING_LINES = 2000
"""Lines kept while the reader of standard output does not read."""
LINES_PER_EVENT_AND_S = 40
"""Lines of one kind of event in a second; the rest are counted."""


@dataclass(slots=True)
class _Rate:
    """How many lines of one kind came in the second that began at ``since_s``."""

    since_s: float = 0.0
    lines: int = 0


class LineLog:
    """Writes one line of key=value pairs for each event, in a task of its own.

    Parameters
    ----------
    node : str
        Name that every line bears.
    stream : TextIO
        Where lines go.
    """

    def __init__(
        self,
        node: str,
        stream: TextIO,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: int = LINES_PER_EVENT_AND_S,
    ) -> None:
        self._node = node
        self._stream = stream
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._rate_by_event: dict[str, _Rate] = {}
        self._written = threading.Event()
        self._left_out: Counter[str] = Counter()
        self._waiting: queue.Queue[dict[str, object] | None] = queue.Queue(
            MAX_WAITING_LINES
        )
        self._render = structlog.processors.LogfmtRenderer(
            key_order=["at", "node", "event"], bool_as_flag=False
        )

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line unless too many of its kind came in this second."""
        now_s = self._clock()
        with self._lock:
            left_out = self._admit(event, now_s)
            if left_out is None:
                return
        if left_out:
            self._put({"event": "lines_left_out", "of": event, "lines": left_out})
        self._put({"event": event, **fields})

    def run(self) -> None:
        """Write lines as they come, until closed."""
        self._write()
        self._written.set()

    def wait_written(self, limit_s: float) -> None:
        """Block until the last line is written, or for ``limit_s`` seconds."""
        self._written.wait(limit_s)

    def _write(self) -> None:
        while (line := self._waiting.get()) is not None:
            try:
                self._stream.write(self._text(line) + "\n")
                if self._waiting.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more, and there is nowhere else to say so.
                continue

    def close(self) -> None:
        """End the writing task once it has written what waits."""
        try:
            self._waiting.put_nowait(None)
        except queue.Full:
            # The reader is stuck; the process ends without its last lines.
            return

    def _admit(self, event: str, now_s: float) -> int | None:
        """Return the lines left out before this one, or None to leave it out."""
        rate = self._rate_by_event.setdefault(event, _Rate(now_s))
        if now_s - rate.since_s >= 1.0:
            rate.since_s, rate.lines = now_s, 0
        if rate.lines >= self._lines_per_s:
            self._left_out[event] += 1
            return None
        rate.lines += 1
        return self._left_out.pop(event, 0)

    def _put(self, line: dict[str, object]) -> None:
        line["at"] = f"{self._clock():.3f}"
        try:
            self._waiting.put_nowait(line)
        except queue.Full:
            with self._lock:
                self._left_out[str(line["event"])] += 1

    def _text(self, line: dict[str, object]) -> str:
        line["node"] = self._node
        text = self._render(None, "", line)
        return text if isinstance(text, str) else text.decode()
