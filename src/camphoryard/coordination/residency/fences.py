"""Fencing numbers that grow across restores of the store from an older copy."""

from camphoryard.state.ids import FencingNumber, StoreEra

FENCE_ERA_SHIFT = 32
"""Bits of the fencing numbers within an era of the store."""


def first_fence(era: StoreEra) -> FencingNumber:
    """Return the first fencing number of an era, above those of the eras before.

    Examples
    --------
    >>> first_fence(StoreEra(0))
    1
    >>> first_fence(StoreEra(1)) > first_fence(StoreEra(0)) + 1_000_000
    True
    """
    return FencingNumber((era << FENCE_ERA_SHIFT) + 1)
