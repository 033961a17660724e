"""Which items to unload from an endpoint to free memory."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from camphoryard.state.ids import ItemId


@dataclass(frozen=True, slots=True)
class LeastRecentlyUsed:
    """Evict idle items first, then items with other copies, then by last use."""


@dataclass(frozen=True, slots=True)
class LeastDemand:
    """Evict the items that serve the least demand first.

    Parameters
    ----------
    move_cost_slots : float
        Demand, in slots, that an on-demand load must gain per load or unload.
    idle_slots : float
        Demand, in slots, up to which victims may be evicted for any request.
    longest_absence_s : float
        Time after which a requested, absent item is loaded whatever it gains.
    """

    move_cost_slots: float = 0.15
    idle_slots: float = 0.05
    longest_absence_s: float = 10.0


EvictionPolicy: TypeAlias = LeastRecentlyUsed | LeastDemand


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """An item that may be unloaded now.

    ``is_recently_used`` says whether it was used within the recent-use window;
    ``has_other_copy`` says whether another endpoint has it loaded too.
    ``last_used_s`` is on the monotonic clock. ``served_slots`` is the demand, in
    slots, that this copy serves.
    """

    item: ItemId
    memory_mb: int
    is_configured: bool
    is_recently_used: bool
    has_other_copy: bool
    last_used_s: float
    served_slots: float = 0.0


def base_of(item: ItemId) -> ItemId:
    """Return the base model of an item.

    An item is a model or an adapter, named ``model`` or ``model:adapter``.
    """
    return ItemId(item.partition(":")[0])


def choose_victims(
    policy: EvictionPolicy,
    eviction_candidates: Sequence[EvictionCandidate],
    needed_mb: int,
) -> tuple[EvictionCandidate, ...]:
    """Return the candidates to unload to free ``needed_mb``.

    Items that are no longer configured are evicted first, then in the policy's
    order. Candidates that the others make unnecessary are left out. Returns an
    empty tuple if all candidates together are too small.
    """
    victims: list[EvictionCandidate] = []
    missing_mb = needed_mb
    for candidate in sorted(
        eviction_candidates, key=lambda item: _eviction_key(policy, item)
    ):
        if missing_mb <= 0:
            break
        victims.append(candidate)
        missing_mb -= candidate.memory_mb
    return _without_surplus(victims, -missing_mb) if missing_mb <= 0 else ()


def lost_demand_slots(victims: Sequence[EvictionCandidate]) -> float:
    """Return the demand, in slots, that victims serve.

    The demand of a base model already includes that of its adapters.
    """
    evicted = {victim.item for victim in victims}
    return sum(
        victim.served_slots
        for victim in victims
        if victim.item == base_of(victim.item) or base_of(victim.item) not in evicted
    )


def _without_surplus(
    victims: Sequence[EvictionCandidate], excess_mb: int
) -> tuple[EvictionCandidate, ...]:
    """Return the victims without those that ``excess_mb`` makes unnecessary."""
    needed: list[EvictionCandidate] = []
    for victim in reversed(victims):
        if victim.memory_mb <= excess_mb:
            excess_mb -= victim.memory_mb
        else:
            needed.append(victim)
    return tuple(reversed(needed))


def _eviction_key(
    policy: EvictionPolicy, candidate: EvictionCandidate
) -> tuple[float | ItemId, ...]:
    """Return the sort key of a candidate; the smallest is evicted first."""
    match policy:
        case LeastRecentlyUsed():
            return (
                candidate.is_configured,
                candidate.is_recently_used,
                not candidate.has_other_copy,
                candidate.last_used_s,
                candidate.item,
            )
        case LeastDemand():
            return (
                candidate.is_configured,
                candidate.served_slots,
                candidate.last_used_s,
                candidate.item,
            )
