"""Tests of the weight store's budget."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from camphoryard.coordination.messages import Declined, LoadGrant
from camphoryard.coordination.placement.weight_budget import (
    LOAD_HOLD_S,
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
    """A clock that moves when told to."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now_s


class NoPeers:
    """Peers that never answer."""

    def ask(self, node, message, timeout_s):
        """Fail as an unreachable peer does."""
        raise PeerUnreachableError(node)


class TestWeightBudget:
    """Start times that the holder gives out."""

    def test_urgent_loads_are_spaced(self):
        """Each urgent load starts one interval after the one before."""
        budget = WeightBudget(Paced(2.0, 100), Clock())
        assert [budget.ask(urgent=True) for _ in range(3)] == [0.0, 0.5, 1.0]

    def test_a_background_load_waits_for_urgent_ones(self):
        """While urgent loads have reserved the next starts, none is granted."""
        budget = WeightBudget(Paced(2.0, 100), Clock())
        budget.ask(urgent=True)
        budget.ask(urgent=True)
        assert budget.ask(urgent=False) is None

    def test_background_loads_leave_one_place(self):
        """The last of the places at once is kept for an urgent load."""
        clock = Clock()
        budget = WeightBudget(Paced(1000.0, 2), clock)
        assert budget.ask(urgent=False) == 0.0
        clock.now_s += 0.1
        assert budget.ask(urgent=False) is None
        assert budget.ask(urgent=True) == 0.0

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 1))))
    def test_neither_limit_is_ever_passed(self, wishes):
        """Whatever is asked for and when, starts keep both limits."""
        clock = Clock()
        budget = WeightBudget(POLICY, clock)
        starts_s = []
        for urgent, pause_s in wishes:
            clock.now_s += pause_s
            start_in_s = budget.ask(urgent)
            if start_in_s is not None:
                starts_s.append(clock.now_s + start_in_s)
        starts_s.sort()
        gaps_s = [b - a for a, b in itertools.pairwise(starts_s)]
        assert all(gap_s > 0.499 for gap_s in gaps_s)
        for start_s in starts_s:
            at_once = [x for x in starts_s if start_s - LOAD_HOLD_S < x <= start_s]
            assert len(at_once) <= POLICY.at_once


class TestBudgetClient:
    """Asking for grants."""

    def test_unpaced_loads_start_at_once(self):
        """Without pacing every load may start."""
        client = WeightBudgetClient(Unpaced(), NodeId("n"), NodeTable(), NoPeers())
        assert [client.ask(urgent=False) for _ in range(5)] == [0.0] * 5

    def test_a_lone_node_holds_the_budget(self):
        """A node that knows no peer paces itself, and answers peers alike."""
        client = WeightBudgetClient(POLICY, NodeId("n"), NodeTable(), NoPeers())
        assert client.ask(urgent=True) == 0.0
        client.ask(urgent=True)
        assert isinstance(client.grant(urgent=False), Declined)
        assert isinstance(client.grant(urgent=True), LoadGrant)
