"""Tests of finalizing claims."""

from dataclasses import replace

from camphoryard.coordination.actions.claim_finalizer import (
    ClaimFinalizer,
    Finalization,
)
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState
from camphoryard.state.errors import ConflictError
from camphoryard.state.ids import ABSENT
from camphoryard.state.timeline import HybridClock
from tests.fakes.object_api import InMemoryRecords

CLAIM = Claim(ClaimState.CLAIMED, "i1", "r1", "print", "write-1")
RELEASED = replace(CLAIM, state=ClaimState.RELEASED, write_id="write-2")
FINALIZATION = Finalization("k", "write-1", RELEASED)


def make_finalizer(records):
    """Return a finalizer that writes to ``records``."""
    return ClaimFinalizer(records, Timeline("n1", HybridClock(), lambda event: None))


def state_of(records):
    """Return the state of the only claim."""
    return records.get("k").record.state


class TestClaimFinalizer:
    """Finalizing claims at once and with retries."""

    def test_claim_is_finalized_at_its_version(self):
        """The final claim replaces the original one."""
        records = InMemoryRecords()
        version = records.put("k", CLAIM, ABSENT)
        make_finalizer(records).finalize(FINALIZATION, version)
        assert state_of(records) is ClaimState.RELEASED

    def test_outage_only_delays_finalization(self):
        """A final claim is written when the object API is available again."""
        records = InMemoryRecords()
        version = records.put("k", CLAIM, ABSENT)
        finalizer = make_finalizer(records)
        records.outage = True
        finalizer.finalize(FINALIZATION, version)
        finalizer.finalize_pending()
        assert finalizer.pending == 1
        records.outage = False
        finalizer.finalize_pending()
        assert (finalizer.pending, state_of(records)) == (0, ClaimState.RELEASED)

    def test_late_write_of_a_released_claim_fails(self):
        """A write of the claim that arrives after its release has no effect."""
        records = InMemoryRecords()
        finalizer = make_finalizer(records)
        finalizer.finalize_later(FINALIZATION)
        finalizer.finalize_pending()
        try:
            records.put("k", CLAIM, ABSENT)
        except ConflictError:
            pass
        assert state_of(records) is ClaimState.RELEASED

    def test_late_write_over_an_earlier_release_fails(self):
        """A late write that expects an earlier released claim has no effect either."""
        records = InMemoryRecords()
        earlier = replace(RELEASED, write_id="earlier")
        version = records.put("k", earlier, ABSENT)
        finalizer = make_finalizer(records)
        finalizer.finalize_later(FINALIZATION)
        finalizer.finalize_pending()
        try:
            records.put("k", CLAIM, version)
        except ConflictError:
            pass
        assert state_of(records) is ClaimState.RELEASED

    def test_claim_of_another_request_is_not_changed(self):
        """Only the claim that the finalization belongs to is finalized."""
        records = InMemoryRecords()
        records.put("k", replace(CLAIM, write_id="other"), ABSENT)
        finalizer = make_finalizer(records)
        finalizer.finalize_later(FINALIZATION)
        finalizer.finalize_pending()
        assert (finalizer.pending, state_of(records)) == (0, ClaimState.CLAIMED)

    def test_lost_answer_does_not_finalize_twice(self):
        """A final claim whose write succeeded without an answer is found on retry."""
        records = InMemoryRecords()
        records.put("k", CLAIM, ABSENT)
        finalizer = make_finalizer(records)
        finalizer.finalize_later(FINALIZATION)
        records.lose_answers = 1
        finalizer.finalize_pending()
        finalizer.finalize_pending()
        assert (finalizer.pending, state_of(records)) == (0, ClaimState.RELEASED)
