"""What a node tells peers and operators."""

import math
import time

from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.observing.risks import NodeView, SystemView, find_risks
from camphoryard.coordination.observing.status import Status
from camphoryard.coordination.refusals.refusals import SECONDS_PER_MINUTE
from camphoryard.node.shared import Shared
from camphoryard.state.ids import Generation
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.timeline import NANOSECONDS_PER_MILLISECOND


def make_digest(shared: Shared, door: RequestGateway) -> NodeDigest:
    """Return what this node tells its peers now."""
    return NodeDigest(
        shared.identity.node,
        shared.identity.incarnation,
        door.state,
        shared.configuration.current.generation,
        shared.in_flight.by_id(),
        shared.estimates.polled_by_id(),
        time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND,
        shared.demand.by_item(),
    )


def view_nodes(
    shared: Shared, door: RequestGateway, freshness: ConfigurationFreshness
) -> tuple[NodeView, ...]:
    """Return all nodes known, sorted by id."""
    own = shared.identity.node
    alive = {lease.node for lease in shared.nodes.alive()}
    views = [
        NodeView(
            own, door.state, shared.configuration.current.generation, True, False, 0.0
        )
    ]
    for lease in shared.nodes.all():
        if lease.node == own:
            continue
        digest = shared.nodes.digest(lease.node)
        views.append(
            NodeView(
                lease.node,
                digest.state if digest else lease.state,
                digest.generation if digest else Generation(0),
                lease.node in alive,
                shared.vms.is_gone(lease.node),
                freshness.node_age_s(lease.node),
            )
        )
    return tuple(sorted(views, key=lambda item: item.node))


def make_status(
    shared: Shared, door: RequestGateway, freshness: ConfigurationFreshness
) -> Status:
    """Return the system as this node sees it now."""
    nodes = view_nodes(shared, door, freshness)
    age_s = shared.configuration.confirmed_age_s()
    records = shared.table.by_id()
    view = SystemView(
        shared.identity.node,
        shared.configuration.current,
        shared.configuration.is_current(),
        freshness.store_age_s(),
        nodes,
        records,
        {item: shared.estimates.report_age_s(item) for item in records},
        shared.refusals.by_key(),
        int(time.time() // SECONDS_PER_MINUTE),
    )
    return Status(
        view.own,
        door.state,
        view.configuration.generation,
        door.in_flight,
        None if math.isinf(age_s) else age_s,
        view.store_age_s,
        nodes,
        view.records_by_endpoint,
        view.refusals_by_key,
        find_risks(view),
    )
