"""The time line: recent events of this node, stored in memory and logged."""

import threading
from collections import deque
from collections.abc import Callable

from camphoryard.state.ids import NodeId
from camphoryard.state.timeline import Event, HybridClock

MAX_EVENTS = 20_000


class Timeline:
    """Stamps events, stores the latest and passes each to ``log``."""

    def __init__(
        self, node: NodeId, clock: HybridClock, log: Callable[[Event], None]
    ) -> None:
        self._node = node
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def record(self, name: str, **fields: object) -> None:
        """Record one event with its fields, converted to text."""
        texts = {key: _text(value) for key, value in fields.items()}
        event = Event(self._clock.now(), self._node, name, texts)
        with self._lock:
            self._events.append(event)
        self._log(event)

    def events(self) -> tuple[Event, ...]:
        """Return the stored events, oldest first."""
        with self._lock:
            return tuple(self._events)


def _text(value: object) -> str:
    match value:
        case tuple():
            return ",".join(str(item) for item in value)
        case _:
            return str(value)
