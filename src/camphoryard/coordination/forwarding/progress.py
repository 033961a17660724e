"""How far a stream has come at the client."""

from dataclasses import dataclass, field

from camphoryard.state.ids import EventId

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(slots=True)
class StreamProgress:
    r"""What the client has got of a stream; only whole events go to it.

    Examples
    --------
    >>> progress = StreamProgress()
    >>> progress.take(b"id: 1\ndata: a\n\nid: 2\nda").decode().count("id")
    1
    >>> progress.last_event
    '1'
    """

    last_event: EventId | None = None
    events: int = 0
    _rest: bytes = field(default=b"", repr=False)

    def take(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes."""
        joined = self._rest + data
        end = joined.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._rest = joined
            return b""
        self._rest = joined[end:]
        whole = joined[:end]
        self._note(whole)
        return whole

    def restart(self) -> None:
        """Forget the part of an event that a broken answer left."""
        self._rest = b""

    @property
    def is_between_events(self) -> bool:
        """Whether nothing of a next event has come."""
        return not self._rest

    def _note(self, whole: bytes) -> None:
        for event in whole.split(EVENT_END):
            for line in event.split(b"\n"):
                if line.startswith(ID_FIELD):
                    text = line[len(ID_FIELD) :].strip().decode("latin-1")
                    self.last_event = EventId(text)
                    self.events += 1
