"""Tests of the calculations of the relay bench."""

import pytest

from bench.relay import lateness_s, percentiles_ms


class TestLateness:
    """Lateness against an even schedule."""

    def test_evenly_spaced_tokens_are_on_time(self):
        """Evenly spaced tokens are on time, whenever the first one arrives."""
        assert lateness_s([5.0, 5.25, 5.5], 0.25) == [0.0, 0.0, 0.0]

    def test_stall_delays_only_its_own_tokens(self):
        """A stalled token is late by its delay; a later one on schedule is not."""
        late_s = lateness_s([0.0, 0.5, 0.5, 0.75], 0.25)
        assert late_s == [0.0, 0.25, 0.0, 0.0]

    def test_late_first_token_is_late(self):
        """A first token that arrives after its scheduled time counts as late."""
        assert lateness_s([0.2, 0.25], 0.25) == pytest.approx([0.2, 0.0])


class TestPercentiles:
    """Percentiles in milliseconds."""

    def test_percentiles_of_a_range(self):
        """They match the values within the histogram's three significant digits."""
        values_s = [item / 1000 for item in range(1, 101)]
        assert percentiles_ms(values_s) == pytest.approx([50, 95, 99], rel=0.01)
