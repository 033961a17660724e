"""Tests of whether a load is worth its moves, and at which endpoint."""

import time

import pytest

from camphoryard.coordination.residency.eviction import LeastDemand, LeastRecentlyUsed
from camphoryard.coordination.residency.load_choice import choose_endpoints
from camphoryard.coordination.residency.occupancy import Occupancy
from camphoryard.state.demand import ItemDemand
from camphoryard.state.endpoint_record import EndpointRecord, Intent
from camphoryard.state.enums import OrderKind
from camphoryard.state.tables import EndpointTable

MEMORY_MB = 100
SIZES_MB = {"a": 60, "b": 60, "c": 60, "c:x": 10, "huge": 200}


def choose(
    resident_by_id,
    demand,
    items,
    policy=None,
    unloaded_at_s=None,
    unresponsive=(),
):
    """Return the endpoints chosen for ``items``, best first.

    All copies are old. ``items[-1]`` was unloaded at ``unloaded_at_s``, or
    was never resident.
    """
    clock_s = 0.0 if unloaded_at_s is None else unloaded_at_s
    table = EndpointTable(lambda: clock_s)
    if unloaded_at_s is not None:
        table.observe(make_record("e1", [items[-1]]), 1)
    for name, resident in resident_by_id.items():
        table.observe(make_record(name, resident, is_silent=name in unresponsive), 2)
    demand_by_item = {item: ItemDemand(0.0, slots) for item, slots in demand.items()}
    occupancy = Occupancy(
        SIZES_MB.get, lambda item: 0.0, lambda: demand_by_item, table, 0.0
    )
    policy = policy or LeastDemand(move_cost_slots=0.1)
    choices = choose_endpoints(policy, occupancy, items, tuple(resident_by_id))
    return [choice.endpoint for choice in choices]


def make_record(name, resident, **changes):
    """Return a record of an engine."""
    resident_mb_by_item = {item: SIZES_MB[item] for item in resident}
    return EndpointRecord(
        name, MEMORY_MB, "n", "i", 1, "w", resident_mb_by_item, **changes
    )


class TestLeastDemand:
    """Loads that must be worth their moves."""

    def test_free_memory_is_used_first(self):
        """A load that evicts nothing is always worthwhile."""
        assert choose(
            {"e1": ["a"], "e2": []}, {"a": 5.0}, ("c",), unloaded_at_s=_now_s()
        ) == ["e2"]

    def test_victim_with_least_demand_is_preferred(self):
        """Endpoints are ordered by the demand that their victims serve."""
        resident_by_id = {"e1": ["a"], "e2": ["b"]}
        demand = {"a": 2.0, "b": 1.0, "c": 5.0}
        assert choose(resident_by_id, demand, ("c",), unloaded_at_s=_now_s()) == [
            "e2",
            "e1",
        ]

    def test_load_that_gains_too_little_is_deferred(self):
        """The load must gain more demand than the moves cost."""
        resident_by_id = {"e1": ["a"]}
        assert (
            choose(
                resident_by_id,
                {"a": 1.0, "c": 1.1},
                ("c",),
                unloaded_at_s=_now_s(),
            )
            == []
        )
        assert choose(
            resident_by_id, {"a": 1.0, "c": 1.3}, ("c",), unloaded_at_s=_now_s()
        ) == ["e1"]

    def test_idle_victims_are_evicted_for_any_request(self):
        """Items without demand are evicted for a single request."""
        assert choose({"e1": ["a"]}, {"a": 0.01}, ("c",), unloaded_at_s=_now_s()) == [
            "e1"
        ]

    def test_long_absent_item_is_loaded_at_the_least_cost(self):
        """After 10 s the item replaces the victim with the least demand."""
        resident_by_id = {"e1": ["a"], "e2": ["b"]}
        demand = {"a": 9.0, "b": 5.0}
        assert choose(resident_by_id, demand, ("c",)) == ["e2"]
        assert choose(resident_by_id, demand, ("c",), unloaded_at_s=_now_s() - 11) == [
            "e2"
        ]
        assert choose(resident_by_id, demand, ("c",), unloaded_at_s=_now_s() - 9) == []

    def test_adapter_is_loaded_where_its_base_is(self):
        """It needs less memory there."""
        resident_by_id = {"e1": ["a"], "e2": ["c"]}
        assert choose(resident_by_id, {}, ("c", "c:x"))[0] == "e2"

    def test_memory_being_freed_is_used_first(self):
        """An endpoint with an open unload costs no further eviction."""
        table = EndpointTable(lambda: _now_s() - 9)
        table.observe(make_record("e1", ["c"]), 1)
        table.observe(make_record("e2", ["b"]), 1)
        unload = Intent("o", OrderKind.UNLOAD, 60, 1, "n", "i")
        unloading = {"intents_by_item": {"a": unload}}
        table.observe(make_record("e1", ["a"], **unloading), 2)
        occupancy = Occupancy(
            SIZES_MB.get,
            lambda item: 0.0,
            lambda: {"b": ItemDemand(0.0, 0.01)},
            table,
            0.0,
        )
        choices = choose_endpoints(LeastDemand(), occupancy, ("c",), ("e1", "e2"))
        assert [choice.endpoint for choice in choices] == ["e1", "e2"]

    def test_unresponsive_endpoints_and_items_that_never_fit(self):
        """An unresponsive endpoint and an oversized or unknown item are not chosen."""
        assert choose({"e1": [], "e2": []}, {}, ("c",), unresponsive=["e1"]) == ["e2"]
        assert choose({"e1": ["a"]}, {}, ("huge",)) == []
        assert choose({"e1": []}, {}, ("unknown",)) == []


class TestLeastRecentlyUsed:
    """Loads that are made whatever they evict."""

    @pytest.mark.parametrize("unresponsive, expected", [([], "e2"), (["e2"], "e1")])
    def test_most_free_memory_first(self, unresponsive, expected):
        """Unresponsive endpoints are tried last."""
        resident_by_id = {"e1": ["a"], "e2": []}
        policy = LeastRecentlyUsed()
        found = choose(
            resident_by_id, {"a": 9.0}, ("c",), policy, unresponsive=unresponsive
        )
        assert found[0] == expected
        assert len(found) == 2


def _now_s():
    return time.monotonic()
