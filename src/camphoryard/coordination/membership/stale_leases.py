"""Rule for the deletion of a dead node's lease by another node.

A deleted lease counts as proof that its incarnation has ended, and unresponsive
nodes still count toward the majority. So a missing heartbeat, for however long, does
not permit a deletion. The platform must list the VM as gone, which proves the same
and has already excluded the node from the majority.
"""

from collections.abc import Mapping

from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import EndpointId, Incarnation
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.vms import VmTable

LEASE_RETENTION_S = 3600.0


def is_stale(
    lease: NodeLease,
    nodes: NodeTable,
    vms: VmTable,
    record_by_id: Mapping[EndpointId, EndpointRecord],
) -> bool:
    """Return whether the lease is no longer needed.

    A lease is retained while an endpoint's record names its incarnation or one that
    the lease lists as ended: a later incarnation at the same address reads from the
    lease that these have ended.
    """
    unresponsive_s = nodes.last_alive_age_s(lease.node)
    if (
        unresponsive_s is None
        or unresponsive_s < LEASE_RETENTION_S
        or not vms.is_gone(lease.node)
    ):
        return False
    referenced: set[Incarnation] = set()
    for record in record_by_id.values():
        referenced.add(record.owner_incarnation)
        referenced.update(load.incarnation for load in record.in_doubt_by_id.values())
    return referenced.isdisjoint((lease.incarnation, *lease.ended))
