"""Tests of when items were last used."""

from camphoryard.coordination.messages import ItemsUsed
from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.tables import EndpointTable


class FakePeers:
    """Peers that note what they are told."""

    def __init__(self):
        self.told = []

    def send(self, node, message):
        """Note a message."""
        self.told.append((node, message))


class TestUsage:
    """Times of last use."""

    def test_owners_are_told_once_of_what_was_used_here(self):
        """Only of what they hold, and not of what peers told this node."""
        table, peers = EndpointTable(), FakePeers()
        table.observe(EndpointRecord("e", 9, "n2", "i", 1, "w", {"a": 1, "c": 1}), 1)
        table.observe(EndpointRecord("f", 9, "n1", "i", 1, "w", {"b": 1}), 1)
        usage = ItemUsage("n1", table, peers)
        usage.used(("a", "b"))
        usage.record_peer_use(("c",))
        usage.report()
        usage.report()
        assert peers.told == [("n2", ItemsUsed(("a",)))]
        assert usage.last_used_s("c") >= usage.last_used_s("a") > 0.0
        assert usage.last_used_s("unknown") == 0.0
