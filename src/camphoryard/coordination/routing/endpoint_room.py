"""Port of the units that this node may use of the limits which endpoints name."""

from dataclasses import dataclass
from typing import Protocol

from camphoryard.state.quotas import Admitted
from camphoryard.state.serving_endpoints import ServingEndpoint


@dataclass(frozen=True, slots=True)
class NoRoom:
    """Nothing may be sent to an endpoint by this node for ``left_s`` seconds."""

    left_s: float


class EndpointRoom(Protocol):
    """Counts what is sent to endpoints that name a limit, over all nodes together."""

    def take(self, endpoint: ServingEndpoint) -> Admitted | NoRoom:
        """Count a request that is to be sent now, if there is room for it.

        Waits for a short time for the leader.
        """

    def take_report(self, endpoint: ServingEndpoint) -> Admitted | NoRoom:
        """Count a request of this node for a report; there is room for few of them."""

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request has used of which no byte was sent."""

    def closed_s(self, endpoint: ServingEndpoint) -> float:
        """Return how long this node will have no room, in seconds; 0 if it may have."""

    def retry_after_s(self, endpoint: ServingEndpoint) -> float:
        """Return when a request may come back that was refused for lack of room."""


class UnlimitedRoom:
    """Room at endpoints that name no limits; see the EndpointRoom port."""

    def take(self, endpoint: ServingEndpoint) -> Admitted:
        """Admit a request."""
        return Admitted()

    def take_report(self, endpoint: ServingEndpoint) -> Admitted:
        """Admit a request for a report."""
        return Admitted()

    def refund(self, admitted: Admitted) -> None:
        """Do nothing."""

    def closed_s(self, endpoint: ServingEndpoint) -> float:
        """Return 0."""
        return 0.0

    def retry_after_s(self, endpoint: ServingEndpoint) -> float:
        """Return 0."""
        return 0.0
