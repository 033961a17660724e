"""Tests of a node's time line."""

from camphoryard.coordination.observing.timeline import MAX_EVENTS, Timeline
from camphoryard.state.timeline import HybridClock


class TestTimeline:
    """Storing and logging events."""

    def test_values_are_converted_to_text(self):
        """The values of a tuple are joined by commas, as log lines have them."""
        logged = []
        timeline = Timeline("n1", HybridClock(), logged.append)
        timeline.record("load_not_started", items=("m", "m:a"), attempt=2)
        assert logged == list(timeline.events())
        assert logged[0].fields == {"items": "m,m:a", "attempt": "2"}

    def test_only_the_latest_events_are_stored(self):
        """Memory is bounded; the oldest events are dropped first."""
        timeline = Timeline("n1", HybridClock(), lambda event: None)
        for number in range(MAX_EVENTS + 1):
            timeline.record("event", number=number)
        stored = timeline.events()
        assert len(stored) == MAX_EVENTS
        assert stored[0].fields == {"number": "1"}
