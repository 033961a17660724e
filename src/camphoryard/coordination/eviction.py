"""Which items leave an endpoint's memory to make room."""

from collections.abc import Sequence
from dataclasses import dataclass

from camphoryard.state.ids import ItemId


@dataclass(frozen=True, slots=True)
class Occupant:
    """An item that may be unloaded now.

    ``is_in_use`` says that it was used of late; ``last_used_s`` is on the
    monotonic clock; ``is_elsewhere`` says that another endpoint holds a copy too.
    """

    item: ItemId
    memory_mb: int
    is_configured: bool
    is_in_use: bool
    is_elsewhere: bool
    last_used_s: float


def base_of(item: ItemId) -> ItemId:
    """Return the model that an item is, or is an adapter of."""
    return ItemId(item.partition(":")[0])


def choose_victims(
    occupants: Sequence[Occupant], needed_mb: int
) -> tuple[Occupant, ...]:
    """Return the occupants to unload for ``needed_mb``, or none if all are too few.

    None goes without whom the others free enough.

    Items that are no longer configured go first, then idle ones, those
    with a copy elsewhere, then the least recently used.
    """
    victims: list[Occupant] = []
    missing_mb = needed_mb
    for occupant in sorted(occupants, key=_value):
        if missing_mb <= 0:
            break
        victims.append(occupant)
        missing_mb -= occupant.memory_mb
    return _needed(victims, -missing_mb) if missing_mb <= 0 else ()


def _needed(victims: Sequence[Occupant], excess_mb: int) -> tuple[Occupant, ...]:
    """Return the victims without those that fit into ``excess_mb``."""
    needed: list[Occupant] = []
    for victim in reversed(victims):
        if victim.memory_mb <= excess_mb:
            excess_mb -= victim.memory_mb
        else:
            needed.append(victim)
    return tuple(reversed(needed))


def _value(occupant: Occupant) -> tuple[bool, bool, bool, float, ItemId]:
    return (
        occupant.is_configured,
        occupant.is_in_use,
        not occupant.is_elsewhere,
        occupant.last_used_s,
        occupant.item,
    )
