"""Tests of suspects and their trials."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from camphoryard.coordination.inference.suspects import Suspects, TrialLocks
from camphoryard.coordination.messages import CrashReport, TrialEnded, TrialRequest
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import EndpointId, Fingerprint, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import FAR_DEADLINE_S, NODE, NoPeers, timeline

FIRST, SECOND, THIRD = (EndpointId(f"engine-{index}") for index in range(3))
POISON, OTHER = Fingerprint("poison"), Fingerprint("other")
PEER = NodeId("node-2")
ALIVE = frozenset({NODE, PEER})


def make_suspects():
    """Return the suspects known to a node without peers."""
    return Suspects(NODE, NodeTable(), NoPeers(), timeline())


def is_quarantined(suspects, request=POISON):
    """Return whether a request is refused."""
    try:
        suspects.check(request, Verdict.NOT_RUN)
    except RefusalError:
        return True
    return False


class TestSuspects:
    """Crashes, and which request is quarantined for them."""

    def test_crash_during_trial_quarantines(self):
        """A suspect whose endpoint crashes during its trial is the cause."""
        suspects = make_suspects()
        suspects.begin(POISON, FIRST, FAR_DEADLINE_S).record_crash()
        assert not is_quarantined(suspects)
        suspects.begin(POISON, SECOND, FAR_DEADLINE_S).record_crash()
        assert is_quarantined(suspects)

    def test_crash_after_the_trial_does_not_quarantine(self):
        """A second crash after the first token does not quarantine."""
        suspects = make_suspects()
        suspects.begin(OTHER, FIRST, FAR_DEADLINE_S).record_crash()
        trial = suspects.begin(OTHER, SECOND, FAR_DEADLINE_S)
        trial.mark_passed()
        trial.record_crash()
        assert not is_quarantined(suspects, OTHER)

    def test_two_runs_at_one_endpoint_count_as_one_crash(self):
        """A prompt that ran twice at an endpoint is not quarantined for one crash."""
        suspects = make_suspects()
        for _ in range(2):
            suspects.record_crash(CrashReport(OTHER, FIRST, early=True, on_trial=False))
        assert not is_quarantined(suspects, OTHER)

    def test_early_crashes_of_two_endpoints_quarantine(self):
        """A poison request sent twice at once is quarantined after two crashes."""
        suspects = make_suspects()
        for endpoint in (FIRST, SECOND):
            suspects.record_crash(
                CrashReport(POISON, endpoint, early=True, on_trial=False)
            )
        assert is_quarantined(suspects)

    def test_suspect_waits_until_its_other_run_ends(self):
        """A suspect runs at one endpoint at a time."""
        suspects = make_suspects()
        suspects.record_crash(CrashReport(POISON, FIRST, early=True, on_trial=False))
        trial = suspects.begin(POISON, SECOND, FAR_DEADLINE_S)
        with pytest.raises(RefusalError):
            suspects.begin(POISON, THIRD, time.monotonic())
        trial.end()
        assert suspects.begin(POISON, THIRD, FAR_DEADLINE_S).is_suspect

    def test_suspect_of_a_peer_needs_a_trial(self):
        """A suspect merged from a peer is quarantined by its next crash."""
        peer, own = make_suspects(), make_suspects()
        peer.record_crash(CrashReport(POISON, FIRST, early=True, on_trial=False))
        own.merge(peer.known())
        own.begin(POISON, SECOND, FAR_DEADLINE_S).record_crash()
        assert is_quarantined(own)

    def test_merge_keeps_own_crashes(self):
        """Merging an older record of a peer loses no own crash."""
        peer, own = make_suspects(), make_suspects()
        peer.record_crash(CrashReport(POISON, FIRST, early=True, on_trial=False))
        for endpoint in (FIRST, SECOND):
            own.record_crash(CrashReport(POISON, endpoint, early=True, on_trial=False))
        own.merge(peer.known())
        assert is_quarantined(own)
        (known,) = own.known()
        assert set(known.crashed) == {FIRST, SECOND}

    def test_started_node_waits_until_it_is_synced(self):
        """No request starts before the suspects of peers have been merged."""
        peer = make_suspects()
        for endpoint in (FIRST, SECOND):
            peer.record_crash(CrashReport(POISON, endpoint, early=True, on_trial=False))
        own = Suspects(NODE, NodeTable(), NoPeers(), timeline(), must_sync=True)
        with ThreadPoolExecutor(1) as executor:
            refused = executor.submit(is_quarantined, own)
            own.merge(peer.known())
            own.mark_synced()
            assert refused.result()


class TestTrialLocks:
    """Trials and runs that the coordinator allows."""

    def test_one_trial_at_a_time_per_endpoint(self):
        """The next suspect may start once the first has passed its trial."""
        locks = TrialLocks()
        assert locks.acquire(TrialRequest(POISON, FIRST, NODE), ALIVE)
        assert not locks.acquire(TrialRequest(OTHER, FIRST, PEER), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=True))
        assert locks.acquire(TrialRequest(OTHER, FIRST, PEER), ALIVE)

    def test_suspect_past_its_trial_runs_at_one_endpoint(self):
        """A suspect that passed its trial may not run elsewhere until it ends."""
        locks = TrialLocks()
        locks.acquire(TrialRequest(POISON, FIRST, NODE), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=True))
        assert not locks.acquire(TrialRequest(POISON, SECOND, PEER), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=False))
        assert locks.acquire(TrialRequest(POISON, SECOND, PEER), ALIVE)

    def test_run_of_a_dead_node_has_ended(self):
        """A run whose node is not alive does not block the suspect."""
        locks = TrialLocks()
        locks.acquire(TrialRequest(POISON, FIRST, PEER), ALIVE)
        assert locks.acquire(TrialRequest(POISON, SECOND, NODE), frozenset({NODE}))
