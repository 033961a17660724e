"""Limits that endpoints name in their answers."""

from dataclasses import dataclass

from camphoryard.state.ids import EndpointId, LimitedId

LIMIT_WINDOW_S = 4.0
"""The window in which an endpoint takes four times what it names for a second."""
MIN_UNITS = 1.0
"""Requests in a window that an endpoint always gets: its answers may end the limit."""


@dataclass(frozen=True, slots=True)
class EndpointLimit:
    """What one start of an endpoint takes from all nodes together.

    ``per_s`` is in requests a second, or None once the limit has ended. ``version``
    grows with each change that a node reads in an answer.
    """

    started_ms: int
    version: int
    per_s: float | None

    def supersedes(self, other: "EndpointLimit") -> bool:
        """Return whether this is the newer one, or the stricter one of two as new."""
        if self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        if self.version != other.version:
            return self.version > other.version
        if self.per_s is None or other.per_s is None:
            return other.per_s is None and self.per_s is not None
        return self.per_s < other.per_s


def limit_units(per_s: float) -> float:
    """Return how many requests may be sent in any window of `LIMIT_WINDOW_S`.

    Examples
    --------
    >>> limit_units(1.5), limit_units(0.1)
    (6.0, 1.0)
    """
    return max(MIN_UNITS, per_s * LIMIT_WINDOW_S)


def limited_start(endpoint: EndpointId, started_ms: int) -> LimitedId:
    """Return the id under which the limit of one start of an endpoint is shared.

    Examples
    --------
    >>> limited_start(EndpointId("e1"), 17)
    'e1/17'
    """
    return LimitedId(f"{endpoint}/{started_ms}")
