"""Frames of one answer, put in order and freed of what does not belong."""

from collections.abc import Generator, Iterable

from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame

MAX_EARLY_FRAMES = 16


def in_order(
    frames: Iterable[TokenFrame], request: RequestId, offset: int
) -> Generator[TokenFrame, None, None]:
    """Yield frames of ``request`` only, each offset once, from ``offset`` on.

    A frame that comes early is kept until those before it have come.

    Raises
    ------
    BrokenCallError
        If a frame is missing or the stream ends early.
    """
    early_by_offset: dict[int, TokenFrame] = {}
    for frame in frames:
        if frame.request_id != request or frame.offset < offset:
            continue
        if frame.offset > offset:
            early_by_offset[frame.offset] = frame
            if len(early_by_offset) > MAX_EARLY_FRAMES:
                break
            continue
        due: TokenFrame | None = frame
        while due is not None:
            yield due
            if due.finished:
                return
            offset += 1
            due = early_by_offset.pop(offset, None) if early_by_offset else None
    raise BrokenCallError(f"token {offset} did not come")
