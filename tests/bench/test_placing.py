"""Tests of the initial placement of all runs."""

import pytest

from bench.placing import initial_residents
from bench.scenario import read_scenario, scenario_names


@pytest.mark.parametrize("name", scenario_names())
class TestInitialResidents:
    """Items loaded on the engines at the start."""

    def test_items_fit_into_each_engine(self, name):
        """No engine exceeds the scenario's memory."""
        scenario = read_scenario(name)
        residents = initial_residents(scenario)
        assert len(residents) == scenario.engines
        assert all(sum(x.values()) <= scenario.engine_memory_mb for x in residents)

    def test_adapters_are_placed_with_their_base_model(self, name):
        """An adapter cannot be used without its base model."""
        for resident_mb_by_item in initial_residents(read_scenario(name)):
            assert all(
                item.partition(":")[0] in resident_mb_by_item
                for item in resident_mb_by_item
            )

    def test_placement_is_deterministic(self, name):
        """Repeated calls give the same placement."""
        scenario = read_scenario(name)
        assert initial_residents(scenario) == initial_residents(scenario)
