"""Priority of requests in the queue of an engine."""

from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
)
from camphoryard.state.ids import EndpointId, Urgency

URGENCIES_PER_RANK = 2
"""Each rank has two urgencies: requests expected to meet their objective, and those
expected to miss it."""
MAX_WAIT_SHARE = 0.6
"""Share of the time left until its objective that a request may be expected to wait in
the queue; the rest is for reading its prompt."""


def urgency_at(
    context: ForwardingContext, forwarded: ForwardedRequest, endpoint: EndpointId
) -> Urgency:
    """Return the urgency of a request at an endpoint; 0 is served first.

    The rank of the account or route takes precedence. Within a rank, requests expected
    to miss their objective at this endpoint are queued behind those expected to meet
    it. Serving in order of arrival would make nearly every request of an overload late.
    """
    on_time = Urgency(forwarded.rank * URGENCIES_PER_RANK)
    if not forwarded.rule.repeatability.is_stream or forwarded.progress.events:
        return on_time
    wait_s = context.first_events.wait_s(endpoint, on_time)
    left_s = forwarded.first_sent_s + forwarded.rule.objective_s - context.clock()
    return Urgency(on_time + (wait_s > left_s * MAX_WAIT_SHARE))
