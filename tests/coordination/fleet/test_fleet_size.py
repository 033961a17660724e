"""Tests of the count of nodes that divides a limit."""

from camphoryard.coordination.fleet.fleet_size import LEFT_NODES_S, MIN_NODES, FleetSize
from camphoryard.state.enums import NodeState
from camphoryard.state.nodes import NodeLease, NodeTable
from tests.fakes.engines import Clock


class TestFleetSize:
    """A limit is never divided by too few."""

    def test_a_node_that_knows_no_others_counts_the_minimum(self):
        """Nodes of a fleet that starts do not know each other yet."""
        assert FleetSize(NodeTable()).count() == MIN_NODES

    def test_the_nodes_of_an_earlier_process_count_for_some_time(self):
        """Nodes that restart together find few others in the store."""
        clock = Clock()
        size = FleetSize(NodeTable(), clock)
        size.remember(78)
        assert size.count() == 78
        clock.advance(LEFT_NODES_S)
        assert size.count() == MIN_NODES

    def test_a_node_that_left_still_counts(self):
        """What it has used of a limit is still in the window."""
        nodes = NodeTable()
        for number in range(MIN_NODES + 1):
            lease = NodeLease(
                f"n{number}", "i", "a", "h", 1, "", NodeState.SERVING, 60.0, "w"
            )
            nodes.observe(lease, 1)
        nodes.forget("n0")
        assert FleetSize(nodes).count() == MIN_NODES + 1
