"""Tests of the draws of requests for uneven engines."""

import pytest

from bench.dispatch_draws import Choice, Draw


@pytest.mark.parametrize("view_age_s", [0.0, 1.0])
def test_ledger_keeps_streams_in_time_at_three_speeds(view_age_s):
    """Eight engines, five requests a second each, notes up to a second late."""
    late_by_choice = {}
    for choice in (Choice.LEDGER, Choice.LEAST_IN_FLIGHT):
        draw = Draw(choice, view_age_s, 8, seed=3, rate_per_engine=5, duration_s=20)
        draw.run()
        late_by_choice[choice] = draw.late / draw.ended
    assert late_by_choice[Choice.LEDGER] < 0.1
    assert late_by_choice[Choice.LEDGER] < late_by_choice[Choice.LEAST_IN_FLIGHT] / 2
