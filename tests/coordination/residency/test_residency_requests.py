"""Tests of wishes for loads and unloads."""

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
    """Open wishes by item."""

    def test_an_equal_wish_joins_the_open_one(self):
        """The later deadline and the higher limit count; both are told."""
        requests = PendingRequests()
        first = requests.add(LoadRequest("m", FAR_S, 1.0))
        second = requests.add(LoadRequest("m", FAR_S + 1, 0.5))
        assert first is second
        (request,) = requests.unexpired()
        assert (request.deadline_s, request.limit_slots) == (FAR_S + 1, 1.0)
        requests.complete(CompletedRequest(request))
        assert first.result(0) is None
        assert requests.unexpired() == ()

    def test_without_a_limit_anything_may_leave(self):
        """A planned move was weighed before."""
        assert LoadRequest("m", FAR_S).limit_slots == math.inf

    def test_an_opposite_wish_replaces_the_open_one(self):
        """Who waited for the first is told so."""
        requests = PendingRequests()
        loaded = requests.add(LoadRequest("m", FAR_S))
        requests.add(UnloadRequest("m", FAR_S))
        assert isinstance(loaded.exception(0), RequestExpiredError)
        assert [type(request) for request in requests.unexpired()] == [UnloadRequest]

    def test_a_wish_past_its_deadline_fails(self):
        """It is not open any more."""
        requests = PendingRequests()
        completion = requests.add(LoadRequest("m", 0.0))
        assert requests.unexpired() == ()
        with pytest.raises(RequestExpiredError):
            completion.result(0)

    def test_all_fail_with_the_owner(self):
        """Whoever waits is told that the endpoint moved."""
        requests = PendingRequests()
        completion = [requests.add(LoadRequest(item, FAR_S)) for item in ("a", "b")]
        requests.fail_all(ConflictError("moved"))
        assert all(isinstance(x.exception(0), ConflictError) for x in completion)

    def test_a_wish_that_is_closed_is_not_failed(self):
        """What came true stays true."""
        requests = PendingRequests()
        completion = requests.add(LoadRequest("m", FAR_S))
        (request,) = requests.unexpired()
        requests.complete(CompletedRequest(request))
        requests.fail(request, ConflictError("late"))
        assert completion.result(0) is None
