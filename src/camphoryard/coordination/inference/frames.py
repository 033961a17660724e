"""Orders the frames of one answer and drops duplicates and foreign frames."""

from collections.abc import Sequence

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame

MAX_BUFFERED_FRAMES = 16


class FrameSequencer:
    """Returns the frames of ``request`` in order, each offset once.

    The first one has ``offset``. A frame that arrives early is buffered until
    those before it have arrived.

    Examples
    --------
    >>> sequencer = FrameSequencer(RequestId("a"), 0)
    >>> sequencer.add(TokenFrame(RequestId("a"), 1, "b"))
    ()
    >>> [frame.text for frame in sequencer.add(TokenFrame(RequestId("a"), 0, "a"))]
    ['a', 'b']
    """

    def __init__(self, request: RequestId, offset: int) -> None:
        self.is_complete = False
        self._request = request
        self._next_offset = offset
        self._buffered_by_offset: dict[int, TokenFrame] = {}

    def add(self, frame: TokenFrame) -> Sequence[TokenFrame]:
        """Add a frame and return the frames that can be delivered now.

        Raises
        ------
        BrokenCallError
            If too many frames are buffered behind a missing one.
        """
        if self.is_complete or frame.request_id != self._request:
            return ()
        if frame.offset < self._next_offset:
            return ()
        if frame.offset > self._next_offset:
            self._buffer(frame)
            return ()
        return self._in_sequence_from(frame)

    def end(self) -> None:
        """Raise BrokenCallError if the stream ended before the whole answer."""
        if not self.is_complete:
            raise BrokenCallError(f"token {self._next_offset} is missing")

    def _buffer(self, frame: TokenFrame) -> None:
        self._buffered_by_offset[frame.offset] = frame
        if len(self._buffered_by_offset) > MAX_BUFFERED_FRAMES:
            self.end()

    def _in_sequence_from(self, frame: TokenFrame) -> Sequence[TokenFrame]:
        """Return ``frame`` and the buffered ones that follow it without a gap."""
        ready = [frame]
        self._next_offset += 1
        while not frame.finished and self._next_offset in self._buffered_by_offset:
            frame = self._buffered_by_offset.pop(self._next_offset)
            ready.append(frame)
            self._next_offset += 1
        self.is_complete = frame.finished
        return ready
