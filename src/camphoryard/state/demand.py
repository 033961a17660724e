"""Demand for models and adapters, in engine slots."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ItemDemand:
    """Slots that requests for one item would keep busy.

    ``fast`` follows the last seconds, ``slow`` the last minutes. Both are sums
    of what single nodes see, so that nodes' figures can be added.
    """

    fast: float
    slow: float

    @property
    def expected(self) -> float:
        """Slots to plan for: a rise counts at once, a fall only slowly."""
        return max(self.fast, self.slow)


NO_DEMAND = ItemDemand(0.0, 0.0)
