"""Tests of a node's time line."""

from camphoryard.coordination.observing.timeline import MAX_EVENTS, Timeline
from camphoryard.state.timeline import HybridClock


class TestTimeline:
    """Keeping and logging events."""

    def test_values_are_plain_text(self):
        """Several values are joined, as they are read in a line of pairs."""
        logged = []
        timeline = Timeline("n1", HybridClock(), logged.append)
        timeline.record("load_not_started", items=("m", "m:a"), attempt=2)
        assert logged == list(timeline.events())
        assert logged[0].fields == {"items": "m,m:a", "attempt": "2"}

    def test_only_the_latest_are_kept(self):
        """Memory is bounded; the oldest go first."""
        timeline = Timeline("n1", HybridClock(), lambda event: None)
        for number in range(MAX_EVENTS + 1):
            timeline.record("event", number=number)
        kept = timeline.events()
        assert len(kept) == MAX_EVENTS
        assert kept[0].fields == {"number": "1"}
