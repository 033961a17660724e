"""Tests of whether a load pays for its moves, and where it goes."""

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


def choose(held, demand, items, policy=None, left_s=None, silent=()):
    """Return the endpoints chosen for ``items``, best first, with their limits.

    Every copy is old; ``items[-1]`` left an endpoint at ``left_s``, or never was.
    """
    clock_s = 0.0 if left_s is None else left_s
    table = EndpointTable(lambda: clock_s)
    if left_s is not None:
        table.observe(make_record("e1", [items[-1]]), 1)
    for name, resident in held.items():
        table.observe(make_record(name, resident, is_silent=name in silent), 2)
    demand_by_item = {item: ItemDemand(0.0, slots) for item, slots in demand.items()}
    occupancy = Occupancy(
        SIZES_MB.get, lambda item: 0.0, lambda: demand_by_item, table, 0.0
    )
    policy = policy or LeastDemand(move_cost_slots=0.1)
    choices = choose_endpoints(policy, occupancy, items, tuple(held))
    return [choice.endpoint for choice in choices]


def make_record(name, resident, **changes):
    """Return a record of an engine."""
    held = {item: SIZES_MB[item] for item in resident}
    return EndpointRecord(name, MEMORY_MB, "n", "i", 1, "w", held, **changes)


class TestLeastDemand:
    """Loads that must pay for their moves."""

    def test_free_memory_is_taken_first(self):
        """A load that displaces nobody always pays."""
        assert choose({"e1": ["a"], "e2": []}, {"a": 5.0}, ("c",), left_s=_just()) == [
            "e2"
        ]

    def test_the_least_wanted_victim_is_preferred(self):
        """Endpoints are tried in the order of what they would lose."""
        held = {"e1": ["a"], "e2": ["b"]}
        demand = {"a": 2.0, "b": 1.0, "c": 5.0}
        assert choose(held, demand, ("c",), left_s=_just()) == ["e2", "e1"]

    def test_a_load_that_does_not_pay_is_held_back(self):
        """The victim serves as much as the load would, so the moves are lost."""
        held = {"e1": ["a"]}
        assert choose(held, {"a": 1.0, "c": 1.1}, ("c",), left_s=_just()) == []
        assert choose(held, {"a": 1.0, "c": 1.3}, ("c",), left_s=_just()) == ["e1"]

    def test_idle_victims_go_for_anything(self):
        """What nobody asks for makes room for a single request."""
        assert choose({"e1": ["a"]}, {"a": 0.01}, ("c",), left_s=_just()) == ["e1"]

    def test_a_long_absence_gives_a_turn_at_the_least_price(self):
        """However hot the others are, the item is loaded, for the coldest one."""
        held = {"e1": ["a"], "e2": ["b"]}
        demand = {"a": 9.0, "b": 5.0}
        assert choose(held, demand, ("c",)) == ["e2"]
        assert choose(held, demand, ("c",), left_s=_just() - 11) == ["e2"]
        assert choose(held, demand, ("c",), left_s=_just() - 9) == []

    def test_an_adapter_goes_where_its_base_is(self):
        """It takes less room there."""
        held = {"e1": ["a"], "e2": ["c"]}
        assert choose(held, {}, ("c", "c:x"))[0] == "e2"

    def test_room_that_is_on_its_way_is_taken_first(self):
        """Another node has the same item loaded there, as soon as it is empty."""
        table = EndpointTable(lambda: _just() - 9)
        table.observe(make_record("e1", ["c"]), 1)
        table.observe(make_record("e2", ["b"]), 1)
        unload = Intent("o", OrderKind.UNLOAD, 60, 1, "n", "i")
        going = {"intents_by_item": {"a": unload}}
        table.observe(make_record("e1", ["a"], **going), 2)
        occupancy = Occupancy(
            SIZES_MB.get,
            lambda item: 0.0,
            lambda: {"b": ItemDemand(0.0, 0.01)},
            table,
            0.0,
        )
        choices = choose_endpoints(LeastDemand(), occupancy, ("c",), ("e1", "e2"))
        assert [choice.endpoint for choice in choices] == ["e1", "e2"]

    def test_silent_endpoints_and_what_never_fits(self):
        """Neither is chosen."""
        assert choose({"e1": [], "e2": []}, {}, ("c",), silent=["e1"]) == ["e2"]
        assert choose({"e1": ["a"]}, {}, ("huge",)) == []
        assert choose({"e1": []}, {}, ("unknown",)) == []


class TestLeastRecentlyUsed:
    """Loads that go ahead whatever they displace."""

    @pytest.mark.parametrize("silent, expected", [([], "e2"), (["e2"], "e1")])
    def test_most_free_memory_first(self, silent, expected):
        """Silent endpoints come last."""
        held = {"e1": ["a"], "e2": []}
        policy = LeastRecentlyUsed()
        found = choose(held, {"a": 9.0}, ("c",), policy, silent=silent)
        assert found[0] == expected
        assert len(found) == 2


def _just():
    return time.monotonic()
