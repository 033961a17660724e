"""Tests of the placement that every run starts from."""

import pytest

from bench.placing import initial_residents
from bench.scenario import read_scenario, scenario_names


@pytest.mark.parametrize("name", scenario_names())
class TestInitialResidents:
    """What engines hold at the start."""

    def test_no_engine_holds_more_than_it_has(self, name):
        """Each has the scenario's memory."""
        scenario = read_scenario(name)
        residents = initial_residents(scenario)
        assert len(residents) == scenario.engines
        assert all(sum(x.values()) <= scenario.engine_memory_mb for x in residents)

    def test_adapters_stand_beside_their_base(self, name):
        """An adapter alone could answer nobody."""
        for resident_mb_by_item in initial_residents(read_scenario(name)):
            assert all(
                item.partition(":")[0] in resident_mb_by_item
                for item in resident_mb_by_item
            )

    def test_policies_start_alike(self, name):
        """Neither chance nor the policy has a part in it."""
        scenario = read_scenario(name)
        assert initial_residents(scenario) == initial_residents(scenario)
