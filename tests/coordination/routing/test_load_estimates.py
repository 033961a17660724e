"""Tests of load estimates."""

from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.enums import NodeState
from camphoryard.state.ids import (
    EndpointId,
    Generation,
    Incarnation,
    NodeId,
    Version,
    WriteId,
    Zone,
)
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable
from camphoryard.state.tables import InFlightTable

NODE, PEER = NodeId("node-1"), NodeId("node-2")
ENGINE = EndpointId("engine-1")


def estimates(peer_in_flight=0, peer_report=None):
    """Return estimates that include a peer's digest, and the in-flight table."""
    nodes, in_flight = NodeTable(), InFlightTable()
    incarnation = Incarnation("1")
    nodes.observe(
        NodeLease(
            PEER, incarnation, Zone("a"), "h", 1, "", NodeState.SERVING, 60, WriteId("")
        ),
        Version(1),
    )
    reports = {ENGINE: peer_report} if peer_report else {}
    nodes.observe_digest(
        NodeDigest(
            PEER,
            incarnation,
            NodeState.SERVING,
            Generation(1),
            {ENGINE: peer_in_flight},
            reports,
        )
    )
    load_estimates = LoadEstimates(NODE, nodes, in_flight)
    load_estimates.refresh()
    return load_estimates, in_flight


class TestLoad:
    """The estimate of one endpoint."""

    def test_adds_own_and_peers_requests(self):
        """Without a report the nodes' in-flight requests are added up."""
        load_estimates, in_flight = estimates(peer_in_flight=3)
        in_flight.begin(ENGINE)
        assert load_estimates.load(ENGINE) == 4

    def test_adds_own_requests_to_a_lagging_report(self):
        """Requests started since the report are not included in it."""
        load_estimates, in_flight = estimates()
        load_estimates.record_report(ENGINE, LoadReport(5, 2))
        in_flight.begin(ENGINE)
        assert load_estimates.load(ENGINE) == 8

    def test_uses_reports_from_peers(self):
        """A node need not poll an engine that a peer polls."""
        load_estimates, _ = estimates(peer_report=LoadReport(6, 0, slots=8))
        assert load_estimates.load(ENGINE) == 6
        assert load_estimates.report(ENGINE).slots == 8

    def test_only_polled_reports_are_passed_on(self):
        """A node's digest contains only the reports that it polled itself."""
        load_estimates, _ = estimates(peer_report=LoadReport(6, 0))
        assert load_estimates.polled_by_id() == {}
        load_estimates.record_report(ENGINE, LoadReport(1, 0))
        assert load_estimates.polled_by_id() == {ENGINE: LoadReport(1, 0)}


class TestReportAge:
    """The age of an endpoint's last report."""

    def test_counts_from_the_last_report_or_node_start(self):
        """An endpoint without a report counts from the start of the node."""
        load_estimates, _ = estimates()
        load_estimates.record_report(ENGINE, LoadReport(0, 0, 8))
        reported_age_s = load_estimates.report_age_s(ENGINE)
        assert 0 <= reported_age_s < load_estimates.report_age_s(EndpointId("engine-9"))
