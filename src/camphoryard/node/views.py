"""The state of a node as reported to peers and operators."""

import math
import time

from camphoryard.coordination.configuration.freshness import ConfigurationFreshness
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.observing.risks import NodeView, SystemView, find_risks
from camphoryard.coordination.observing.status import Status
from camphoryard.coordination.refusals.refusals import SECONDS_PER_MINUTE
from camphoryard.node.shared import SharedContext
from camphoryard.state.ids import Generation
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.timeline import NANOSECONDS_PER_MILLISECOND


def make_digest(
    shared: SharedContext, gateway: RequestGateway, suspects: Suspects
) -> NodeDigest:
    """Return the current digest of this node, for its peers."""
    return NodeDigest(
        shared.identity.node,
        shared.identity.incarnation,
        gateway.state,
        shared.configuration.current.generation,
        shared.in_flight.by_id(),
        shared.estimates.polled_by_id(),
        time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND,
        shared.demand.by_item(),
        quarantine_s_by_request=suspects.quarantine_s_by_request(),
    )


def make_node_views(
    shared: SharedContext, gateway: RequestGateway, freshness: ConfigurationFreshness
) -> tuple[NodeView, ...]:
    """Return a view of each known node, sorted by id."""
    own = shared.identity.node
    alive = {lease.node for lease in shared.nodes.alive()}
    views = [
        NodeView(
            own,
            gateway.state,
            shared.configuration.current.generation,
            True,
            False,
            0.0,
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
    shared: SharedContext, gateway: RequestGateway, freshness: ConfigurationFreshness
) -> Status:
    """Return the status of the system from this node's point of view."""
    nodes = make_node_views(shared, gateway, freshness)
    age_s = shared.configuration.confirmed_age_s()
    records = shared.endpoint_table.by_id()
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
        gateway.state,
        view.configuration.generation,
        gateway.in_flight,
        None if math.isinf(age_s) else age_s,
        view.store_age_s,
        nodes,
        view.records_by_endpoint,
        view.refusals_by_key,
        find_risks(view),
    )
