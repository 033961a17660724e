"""Tests of the table of VM states."""

from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, VmState
from camphoryard.state.ids import EndpointId, NodeId, VmId
from camphoryard.state.vms import VmTable


class TestVmTable:
    """Taking in the platform's list."""

    def test_dropped_from_the_list_is_gone(self):
        """A VM that was listed and no longer is counts as gone."""
        table = VmTable()
        table.observe({VmId("node-1"): VmState.LIVE})
        table.observe({})
        assert table.is_gone(NodeId("node-1"))

    def test_never_listed_proves_nothing(self):
        """A VM the lagging list has never shown is not taken for gone."""
        assert not VmTable().is_gone(NodeId("node-1"))

    def test_endpoint_is_keyed_by_address(self):
        """An endpoint's VM is found by its host and port."""
        endpoint = Endpoint(EndpointId("e"), EndpointKind.ENGINE, "10.0.0.1", 7100)
        table = VmTable()
        table.observe({VmId("10.0.0.1:7100"): VmState.LEAVING})
        assert table.is_leaving(endpoint)
