"""Tests of routing policies."""

import random

from camphoryard.coordination.routing.routing import (
    LeastInFlight,
    PrefixAffinity,
    RoundRobin,
    Router,
    TwoChoices,
)
from camphoryard.state.ids import EndpointId

ENGINES = tuple(EndpointId(f"engine-{index}") for index in range(4))
LOADS = dict(zip(ENGINES, (9.0, 1.0, 5.0, 7.0), strict=True))


def router(policy, loads=None):
    """Return a router with fixed loads and a fixed seed."""
    return Router(policy, (loads or LOADS).__getitem__, random.Random(1))


class TestRouter:
    """The endpoint that each policy chooses."""

    def test_round_robin_chooses_each_in_turn(self):
        """Load is ignored."""
        given = router(RoundRobin())
        assert {given.choose(ENGINES) for _ in ENGINES} == set(ENGINES)

    def test_least_in_flight_chooses_the_least_loaded(self):
        """Load is compared across all candidates."""
        assert router(LeastInFlight()).choose(ENGINES) == ENGINES[1]

    def test_two_choices_never_chooses_the_most_loaded(self):
        """Any other endpoint sampled with it has less load."""
        given = router(TwoChoices())
        assert ENGINES[0] not in {given.choose(ENGINES) for _ in range(100)}

    def test_prefix_keeps_its_endpoint(self):
        """With equal loads a prefix is always sent to the same endpoint."""
        given = router(PrefixAffinity(), dict.fromkeys(ENGINES, 3.0))
        chosen = {given.choose(ENGINES, "lease summary") for _ in range(20)}
        assert len(chosen) == 1

    def test_prefixes_spread_over_endpoints(self):
        """Different prefixes use all endpoints."""
        given = router(PrefixAffinity(), dict.fromkeys(ENGINES, 3.0))
        assert {given.choose(ENGINES, str(i)) for i in range(60)} == set(ENGINES)

    def test_prefix_leaves_an_overloaded_endpoint(self):
        """Requests of a hot prefix beyond the load bound use another endpoint."""
        even = dict.fromkeys(ENGINES, 3.0)
        home = router(PrefixAffinity(), even).choose(ENGINES, "hot")
        hot = router(PrefixAffinity(), {**even, home: 30.0})
        assert hot.choose(ENGINES, "hot") != home
