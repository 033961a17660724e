"""Progress of a stream of server-sent events at the client."""

from dataclasses import dataclass, field

from camphoryard.state.ids import EventId

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(slots=True)
class StreamProgress:
    r"""Events of a stream that the client has received; only whole events are sent.

    Examples
    --------
    >>> progress = StreamProgress()
    >>> progress.add(b"id: 1\ndata: a\n\nid: 2\nda").decode().count("id")
    1
    >>> progress.last_event
    '1'
    """

    last_event: EventId | None = None
    events: int = 0
    _partial_event: bytes = field(default=b"", repr=False)

    def add(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that it completes."""
        joined = self._partial_event + data
        end = joined.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._partial_event = joined
            return b""
        self._partial_event = joined[end:]
        complete = joined[:end]
        self._record_ids(complete)
        return complete

    def discard_partial_event(self) -> None:
        """Discard the partial event left by an answer that broke off."""
        self._partial_event = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial_event

    def _record_ids(self, complete: bytes) -> None:
        for event in complete.split(EVENT_END):
            for line in event.split(b"\n"):
                if line.startswith(ID_FIELD):
                    text = line[len(ID_FIELD) :].strip().decode("latin-1")
                    self.last_event = EventId(text)
                    self.events += 1
