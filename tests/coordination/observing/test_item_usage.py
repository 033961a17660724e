"""Tests of the times of the last use of items."""

from camphoryard.coordination.messages import ItemsUsed
from camphoryard.coordination.observing.item_usage import ItemUsage
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.tables import EndpointTable


class FakePeers:
    """Peers that record sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, node, message):
        """Record a message."""
        self.sent.append((node, message))


class TestUsage:
    """Times of the last use."""

    def test_use_at_this_node_is_reported_once_to_owners(self):
        """Only items loaded at their endpoints, and not those that peers reported."""
        table, peers = EndpointTable(), FakePeers()
        table.observe(EndpointRecord("e", 9, "n2", "i", 1, "w", {"a": 1, "c": 1}), 1)
        table.observe(EndpointRecord("f", 9, "n1", "i", 1, "w", {"b": 1}), 1)
        usage = ItemUsage("n1", table, peers)
        usage.record_use(("a", "b"))
        usage.record_peer_use(("c",))
        usage.report_to_owners()
        usage.report_to_owners()
        assert peers.sent == [("n2", ItemsUsed(("a",)))]
        assert usage.last_used_s("c") >= usage.last_used_s("a") > 0.0
        assert usage.last_used_s("unknown") == 0.0
