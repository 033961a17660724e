"""Tests of the weight store's rate."""

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.loading.store_rate import BURST_LOADS, StoreRate
from tests.fakes.engines import Clock

LOADS_PER_S = 1.1
WINDOW_S = 5.0


class TestStoreRate:
    """A token bucket over the loads that one node orders."""

    def test_a_new_term_begins_empty(self):
        """What the last node loaded a moment ago is not known."""
        assert not StoreRate(Clock()).take(LOADS_PER_S)

    @given(st.lists(st.floats(0.0, 3.0), max_size=100))
    def test_no_window_has_more_loads_than_the_store_allows(self, pauses_s):
        """The burst and the rate together bound any five seconds."""
        clock = Clock()
        rate = StoreRate(clock)
        rate.reset(BURST_LOADS)
        loads = []
        for pause_s in pauses_s:
            clock.advance(pause_s)
            if rate.take(LOADS_PER_S):
                loads.append(clock.now_s)
        for end_s in loads:
            within = [at_s for at_s in loads if end_s - WINDOW_S < at_s <= end_s]
            assert len(within) <= LOADS_PER_S * WINDOW_S + BURST_LOADS
