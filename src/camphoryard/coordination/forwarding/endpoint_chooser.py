"""Which endpoint a request goes to."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.state.ids import EndpointId, Zone
from camphoryard.state.serving_endpoints import ServingEndpoint

REMOTE_ZONE_LOAD = 0.08
"""Share of an endpoint's slots that a request may save before it leaves its zone;
a default that keeps traffic within a zone while endpoints are evenly loaded."""


LEAST_FREE_SHARE = 0.02
"""What a full endpoint counts as having free: its load is an estimate."""


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Take the endpoint whose slots are filled least, the own zone first.

    ``remote_load`` is how much fuller, as a share of its slots, an endpoint of the
    own zone may be before one of another zone is taken.
    """

    remote_load: float = REMOTE_ZONE_LOAD


@dataclass(frozen=True, slots=True)
class ByFreeSlots:
    """Draw an endpoint, those with more free slots more often.

    In a large fleet loads are known late, and all nodes would take the same least
    loaded endpoint until they hear of it.
    """

    remote_load: float = REMOTE_ZONE_LOAD


ChoicePolicy: TypeAlias = LeastLoaded | ByFreeSlots


@dataclass(slots=True)
class EndpointChooser:
    """Chooses among endpoints by the load that ``load`` estimates for each."""

    zone: Zone
    load: Callable[[EndpointId], float]
    policy: Callable[[], ChoicePolicy] = LeastLoaded
    draw: random.Random = field(default_factory=random.Random)

    def choose(self, candidates: Sequence[ServingEndpoint]) -> ServingEndpoint:
        """Return one of ``candidates``, which must not be empty."""
        policy = self.policy()
        match policy:
            case LeastLoaded():
                return min(
                    candidates,
                    key=lambda item: (self._filling(item, policy), self.draw.random()),
                )
            case ByFreeSlots():
                free = [1.0 - self._filling(item, policy) for item in candidates]
                weights = [max(LEAST_FREE_SHARE, share) ** 2 for share in free]
                return self.draw.choices(candidates, weights)[0]

    def _filling(self, endpoint: ServingEndpoint, policy: ChoicePolicy) -> float:
        """Return the load of an endpoint as a share of its slots."""
        share = self.load(endpoint.id) / max(1, endpoint.slots)
        return share if endpoint.zone == self.zone else share + policy.remote_load
