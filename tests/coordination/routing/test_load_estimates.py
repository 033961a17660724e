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
    """Return estimates with a peer that told its digest, and the own counts."""
    nodes, in_flight = NodeTable(), InFlightTable()
    incarnation = Incarnation("1")
    nodes.observe(
        NodeLease(
            PEER, incarnation, Zone("a"), "h", 1, "", NodeState.SERVING, 60, WriteId("")
        ),
        Version(1),
    )
    reports = {ENGINE: peer_report} if peer_report else {}
    nodes.heard(
        NodeDigest(
            PEER,
            incarnation,
            NodeState.SERVING,
            Generation(1),
            {ENGINE: peer_in_flight},
            reports,
        )
    )
    made = LoadEstimates(NODE, nodes, in_flight)
    made.refresh()
    return made, in_flight


class TestLoad:
    """The estimate of one endpoint."""

    def test_adds_own_and_peers_requests(self):
        """Without a report what nodes have under way counts."""
        made, in_flight = estimates(peer_in_flight=3)
        in_flight.begin(ENGINE)
        assert made.load(ENGINE) == 4

    def test_adds_own_requests_to_a_lagging_report(self):
        """Requests begun since the report are not in it yet."""
        made, in_flight = estimates()
        made.record_report(ENGINE, LoadReport(5, 2))
        in_flight.begin(ENGINE)
        assert made.load(ENGINE) == 8

    def test_takes_reports_from_peers(self):
        """A node need not poll an engine that a peer polls."""
        made, _ = estimates(peer_report=LoadReport(6, 0, slots=8))
        assert made.load(ENGINE) == 6
        assert made.report(ENGINE).slots == 8

    def test_polled_reports_are_told_on(self):
        """Only what this node polled itself goes into its digest."""
        made, _ = estimates(peer_report=LoadReport(6, 0))
        assert made.polled_by_id() == {}
        made.record_report(ENGINE, LoadReport(1, 0))
        assert made.polled_by_id() == {ENGINE: LoadReport(1, 0)}


class TestReportAge:
    """How long an endpoint has told nothing."""

    def test_counts_from_the_last_report_or_the_start(self):
        """A report is younger than the node; an unheard endpoint is not."""
        given, _ = estimates()
        given.record_report(ENGINE, LoadReport(0, 0, 8))
        heard_s = given.report_age_s(ENGINE)
        assert 0 <= heard_s < given.report_age_s(EndpointId("engine-9"))
