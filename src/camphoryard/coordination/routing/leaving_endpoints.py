"""Detection of endpoints that are leaving and must get no new work."""

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
    """Tells which endpoints are leaving.

    An endpoint is leaving if its label, its own load report or the platform's VM
    list says so, or if it is no longer configured. Each request is checked when
    it is dispatched, after any time in a queue.
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
        configured = self._configuration.current.endpoints_by_id.get(endpoint)
        if configured is None or configured.labels.get(LEAVING_LABEL) == "true":
            return True
        report = self._estimates.report(endpoint)
        if report is not None and report.leaving:
            return True
        return self._vms.is_leaving(configured)


class GuardedServices:
    """Calls services unless their endpoint is leaving.

    The check comes immediately before the call, since an endpoint may have started
    to leave while an action waited for its claim.
    """

    def __init__(self, services: Services, leaving: LeavingEndpoints) -> None:
        self._services = services
        self._leaving = leaving

    def call(self, endpoint: Endpoint, request: ActionRequest) -> ActionAnswer:
        """Call an operation once; see the Services port.

        Raises
        ------
        NotSentError
            If the endpoint is leaving.
        """
        if self._leaving.is_leaving(endpoint.id):
            raise NotSentError(f"{endpoint.id} is leaving")
        return self._services.call(endpoint, request)
