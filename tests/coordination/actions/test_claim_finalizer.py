"""Tests of ending claims."""

from dataclasses import replace

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer, Settlement
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.state.claims import Claim
from camphoryard.state.enums import ClaimState
from camphoryard.state.errors import ConflictError
from camphoryard.state.ids import ABSENT
from camphoryard.state.timeline import HybridClock
from tests.fakes.object_api import MemoryRecords

CLAIM = Claim(ClaimState.CLAIMED, "i1", "r1", "print", "write-1")
RELEASED = replace(CLAIM, state=ClaimState.RELEASED, write_id="write-2")
ENDING = Settlement("k", "write-1", RELEASED)


def make_settler(records):
    """Return a settler over ``records``."""
    return ClaimFinalizer(records, Timeline("n1", HybridClock(), lambda event: None))


def state_of(records):
    """Return the state of the one claim."""
    return records.get("k").record.state


class TestSettler:
    """Ending claims at once and later."""

    def test_claim_is_ended_at_its_version(self):
        """The ending takes the claim's place."""
        records = MemoryRecords()
        version = records.put("k", CLAIM, ABSENT)
        make_settler(records).settle(ENDING, version)
        assert state_of(records) is ClaimState.RELEASED

    def test_outage_only_delays_the_ending(self):
        """What could not be written is written once the object API answers."""
        records = MemoryRecords()
        version = records.put("k", CLAIM, ABSENT)
        settler = make_settler(records)
        records.outage = True
        settler.settle(ENDING, version)
        settler.finalize_pending()
        assert settler.pending == 1
        records.outage = False
        settler.finalize_pending()
        assert (settler.pending, state_of(records)) == (0, ClaimState.RELEASED)

    def test_late_write_of_a_released_claim_loses(self):
        """A claim's write that arrives after its release takes no effect."""
        records = MemoryRecords()
        settler = make_settler(records)
        settler.settle_later(ENDING)
        settler.finalize_pending()
        try:
            records.put("k", CLAIM, ABSENT)
        except ConflictError:
            pass
        assert state_of(records) is ClaimState.RELEASED

    def test_late_write_over_an_earlier_release_loses(self):
        """A claim's write may expect a released record instead of none."""
        records = MemoryRecords()
        earlier = replace(RELEASED, write_id="earlier")
        version = records.put("k", earlier, ABSENT)
        settler = make_settler(records)
        settler.settle_later(ENDING)
        settler.finalize_pending()
        try:
            records.put("k", CLAIM, version)
        except ConflictError:
            pass
        assert state_of(records) is ClaimState.RELEASED

    def test_claim_of_another_request_is_left_alone(self):
        """Only the claim that this settlement is about is ended."""
        records = MemoryRecords()
        records.put("k", replace(CLAIM, write_id="other"), ABSENT)
        settler = make_settler(records)
        settler.settle_later(ENDING)
        settler.finalize_pending()
        assert (settler.pending, state_of(records)) == (0, ClaimState.CLAIMED)

    def test_lost_answer_of_the_ending_is_no_second_ending(self):
        """An ending that took effect unheard is found done."""
        records = MemoryRecords()
        records.put("k", CLAIM, ABSENT)
        settler = make_settler(records)
        settler.settle_later(ENDING)
        records.lose_answers = 1
        settler.finalize_pending()
        settler.finalize_pending()
        assert (settler.pending, state_of(records)) == (0, ClaimState.RELEASED)
