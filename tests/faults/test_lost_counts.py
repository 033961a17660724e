"""Tests of which refusal counts can be lost with a killed node."""

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
    """Return an injection that by default spans the refusal and the kill."""
    return InjectionInterval(injection, started_s, ended_s)


def is_lost(*intervals):
    """Return whether the refusal may be missing from the counts."""
    return lost_by_reason([REFUSAL], intervals) == Counter({REFUSAL.reason: 1})


class TestLostByReason:
    """Refusals stored only on a killed node."""

    def test_isolated_and_killed_node_loses_its_counts(self):
        """``make faults SEED=90417``: it reached neither peers nor the object API."""
        assert is_lost(KILL, interval(CutOff("n1", RESET, 20.0)))

    @pytest.mark.parametrize("cut", [CutFromPeers, CutTowardsPeers])
    @pytest.mark.parametrize(
        "without_store", [StoreOutage(20.0), CutFromStore("n1", RESET, 20.0)]
    )
    def test_two_faults_together_can_isolate_a_node(self, cut, without_store):
        """One cuts the node off from its peers, the other from the object API."""
        assert is_lost(KILL, interval(cut("n1", RESET, 20.0)), interval(without_store))

    def test_all_nodes_killed_in_an_outage_lose_their_counts(self):
        """No running node has a copy of the counts."""
        kill = InjectionInterval(KillAllNodes(1.0), 103.0, 104.0)
        assert is_lost(kill, interval(StoreOutage(20.0)))
        assert not is_lost(kill)

    def test_reachable_peers_or_object_api_prevent_loss(self):
        """An outage alone or a cut from peers alone does not lose counts."""
        assert not is_lost(KILL)
        assert not is_lost(KILL, interval(StoreOutage(20.0)))
        assert not is_lost(KILL, interval(CutFromPeers("n1", RESET, 20.0)))
        assert not is_lost(KILL, interval(CutOff("n2", RESET, 20.0)))

    def test_cut_that_ends_before_the_kill_loses_none(self):
        """The peers received the counts in between."""
        assert not is_lost(KILL, interval(CutOff("n1", RESET, 20.0), ended_s=102.9))

    def test_cut_that_starts_after_the_answer_loses_none(self):
        """The peers received the counts before the caller received the answer."""
        assert not is_lost(KILL, interval(CutOff("n1", RESET, 20.0), started_s=100.1))

    def test_kill_before_the_refusal_loses_none(self):
        """The restarted process of the node sent the refusal."""
        early = InjectionInterval(KillNode("n1", 1.0), 98.0, 99.0)
        assert not is_lost(early, interval(CutOff("n1", RESET, 20.0)))
