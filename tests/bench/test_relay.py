"""Tests of the relay bench's arithmetic."""

import pytest

from bench.relay import lateness_s, percentiles_ms


class TestLateness:
    """Lateness against an even pace."""

    def test_even_pace_is_punctual(self):
        """Tokens at the pace are not late, whenever the first one came."""
        assert lateness_s([5.0, 5.25, 5.5], 0.25) == [0.0, 0.0, 0.0]

    def test_a_stall_makes_just_its_tokens_late(self):
        """A token that waited is late by its wait; a later punctual one is not."""
        late_s = lateness_s([0.0, 0.5, 0.5, 0.75], 0.25)
        assert late_s == [0.0, 0.25, 0.0, 0.0]

    def test_a_late_first_token_shows(self):
        """A first token that came after its pace counts as late itself."""
        assert lateness_s([0.2, 0.25], 0.25) == pytest.approx([0.2, 0.0])


class TestPercentiles:
    """Percentiles in milliseconds."""

    def test_of_a_known_range(self):
        """They are those of the values, within the histogram's three digits."""
        values_s = [item / 1000 for item in range(1, 101)]
        assert percentiles_ms(values_s) == pytest.approx([50, 95, 99], rel=0.01)
