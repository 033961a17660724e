"""Tests of the table of VM states."""

from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, VmState
from camphoryard.state.ids import EndpointId, NodeId, VmId
from camphoryard.state.vms import VmTable


class TestVmTable:
    """Recording the platform's list."""

    def test_vm_dropped_from_the_list_is_gone(self):
        """A VM that disappears from the list counts as gone."""
        table = VmTable()
        table.observe({VmId("node-1"): VmState.LIVE})
        table.observe({})
        assert table.is_gone(NodeId("node-1"))

    def test_vm_never_listed_is_not_gone(self):
        """A VM that was never listed does not count as gone, as the list lags."""
        assert not VmTable().is_gone(NodeId("node-1"))

    def test_endpoint_is_keyed_by_address(self):
        """The VM of an endpoint is looked up by host and port."""
        endpoint = Endpoint(EndpointId("e"), EndpointKind.ENGINE, "10.0.0.1", 7100)
        table = VmTable()
        table.observe({VmId("10.0.0.1:7100"): VmState.LEAVING})
        assert table.is_leaving(endpoint)
