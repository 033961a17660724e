"""Load of each endpoint, estimated from signals that lag or go missing."""

import threading
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from camphoryard.state.ids import EndpointId, NodeId
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import InFlightTable

REPORT_LIFE_S = 3.0
REPORT_LAG_S = 1.0


@dataclass(frozen=True, slots=True)
class _Dated:
    """A report, when it came last and first, and how many requests it has of ours."""

    report: LoadReport
    at_s: float
    since_s: float
    own: int


class LoadEstimates:
    """Estimates requests at each endpoint.

    Two estimates are made and the larger one counts, since a signal that is
    missing makes an estimate too small: own requests plus those that peers
    told, and the engine's last report plus own requests begun since.
    """

    def __init__(self, node: NodeId, nodes: NodeTable, in_flight: InFlightTable):
        self._node = node
        self._nodes = nodes
        self._in_flight = in_flight
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._dated_by_id: dict[EndpointId, _Dated] = {}
        self._polled_by_id: dict[EndpointId, _Dated] = {}
        self._peers_by_id: Counter[EndpointId] = Counter()

    def record_report(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Take in a report that this node asked an engine for."""
        self._take(endpoint, report)
        with self._lock:
            self._polled_by_id[endpoint] = self._dated_by_id[endpoint]

    def refresh(self) -> None:
        """Take in what the digests of live peers say now."""
        peers: Counter[EndpointId] = Counter()
        for lease in self._nodes.alive():
            digest = self._nodes.digest(lease.node)
            if digest is None or lease.node == self._node:
                continue
            peers.update(digest.in_flight_by_endpoint)
            for endpoint, report in digest.report_by_endpoint.items():
                self._take(endpoint, report)
        with self._lock:
            self._peers_by_id = peers

    def polled_by_id(self) -> Mapping[EndpointId, LoadReport]:
        """Return the fresh reports that this node asked engines for itself."""
        since_s = time.monotonic() - REPORT_LIFE_S
        with self._lock:
            return {
                endpoint: dated.report
                for endpoint, dated in self._polled_by_id.items()
                if dated.at_s > since_s
            }

    def report(self, endpoint: EndpointId) -> LoadReport | None:
        """Return the last report, however old."""
        with self._lock:
            dated = self._dated_by_id.get(endpoint)
        return dated.report if dated else None

    def report_age_s(self, endpoint: EndpointId) -> float:
        """Return how long ago a report came, or this node started if none did."""
        with self._lock:
            dated = self._dated_by_id.get(endpoint)
        return time.monotonic() - (dated.at_s if dated else self._started_s)

    def is_unresponsive(self, endpoint: EndpointId) -> bool:
        """Return whether an engine that reported before does so no more."""
        with self._lock:
            dated = self._dated_by_id.get(endpoint)
        return dated is not None and time.monotonic() - dated.at_s > REPORT_LIFE_S

    def load(self, endpoint: EndpointId) -> float:
        """Return the estimated number of requests at ``endpoint``."""
        own = self._in_flight.count(endpoint)
        with self._lock:
            told = own + self._peers_by_id[endpoint]
            dated = self._dated_by_id.get(endpoint)
        if dated is None or time.monotonic() - dated.at_s > REPORT_LIFE_S:
            return told
        reported = dated.report.requests + own - dated.own
        return max(told, reported)

    def _take(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Date a report; one that repeats the last may still lag behind it."""
        own = self._in_flight.count(endpoint)
        now_s = since_s = time.monotonic()
        with self._lock:
            known = self._dated_by_id.get(endpoint)
            repeats = known is not None and known.report == report
            if known and repeats and now_s - known.since_s < REPORT_LAG_S:
                own, since_s = known.own, known.since_s
            self._dated_by_id[endpoint] = _Dated(report, now_s, since_s, own)
