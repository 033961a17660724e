"""Tests of load and unload requests."""

import math
import time

import pytest

from camphoryard.coordination.residency.residency_requests import (
    CompletedRequest,
    LoadRequest,
    PendingRequests,
    RequestExpiredError,
    UnloadRequest,
)
from camphoryard.state.errors import ConflictError

FAR_S = time.monotonic() + 1000


class TestPendingRequests:
    """Pending requests by item."""

    def test_equal_requests_are_merged(self):
        """They share a future, with the later deadline and the higher limit."""
        requests = PendingRequests()
        first = requests.add(LoadRequest("m", FAR_S, 1.0))
        second = requests.add(LoadRequest("m", FAR_S + 1, 0.5))
        assert first is second
        (request,) = requests.unexpired()
        assert (request.deadline_s, request.limit_slots) == (FAR_S + 1, 1.0)
        requests.complete(CompletedRequest(request))
        assert first.result(0) is None
        assert requests.unexpired() == ()

    def test_default_limit_is_unlimited(self):
        """Planned moves have no limit; the planner has already weighed them."""
        assert LoadRequest("m", FAR_S).limit_slots == math.inf

    def test_an_opposite_request_replaces_the_pending_one(self):
        """The replaced request fails."""
        requests = PendingRequests()
        loaded = requests.add(LoadRequest("m", FAR_S))
        requests.add(UnloadRequest("m", FAR_S))
        assert isinstance(loaded.exception(0), RequestExpiredError)
        assert [type(request) for request in requests.unexpired()] == [UnloadRequest]

    def test_a_request_past_its_deadline_fails(self):
        """It is no longer pending."""
        requests = PendingRequests()
        completion = requests.add(LoadRequest("m", 0.0))
        assert requests.unexpired() == ()
        with pytest.raises(RequestExpiredError):
            completion.result(0)

    def test_fail_all(self):
        """All futures get the error when the endpoint has a new owner."""
        requests = PendingRequests()
        completion = [requests.add(LoadRequest(item, FAR_S)) for item in ("a", "b")]
        requests.fail_all(ConflictError("moved"))
        assert all(isinstance(x.exception(0), ConflictError) for x in completion)

    def test_a_completed_request_is_not_failed(self):
        """A completed request keeps its result."""
        requests = PendingRequests()
        completion = requests.add(LoadRequest("m", FAR_S))
        (request,) = requests.unexpired()
        requests.complete(CompletedRequest(request))
        requests.fail(request, ConflictError("late"))
        assert completion.result(0) is None
