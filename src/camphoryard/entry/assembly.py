"""All parts of one entry daemon, joined."""

import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import NoReturn

from camphoryard.coordination.breakers import Breakers
from camphoryard.coordination.forwarding.choosing import EndpointChooser
from camphoryard.coordination.forwarding.feeding import DirectoryFeed
from camphoryard.coordination.forwarding.parts import ForwardingParts
from camphoryard.coordination.retry_budget import RetryBudget, RetryLimits
from camphoryard.coordination.watching import Follower
from camphoryard.entry.settings import EntrySettings
from camphoryard.platform.heads import PlatformHeads
from camphoryard.platform.store import StoreRecords
from camphoryard.platform.traffic import (
    CONFIG_KIND,
    ENDPOINT_KIND,
    decode_endpoint,
    decode_rules,
)
from camphoryard.state.directory import Directory
from camphoryard.state.ids import ServiceId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.tables import InFlightTable
from camphoryard.state.traffic import TrafficRules, WantedModel
from camphoryard.transport.front import FrontApp
from camphoryard.transport.http_client import Address, HttpClient
from camphoryard.transport.log_lines import LineLog
from camphoryard.transport.metrics import Metrics
from camphoryard.transport.readiness import ReadinessApp
from camphoryard.transport.timer import TimerService
from camphoryard.transport.upstream import HttpUpstream

CONNECTION_TASKS = 512
NODE_TASKS = 16
ENDPOINT_BATCH_S = 1.0
"""Between two watches of the endpoints; half of the time in which one that leaves
must get no more requests."""
ENDPOINT_WAIT_S = 10.0
RULES_WAIT_S = 30.0


class NoLoads:
    """Seeks no models: what is held nowhere is not served."""

    def seek(
        self, service: ServiceId, wanted: WantedModel, deadline_s: float
    ) -> ServingEndpoint | None:
        """Return None."""
        return None

    def asked(self, service: ServiceId, wanted: WantedModel, work_s: float) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class Entry:
    """All parts of one running entry daemon."""

    settings: EntrySettings
    log: LineLog
    metrics: Metrics
    timer: TimerService
    client: HttpClient
    directory: Directory
    feed: DirectoryFeed
    rules: Follower[TrafficRules]
    endpoints: Follower[ServingEndpoint]
    app: FrontApp
    readiness: ReadinessApp
    connections: ThreadPoolExecutor
    tasks: ThreadPoolExecutor
    stop: threading.Event


def make_entry(settings: EntrySettings) -> Entry:
    """Return an entry daemon with all parts joined; only the timer runs yet."""
    log = LineLog(settings.node, sys.stdout)
    metrics = Metrics()
    client = HttpClient()
    directory = Directory()
    in_flight = InFlightTable()
    feed = DirectoryFeed(directory, log)
    dialect = PlatformHeads()
    bounds = settings.bounds
    parts = ForwardingParts(
        directory,
        EndpointChooser(settings.zone, in_flight.count),
        in_flight,
        Breakers(),
        RetryBudget(RetryLimits(bounds.retry_share, bounds.retry_reserve / 10)),
        HttpUpstream(client, dialect),
        NoLoads(),
        log,
        metrics.observe,
        metrics.count,
    )
    store = Address(settings.store.host, settings.store.port)
    rules = StoreRecords(
        client, store, CONFIG_KIND, lambda _, spec: decode_rules(spec), _unwritten, log
    )
    endpoints = StoreRecords(
        client, store, ENDPOINT_KIND, decode_endpoint, _unwritten, log
    )
    return Entry(
        settings,
        log,
        metrics,
        TimerService(),
        client,
        directory,
        feed,
        Follower(rules, feed.take_rules, wait_s=RULES_WAIT_S),
        Follower(
            endpoints,
            feed.take_endpoint,
            wait_s=ENDPOINT_WAIT_S,
            answering=feed.answering,
            batch_s=ENDPOINT_BATCH_S,
            listed=feed.list_endpoints,
        ),
        FrontApp(parts, dialect),
        ReadinessApp(lambda: directory.is_ready, metrics),
        ThreadPoolExecutor(CONNECTION_TASKS, "connection"),
        ThreadPoolExecutor(NODE_TASKS, "node"),
        threading.Event(),
    )


def _unwritten(record: object) -> NoReturn:
    raise TypeError(f"{type(record).__name__} is written by the platform only")
