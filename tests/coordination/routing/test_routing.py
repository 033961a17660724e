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
    """Return a router over fixed loads."""
    return Router(policy, (loads or LOADS).__getitem__, random.Random(1))


class TestRouter:
    """What each policy chooses."""

    def test_round_robin_takes_each_in_turn(self):
        """Load does not matter."""
        given = router(RoundRobin())
        assert {given.choose(ENGINES) for _ in ENGINES} == set(ENGINES)

    def test_least_in_flight_takes_the_lightest(self):
        """Of all candidates."""
        assert router(LeastInFlight()).choose(ENGINES) == ENGINES[1]

    def test_two_choices_never_takes_the_heaviest(self):
        """It loses to whichever other is drawn."""
        given = router(TwoChoices())
        assert ENGINES[0] not in {given.choose(ENGINES) for _ in range(100)}

    def test_prefix_keeps_its_endpoint(self):
        """While loads are even a prefix always goes to one place."""
        given = router(PrefixAffinity(), dict.fromkeys(ENGINES, 3.0))
        chosen = {given.choose(ENGINES, "lease summary") for _ in range(20)}
        assert len(chosen) == 1

    def test_prefixes_spread(self):
        """Different prefixes use all endpoints."""
        given = router(PrefixAffinity(), dict.fromkeys(ENGINES, 3.0))
        assert {given.choose(ENGINES, str(i)) for i in range(60)} == set(ENGINES)

    def test_prefix_leaves_an_overloaded_endpoint(self):
        """The bound sends the rest of a hot prefix to the next one."""
        even = dict.fromkeys(ENGINES, 3.0)
        home = router(PrefixAffinity(), even).choose(ENGINES, "hot")
        hot = router(PrefixAffinity(), {**even, home: 30.0})
        assert hot.choose(ENGINES, "hot") != home
