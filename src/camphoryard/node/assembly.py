"""All parts of one node, joined."""

import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.expiry import run_expiry
from camphoryard.coordination.admission.admission import Admission
from camphoryard.coordination.fleet.node_registration import apply_lease
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.membership.peer_messages import PeerMessageContext
from camphoryard.coordination.placement.placer import Placer
from camphoryard.coordination.ports import Stored, VmList
from camphoryard.coordination.record_watcher import RecordWatcher
from camphoryard.coordination.refusals.refusal_persistence import RefusalPersister
from camphoryard.coordination.refusals.refusal_replication import RefusalReplicator
from camphoryard.coordination.residency.ownership import NodeLeaseRenewer
from camphoryard.node.control_plane import (
    Control,
    make_control,
    make_lease,
    make_membership,
)
from camphoryard.node.front_ends import make_app
from camphoryard.node.jobs import make_expiry, make_job_parts, make_job_runner
from camphoryard.node.placement import make_placer
from camphoryard.node.platform import Platform, make_platform, make_vm_list
from camphoryard.node.residency import Residency, make_residency
from camphoryard.node.serving import make_serving
from camphoryard.node.shared import Shared, make_shared
from camphoryard.settings import Settings
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.nodes import NodeLease
from camphoryard.state.tables import EndpointTable
from camphoryard.transport.app import App
from camphoryard.transport.timer import TimerService

BATCHES_PER_LEASE = 8
MAX_LEASE_BATCH_S = 1.0


@dataclass(frozen=True, slots=True)
class Node:
    """All parts of one running node."""

    shared: Shared
    leases: NodeLeaseRenewer
    followers: tuple[RecordWatcher[Any], ...]
    vm_list: VmList
    residency: Residency
    placer: Placer
    control: Control
    membership: PeerMessageContext
    admission: Admission
    door: RequestGateway
    settler: ClaimFinalizer
    refusal_folder: RefusalPersister
    refusal_handover: RefusalReplicator
    background: tuple[Callable[[TimerService], None], ...]
    app: App


def make_node(settings: Settings) -> Node:
    """Return a node with all parts joined, nothing running yet but the timer."""
    shared = make_shared(settings)
    platform = make_platform(settings.platform, shared.client)
    residency = make_residency(shared, platform)
    settler = ClaimFinalizer(platform.claims, shared.timeline)
    serving = make_serving(shared, platform, residency, settler)
    folder = RefusalPersister(platform.refusals, shared.refusals, shared.nodes)
    handover = RefusalReplicator(
        shared.identity.node,
        settings.node.zone,
        shared.refusals,
        shared.nodes,
        shared.peers,
    )
    jobs = make_job_parts(shared, platform)
    runner = make_job_runner(shared, jobs, serving)
    expiry = make_expiry(shared, platform)
    control = make_control(shared, platform, serving)
    followers = (
        control.heads,
        RecordWatcher(
            platform.endpoints, functools.partial(_take_record, shared.table)
        ),
        make_leases(shared, platform),
    )
    return Node(
        shared,
        NodeLeaseRenewer(
            platform.leases,
            shared.nodes,
            make_lease(settings, shared.identity),
            control.freshness.is_isolated,
        ),
        followers,
        make_vm_list(settings.platform, shared.client),
        residency,
        make_placer(shared, residency, serving),
        control,
        make_membership(shared, residency, serving, control, folder),
        serving.admission,
        serving.door,
        settler,
        folder,
        handover,
        (
            settler.run,
            handover.run,
            folder.run,
            runner.run,
            functools.partial(run_expiry, expiry),
        ),
        make_app(shared, serving.door, control, folder, jobs),
    )


def make_leases(shared: Shared, platform: Platform) -> RecordWatcher[NodeLease]:
    """Return the task that follows the leases of all nodes."""
    batch_s = shared.settings.peers.lease_s / BATCHES_PER_LEASE
    return RecordWatcher(
        platform.leases,
        functools.partial(apply_lease, shared.nodes, shared.peers),
        batch_s=min(batch_s, MAX_LEASE_BATCH_S),
    )


def _take_record(table: EndpointTable, stored: Stored[EndpointRecord]) -> None:
    if stored.record is not None:
        table.observe(stored.record, stored.version)
