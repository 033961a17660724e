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
from tests.fakes.serving import FAR_S, NODE, NoPeers, timeline

FIRST, SECOND, THIRD = (EndpointId(f"engine-{index}") for index in range(3))
POISON, OTHER = Fingerprint("poison"), Fingerprint("other")
PEER = NodeId("node-2")
ALIVE = frozenset({NODE, PEER})


def suspects():
    """Return the suspects of a node without peers."""
    return Suspects(NODE, NodeTable(), NoPeers(), timeline())


def is_quarantined(given, request=POISON):
    """Return whether a request is refused."""
    try:
        given.check(request, Verdict.NOT_RUN)
    except RefusalError:
        return True
    return False


class TestSuspects:
    """Crashes and who is to blame."""

    def test_crash_on_trial_quarantines(self):
        """The second crash names the culprit."""
        given = suspects()
        given.begin(POISON, FIRST, FAR_S).crashed()
        assert not is_quarantined(given)
        given.begin(POISON, SECOND, FAR_S).crashed()
        assert is_quarantined(given)

    def test_bystander_of_a_trial_is_only_a_suspect(self):
        """A request that had tokens is not blamed for another's crash."""
        given = suspects()
        given.begin(OTHER, FIRST, FAR_S).crashed()
        trial = given.begin(OTHER, SECOND, FAR_S)
        trial.passed()
        trial.crashed()
        assert not is_quarantined(given, OTHER)

    def test_two_runs_at_one_endpoint_are_one_crash(self):
        """A popular prompt is not blamed for running twice at one crash."""
        given = suspects()
        for _ in range(2):
            given.observe(CrashReport(OTHER, FIRST, early=True, on_trial=False))
        assert not is_quarantined(given, OTHER)

    def test_first_runs_at_two_endpoints_that_crashed_quarantine(self):
        """A poison sent twice at once is known after two crashes."""
        given = suspects()
        for endpoint in (FIRST, SECOND):
            given.observe(CrashReport(POISON, endpoint, early=True, on_trial=False))
        assert is_quarantined(given)

    def test_suspect_waits_for_its_other_run(self):
        """A suspect runs at one endpoint at a time."""
        given = suspects()
        given.observe(CrashReport(POISON, FIRST, early=True, on_trial=False))
        trial = given.begin(POISON, SECOND, FAR_S)
        with pytest.raises(RefusalError):
            given.begin(POISON, THIRD, time.monotonic())
        trial.end()
        assert given.begin(POISON, THIRD, FAR_S).is_suspect

    def test_learned_suspect_is_on_trial(self):
        """A second crash after what a peer told names the culprit."""
        there, here = suspects(), suspects()
        there.observe(CrashReport(POISON, FIRST, early=True, on_trial=False))
        here.merge(there.known())
        here.begin(POISON, SECOND, FAR_S).crashed()
        assert is_quarantined(here)

    def test_learning_takes_nothing_back(self):
        """What a peer does not know yet stays known here."""
        there, here = suspects(), suspects()
        there.observe(CrashReport(POISON, FIRST, early=True, on_trial=False))
        for endpoint in (FIRST, SECOND):
            here.observe(CrashReport(POISON, endpoint, early=True, on_trial=False))
        here.merge(there.known())
        assert is_quarantined(here)
        (known,) = here.known()
        assert set(known.crashed) == {FIRST, SECOND}

    def test_started_node_waits_until_it_has_learned(self):
        """No request begins before what peers know has been taken in."""
        there = suspects()
        for endpoint in (FIRST, SECOND):
            there.observe(CrashReport(POISON, endpoint, early=True, on_trial=False))
        here = Suspects(NODE, NodeTable(), NoPeers(), timeline(), must_sync=True)
        with ThreadPoolExecutor(1) as executor:
            refused = executor.submit(is_quarantined, here)
            here.merge(there.known())
            here.mark_synced()
            assert refused.result()


class TestTrialLocks:
    """What the coordinator lets run."""

    def test_one_suspect_on_trial_at_an_endpoint(self):
        """The next one starts once the first has got past its trial."""
        locks = TrialLocks()
        assert locks.take(TrialRequest(POISON, FIRST, NODE), ALIVE)
        assert not locks.take(TrialRequest(OTHER, FIRST, PEER), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=True))
        assert locks.take(TrialRequest(OTHER, FIRST, PEER), ALIVE)

    def test_passed_suspect_still_runs_once(self):
        """Past its trial a suspect is barred elsewhere until it has ended."""
        locks = TrialLocks()
        locks.take(TrialRequest(POISON, FIRST, NODE), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=True))
        assert not locks.take(TrialRequest(POISON, SECOND, PEER), ALIVE)
        locks.end(TrialEnded(POISON, NODE, passed=False))
        assert locks.take(TrialRequest(POISON, SECOND, PEER), ALIVE)

    def test_run_of_a_dead_node_is_over(self):
        """A node that died holds no trial."""
        locks = TrialLocks()
        locks.take(TrialRequest(POISON, FIRST, PEER), ALIVE)
        assert locks.take(TrialRequest(POISON, SECOND, NODE), frozenset({NODE}))
