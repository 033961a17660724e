"""Tests of which endpoint a request goes to."""

from collections import Counter

from camphoryard.coordination.forwarding.endpoint_chooser import (
    ByFreeSlots,
    EndpointChooser,
    LeastLoaded,
)
from camphoryard.state.ids import Zone
from tests.fakes.engines import ZONE, make_endpoint

FAR = Zone("zone-b")


def choose(load, *endpoints, policy=LeastLoaded):
    """Return the name of the endpoint chosen under a load by name."""
    chooser = EndpointChooser(ZONE, lambda id: load.get(id, 0), policy)
    return chooser.choose(endpoints).id


class TestEndpointChooser:
    """The least filled endpoint, the own zone first."""

    def test_the_own_zone_goes_first_while_loads_are_even(self):
        """Bytes between zones are saved."""
        endpoints = make_endpoint("far", zone=FAR), make_endpoint("near")
        assert choose({}, *endpoints) == "near"

    def test_a_fuller_endpoint_of_the_own_zone_is_left(self):
        """A request leaves its zone where that saves it a queue."""
        endpoints = make_endpoint("far", zone=FAR), make_endpoint("near")
        assert choose({"near": 4}, *endpoints) == "far"

    def test_fuller_means_of_its_slots(self):
        """Four requests fill a small endpoint more than eight a large one."""
        endpoints = make_endpoint("small", slots=6), make_endpoint("large", slots=64)
        assert choose({"small": 4, "large": 8}, *endpoints) == "large"


class TestLargeFleets:
    """Many nodes that choose by the same late news."""

    def test_nodes_do_not_all_take_the_least_loaded(self):
        """It would be full before they hear of it."""
        endpoints = [make_endpoint(name, slots=12) for name in ("e1", "e2", "e3")]
        load = {"e1": 2, "e2": 4, "e3": 12}
        taken = Counter(choose(load, *endpoints, policy=ByFreeSlots) for _ in range(87))
        assert taken["e1"] > taken["e2"] > 0.1 * 87
        assert taken["e3"] < 0.1 * 87

    def test_full_endpoints_are_still_drawn_where_all_are(self):
        """Loads are estimates, and endpoints say themselves that they are full."""
        endpoints = [make_endpoint(name, slots=12) for name in ("e1", "e2")]
        load = {"e1": 20, "e2": 20}
        assert choose(load, *endpoints, policy=ByFreeSlots) in ("e1", "e2")
