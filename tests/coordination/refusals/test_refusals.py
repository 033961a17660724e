"""Tests of this node's counts of refusals."""

import time

from camphoryard.coordination.refusals.refusals import (
    KEPT_MINUTES,
    SECONDS_PER_MINUTE,
    RefusalCounter,
)
from camphoryard.state.enums import Reason


class TestRefusalCounter:
    """Counting, handing over and folding."""

    def test_every_refusal_is_counted(self):
        """Refusals are counted by reason, label and caller."""
        counter = RefusalCounter("i1")
        for _ in range(3):
            counter.count(Reason.OVERLOADED, "desk=public", "meter-app")
        counter.count(Reason.DEADLINE, "desk=public", "meter-app")
        counts = {(key.reason, n) for key, n in counter.by_key().items()}
        assert counts == {(Reason.OVERLOADED, 3), (Reason.DEADLINE, 1)}

    def test_refused_caller_waits_for_the_handover(self):
        """The count is held elsewhere before ``count`` returns."""
        counter = RefusalCounter("i1")
        held = []

        def hand_over():
            unhanded = counter.unhanded(0)
            held.append(unhanded.sheet.counts[0].count)
            counter.handed(unhanded.number)

        counter.subscribe(hand_over)
        counter.count(Reason.OVERLOADED, "")
        assert held == [1]
        assert counter.unhanded(counter.number) is None

    def test_what_came_during_a_handover_is_still_to_hand(self):
        """Only counts up to the handed number are done with."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        unhanded = counter.unhanded(0)
        counter.count(Reason.OVERLOADED, "")
        counter.handed(unhanded.number)
        assert counter.unhanded(unhanded.number).sheet.counts[0].count == 2

    def test_new_holder_gets_all_that_is_not_folded(self):
        """A peer that takes over as holder misses nothing."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.folded(counter.unfolded().counts)
        counter.count(Reason.DEADLINE, "")
        counter.handed(counter.unhanded(0).number)
        (left,) = counter.unhanded(0).sheet.counts
        assert (left.key.reason, left.count) == (Reason.DEADLINE, 1)

    def test_folded_counts_are_forgotten_when_they_are_old(self, monkeypatch):
        """What the object API has does not fill the memory for ever."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.folded(counter.unfolded().counts)
        later_s = time.time() + (KEPT_MINUTES + 1) * SECONDS_PER_MINUTE
        monkeypatch.setattr(time, "time", lambda: later_s)
        counter.count(Reason.DEADLINE, "")
        counter.folded(counter.unfolded().counts)
        assert {key.reason for key in counter.by_key()} == {Reason.DEADLINE}

    def test_folded_counts_are_not_written_again(self):
        """Only keys that changed since are left to fold."""
        counter = RefusalCounter("i1")
        counter.count(Reason.OVERLOADED, "")
        counter.count(Reason.DEADLINE, "")
        written = counter.unfolded().counts
        counter.count(Reason.DEADLINE, "")
        counter.folded(written)
        (left,) = counter.unfolded().counts
        assert (left.key.reason, left.count) == (Reason.DEADLINE, 2)
