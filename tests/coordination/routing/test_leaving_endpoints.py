"""Tests of detecting endpoints that are leaving."""

import pytest

from camphoryard.coordination.routing.leaving_endpoints import (
    GuardedServices,
    LeavingEndpoints,
)
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.state.configuration import Configuration, Endpoint
from camphoryard.state.enums import EndpointKind, VmState
from camphoryard.state.errors import NotSentError
from camphoryard.state.ids import EndpointId, Generation
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import ActionAnswer
from camphoryard.state.tables import ConfigurationHolder, InFlightTable
from camphoryard.state.vms import VmTable, endpoint_vm
from tests.fakes.serving import NODE

ENDPOINT = EndpointId("bookings-1")


def endpoint(**labels):
    """Return the endpoint with the given labels."""
    return Endpoint(ENDPOINT, EndpointKind.SERVICE, "127.0.0.1", 1, labels=labels)


class Site:
    """One endpoint and the tables that may show it as leaving."""

    def __init__(self, **labels):
        self.configuration = ConfigurationHolder()
        self.configuration.adopt(
            Configuration(Generation(1), endpoints_by_id={ENDPOINT: endpoint(**labels)})
        )
        self.estimates = LoadEstimates(NODE, NodeTable(), InFlightTable())
        self.vms = VmTable()
        self.leaving = LeavingEndpoints(self.configuration, self.estimates, self.vms)


class TestLeavingEndpoints:
    """Each sign of leaving alone."""

    def test_not_leaving_without_a_sign(self):
        """An endpoint that nothing marks as leaving accepts work."""
        assert not Site().leaving.is_leaving(ENDPOINT)

    def test_label(self):
        """Operators mark an endpoint with a label."""
        assert Site(leaving="true").leaving.is_leaving(ENDPOINT)

    def test_removed_endpoint(self):
        """An endpoint that is no longer configured gets no work."""
        assert Site().leaving.is_leaving(EndpointId("bookings-2"))

    def test_own_report(self):
        """The engine's load report says that it is leaving."""
        site = Site()
        site.estimates.record_report(ENDPOINT, LoadReport(0, 0, leaving=True))
        assert site.leaving.is_leaving(ENDPOINT)

    @pytest.mark.parametrize("state", [VmState.LEAVING, VmState.GONE])
    def test_vm_list(self, state):
        """The platform lists the endpoint's VM as leaving or gone."""
        site = Site()
        site.vms.observe({endpoint_vm(endpoint()): state})
        assert site.leaving.is_leaving(ENDPOINT)


class Services:
    """A service that answers at once."""

    def call(self, endpoint, request):
        """Return an answer."""
        return ActionAnswer(200, b"{}")


class TestGuardedServices:
    """Calls of services through the check."""

    def test_leaving_endpoint_is_not_called(self):
        """The error states that nothing was sent."""
        services = GuardedServices(Services(), Site(leaving="true").leaving)
        with pytest.raises(NotSentError):
            services.call(endpoint(), None)

    def test_other_endpoint_is_called(self):
        """The service's answer is returned."""
        services = GuardedServices(Services(), Site().leaving)
        assert services.call(endpoint(), None).status == 200
