"""Tests of merging the time lines of all nodes."""

from concurrent.futures import ThreadPoolExecutor

from camphoryard.coordination.configuration.timeline_merging import (
    merge_timelines,
    select_events,
)
from camphoryard.coordination.messages import EventsReply
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.timeline import Event, HybridClock, Stamp


class MemoryPeers:
    """Peers with given events; other nodes do not answer."""

    def __init__(self, events_by_node):
        self.events_by_node = events_by_node

    def request(self, node, message, timeout_s):
        """Return the events of a node."""
        if node not in self.events_by_node:
            raise PeerUnreachableError(node)
        return EventsReply(select_events(self.events_by_node[node], message.fields))


class TestMergeTimelines:
    """Merging the events of all nodes."""

    def test_cause_precedes_effect(self):
        """An event that follows a message is sorted after the sender's event."""
        clocks = {name: HybridClock() for name in "ab"}
        lines = {
            name: Timeline(name, clock, lambda event: None)
            for name, clock in clocks.items()
        }
        clocks["a"].observe(Stamp(4_000_000_000_000, 0))
        lines["a"].record("asked")
        clocks["b"].observe(clocks["a"].now())
        lines["b"].record("loaded")
        clocks["a"].observe(clocks["b"].now())
        lines["a"].record("answered")
        peers = MemoryPeers({"b": lines["b"].events()})
        with ThreadPoolExecutor() as executor:
            merged = merge_timelines(lines["a"], ["b", "c"], peers, executor, {})
        names = [event.name for event in merged.events]
        assert names == ["asked", "loaded", "answered"]
        assert merged.silent == ("c",)


class TestSelectEvents:
    """Selecting events."""

    def test_all_fields_must_match(self):
        """Fields, node and event name must all match; the last events are returned."""
        events = [
            Event(Stamp(index, 0), "a", "loaded", {"model": "m", "n": str(index % 2)})
            for index in range(10)
        ]
        filters = {"event": "loaded", "node": "a", "model": "m", "n": "1"}
        found = select_events(events, filters, limit=2)
        assert [event.stamp.wall_ms for event in found] == [7, 9]
        assert select_events(events, {**filters, "model": "x"}) == ()

    def test_model_matches_events_about_its_items(self):
        """Events about a model or its adapters match, a longer model name does not."""
        fields = [
            {"item": "m"},
            {"items": "m,m:a"},
            {"load": "m:a"},
            {"item": "m2"},
            {"items": "x,m2"},
        ]
        events = [
            Event(Stamp(index, 0), "a", "intent", item)
            for index, item in enumerate(fields)
        ]
        found = select_events(events, {"model": "m"})
        assert [event.stamp.wall_ms for event in found] == [0, 1, 2]
