"""Tests of ordering the frames of an answer."""

import pytest

from camphoryard.coordination.inference.frames import (
    MAX_BUFFERED_FRAMES,
    FrameSequencer,
)
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame

OURS = RequestId("ours")


def frame(offset, request=OURS, finished=False):
    """Return a frame whose text is its offset."""
    return TokenFrame(request, offset, str(offset), finished)


def offsets(frames, start=0):
    """Return the offsets delivered from a stream that ends after ``frames``."""
    sequencer = FrameSequencer(OURS, start)
    out = [ready.offset for item in frames for ready in sequencer.add(item)]
    sequencer.end()
    return out


class TestFrameSequencer:
    """Ordering, duplicates and gaps."""

    def test_late_and_duplicate_frames_are_dropped(self):
        """Each offset is delivered once."""
        frames = [frame(0), frame(0), frame(1), frame(0), frame(2, finished=True)]
        assert offsets(frames) == [0, 1, 2]

    def test_early_frames_are_buffered(self):
        """An early frame is delivered after those before it."""
        frames = [frame(2), frame(1), frame(0), frame(3, finished=True)]
        assert offsets(frames) == [0, 1, 2, 3]

    def test_early_last_frame_is_buffered(self):
        """An early last frame ends the answer only after the frames before it."""
        frames = [frame(2, finished=True), frame(1), frame(0)]
        assert offsets(frames) == [0, 1, 2]

    def test_foreign_frames_are_dropped(self):
        """Frames of another request are not delivered."""
        frames = [frame(0, RequestId("other")), frame(0, finished=True)]
        assert offsets(frames) == [0]

    def test_frames_after_the_end_are_dropped(self):
        """No frame is delivered after the finished one."""
        assert offsets([frame(0, finished=True), frame(1)]) == [0]

    @pytest.mark.parametrize("count", [1, MAX_BUFFERED_FRAMES + 1])
    def test_missing_frame_is_an_error(self, count):
        """A gap that is never filled raises instead of shortening the answer."""
        with pytest.raises(BrokenCallError):
            offsets([frame(0), *(frame(index + 2) for index in range(count))])

    def test_too_many_buffered_frames(self):
        """A gap raises before the end once too many frames are buffered behind it."""
        sequencer = FrameSequencer(OURS, 0)
        early = [frame(index + 1) for index in range(MAX_BUFFERED_FRAMES)]
        assert not any(sequencer.add(item) for item in early)
        with pytest.raises(BrokenCallError):
            sequencer.add(frame(MAX_BUFFERED_FRAMES + 1))
