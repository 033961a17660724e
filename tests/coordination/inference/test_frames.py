"""Tests of putting frames in order."""

import pytest

from camphoryard.coordination.inference.frames import MAX_EARLY_FRAMES, FrameOrder
from camphoryard.state.errors import BrokenCallError
from camphoryard.state.ids import RequestId
from camphoryard.state.requests import TokenFrame

OURS = RequestId("ours")


def frame(offset, request=OURS, finished=False):
    """Return a frame whose text is its offset."""
    return TokenFrame(request, offset, str(offset), finished)


def offsets(frames, start=0):
    """Return the offsets that come out of a stream of frames that then ends."""
    order = FrameOrder(OURS, start)
    out = [due.offset for item in frames for due in order.due(item)]
    order.end()
    return out


class TestFrameOrder:
    """Frames of one answer."""

    def test_late_and_doubled_frames_are_dropped(self):
        """Each offset comes once."""
        given = [frame(0), frame(0), frame(1), frame(0), frame(2, finished=True)]
        assert offsets(given) == [0, 1, 2]

    def test_early_frames_wait(self):
        """A frame that came too early follows those before it."""
        given = [frame(2), frame(1), frame(0), frame(3, finished=True)]
        assert offsets(given) == [0, 1, 2, 3]

    def test_early_end_waits(self):
        """The end of an answer that came too early ends it in its place."""
        given = [frame(2, finished=True), frame(1), frame(0)]
        assert offsets(given) == [0, 1, 2]

    def test_foreign_frames_are_dropped(self):
        """A frame of another request is no token of ours."""
        given = [frame(0, RequestId("other")), frame(0, finished=True)]
        assert offsets(given) == [0]

    def test_frames_after_the_end_are_dropped(self):
        """A whole answer takes nothing more."""
        assert offsets([frame(0, finished=True), frame(1)]) == [0]

    @pytest.mark.parametrize("count", [1, MAX_EARLY_FRAMES + 1])
    def test_missing_frame_breaks_the_stream(self, count):
        """A gap that nothing fills is an error, not a shorter answer."""
        with pytest.raises(BrokenCallError):
            offsets([frame(0), *(frame(index + 2) for index in range(count))])

    def test_too_many_early_frames(self):
        """A stream that leaves a gap open for long is broken before its end."""
        order = FrameOrder(OURS, 0)
        early = [frame(index + 1) for index in range(MAX_EARLY_FRAMES)]
        assert not any(order.due(item) for item in early)
        with pytest.raises(BrokenCallError):
            order.due(frame(MAX_EARLY_FRAMES + 1))
