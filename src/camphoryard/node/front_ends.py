"""The WSGI application of a node."""

import functools
from collections.abc import Mapping

from camphoryard.coordination.configuration.timeline_merging import (
    MergedTimeline,
    merge_timelines,
)
from camphoryard.coordination.inference.request_gateway import RequestGateway
from camphoryard.coordination.jobs.jobs import JobContext
from camphoryard.coordination.observing.explanation import explain
from camphoryard.coordination.refusals.refusal_persistence import RefusalPersister
from camphoryard.node.control_plane import Control
from camphoryard.node.shared import Shared
from camphoryard.node.views import make_status
from camphoryard.transport.access import Access
from camphoryard.transport.app import App
from camphoryard.transport.operator_api import OperatorContext


def make_app(
    shared: Shared,
    door: RequestGateway,
    control: Control,
    folder: RefusalPersister,
    jobs: JobContext,
) -> App:
    """Return the WSGI application."""
    access = shared.settings.access

    def timeline(wanted: Mapping[str, str]) -> MergedTimeline:
        others = [
            lease.node
            for lease in shared.nodes.all()
            if lease.node != shared.identity.node
        ]
        return merge_timelines(
            shared.timeline, others, shared.peers, shared.executors.loads, wanted
        )

    operator = OperatorContext(
        control.configurator,
        shared.configuration,
        timeline,
        lambda caller, target: explain(
            shared.configuration.current, shared.table, caller, target
        ),
        functools.partial(make_status, shared, door, control.freshness),
        shared.stop.set,
        folder.total,
    )
    return App(
        Access(access.operator_tokens, access.caller_token_by_id),
        door,
        operator,
        shared.metrics,
        jobs,
    )
