"""Tests of wishes for loads and unloads."""

import math
import time

import pytest

from camphoryard.coordination.residency.residency_requests import (
    CompletedRequest,
    LoadRequest,
    UnloadRequest,
    Wishes,
    WishExpiredError,
)
from camphoryard.state.errors import ConflictError

FAR_S = time.monotonic() + 1000


class TestWishes:
    """Open wishes by item."""

    def test_an_equal_wish_joins_the_open_one(self):
        """The later deadline and the higher limit count; both are told."""
        wishes = Wishes()
        first = wishes.add(LoadRequest("m", FAR_S, 1.0))
        second = wishes.add(LoadRequest("m", FAR_S + 1, 0.5))
        assert first is second
        (wish,) = wishes.open()
        assert (wish.deadline_s, wish.limit_slots) == (FAR_S + 1, 1.0)
        wishes.close(CompletedRequest(wish))
        assert first.result(0) is None
        assert wishes.open() == ()

    def test_without_a_limit_anything_may_leave(self):
        """A planned move was weighed before."""
        assert LoadRequest("m", FAR_S).limit_slots == math.inf

    def test_an_opposite_wish_replaces_the_open_one(self):
        """Who waited for the first is told so."""
        wishes = Wishes()
        loaded = wishes.add(LoadRequest("m", FAR_S))
        wishes.add(UnloadRequest("m", FAR_S))
        assert isinstance(loaded.exception(0), WishExpiredError)
        assert [type(wish) for wish in wishes.open()] == [UnloadRequest]

    def test_a_wish_past_its_deadline_fails(self):
        """It is not open any more."""
        wishes = Wishes()
        met = wishes.add(LoadRequest("m", 0.0))
        assert wishes.open() == ()
        with pytest.raises(WishExpiredError):
            met.result(0)

    def test_all_fail_with_the_owner(self):
        """Whoever waits is told that the endpoint moved."""
        wishes = Wishes()
        met = [wishes.add(LoadRequest(item, FAR_S)) for item in ("a", "b")]
        wishes.fail_all(ConflictError("moved"))
        assert all(isinstance(x.exception(0), ConflictError) for x in met)

    def test_a_wish_that_is_closed_is_not_failed(self):
        """What came true stays true."""
        wishes = Wishes()
        met = wishes.add(LoadRequest("m", FAR_S))
        (wish,) = wishes.open()
        wishes.close(CompletedRequest(wish))
        wishes.fail(wish, ConflictError("late"))
        assert met.result(0) is None
