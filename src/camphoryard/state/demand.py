"""Demand for models and adapters, in engine slots."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ItemDemand:
    """Number of slots that the requests for one item keep busy.

    ``fast`` tracks the last seconds, ``slow`` the last minutes. The
    demand of an item is the sum of the demands that the nodes measure.
    """

    fast: float
    slow: float

    @property
    def expected(self) -> float:
        """Slots to plan for: rises count immediately, falls only slowly."""
        return max(self.fast, self.slow)


NO_DEMAND = ItemDemand(0.0, 0.0)
