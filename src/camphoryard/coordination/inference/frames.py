"""Frames of one answer, put in order and freed of what does not belong."""

from collections.abc import Sequence

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame

MAX_EARLY_FRAMES = 16


class FrameOrder:
    """Lets frames of ``request`` through, each offset once, from ``offset`` on.

    A frame that comes early is kept until those before it have come.

    Examples
    --------
    >>> order = FrameOrder(RequestId("a"), 0)
    >>> order.due(TokenFrame(RequestId("a"), 1, "b"))
    ()
    >>> [frame.text for frame in order.due(TokenFrame(RequestId("a"), 0, "a"))]
    ['a', 'b']
    """

    def __init__(self, request: RequestId, offset: int) -> None:
        self.is_whole = False
        self._request = request
        self._offset = offset
        self._early_by_offset: dict[int, TokenFrame] = {}

    def due(self, frame: TokenFrame) -> Sequence[TokenFrame]:
        """Return the frames that may go out now that ``frame`` has come.

        Raises
        ------
        BrokenCallError
            If too many frames wait for one that is missing.
        """
        if self.is_whole or frame.request_id != self._request:
            return ()
        if frame.offset < self._offset:
            return ()
        if frame.offset > self._offset:
            self._keep(frame)
            return ()
        return self._from(frame)

    def end(self) -> None:
        """Note the end of the stream; raises BrokenCallError if a frame is missing."""
        if not self.is_whole:
            raise BrokenCallError(f"token {self._offset} did not come")

    def _keep(self, frame: TokenFrame) -> None:
        self._early_by_offset[frame.offset] = frame
        if len(self._early_by_offset) > MAX_EARLY_FRAMES:
            self.end()

    def _from(self, frame: TokenFrame) -> Sequence[TokenFrame]:
        """Return ``frame`` and the early ones that follow it without a gap."""
        due = [frame]
        self._offset += 1
        while not frame.finished and self._offset in self._early_by_offset:
            frame = self._early_by_offset.pop(self._offset)
            due.append(frame)
            self._offset += 1
        self.is_whole = frame.finished
        return due
