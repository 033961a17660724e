"""Tests of what a node does with wishes for endpoints it may not own."""

import pytest

from camphoryard.coordination.messages import (
    Declined,
    Done,
    ItemsUsed,
    LoadItemsRequest,
)
from camphoryard.coordination.placement.placement import Move
from camphoryard.coordination.residency.endpoint_owner import (
    EndpointOwner,
    ResidencyHandler,
)
from camphoryard.coordination.residency.residency_requests import (
    LoadRequest,
    UnloadRequest,
)
from camphoryard.state.errors import ConflictError


class FakeOwned:
    """An owned endpoint that notes its wishes."""

    def __init__(self):
        self.wishes = []

    def wish(self, wish):
        """Note a wish."""
        self.wishes.append(wish)
        return wish.met


@pytest.fixture
def owned():
    """Return the one endpoint that is owned."""
    return FakeOwned()


@pytest.fixture
def owner(owned):
    """Return an owner of one endpoint."""
    owner = EndpointOwner(parts=None)
    owner._owned_by_id["e"] = owned
    return owner


class TestEndpointOwner:
    """Handing wishes to the tasks of owned endpoints."""

    def test_a_load_on_demand_keeps_its_limit(self, owner, owned):
        """What may leave for it was weighed by who asked."""
        owner.start_loading("e", ("m", "m:x"), 0.5)
        assert [(x.item, x.limit_slots) for x in owned.wishes] == [
            ("m", 0.5),
            ("m:x", 0.5),
        ]

    def test_a_move_unloads_before_it_loads(self, owner, owned):
        """What goes makes the room."""
        owner.start_move(Move("e", ("m",), ("old",)))
        kinds = [(type(wish), wish.item) for wish in owned.wishes]
        assert kinds == [(UnloadRequest, "old"), (LoadRequest, "m")]

    def test_an_endpoint_of_another_node_is_a_conflict(self, owner):
        """Nothing is wished for there."""
        with pytest.raises(ConflictError):
            owner.start_loading("other", ("m",), 0.5)


class TestResidencyDesk:
    """What peers ask."""

    def test_answers_peers(self, owner, owned):
        """A wish for an endpoint of another node is declined."""
        told = []
        desk = ResidencyHandler(owner, told.append)
        assert desk.handle(LoadItemsRequest("e", ("m",), 1.0)) == Done()
        assert isinstance(desk.handle(LoadItemsRequest("other", ("m",), 1.0)), Declined)
        assert desk.handle(ItemsUsed(("m",))) == Done()
        assert (len(owned.wishes), told) == (1, [("m",)])
