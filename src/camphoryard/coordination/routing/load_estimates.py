"""Load of each endpoint, estimated from signals that may lag or be missing."""

import threading
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.state.ids import EndpointId, NodeId
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import InFlightTable

REPORT_TTL_S = 3.0
REPORT_LAG_S = 1.0
"""How long an engine may repeat a report that lags behind its requests."""


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """A load report with the times it was last and first received.

    ``own_in_flight`` is how many requests this node had in flight at the engine
    when the report was first received.
    """

    report: LoadReport
    last_received_s: float
    first_received_s: float
    own_in_flight: int


class LoadEstimates:
    """Estimates the number of requests at each endpoint.

    The larger of two estimates is used, since a missing signal makes an estimate
    too small: this node's in-flight requests plus those that peers report, and the
    engine's last report plus this node's requests started since.
    """

    def __init__(self, node: NodeId, nodes: NodeTable, in_flight: InFlightTable):
        self._node = node
        self._nodes = nodes
        self._in_flight = in_flight
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._received_by_id: dict[EndpointId, _ReceivedReport] = {}
        self._polled_by_id: dict[EndpointId, _ReceivedReport] = {}
        self._peer_in_flight_by_id: Counter[EndpointId] = Counter()

    def record_report(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Store a report that this node polled from an engine."""
        self._store(endpoint, report)
        with self._lock:
            self._polled_by_id[endpoint] = self._received_by_id[endpoint]

    def refresh(self) -> None:
        """Update the estimates from the latest digests of live peers."""
        peer_in_flight_by_id: Counter[EndpointId] = Counter()
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is None or lease.node == self._node:
                continue
            peer_in_flight_by_id.update(digest.in_flight_by_endpoint)
            for endpoint, report in digest.report_by_endpoint.items():
                self._store(endpoint, report)
        with self._lock:
            self._peer_in_flight_by_id = peer_in_flight_by_id

    def polled_by_id(self) -> Mapping[EndpointId, LoadReport]:
        """Return the unexpired reports that this node itself polled from engines."""
        since_s = time.monotonic() - REPORT_TTL_S
        with self._lock:
            return {
                endpoint: received.report
                for endpoint, received in self._polled_by_id.items()
                if received.last_received_s > since_s
            }

    def report(self, endpoint: EndpointId) -> LoadReport | None:
        """Return the last report, of any age, or None if there is none."""
        with self._lock:
            received = self._received_by_id.get(endpoint)
        return received.report if received else None

    def report_age_s(self, endpoint: EndpointId) -> float:
        """Return the age of the last report, in seconds; without one, the node's."""
        with self._lock:
            received = self._received_by_id.get(endpoint)
        return time.monotonic() - (
            received.last_received_s if received else self._started_s
        )

    def is_unresponsive(self, endpoint: EndpointId) -> bool:
        """Return whether an engine that has reported before no longer does."""
        with self._lock:
            received = self._received_by_id.get(endpoint)
        return (
            received is not None
            and time.monotonic() - received.last_received_s > REPORT_TTL_S
        )

    def load(self, endpoint: EndpointId) -> float:
        """Return the estimated number of requests at ``endpoint``."""
        own = self._in_flight.count(endpoint)
        with self._lock:
            in_flight = own + self._peer_in_flight_by_id[endpoint]
            received = self._received_by_id.get(endpoint)
        if (
            received is None
            or time.monotonic() - received.last_received_s > REPORT_TTL_S
        ):
            return in_flight
        reported = received.report.requests + own - received.own_in_flight
        return max(in_flight, reported)

    def _store(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Store a report with its time of receipt.

        A report equal to the last one may still lag, so for a while the time and
        the in-flight count of the first of them are retained.
        """
        own = self._in_flight.count(endpoint)
        now_s = first_received_s = time.monotonic()
        with self._lock:
            previous = self._received_by_id.get(endpoint)
            is_repeated = previous is not None and previous.report == report
            if (
                previous
                and is_repeated
                and now_s - previous.first_received_s < REPORT_LAG_S
            ):
                own, first_received_s = (
                    previous.own_in_flight,
                    previous.first_received_s,
                )
            self._received_by_id[endpoint] = _ReceivedReport(
                report, now_s, first_received_s, own
            )
