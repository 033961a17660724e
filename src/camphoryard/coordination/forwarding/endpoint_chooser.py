"""Choice of the endpoint that a request is sent to."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from camphoryard.state.ids import EndpointId, Zone
from camphoryard.state.serving_endpoints import ServingEndpoint

REMOTE_ZONE_PENALTY = 0.08
"""Share of its slots by which an endpoint of another zone counts as more loaded. It
keeps traffic within a zone while endpoints are evenly loaded."""


MIN_FREE_SHARE = 0.02
"""Free share assumed for a full endpoint, as its load is only an estimate."""


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Choose the endpoint with the lowest utilization, preferring the node's own zone.

    ``remote_zone_penalty`` is added to the utilization of endpoints in other zones.
    """

    remote_zone_penalty: float = REMOTE_ZONE_PENALTY


@dataclass(frozen=True, slots=True)
class ByFreeSlots:
    """Draw an endpoint at random, weighted by the square of its free share of slots.

    In a large fleet load reports arrive late. All nodes would choose the same least
    loaded endpoint until its new load is reported.
    """

    remote_zone_penalty: float = REMOTE_ZONE_PENALTY


ChoicePolicy: TypeAlias = LeastLoaded | ByFreeSlots


@dataclass(slots=True)
class EndpointChooser:
    """Chooses an endpoint by the load that ``load`` estimates for each."""

    zone: Zone
    load: Callable[[EndpointId], float]
    policy: Callable[[], ChoicePolicy] = LeastLoaded
    rng: random.Random = field(default_factory=random.Random)

    def choose(self, candidates: Sequence[ServingEndpoint]) -> ServingEndpoint:
        """Return one of ``candidates``, which must not be empty."""
        policy = self.policy()
        match policy:
            case LeastLoaded():
                return min(
                    candidates,
                    key=lambda item: (
                        self._utilization(item, policy),
                        self.rng.random(),
                    ),
                )
            case ByFreeSlots():
                free = [1.0 - self._utilization(item, policy) for item in candidates]
                weights = [max(MIN_FREE_SHARE, share) ** 2 for share in free]
                return self.rng.choices(candidates, weights)[0]

    def _utilization(self, endpoint: ServingEndpoint, policy: ChoicePolicy) -> float:
        """Return the share of an endpoint's slots in use, plus any zone penalty."""
        share = self.load(endpoint.id) / max(1, endpoint.slots)
        return (
            share if endpoint.zone == self.zone else share + policy.remote_zone_penalty
        )
