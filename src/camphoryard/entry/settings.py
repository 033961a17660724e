"""What an entry daemon is told about itself and its surroundings."""

from dataclasses import dataclass

from camphoryard.coordination.loading.store_rate import LoadLimits
from camphoryard.coordination.routing.retry_window import RepeatLimits
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.serving_endpoints import HostPort


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the users set, the same for all nodes.

    ``drain_s`` is how soon after its notice an endpoint that leaves gets no more
    requests; ``grace_s`` the time between a stop signal and the end;
    ``repeat_limits`` bound the repeats of a service over all nodes;
    ``order_lease_s`` is how long after the orders of one node another must wait,
    unless engines check fences; ``load_limits`` bound the loads from the weight
    store. Times in seconds.
    """

    drain_s: float
    grace_s: float
    repeat_limits: RepeatLimits
    order_lease_s: float
    engines_check_fences: bool
    load_limits: LoadLimits

    @property
    def handover_s(self) -> float:
        """Time between the orders of two nodes, in seconds."""
        return 0.0 if self.engines_check_fences else self.order_lease_s


DEFAULT_METRICS_PORT = 9464
"""The usual port of exporters of metrics; deploy/system.toml names it too."""


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """One node: where it is and listens, and where the store is.

    ``metrics_port`` 0 lets the ready address alone serve metrics. ``peer_ports`` is
    the first and the last port for traffic between nodes.
    """

    node: NodeId
    zone: Zone
    host: str
    front: HostPort
    ready: HostPort
    peer_ports: tuple[int, int]
    store: HostPort
    bounds: Bounds
    metrics_port: int = DEFAULT_METRICS_PORT
