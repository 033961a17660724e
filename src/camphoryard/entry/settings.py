"""Settings of an entry daemon."""

from dataclasses import dataclass

from camphoryard.coordination.loading.store_rate import LoadLimits
from camphoryard.coordination.routing.retry_window import RepeatLimits
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.serving_endpoints import HostPort

DEFAULT_QUOTA_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets for all nodes alike; times are in seconds.

    ``stable_window_s`` is the time after an outage in which nodes may catch up,
    ``apply_s`` the maximum time in which a new configuration is applied.
    ``drain_s`` is the maximum time between an endpoint's drain notice and the last
    request sent to it. ``grace_s`` is the maximum time between a stop signal and the
    exit. ``repeat_limits`` bound the retries of a service over all nodes.
    ``order_lease_s`` is how long a new leader waits after the last order of its
    predecessor, unless engines check fencing tokens. ``load_limits`` bound the loads
    from the weight store. ``quota_window_s`` is the window within which the quotas of
    accounts hold.
    """

    stable_window_s: float
    apply_s: float
    drain_s: float
    grace_s: float
    repeat_limits: RepeatLimits
    order_lease_s: float
    engines_check_fences: bool
    load_limits: LoadLimits
    quota_window_s: float = DEFAULT_QUOTA_WINDOW_S

    @property
    def handover_s(self) -> float:
        """Time between the orders of two successive leaders, in seconds."""
        return 0.0 if self.engines_check_fences else self.order_lease_s


@dataclass(frozen=True, slots=True)
class VmLimits:
    """What a process may use of its VM; 0 if the platform names no limit.

    ``memory_mb`` is in units of 1e6 bytes, ``max_fds`` counts descriptors,
    ``link_mbps`` is the bandwidth of its link in units of 1e6 bits a second.
    """

    memory_mb: int = 0
    max_fds: int = 0
    link_mbps: float = 0.0


DEFAULT_METRICS_PORT = 9464
"""Usual port of metrics exporters; must match deploy/system.toml."""


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity and addresses of one node, and the address of the store.

    ``metrics_port`` 0 opens no separate metrics port: the readiness address still
    serves metrics. ``peer_ports`` are the first and the last port for traffic between
    nodes. ``is_first_start`` is True if no node of the fleet has run before.
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
    is_first_start: bool = True
    vm_limits: VmLimits = VmLimits()
