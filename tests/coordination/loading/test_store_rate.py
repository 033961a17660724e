"""Tests of the rate limit of loads from the weight store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.loading.store_rate import (
    BURST_LOADS,
    LoadLimits,
    StoreRateLimiter,
)
from tests.fakes.engines import Clock


class TestStoreRateLimiter:
    """A token bucket over the loads that one node orders."""

    def test_bucket_is_initially_empty(self):
        """A new leader does not know which loads its predecessor started."""
        assert not StoreRateLimiter(LoadLimits(), Clock()).try_acquire(1.1)

    @pytest.mark.parametrize("excess", [0.8, 1.0, 1.1, 2.0])
    @pytest.mark.parametrize("loads_per_s", [0.3, 1.1, 20.0])
    @given(pauses_s=st.lists(st.floats(0.0, 3.0), max_size=100))
    def test_loads_in_any_window_are_limited(self, loads_per_s, excess, pauses_s):
        """The burst and the rate together limit the loads in any window."""
        clock = Clock()
        limits = LoadLimits(5.0, excess)
        limiter = StoreRateLimiter(limits, clock)
        loads = []
        for pause_s in pauses_s:
            clock.advance(pause_s)
            while limiter.try_acquire(loads_per_s):
                loads.append(clock.now_s)
        for end_s in loads:
            since_s = end_s - limits.window_s
            within = [at_s for at_s in loads if since_s < at_s <= end_s]
            allowed = loads_per_s * limits.window_s * excess + BURST_LOADS
            assert len(within) <= allowed
