"""Tests of the weight store's load budget."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.messages import Declined, LoadGrant
from camphoryard.coordination.placement.weight_budget import (
    ASSUMED_LOAD_S,
    Paced,
    Unpaced,
    WeightBudget,
    WeightBudgetClient,
)
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import NodeId
from camphoryard.state.nodes import NodeTable

POLICY = Paced(loads_per_s=2.0, at_once=3)


class Clock:
    """A clock whose time the test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


class UnreachablePeers:
    """Peers that cannot be reached."""

    def request(self, node, message, timeout_s):
        """Fail as an unreachable peer does."""
        raise PeerUnreachableError(node)


class TestWeightBudget:
    """Start times granted by the budget's holder."""

    def test_urgent_loads_are_spaced(self):
        """Each urgent load starts one interval after the previous one."""
        budget = WeightBudget(Paced(2.0, 100), Clock())
        assert [budget.reserve_start(urgent=True) for _ in range(3)] == [0.0, 0.5, 1.0]

    def test_background_load_is_declined_behind_urgent_ones(self):
        """No background load is granted while urgent loads have the next starts."""
        budget = WeightBudget(Paced(2.0, 100), Clock())
        budget.reserve_start(urgent=True)
        budget.reserve_start(urgent=True)
        assert budget.reserve_start(urgent=False) is None

    def test_background_loads_leave_capacity_for_an_urgent_one(self):
        """One of the loads that may run in parallel is reserved for urgent ones."""
        clock = Clock()
        budget = WeightBudget(Paced(1000.0, 2), clock)
        assert budget.reserve_start(urgent=False) == 0.0
        clock.now_s += 0.1
        assert budget.reserve_start(urgent=False) is None
        assert budget.reserve_start(urgent=True) == 0.0

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 1))))
    def test_neither_limit_is_ever_exceeded(self, requests):
        """Starts keep the rate and the parallel limit for any sequence of requests."""
        clock = Clock()
        budget = WeightBudget(POLICY, clock)
        starts_s = []
        for urgent, pause_s in requests:
            clock.now_s += pause_s
            start_in_s = budget.reserve_start(urgent)
            if start_in_s is not None:
                starts_s.append(clock.now_s + start_in_s)
        starts_s.sort()
        gaps_s = [
            later_s - earlier_s for earlier_s, later_s in itertools.pairwise(starts_s)
        ]
        assert all(gap_s > 0.499 for gap_s in gaps_s)
        for start_s in starts_s:
            parallel_starts_s = [
                other_s
                for other_s in starts_s
                if start_s - ASSUMED_LOAD_S < other_s <= start_s
            ]
            assert len(parallel_starts_s) <= POLICY.at_once


class TestBudgetClient:
    """Requesting grants."""

    def test_unpaced_loads_start_immediately(self):
        """Without pacing every load may start immediately."""
        client = WeightBudgetClient(
            Unpaced(), NodeId("n"), NodeTable(), UnreachablePeers()
        )
        assert [client.request(urgent=False) for _ in range(5)] == [0.0] * 5

    def test_single_node_holds_the_budget(self):
        """A node without peers uses one budget for its own loads and for grants."""
        client = WeightBudgetClient(
            POLICY, NodeId("n"), NodeTable(), UnreachablePeers()
        )
        assert client.request(urgent=True) == 0.0
        client.request(urgent=True)
        assert isinstance(client.grant(urgent=False), Declined)
        assert isinstance(client.grant(urgent=True), LoadGrant)
