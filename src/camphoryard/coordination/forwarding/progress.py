"""Progress of a stream of server-sent events at the client."""

from dataclasses import dataclass, field

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import EventId

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
MAX_EVENT_BYTES = 256 << 10
"""Maximum size of an event, which is buffered until it is complete."""


@dataclass(slots=True)
class StreamProgress:
    r"""Events of a stream that the client has received; only whole events are sent.

    ``events`` counts those with an id, after which the stream can be resumed;
    ``messages`` counts all except those that are only comments, which an endpoint may
    send to keep a connection open. ``has_begun`` is True once the client has received
    anything, be it a comment. ``is_resumable`` tells whether another endpoint can
    go on after what the client has received; it must end with an event that has an id.

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
    messages: int = 0
    has_begun: bool = False
    is_resumable: bool = True
    _partial_event: bytes = field(default=b"", repr=False)

    def add(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that it completes.

        Raises
        ------
        BrokenCallError
            If an event grows beyond `MAX_EVENT_BYTES`.
        """
        joined = self._partial_event + data
        end = joined.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._partial_event = joined[end:]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise BrokenCallError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        complete = joined[:end]
        self.has_begun = self.has_begun or bool(complete)
        self._record_events(complete)
        return complete

    def discard_partial_event(self) -> None:
        """Discard the partial event left by an answer that broke off."""
        self._partial_event = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial_event

    def _record_events(self, complete: bytes) -> None:
        for event in complete.split(EVENT_END):
            lines = [line for line in event.split(b"\n") if line]
            if not all(line.startswith(COMMENT) for line in lines):
                self.messages += 1
                self.is_resumable = any(line.startswith(ID_FIELD) for line in lines)
            for line in lines:
                if line.startswith(ID_FIELD):
                    text = line[len(ID_FIELD) :].strip().decode("latin-1")
                    self.last_event = EventId(text)
                    self.events += 1
