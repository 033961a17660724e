"""Which items leave an endpoint's memory to make room."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.ids import ItemId


@dataclass(frozen=True, slots=True)
class LeastRecentlyUsed:
    """Idle items go first, then second copies, then those unused for longest."""


@dataclass(frozen=True, slots=True)
class LeastDemand:
    """Items that serve the least demand go first.

    Parameters
    ----------
    move_cost_slots : float
        Demand, in slots, that each move of a load on demand must gain.
    idle_slots : float
        Demand below which victims may go for anything that is asked for.
    longest_absence_s : float
        After how long an item that is asked for is loaded whatever it gains.
    """

    move_cost_slots: float = 0.15
    idle_slots: float = 0.05
    longest_absence_s: float = 10.0


EvictionPolicy: TypeAlias = LeastRecentlyUsed | LeastDemand


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """An item that may be unloaded now.

    ``is_in_use`` says that it was used of late; ``last_used_s`` is on the
    monotonic clock; ``is_elsewhere`` says that another endpoint holds a copy too.
    ``served_slots`` is the demand that this copy serves.
    """

    item: ItemId
    memory_mb: int
    is_configured: bool
    is_in_use: bool
    is_elsewhere: bool
    last_used_s: float
    served_slots: float = 0.0


def base_of(item: ItemId) -> ItemId:
    """Return the model that an item is, or is an adapter of."""
    return ItemId(item.partition(":")[0])


def choose_victims(
    policy: EvictionPolicy,
    eviction_candidates: Sequence[EvictionCandidate],
    needed_mb: int,
) -> tuple[EvictionCandidate, ...]:
    """Return the occupants to unload for ``needed_mb``, or none if all are too few.

    Items that are no longer configured go first, then as the policy says. None
    goes without whom the others free enough.
    """
    victims: list[EvictionCandidate] = []
    missing_mb = needed_mb
    for occupant in sorted(eviction_candidates, key=lambda item: _value(policy, item)):
        if missing_mb <= 0:
            break
        victims.append(occupant)
        missing_mb -= occupant.memory_mb
    return _needed(victims, -missing_mb) if missing_mb <= 0 else ()


def lost_demand_slots(victims: Sequence[EvictionCandidate]) -> float:
    """Return the demand that victims serve; a base counts with its adapters."""
    gone = {victim.item for victim in victims}
    return sum(
        victim.served_slots
        for victim in victims
        if victim.item == base_of(victim.item) or base_of(victim.item) not in gone
    )


def _needed(
    victims: Sequence[EvictionCandidate], excess_mb: int
) -> tuple[EvictionCandidate, ...]:
    """Return the victims without those that fit into ``excess_mb``."""
    needed: list[EvictionCandidate] = []
    for victim in reversed(victims):
        if victim.memory_mb <= excess_mb:
            excess_mb -= victim.memory_mb
        else:
            needed.append(victim)
    return tuple(reversed(needed))


def _value(
    policy: EvictionPolicy, occupant: EvictionCandidate
) -> tuple[float | ItemId, ...]:
    """Return the sort key of occupants; the smallest goes first."""
    match policy:
        case LeastRecentlyUsed():
            return (
                occupant.is_configured,
                occupant.is_in_use,
                not occupant.is_elsewhere,
                occupant.last_used_s,
                occupant.item,
            )
        case LeastDemand():
            return (
                occupant.is_configured,
                occupant.served_slots,
                occupant.last_used_s,
                occupant.item,
            )
