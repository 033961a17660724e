"""In-memory fakes of the ports in an InferenceContext."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.coordination.admission.admission import Admission, DeadlineFirst
from camphoryard.coordination.admission.concurrency_limits import ConcurrencyLimits
from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.inference_context import InferenceContext
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Inventory
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.leaving_endpoints import LeavingEndpoints
from camphoryard.coordination.routing.load_estimates import LoadEstimates
from camphoryard.coordination.routing.retry_budget import RetryBudget, RetryLimits
from camphoryard.coordination.routing.routing import LeastInFlight, Router
from camphoryard.state.configuration import (
    Caller,
    Configuration,
    Endpoint,
    Model,
    ServingGroup,
)
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, Priority
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import (
    CallerId,
    EndpointId,
    FencingNumber,
    Generation,
    GroupId,
    Incarnation,
    ItemId,
    ModelId,
    NodeId,
    RequestId,
    Version,
    WriteId,
)
from camphoryard.state.nodes import NodeTable
from camphoryard.state.requests import InferenceRequest, TokenFrame
from camphoryard.state.tables import ConfigurationHolder, EndpointTable, InFlightTable
from camphoryard.state.timeline import HybridClock
from camphoryard.state.vms import VmTable

NODE = NodeId("node-1")
GROUP = GroupId("desk")
MODEL = ModelId("meter-3b")
ITEM = ItemId("meter-3b")
ENGINES = (EndpointId("engine-1"), EndpointId("engine-2"))
FAR_DEADLINE_S = 1e9

Step = TokenFrame | Exception


class NoPeers:
    """A peer transport with no reachable peer."""

    def request(self, node, message, timeout_s):
        """Raise PeerUnreachableError."""
        raise PeerUnreachableError(node)

    def send(self, node, message):
        """Drop the message."""


class NoLoads:
    """Residency that records load requests and loads nothing."""

    def __init__(self):
        self.requested: list[tuple[ItemId, ...]] = []

    def request_load(self, items, candidates):
        """Record the requested items."""
        self.requested.append(items)

    def record_use(self, items):
        """Do nothing."""


@dataclass
class FakeStream:
    """A stream of scripted frames; a scripted exception is raised."""

    steps: list[Step]
    closed: bool = False

    def read_frames(self, deliver):
        """Deliver frames until ``deliver`` returns True or the script ends."""
        for step in self.steps:
            if isinstance(step, Exception):
                raise step
            if deliver(step):
                return

    def close(self):
        """Record that the stream was closed."""
        self.closed = True


Script = Callable[[InferenceRequest, int], list[Step]]


@dataclass
class FakeEngines:
    """Engines that answer each request with the script of its endpoint."""

    script_by_id: dict[EndpointId, Script]
    calls: list[EndpointId] = field(default_factory=list)
    offsets: list[int] = field(default_factory=list)
    down: set[EndpointId] = field(default_factory=set)
    streams: list[FakeStream] = field(default_factory=list)

    def generate(self, endpoint, request, offset, cancellation):
        """Return a stream of the endpoint's script, or raise its first step."""
        self.calls.append(endpoint.id)
        self.offsets.append(offset)
        steps = self.script_by_id[endpoint.id](request, offset)
        if steps and isinstance(steps[0], Exception):
            raise steps[0]
        self.streams.append(FakeStream(steps))
        return self.streams[-1]

    def inventory(self, endpoint):
        """Report the model as resident unless the endpoint is down."""
        resident = frozenset() if endpoint.id in self.down else frozenset({ITEM})
        return Inventory(resident, frozenset(), FencingNumber(1), 0, 0)


def remaining_frames(request: InferenceRequest, offset: int) -> list[Step]:
    """Return the frames from ``offset`` to the end of the answer."""
    tokens = [
        TokenFrame(request.id, index, f"t{index} ", False)
        for index in range(offset, request.max_tokens)
    ]
    return [*tokens, TokenFrame(request.id, request.max_tokens, "", True)]


def failing_script(error: Exception, after: int = 0) -> Script:
    """Return a script that raises ``error`` after ``after`` frames."""

    def script(request, offset):
        return [*remaining_frames(request, offset)[:after], error]

    return script


def request(
    prompt="where?", deadline_s=FAR_DEADLINE_S, max_tokens=5, total_deadline_s=math.inf
) -> InferenceRequest:
    """Return an inference request of the caller ``meter-app``."""
    return InferenceRequest(
        RequestId(f"request-{prompt}"),
        CallerId("meter-app"),
        MODEL,
        None,
        prompt,
        max_tokens,
        deadline_s,
        None,
        total_deadline_s,
    )


def configuration() -> Configuration:
    """Return two engines, one model and a group that matches each request."""
    endpoints = {
        item: Endpoint(item, EndpointKind.ENGINE, "127.0.0.1", index + 1, 9000)
        for index, item in enumerate(ENGINES)
    }
    return Configuration(
        Generation(1),
        {MODEL: Model(MODEL, 4000)},
        {},
        endpoints,
        {CallerId("meter-app"): Caller(CallerId("meter-app"))},
        {},
        {GROUP: ServingGroup(GROUP, Priority.STANDARD)},
    )


def record(endpoint: EndpointId) -> EndpointRecord:
    """Return the record of an endpoint that has the model resident."""
    return EndpointRecord(
        endpoint,
        9000,
        NODE,
        Incarnation("1"),
        FencingNumber(1),
        WriteId("1"),
        {ITEM: 4000},
    )


def timeline() -> Timeline:
    """Return a time line that discards its events."""
    return Timeline(NODE, HybridClock(), lambda event: None)


def make_context(
    engines: FakeEngines, slots: int = 4, reserve: float = 20
) -> InferenceContext:
    """Return an inference context over ``engines``."""
    holder = ConfigurationHolder()
    holder.adopt(configuration())
    table = EndpointTable()
    for endpoint in ENGINES:
        table.observe(record(endpoint), Version(1))
    in_flight = InFlightTable()
    nodes = NodeTable()
    estimates = LoadEstimates(NODE, nodes, in_flight)
    router = Router(LeastInFlight(), estimates.load)
    admission = Admission(DeadlineFirst(), slots, router, estimates, in_flight)
    table.subscribe(admission.wake)
    return InferenceContext(
        holder,
        table,
        ConcurrencyLimits(nodes),
        admission,
        Breakers(),
        LeavingEndpoints(holder, estimates, VmTable()),
        RetryBudget(RetryLimits(0.0, reserve)),
        Suspects(NODE, nodes, NoPeers(), timeline()),
        NoLoads(),
        DemandMeter(),
        engines,
        timeline(),
    )


def never_cancelled() -> Cancellation:
    """Return a cancellation that is never triggered."""
    return Cancellation()
