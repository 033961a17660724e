"""Which endpoint a request goes to."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from camphoryard.state.ids import EndpointId, Zone
from camphoryard.state.serving_endpoints import ServingEndpoint

REMOTE_ZONE_LOAD = 0.08
"""Share of an endpoint's slots that a request may save before it leaves its zone;
a default that keeps traffic within a zone while endpoints are evenly loaded."""


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Take the endpoint whose slots are filled least, the own zone first.

    ``remote_load`` is how much fuller, as a share of its slots, an endpoint of the
    own zone may be before one of another zone is taken.
    """

    remote_load: float = REMOTE_ZONE_LOAD


@dataclass(slots=True)
class EndpointChooser:
    """Chooses among endpoints by the load that ``load`` estimates for each."""

    zone: Zone
    load: Callable[[EndpointId], float]
    policy: LeastLoaded = LeastLoaded()
    draw: random.Random = field(default_factory=random.Random)

    def choose(self, candidates: Sequence[ServingEndpoint]) -> ServingEndpoint:
        """Return one of ``candidates``, which must not be empty."""
        return min(
            candidates, key=lambda item: (self.filling(item), self.draw.random())
        )

    def filling(self, endpoint: ServingEndpoint) -> float:
        """Return the load of an endpoint as a share of its slots."""
        share = self.load(endpoint.id) / max(1, endpoint.slots)
        return share if endpoint.zone == self.zone else share + self.policy.remote_load
