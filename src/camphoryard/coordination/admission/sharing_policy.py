"""How the limits of one kind are shared by the nodes."""

from dataclasses import dataclass

from camphoryard.state.quotas import WHOLE

EVEN_PARTS = WHOLE // 10
"""Parts of each quota that are divided evenly over all nodes without grants."""
SPARE_PARTS = WHOLE // 2
"""Parts of each quota that the backups together keep if nobody else needs them. A new
leader learns of these at once, but not of what its predecessor had not granted."""
IDLE_S = 5.0
"""A node keeps as many unused units of a quota as it has used in this time."""
REST_MARGIN_S = 0.05
"""Added to the window, as clocks of machines differ slightly in speed."""


@dataclass(frozen=True, slots=True)
class SharingPolicy:
    """How limits are shared, each of which holds in any window of ``window_s``.

    ``even_parts`` of each are divided evenly over all nodes without grants. The backups
    together keep ``spare_parts``, and each node as many unused units as it has used
    within ``idle_s`` seconds.
    """

    window_s: float
    even_parts: int = 0
    spare_parts: int = 0
    idle_s: float = 0.0

    @property
    def lendable_parts(self) -> int:
        """Parts that the leader grants."""
        return WHOLE - self.even_parts

    @property
    def rest_s(self) -> float:
        """Time for which used units rest, in seconds."""
        return self.window_s + REST_MARGIN_S


def account_policy(window_s: float) -> SharingPolicy:
    """Return how the quotas of accounts are shared."""
    return SharingPolicy(window_s, EVEN_PARTS, SPARE_PARTS, IDLE_S)
