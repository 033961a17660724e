"""Which nodes read the endpoints from the store, and which hear of them."""

import math
import time
from collections.abc import Callable
from enum import Enum

from camphoryard.coordination.fleet.endpoint_relaying import EndpointRelaying
from camphoryard.coordination.fleet.fleet_gossip import (
    FleetGossip,
    Star,
    relay_period_s,
)
from camphoryard.coordination.ports import DecisionLog
from camphoryard.state.directory import Directory

MAX_RELAY_SHARE = 1 / 3
"""Largest period of the leader's relays to one node, as a share of the age that its
view may reach. With a longer one, late messages would often end the following."""

RELAY_CALLS_PER_BATCH = 6
"""Calls of a node that passes changes on, in the time of one batch."""


class EndpointRole(Enum):
    """Where a node gets the endpoints from."""

    RELAYS = "relays"
    """Reads them from the store, often, and passes changes on."""
    FOLLOWS = "follows"
    """Hears of them from the leader."""
    WATCHES = "watches"
    """Reads them from the store for itself."""


class EndpointReading:
    """When a node reads the endpoints from the store; changes of its role are logged.

    Parameters
    ----------
    batch_s : float
        Time in which changes are batched into one call, in seconds. A node that passes
        them on calls ``RELAY_CALLS_PER_BATCH`` times as often.
    """

    def __init__(
        self,
        gossip: FleetGossip,
        relaying: EndpointRelaying,
        directory: Directory,
        batch_s: float,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._gossip = gossip
        self._relaying = relaying
        self._directory = directory
        self._batch_s = batch_s
        self._log = log
        self._clock = clock
        self._role = EndpointRole.WATCHES
        self._read_s = -math.inf

    @property
    def tick_s(self) -> float:
        """Period in which `is_due` is to be asked, in seconds."""
        return self._batch_s / RELAY_CALLS_PER_BATCH

    def reads_store(self) -> bool:
        """Return whether this node calls the store at all."""
        return self._current_role() is not EndpointRole.FOLLOWS

    def is_due(self, period: int) -> bool:
        """Return whether to call now; the first ``period`` after a listing is 0."""
        now_s = self._clock()
        is_early = now_s - self._read_s < self._batch_s - self.tick_s / 2
        if period and is_early and self._current_role() is not EndpointRole.RELAYS:
            return False
        self._read_s = now_s
        return True

    def max_wait_s(self) -> float:
        """Return how long a call may wait for a change, in seconds."""
        match self._current_role():
            case EndpointRole.RELAYS:
                return self.tick_s
            case _:
                return math.inf

    def _current_role(self) -> EndpointRole:
        role = endpoint_role(self._gossip, self._relaying, self._directory)
        if role is not self._role:
            self._role = role
            self._log(
                "endpoints_from",
                role=role.value,
                age_s=round(self._directory.endpoints_age_s(), 2),
                revision=self._relaying.position,
            )
        return role


def endpoint_role(
    gossip: FleetGossip, relaying: EndpointRelaying, directory: Directory
) -> EndpointRole:
    """Return the role of a node at this moment.

    A node follows only in a star whose leader reaches it often, while the relays are
    fresh. Restored endpoints that are held need the watch, as only their writes show
    that they are there.
    """
    match gossip.topology():
        case Star() if gossip.is_leader():
            return EndpointRole.RELAYS
        case Star() if (
            relaying.is_fresh()
            and relay_period_s(gossip.size()) <= relaying.max_age_s * MAX_RELAY_SHARE
            and not gossip.is_standby()
            and not directory.held()
        ):
            return EndpointRole.FOLLOWS
        case _:
            return EndpointRole.WATCHES
