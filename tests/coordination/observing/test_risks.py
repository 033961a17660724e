"""Tests of finding risks."""

from dataclasses import replace

import pytest

from camphoryard.coordination.observing.risks import (
    UNCONFIRMED_AFTER_S,
    NodeView,
    SystemView,
    find_risks,
)
from camphoryard.coordination.refusals.refusals import RefusalKey
from camphoryard.state.configuration import Configuration, Endpoint
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState, Reason, RiskKind

ENGINE = Endpoint("e", EndpointKind.ENGINE, "10.0.0.1", 1, 10)
OWN = NodeView("a", NodeState.SERVING, 4, True, False, 0.0)
HEALTHY = SystemView("a", Configuration(4), True, 0.5, (OWN,), {}, {}, {}, 100)


def kinds(view):
    """Return kinds and subjects of the risks found."""
    return [(risk.kind, risk.subject) for risk in find_risks(view)]


class TestFindRisks:
    """Each risk is found, and no other one."""

    def test_no_risk(self):
        """A healthy system has no risk."""
        assert kinds(HEALTHY) == []

    @pytest.mark.parametrize("age_s", [None, 60.0])
    def test_store_unresponsive(self, age_s):
        """An object API without a recent answer is reported."""
        view = replace(HEALTHY, store_age_s=age_s)
        assert kinds(view) == [(RiskKind.STORE_SILENT, "object API")]

    def test_stale(self):
        """A node that refuses because of a stale configuration is reported."""
        view = replace(HEALTHY, is_current=False)
        assert kinds(view) == [(RiskKind.STALE_CONFIGURATION, "a")]

    def test_nodes(self):
        """Outdated and unresponsive nodes are reported, but not nodes that are gone."""
        behind = replace(OWN, node="b", generation=3)
        unresponsive = replace(OWN, node="c", is_alive=False)
        gone = replace(OWN, node="d", is_alive=False, is_gone=True)
        view = replace(HEALTHY, nodes=(OWN, behind, unresponsive, gone))
        assert kinds(view) == [
            (RiskKind.NODE_BEHIND, "b"),
            (RiskKind.NODE_SILENT, "c"),
        ]

    def test_engine_without_owner(self):
        """An engine without an owner is reported."""
        view = replace(
            HEALTHY, configuration=Configuration(4, endpoints_by_id={"e": ENGINE})
        )
        assert kinds(view) == [(RiskKind.NO_OWNER, "e")]

    @pytest.mark.parametrize(
        ("is_silent", "age_s", "is_found"),
        [
            (False, 0.0, False),
            (False, UNCONFIRMED_AFTER_S, False),
            (False, UNCONFIRMED_AFTER_S + 1, True),
            (True, 0.0, True),
        ],
    )
    def test_engine_unconfirmed_by_its_live_owner(self, is_silent, age_s, is_found):
        """An unresponsive engine, or one without a recent report, is reported."""
        record = EndpointRecord("e", 10, "a", "i", 1, "w", is_silent=is_silent)
        view = replace(
            HEALTHY,
            configuration=Configuration(4, endpoints_by_id={"e": ENGINE}),
            records_by_endpoint={"e": record},
            report_age_s_by_endpoint={"e": age_s},
        )
        found = [(RiskKind.ENDPOINT_UNCONFIRMED, "e")] if is_found else []
        assert kinds(view) == found

    def test_recent_refusals(self):
        """Refusals of the last minutes are summed by reason; older ones are ignored."""
        counts = {
            RefusalKey(Reason.DEADLINE, "x", 99): 2,
            RefusalKey(Reason.DEADLINE, "y", 100): 1,
            RefusalKey(Reason.OVERLOADED, "x", 90): 5,
        }
        found = find_risks(replace(HEALTHY, refusals_by_key=counts))
        assert [(risk.subject, risk.detail[0]) for risk in found] == [("deadline", "3")]
