"""Tests of actions under random faults, with real processes."""

import random

from bench.action_faults import NODES, draw_fault, run, violations
from camphoryard.state.verdict import Verdict
from standins.fleet import Fleet
from standins.site import SiteSpec, start_site

SEED = 7
RUN_S = 8.0


class TestDrawFault:
    """Drawing random faults."""

    def test_same_seed_gives_the_same_faults(self):
        """A run can be reproduced from its seed."""
        rng, same_rng = random.Random(SEED), random.Random(SEED)
        for _ in range(20):
            assert draw_fault(rng, ["n1", "n2"]) == draw_fault(same_rng, ["n1", "n2"])


class TestRun:
    """A complete run."""

    def test_history_has_no_violations(self):
        """No action ran twice, and none ran after the verdict "not run"."""
        with Fleet() as fleet:
            site = start_site(fleet, SiteSpec(nodes=NODES, fence_ignoring_engines=0))
            history = run(site, SEED, RUN_S)
            assert history.faults
            assert any(
                item.send.verdict is Verdict.RAN for item in history.recorded_sends
            )
            assert violations(site, history) == ()
