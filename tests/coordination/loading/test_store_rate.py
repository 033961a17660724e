"""Tests of the weight store's rate."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.loading.store_rate import (
    SPARE_LOADS,
    LoadLimits,
    StoreRate,
)
from tests.fakes.engines import Clock


class TestStoreRate:
    """A token bucket over the loads that one node orders."""

    def test_a_new_term_begins_empty(self):
        """What the last node loaded a moment ago is not known."""
        assert not StoreRate(LoadLimits(), Clock()).take(1.1)

    @pytest.mark.parametrize("excess", [0.8, 1.0, 1.1, 2.0])
    @pytest.mark.parametrize("loads_per_s", [0.3, 1.1, 20.0])
    @given(pauses_s=st.lists(st.floats(0.0, 3.0), max_size=100))
    def test_no_window_has_more_loads_than_the_store_allows(
        self, loads_per_s, excess, pauses_s
    ):
        """The burst and the rate together bound any window."""
        clock = Clock()
        limits = LoadLimits(5.0, excess)
        rate = StoreRate(limits, clock)
        loads = []
        for pause_s in pauses_s:
            clock.advance(pause_s)
            while rate.take(loads_per_s):
                loads.append(clock.now_s)
        for end_s in loads:
            since_s = end_s - limits.window_s
            within = [at_s for at_s in loads if since_s < at_s <= end_s]
            allowed = loads_per_s * limits.window_s * excess + SPARE_LOADS
            assert len(within) <= allowed
