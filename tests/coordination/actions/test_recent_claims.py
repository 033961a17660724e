"""Tests of the recent claims of a node."""

from dataclasses import replace

from camphoryard.coordination.actions.claim_finalizer import Finalization
from camphoryard.coordination.actions.recent_claims import (
    KEPT_S,
    MAX_KEPT_BODY_BYTES,
    RecentClaims,
)
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState

CLAIM = Claim(ClaimState.CLAIMED, "i1", "r1", "print", "w1")
RUNNING = Finalization("k", "w1", CLAIM)


def in_state(state, body=b""):
    """Return the final record of the claim."""
    return replace(RUNNING, final_claim=replace(CLAIM, state=state, body=body))


class TestRecentClaims:
    """Which claims are kept, and for how long."""

    def test_last_record_is_kept(self):
        """The answer replaces the running claim."""
        recent = RecentClaims()
        recent.remember(RUNNING)
        assert recent.all() == (RUNNING,)
        done = in_state(ClaimState.DONE)
        recent.remember(done)
        assert recent.all() == (done,)

    def test_released_claim_is_not_kept(self):
        """Its key is free."""
        recent = RecentClaims()
        recent.remember(RUNNING)
        recent.remember(in_state(ClaimState.RELEASED))
        assert recent.all() == ()

    def test_answered_claim_is_kept_for_a_while(self):
        """A running one is kept until it is answered."""
        now_s = 0.0
        recent = RecentClaims(lambda: now_s)
        running = Finalization("k2", "w2", replace(CLAIM, write_id="w2"))
        recent.remember(running)
        recent.remember(in_state(ClaimState.DONE))
        now_s = KEPT_S + 1.0
        later = replace(in_state(ClaimState.UNKNOWN), claim_write="w3")
        recent.remember(later)
        assert recent.all() == (running, later)

    def test_long_answer_is_not_kept(self):
        """What is written again says that the action ran."""
        recent = RecentClaims()
        recent.remember(in_state(ClaimState.DONE, b"x" * (MAX_KEPT_BODY_BYTES + 1)))
        (kept,) = recent.all()
        assert (kept.final_claim.kept, kept.final_claim.body) == (False, b"")
