"""Tests of requests to endpoints that a node owns, or does not own."""

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
    """An owned endpoint that records its requests."""

    def __init__(self):
        self.requests = []

    def submit(self, request):
        """Record a request."""
        self.requests.append(request)
        return request.completion


@pytest.fixture
def owned():
    """Return the one endpoint that is owned."""
    return FakeOwned()


@pytest.fixture
def owner(owned):
    """Return an owner of one endpoint."""
    owner = EndpointOwner(context=None)
    owner._owned_by_id["e"] = owned
    return owner


class TestEndpointOwner:
    """Passing requests to the tasks of owned endpoints."""

    def test_on_demand_load_keeps_its_limit(self, owner, owned):
        """The requester has decided how much demand may be evicted."""
        owner.start_loading("e", ("m", "m:x"), 0.5)
        assert [(x.item, x.limit_slots) for x in owned.requests] == [
            ("m", 0.5),
            ("m:x", 0.5),
        ]

    def test_a_move_unloads_before_it_loads(self, owner, owned):
        """The unload frees the memory for the load."""
        owner.start_move(Move("e", ("m",), ("old",)))
        kinds = [(type(request), request.item) for request in owned.requests]
        assert kinds == [(UnloadRequest, "old"), (LoadRequest, "m")]

    def test_an_endpoint_of_another_node_is_a_conflict(self, owner):
        """No request is submitted."""
        with pytest.raises(ConflictError):
            owner.start_loading("other", ("m",), 0.5)


class TestResidencyHandler:
    """Messages from peers."""

    def test_replies_to_peers(self, owner, owned):
        """A load request for an endpoint of another node is declined."""
        record_peer_use = []
        handler = ResidencyHandler(owner, record_peer_use.append)
        assert handler.handle(LoadItemsRequest("e", ("m",), 1.0)) == Done()
        assert isinstance(
            handler.handle(LoadItemsRequest("other", ("m",), 1.0)), Declined
        )
        assert handler.handle(ItemsUsed(("m",))) == Done()
        assert (len(owned.requests), record_peer_use) == (1, [("m",)])
