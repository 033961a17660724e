"""What the platform's VM list last said, as a table."""

import threading
from collections.abc import Mapping

from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import VmState
from camphoryard.state.ids import NodeId, VmId


def endpoint_vm(endpoint: Endpoint) -> VmId:
    """Return the VM behind an endpoint."""
    return VmId(f"{endpoint.host}:{endpoint.port}")


def node_vm(node: NodeId) -> VmId:
    """Return the VM that a node runs on."""
    return VmId(node)


class VmTable:
    """States by VM; one that was listed and no longer is counts as gone.

    A VM never listed has no state: the list lags behind new VMs too.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state_by_id: dict[VmId, VmState] = {}

    def observe(self, state_by_id: Mapping[VmId, VmState]) -> None:
        """Take in a whole list."""
        with self._lock:
            for vm in self._state_by_id.keys() - state_by_id.keys():
                self._state_by_id[vm] = VmState.GONE
            self._state_by_id.update(state_by_id)

    def state(self, vm: VmId) -> VmState | None:
        """Return what the list last said about ``vm``, or None."""
        with self._lock:
            return self._state_by_id.get(vm)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the VM of ``endpoint`` is leaving or gone."""
        return self.state(endpoint_vm(endpoint)) in (VmState.LEAVING, VmState.GONE)

    def is_gone(self, node: NodeId) -> bool:
        """Return whether the VM of ``node`` is gone."""
        return self.state(node_vm(node)) is VmState.GONE
