"""Tests of generating demand."""

import numpy as np
import pytest

from bench.demand import arrival_times_s, bookings, requests
from bench.scenario import read_scenario, scenario_names


class TestRequests:
    """Requests of a seed."""

    @pytest.mark.parametrize("name", scenario_names())
    def test_requests_depend_on_the_seed_alone(self, name):
        """The same seed gives the same requests, a different seed different ones."""
        scenario = read_scenario(name)
        for draw_items in (requests, bookings):
            assert draw_items(scenario, 7) == draw_items(scenario, 7)
            assert draw_items(scenario, 7) != draw_items(scenario, 8)

    @pytest.mark.parametrize("name", scenario_names())
    def test_requests_fit_the_scenario(self, name):
        """Requests are in order, within the duration, and to existing nodes."""
        scenario = read_scenario(name)
        drawn = requests(scenario, 1)
        times_s = [item.at_s for item in drawn]
        assert times_s == sorted(times_s)
        assert all(0 <= item < scenario.duration_s for item in times_s)
        assert {item.node for item in drawn} <= set(range(scenario.nodes))


class TestArrivalTimes:
    """A Poisson process with a changing rate."""

    def test_arrivals_follow_the_rate(self):
        """Ten times the rate in the second half gives ten times the arrivals."""
        rate_per_s = [(0, 10), (50, 10), (50, 100), (100, 100)]
        rng = np.random.default_rng(1)
        times_s = arrival_times_s(rate_per_s, 100.0, rng)
        early = sum(item < 50 for item in times_s)
        assert early == pytest.approx(500, rel=0.2)
        assert len(times_s) - early == pytest.approx(5000, rel=0.1)
