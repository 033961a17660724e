"""Whether a request may be sent to an endpoint now, and if not, why and until when."""

import math
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from camphoryard.coordination.forwarding.context import (
    ForwardedRequest,
    ForwardingContext,
)
from camphoryard.state.serving_endpoints import EndpointState, ServingEndpoint


class ClosedReason(Enum):
    """Why a request must not be sent to an endpoint."""

    LEAVING = "leaving"
    RESTING = "resting"
    FAILED = "failed"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Open:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class LastResort:
    """The endpoint is ejected; the request may be sent if no other one is open."""


@dataclass(frozen=True, slots=True)
class Closed:
    """The request must not be sent for ``left_s`` seconds, which may be infinite."""

    reason: ClosedReason
    left_s: float = math.inf


EndpointUse: TypeAlias = Open | LastResort | Closed


def endpoint_use(
    context: ForwardingContext, forwarded: ForwardedRequest, endpoint: ServingEndpoint
) -> EndpointUse:
    """Return whether the request may be sent to ``endpoint`` now."""
    if endpoint.state is not EndpointState.READY:
        return Closed(ClosedReason.LEAVING)
    rest_s = context.notices.rest_left_s(endpoint.id)
    if rest_s > 0:
        return Closed(ClosedReason.RESTING, rest_s)
    if endpoint.id in forwarded.failed:
        return Closed(ClosedReason.FAILED)
    limited_s = context.room.closed_s(endpoint)
    if limited_s > 0:
        return Closed(ClosedReason.LIMITED, limited_s)
    return Open() if context.breakers.allows(endpoint.id) else LastResort()
