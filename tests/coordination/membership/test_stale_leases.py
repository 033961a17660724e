"""Tests of the rule for deleting leases of dead nodes."""

import time

import pytest

from camphoryard.coordination.membership.stale_leases import LEASE_RETENTION_S, is_stale
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.enums import NodeState, VmState
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.vms import VmTable, node_vm

PREVIOUS, FIRST = "start-2", "start-1"
LEASE = NodeLease(
    "n1", PREVIOUS, "a", "h", 1, "", NodeState.SERVING, 3.0, "w", ended=(FIRST,)
)


def make_record(owner="other", loader="other"):
    """Return a record that names the incarnations of its owner and of a load."""
    load = UnconfirmedLoad("model/m", 1, 1, "n1", loader)
    return EndpointRecord("e", 9, "n1", owner, 1, "w", in_doubt_by_id={"o": load})


@pytest.fixture
def nodes(monkeypatch):
    """Return a table in which node n1 is past the lease retention."""
    nodes = NodeTable()
    nodes.observe(LEASE, 1)
    later_s = time.monotonic() + LEASE_RETENTION_S
    monkeypatch.setattr(time, "monotonic", lambda: later_s)
    return nodes


def make_vms(state):
    """Return a VM table that lists node n1 in ``state``, or not at all."""
    vms = VmTable()
    vms.observe({node_vm("n1"): state} if state else {})
    return vms


class TestIsStale:
    """When a lease may be deleted."""

    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (VmState.GONE, True),
            (VmState.LEAVING, False),
            (VmState.LIVE, False),
            (None, False),
        ],
    )
    def test_only_a_vm_listed_as_gone(self, nodes, state, expected):
        """An unresponsive node may be paused and resume at any time."""
        assert is_stale(LEASE, nodes, make_vms(state), {}) is expected

    def test_recently_renewed_lease_is_retained(self, nodes):
        """The VM list may lag behind a VM that has been started again."""
        nodes.observe(LEASE, 2)
        assert not is_stale(LEASE, nodes, make_vms(VmState.GONE), {})

    def test_unknown_lease_is_retained(self):
        """It is not known how long its node has been unresponsive."""
        assert not is_stale(LEASE, NodeTable(), make_vms(VmState.GONE), {})

    @pytest.mark.parametrize(
        "record",
        [
            make_record(owner=PREVIOUS),
            make_record(loader=PREVIOUS),
            make_record(loader=FIRST),
        ],
    )
    def test_lease_named_by_a_record_is_retained(self, nodes, record):
        """A later incarnation reads from the lease that the loads have ended."""
        vms = make_vms(VmState.GONE)
        assert not is_stale(LEASE, nodes, vms, {"e": record})
        assert is_stale(LEASE, nodes, vms, {"e": make_record()})
