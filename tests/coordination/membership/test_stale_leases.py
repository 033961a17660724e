"""Tests of which leases of dead nodes may be deleted."""

import time

import pytest

from camphoryard.coordination.membership.stale_leases import LEASES_KEPT_S, is_stale
from camphoryard.state.endpoint_record import EndpointRecord, UnconfirmedLoad
from camphoryard.state.enums import NodeState, VmState
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.vms import VmTable, node_vm

OLD, FIRST = "start-2", "start-1"
LEASE = NodeLease(
    "n1", OLD, "a", "h", 1, "", NodeState.SERVING, 3.0, "w", ended=(FIRST,)
)


def make_record(owner="other", doubtful="other"):
    """Return a record that names two starts."""
    doubt = UnconfirmedLoad("model/m", 1, 1, "n1", doubtful)
    return EndpointRecord("e", 9, "n1", owner, 1, "w", in_doubt_by_id={"o": doubt})


@pytest.fixture
def nodes(monkeypatch):
    """Return a table in which node n1 has been silent for long."""
    nodes = NodeTable()
    nodes.observe(LEASE, 1)
    later_s = time.monotonic() + LEASES_KEPT_S
    monkeypatch.setattr(time, "monotonic", lambda: later_s)
    return nodes


def make_vms(state):
    """Return what the platform lists of node n1."""
    vms = VmTable()
    vms.observe({node_vm("n1"): state} if state else {})
    return vms


class TestIsStale:
    """When a lease may go."""

    @pytest.mark.parametrize(
        ("state", "stale"),
        [
            (VmState.GONE, True),
            (VmState.LEAVING, False),
            (VmState.LIVE, False),
            (None, False),
        ],
    )
    def test_only_a_vm_listed_as_gone(self, nodes, state, stale):
        """A node that is silent may be paused and come back at any time."""
        assert is_stale(LEASE, nodes, make_vms(state), {}) is stale

    def test_renewal_of_late_keeps_it(self, nodes):
        """The list lags, also behind a VM that is there again."""
        nodes.observe(LEASE, 2)
        assert not is_stale(LEASE, nodes, make_vms(VmState.GONE), {})

    def test_lease_that_was_never_seen_is_kept(self):
        """Nobody knows how long it has been silent."""
        assert not is_stale(LEASE, NodeTable(), make_vms(VmState.GONE), {})

    @pytest.mark.parametrize(
        "record",
        [
            make_record(owner=OLD),
            make_record(doubtful=OLD),
            make_record(doubtful=FIRST),
        ],
    )
    def test_record_that_names_the_start_keeps_it(self, nodes, record):
        """A later start of the node reads there that its loads are over."""
        vms = make_vms(VmState.GONE)
        assert not is_stale(LEASE, nodes, vms, {"e": record})
        assert is_stale(LEASE, nodes, vms, {"e": make_record()})
