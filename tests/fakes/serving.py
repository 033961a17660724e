"""In-memory fakes of the ports that serving tasks are given."""

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
FAR_S = 1e9

Step = TokenFrame | Exception


class NoPeers:
    """A node without peers."""

    def request(self, node, message, timeout_s):
        """Fail: nobody is there."""
        raise PeerUnreachableError(node)

    def send(self, node, message):
        """Lose the message."""


class NoLoads:
    """Residency that notes what was wanted and loads nothing."""

    def __init__(self):
        self.wanted: list[tuple[ItemId, ...]] = []

    def request_load(self, items, candidates):
        """Note a wish."""
        self.wanted.append(items)

    def record_use(self, items):
        """Do nothing."""


@dataclass
class FakeStream:
    """A stream that plays steps; an exception among them is raised."""

    steps: list[Step]
    closed: bool = False

    def read_frames(self, take):
        """Hand on the steps until no more is wanted."""
        for step in self.steps:
            if isinstance(step, Exception):
                raise step
            if take(step):
                return

    def close(self):
        """Note that it was closed."""
        self.closed = True


Script = Callable[[InferenceRequest, int], list[Step]]


@dataclass
class FakeEngines:
    """Engines that answer by a script for each endpoint."""

    script_by_id: dict[EndpointId, Script]
    calls: list[EndpointId] = field(default_factory=list)
    offsets: list[int] = field(default_factory=list)
    down: set[EndpointId] = field(default_factory=set)
    streams: list[FakeStream] = field(default_factory=list)

    def generate(self, endpoint, request, offset, cancellation):
        """Play the endpoint's script."""
        self.calls.append(endpoint.id)
        self.offsets.append(offset)
        steps = self.script_by_id[endpoint.id](request, offset)
        if steps and isinstance(steps[0], Exception):
            raise steps[0]
        self.streams.append(FakeStream(steps))
        return self.streams[-1]

    def inventory(self, endpoint):
        """Hold every item, or nothing once down."""
        resident = frozenset() if endpoint.id in self.down else frozenset({ITEM})
        return Inventory(resident, frozenset(), FencingNumber(1), 0, 0)


def whole(request: InferenceRequest, offset: int) -> list[Step]:
    """Return the frames from ``offset`` to the end."""
    tokens = [
        TokenFrame(request.id, index, f"t{index} ", False)
        for index in range(offset, request.max_tokens)
    ]
    return [*tokens, TokenFrame(request.id, request.max_tokens, "", True)]


def fails(error: Exception, after: int = 0) -> Script:
    """Return a script that raises ``error`` after some frames."""

    def script(request, offset):
        return [*whole(request, offset)[:after], error]

    return script


def request(
    prompt="where?", deadline_s=FAR_S, max_tokens=5, total_deadline_s=math.inf
) -> InferenceRequest:
    """Return a request of the test's caller."""
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
    """Return two engines, a model and a group that takes all."""
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
    """Return a record in which the model is resident."""
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
    """Return a time line that logs nothing."""
    return Timeline(NODE, HybridClock(), lambda event: None)


def parts(
    engines: FakeEngines, slots: int = 4, reserve: float = 20
) -> InferenceContext:
    """Return the parts of an inference task over ``engines``."""
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


def never() -> Cancellation:
    """Return a cancellation that does not come."""
    return Cancellation()
