"""Tests of which endpoint a request goes to."""

from camphoryard.coordination.forwarding.choosing import EndpointChooser, LeastLoaded
from camphoryard.state.ids import Zone
from tests.fakes.engines import ZONE, make_endpoint

FAR = Zone("zone-b")


def choose(load, *endpoints, policy=None):
    """Return the name of the endpoint chosen under a load by name."""
    chooser = EndpointChooser(ZONE, lambda id: load.get(id, 0), policy or LeastLoaded())
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
