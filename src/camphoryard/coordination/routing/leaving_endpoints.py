"""Which endpoints are leaving, by any of three signs."""

from camphoryard.coordination.ports import Services
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.routing import LEAVING_LABEL
from camphoryard.state.configuration import Endpoint
from camphoryard.state.errors import NotSentError
from camphoryard.state.ids import EndpointId
from camphoryard.state.requests import ActionAnswer, ActionRequest
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.state.vms import VmTable


class LeavingEndpoints:
    """An endpoint leaves by its label, the platform's VM list or its own report.

    Asked for each request that is dispatched, also one that has waited.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        estimates: LoadEstimates,
        vms: VmTable,
    ) -> None:
        self._configuration = configuration
        self._estimates = estimates
        self._vms = vms

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Return whether ``endpoint`` must get no new work."""
        known = self._configuration.current.endpoints_by_id.get(endpoint)
        if known is None or known.labels.get(LEAVING_LABEL) == "true":
            return True
        report = self._estimates.report(endpoint)
        if report is not None and report.leaving:
            return True
        return self._vms.is_leaving(known)


class GuardedServices:
    """Plain services, but for those at endpoints that are leaving.

    Refusing at the last step before the call holds for an action too whose
    claim took a while.
    """

    def __init__(self, services: Services, leaving: LeavingEndpoints) -> None:
        self._services = services
        self._leaving = leaving

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once; see the Services port."""
        if self._leaving.is_leaving(endpoint.id):
            raise NotSentError(f"{endpoint.id} is leaving")
        return self._services.call(endpoint, request)
