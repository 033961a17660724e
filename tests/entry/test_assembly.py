"""Tests of the parts that an entry daemon is made of."""

import pytest

from camphoryard.entry.assembly import RELIST_TIME_S, watch_wait_s
from camphoryard.platform.store import WATCH_GRACE_S


class TestWatchWait:
    """How long a watch of the store may wait."""

    @pytest.mark.parametrize("stable_window_s", [2.5, 3.0, 4.0])
    def test_an_unanswered_watch_is_over_within_the_stable_window(
        self, stable_window_s
    ):
        """A view made stale by a silence of the store is current again in time."""
        wait_s = watch_wait_s(stable_window_s)
        assert 0 < wait_s + WATCH_GRACE_S + RELIST_TIME_S <= stable_window_s
