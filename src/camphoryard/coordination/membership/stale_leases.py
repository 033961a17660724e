"""Which leases of dead nodes may be deleted by others.

The deletion of a lease counts as the proof that its start is over, and nodes of
which nothing is heard count among all nodes when a majority is asked for. So
silence alone, however long, is no ground: the platform must list the VM as gone,
which is the same proof and has taken the node out of the majority already.
"""

from collections.abc import Mapping

from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import EndpointId, Incarnation
from camphoryard.state.nodes import NodeLease, NodeTable
from camphoryard.state.vms import VmTable

LEASES_KEPT_S = 3600.0


def is_stale(
    lease: NodeLease,
    nodes: NodeTable,
    vms: VmTable,
    record_by_id: Mapping[EndpointId, EndpointRecord],
) -> bool:
    """Return whether nobody needs the lease any more.

    It is kept while an endpoint's record names its start, or one that it names
    as ended: a later start at its address learns from it that these are over.
    """
    last_alive_age_s = nodes.last_alive_age_s(lease.node)
    if (
        last_alive_age_s is None
        or last_alive_age_s < LEASES_KEPT_S
        or not vms.is_gone(lease.node)
    ):
        return False
    named: set[Incarnation] = set()
    for record in record_by_id.values():
        named.add(record.owner_incarnation)
        named.update(doubt.incarnation for doubt in record.in_doubt_by_id.values())
    return named.isdisjoint((lease.incarnation, *lease.ended))
