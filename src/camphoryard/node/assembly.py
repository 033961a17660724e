"""Construction of a node from its components."""

import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.expiry import run_expiry
from camphoryard.coordination.admission.admission import Admission
from camphoryard.coordination.fleet.node_registration import apply_lease
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.lost_records import LostRecordWriter
from camphoryard.coordination.membership.peer_messages import (
    PeerMessageContext,
)
from camphoryard.coordination.placement.placer import Placer
from camphoryard.coordination.ports import Stored, VmList
from camphoryard.coordination.record_watcher import RecordWatcher
from camphoryard.coordination.refusals.refusal_persistence import RefusalPersister
from camphoryard.coordination.refusals.refusal_replication import RefusalReplicator
from camphoryard.coordination.residency.ownership import NodeLeaseRenewer
from camphoryard.node.control_plane import (
    ControlPlane,
    make_control_plane,
    make_lease,
    make_peer_message_context,
)
from camphoryard.node.jobs import make_expiry_context, make_job_context, make_job_runner
from camphoryard.node.placement import make_placer
from camphoryard.node.platform import Platform, make_platform, make_vm_list
from camphoryard.node.residency import Residency, make_residency
from camphoryard.node.serving import make_serving
from camphoryard.node.shared import SharedContext, make_shared_context
from camphoryard.node.wsgi_app import make_app
from camphoryard.settings import Settings
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.nodes import NodeLease
from camphoryard.state.tables import EndpointTable
from camphoryard.transport.app import App
from camphoryard.transport.timer import TimerService

BATCHES_PER_LEASE = 8
MAX_LEASE_BATCH_S = 1.0
WATCHES_PER_LEASE = 2
"""Minimum number of watches per lease duration. A watch that the object API never
answers must not leave a view stale for longer than a lease."""


@dataclass(frozen=True, slots=True)
class Node:
    """The components of one node."""

    shared: SharedContext
    lease_renewer: NodeLeaseRenewer
    watchers: tuple[RecordWatcher[Any], ...]
    vm_list: VmList
    residency: Residency
    placer: Placer
    control_plane: ControlPlane
    peer_message_context: PeerMessageContext
    admission: Admission
    gateway: RequestGateway
    claim_finalizer: ClaimFinalizer
    refusal_persister: RefusalPersister
    refusal_replicator: RefusalReplicator
    background_tasks: tuple[Callable[[TimerService], None], ...]
    app: App


def make_node(settings: Settings) -> Node:
    """Return a node of which only the timer is running."""
    shared = make_shared_context(settings)
    platform = make_platform(settings.platform, shared.client, shared.restores.observe)
    shared.restores.subscribe(
        lambda: shared.timeline.record("store_era", era=shared.restores.era)
    )
    residency = make_residency(shared, platform)
    claim_finalizer = ClaimFinalizer(platform.claims, shared.timeline)
    serving = make_serving(shared, platform, residency, claim_finalizer)
    persister = RefusalPersister(platform.refusals, shared.refusals, shared.nodes)
    replicator = RefusalReplicator(
        shared.identity.node,
        settings.node.zone,
        shared.refusals,
        shared.nodes,
        shared.peers,
    )
    jobs = make_job_context(shared, platform)
    runner = make_job_runner(shared, jobs, serving)
    expiry = make_expiry_context(shared, platform)
    control_plane = make_control_plane(shared, platform, serving)
    watchers = (
        control_plane.head_watcher,
        make_endpoint_watcher(shared, platform),
        make_lease_watcher(shared, platform),
    )
    return Node(
        shared,
        NodeLeaseRenewer(
            platform.leases,
            shared.nodes,
            make_lease(settings, shared.identity),
            control_plane.freshness.is_isolated,
        ),
        watchers,
        make_vm_list(settings.platform, shared.client),
        residency,
        make_placer(shared, residency, serving),
        control_plane,
        make_peer_message_context(shared, residency, serving, control_plane, persister),
        serving.admission,
        serving.gateway,
        claim_finalizer,
        persister,
        replicator,
        (
            claim_finalizer.run,
            replicator.run,
            persister.run,
            LostRecordWriter(shared.refusals.mark_unpersisted, shared.restores).run,
            runner.run,
            LostRecordWriter(jobs.recent.write_again, shared.restores).run,
            control_plane.lost_changes.run,
            functools.partial(run_expiry, expiry),
        ),
        make_app(shared, serving.gateway, control_plane, persister, jobs),
    )


def make_endpoint_watcher(
    shared: SharedContext, platform: Platform
) -> RecordWatcher[EndpointRecord]:
    """Return the watcher that keeps the records of all endpoints up to date."""
    return RecordWatcher(
        platform.endpoints,
        functools.partial(_apply_record, shared.endpoint_table),
        wait_s=shared.settings.peers.lease_s / WATCHES_PER_LEASE,
    )


def make_lease_watcher(
    shared: SharedContext, platform: Platform
) -> RecordWatcher[NodeLease]:
    """Return the watcher that keeps the leases of all nodes up to date."""
    batch_s = shared.settings.peers.lease_s / BATCHES_PER_LEASE
    return RecordWatcher(
        platform.leases,
        functools.partial(apply_lease, shared.nodes, shared.peers),
        wait_s=shared.settings.peers.lease_s / WATCHES_PER_LEASE,
        batch_s=min(batch_s, MAX_LEASE_BATCH_S),
    )


def _apply_record(
    endpoint_table: EndpointTable, stored: Stored[EndpointRecord]
) -> None:
    if stored.record is not None:
        endpoint_table.observe(stored.record, stored.version)
