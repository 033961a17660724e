"""Tests of the choice of an endpoint."""

import random
from collections import Counter

from camphoryard.coordination.forwarding.endpoint_chooser import (
    ByFreeSlots,
    EndpointChooser,
    LeastLoaded,
)
from camphoryard.state.ids import Zone
from tests.fakes.engines import ZONE, make_endpoint

REMOTE_ZONE = Zone("zone-b")


def choose(load, *endpoints, policy=LeastLoaded):
    """Return the name of the endpoint chosen for a load given by name."""
    chooser = EndpointChooser(ZONE, lambda id: load.get(id, 0), policy)
    return chooser.choose(endpoints).id


class TestEndpointChooser:
    """LeastLoaded prefers low utilization, then the own zone."""

    def test_own_zone_is_preferred_while_loads_are_even(self):
        """It saves traffic between zones."""
        endpoints = make_endpoint("remote", zone=REMOTE_ZONE), make_endpoint("local")
        assert choose({}, *endpoints) == "local"

    def test_remote_zone_is_chosen_if_own_endpoint_is_more_loaded(self):
        """A request leaves its zone if that avoids a queue."""
        endpoints = make_endpoint("remote", zone=REMOTE_ZONE), make_endpoint("local")
        assert choose({"local": 4}, *endpoints) == "remote"

    def test_load_is_relative_to_slots(self):
        """Four requests fill a small endpoint more than eight a large one."""
        endpoints = make_endpoint("small", slots=6), make_endpoint("large", slots=64)
        assert choose({"small": 4, "large": 8}, *endpoints) == "large"


class TestLargeFleets:
    """Many nodes that choose by the same delayed load reports."""

    def test_nodes_do_not_all_choose_the_least_loaded(self):
        """It would be full before its new load is reported."""
        endpoints = [make_endpoint(name, slots=12) for name in ("e1", "e2", "e3")]
        load = {"e1": 2, "e2": 4, "e3": 12}
        chooser = EndpointChooser(
            ZONE, lambda id: load[id], ByFreeSlots, random.Random(1)
        )
        chosen = Counter(chooser.choose(endpoints).id for _ in range(870))
        assert chosen["e1"] > chosen["e2"] > 0.1 * 870
        assert chosen["e3"] < 0.1 * 870

    def test_full_endpoint_is_chosen_if_all_are_full(self):
        """Loads are estimates, and a full endpoint declines the request."""
        endpoints = [make_endpoint(name, slots=12) for name in ("e1", "e2")]
        load = {"e1": 20, "e2": 20}
        assert choose(load, *endpoints, policy=ByFreeSlots) in ("e1", "e2")
