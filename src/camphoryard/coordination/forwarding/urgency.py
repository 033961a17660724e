"""Which of the requests that wait at one engine go first."""

from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
)
from camphoryard.state.ids import EndpointId, Urgency

STEPS_PER_RANK = 2
"""Urgencies of one rank: requests that may still be in time, and those too late."""
IN_TIME_SHARE = 0.6
"""Part of the time left until its objective that a request may be expected to wait,
as its prompt is still to be read then."""


def urgency_at(
    parts: ForwardingContext, forwarded: ForwardedRequest, endpoint: EndpointId
) -> Urgency:
    """Return how urgent a request is at an endpoint, 0 first.

    The route's rank goes first. Within a rank, requests that would miss their
    objective there go behind those that would not: first come, first served would
    have every request of a crowd late.
    """
    first = Urgency(forwarded.rule.rank * STEPS_PER_RANK)
    if not forwarded.rule.repeatability.is_stream or forwarded.progress.events:
        return first
    wait_s = parts.first_events.wait_s(endpoint, first)
    left_s = forwarded.began_s + forwarded.rule.objective_s - parts.clock()
    return Urgency(first + (wait_s > left_s * IN_TIME_SHARE))
