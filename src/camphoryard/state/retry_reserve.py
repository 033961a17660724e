"""Record of the services for which a node has used its reserve of retries."""

from dataclasses import dataclass

from camphoryard.state.ids import NodeId, ServiceId


@dataclass(frozen=True, slots=True)
class RetryReserveUse:
    """Services for which a node's processes have used the reserve in the last window.

    The retries of a process count in a window that may outlast it. ``nodes`` is the
    number of nodes that divided the reserve: nodes that restart together find few
    others in the store.
    """

    node: NodeId
    services: tuple[ServiceId, ...]
    nodes: int = 0
