"""Construction of the policies that the settings select."""

from camphoryard.coordination.admission.admission import (
    AdmissionPolicy,
    DeadlineFirst,
    FirstCome,
    Unlimited,
)
from camphoryard.coordination.membership.gossip import (
    AllToAll,
    BoundedFanOut,
    GossipPolicy,
)
from camphoryard.coordination.placement.placement import (
    DemandPlacement,
    LoadOnDemand,
    PlacementPolicy,
    StaticPlacement,
)
from camphoryard.coordination.placement.weight_budget import (
    BudgetPolicy,
    Paced,
    Unpaced,
)
from camphoryard.coordination.residency.eviction import (
    EvictionPolicy,
    LeastDemand,
    LeastRecentlyUsed,
)
from camphoryard.coordination.routing.routing import (
    LeastInFlight,
    PrefixAffinity,
    RoundRobin,
    RoutingPolicy,
    TwoChoices,
)
from camphoryard.settings import DecisionSettings, PeerSettings, ResidencySettings


def make_routing_policy(settings: DecisionSettings) -> RoutingPolicy:
    """Return the routing policy that the settings select."""
    match settings.routing:
        case "round_robin":
            return RoundRobin()
        case "least_in_flight":
            return LeastInFlight()
        case "two_choices":
            return TwoChoices()
        case "prefix_affinity":
            return PrefixAffinity()


def make_admission_policy(settings: DecisionSettings) -> AdmissionPolicy:
    """Return the admission policy that the settings select."""
    match settings.admission:
        case "unlimited":
            return Unlimited()
        case "first_come":
            return FirstCome(settings.queue_limit)
        case "deadline_first":
            return DeadlineFirst(settings.queue_limit)


def make_gossip_policy(settings: PeerSettings) -> GossipPolicy:
    """Return the gossip policy that the settings select."""
    match settings.gossip:
        case "all_to_all":
            return AllToAll()
        case "bounded_fan_out":
            return BoundedFanOut(
                settings.fan_out,
                settings.neighbours,
                settings.digests,
                settings.news_fan_out,
            )


def make_placement_policy(settings: DecisionSettings) -> PlacementPolicy:
    """Return the placement policy that the settings select."""
    match settings.placement:
        case "static":
            return StaticPlacement()
        case "load_on_demand":
            return LoadOnDemand()
        case "demand":
            return DemandPlacement(move_cost_slots=settings.move_cost_slots)


def make_eviction_policy(
    settings: DecisionSettings, limits: ResidencySettings
) -> EvictionPolicy:
    """Return the eviction policy that the settings select."""
    match settings.eviction:
        case "least_recently_used":
            return LeastRecentlyUsed()
        case "least_demand":
            return LeastDemand(
                settings.move_cost_slots, longest_absence_s=limits.longest_absence_s
            )


def make_budget_policy(settings: DecisionSettings) -> BudgetPolicy:
    """Return the policy that limits the rate of loads from the weight store."""
    match settings.weight_budget:
        case "unpaced":
            return Unpaced()
        case "paced":
            return Paced(settings.weight_loads_per_s, settings.weight_loads_at_once)
