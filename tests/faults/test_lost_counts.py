"""Tests of telling which counts of refusals can be lost with a node."""

from collections import Counter

import pytest

from faults.injections import (
    CutFromPeers,
    CutFromStore,
    CutOff,
    CutTowardsPeers,
    KillAllNodes,
    KillNode,
    StoreOutage,
)
from faults.lost_counts import InjectionInterval, ReceivedRefusal, lost_by_reason
from standins.links import LinkState

RESET = LinkState.RESET
REFUSAL = ReceivedRefusal("n1", 100.0, "store_unavailable")
KILL = InjectionInterval(KillNode("n1", 1.0), 103.0, 104.0)


def interval(injection, started_s=90.0, ended_s=110.0):
    """Return an injection in force around the refusal and the kill."""
    return InjectionInterval(injection, started_s, ended_s)


def is_lost(*intervals):
    """Return whether the refusal may be missing."""
    return lost_by_reason([REFUSAL], intervals) == Counter({REFUSAL.reason: 1})


class TestUnheldByReason:
    """Refusals that nobody else could hold."""

    def test_a_node_cut_off_and_killed_takes_its_counts(self):
        """Make faults SEED=90417: it reached neither peers nor the object API."""
        assert is_lost(KILL, interval(CutOff("n1", RESET, 20.0)))

    @pytest.mark.parametrize("cut", [CutFromPeers, CutTowardsPeers])
    @pytest.mark.parametrize(
        "without_store", [StoreOutage(20.0), CutFromStore("n1", RESET, 20.0)]
    )
    def test_two_faults_can_cut_it_off(self, cut, without_store):
        """Peers by one, the object API by the other."""
        assert is_lost(KILL, interval(cut("n1", RESET, 20.0)), interval(without_store))

    def test_all_nodes_killed_in_an_outage_take_theirs(self):
        """No node is left that holds them."""
        kill = InjectionInterval(KillAllNodes(1.0), 103.0, 104.0)
        assert is_lost(kill, interval(StoreOutage(20.0)))
        assert not is_lost(kill)

    def test_a_node_whose_peers_could_hold_them_loses_none(self):
        """An outage alone, or a cut from the object API alone, is no excuse."""
        assert not is_lost(KILL)
        assert not is_lost(KILL, interval(StoreOutage(20.0)))
        assert not is_lost(KILL, interval(CutFromPeers("n1", RESET, 20.0)))
        assert not is_lost(KILL, interval(CutOff("n2", RESET, 20.0)))

    def test_a_cut_that_heals_before_the_kill_loses_none(self):
        """Its peers got them then."""
        assert not is_lost(KILL, interval(CutOff("n1", RESET, 20.0), ended_s=102.9))

    def test_a_cut_that_begins_after_the_answer_loses_none(self):
        """Its peers had them before the caller."""
        assert not is_lost(KILL, interval(CutOff("n1", RESET, 20.0), started_s=100.1))

    def test_a_kill_before_the_refusal_takes_nothing(self):
        """The next process of the node answered it."""
        early = InjectionInterval(KillNode("n1", 1.0), 98.0, 99.0)
        assert not is_lost(early, interval(CutOff("n1", RESET, 20.0)))
