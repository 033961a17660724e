"""Nodes that forward requests to endpoints which name limits in their answers."""

import random
from dataclasses import dataclass

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.fleet.shared_endpoint_room import (
    SharedEndpointRoom,
    endpoint_policy,
)
from camphoryard.coordination.forwarding.context import ForwardingContext
from camphoryard.coordination.forwarding.endpoint_chooser import EndpointChooser
from camphoryard.coordination.forwarding.exchange import forward
from camphoryard.coordination.forwarding.ports import (
    AnswerHead,
    AnswerKind,
    ClientRequest,
)
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_counter import CrashCounter
from camphoryard.coordination.routing.crashed_parts import CrashedParts
from camphoryard.coordination.routing.endpoint_notices import (
    EndpointNotices,
    Limited,
    Unlimited,
)
from camphoryard.coordination.routing.first_events import FirstEventTracker
from camphoryard.coordination.routing.retry_window import RepeatLimits, RetryWindow
from camphoryard.state.directory import Directory
from camphoryard.state.endpoint_limits import LIMIT_WINDOW_S
from camphoryard.state.errors import NotSentError, RefusalError
from camphoryard.state.ids import EndpointId, NodeId, RequestId
from camphoryard.state.quotas import Admitted, QuotaKind
from camphoryard.state.tables import InFlightTable
from tests.fakes.engines import (
    ZONE,
    make_endpoint,
    make_rule,
    make_rules,
)
from tests.fakes.sharing_fleet import PERIOD_S, SharingFleet, SharingNode


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint; ``is_told`` if its node knew of a limit."""

    at_s: float
    endpoint: EndpointId
    node: NodeId
    is_told: bool


class NamingAnswer:
    """A whole answer that names the limit of its endpoint."""

    ends_with_connection = False
    write_error = None

    def __init__(self, per_s):
        notice = Unlimited() if per_s is None else Limited(per_s)
        self.head = AnswerHead(AnswerKind.SERVED, 200, {}, notices=(notice,))

    def body(self):
        """Return the body."""
        return b"ok"

    def close(self):
        """Do nothing."""


class IgnoredReply:
    """A client that ignores its answer."""

    has_begun = False

    def send_complete(self, status, headers, body):
        """Ignore the answer."""


class LimitNode(SharingNode):
    """One process of a node that forwards requests."""

    def __init__(self, fleet, name, incarnation):
        super().__init__(fleet, name, incarnation)
        self.clock = fleet.clock
        self.directory = Directory(self.clock)
        self.directory.adopt(make_rules(rules=[make_rule()]))
        self.directory.replace_all(list(fleet.endpoint_by_id.values()), False)
        self.notices = EndpointNotices(self.directory, self.log, self.clock)
        limits = self.notices.limits
        self.sharing = self.make_sharing(QuotaKind.ENDPOINT, endpoint_policy(), limits)
        in_flight = InFlightTable()
        self.context = ForwardingContext(
            self.directory,
            EndpointChooser(ZONE, in_flight.count, rng=random.Random(1)),
            in_flight,
            Breakers(self.clock),
            FirstEventTracker(self.clock),
            RetryWindow(RepeatLimits(0.2, 50.0, 10.0), lambda: 1, self.clock),
            self,
            None,
            CrashCounter(self.clock),
            CrashedParts(self.log, self.clock),
            self.notices,
            lambda _: None,
            self.log,
            lambda *_: None,
            lambda _: None,
            self.clock,
            room=SharedEndpointRoom(
                self.sharing,
                limits,
                self.log,
                lambda _: None,
                self.clock,
                lambda: 0.0,
            ),
        )

    def digest(self, **fields):
        """Return the next digest of this node, with the limits that it knows."""
        limits = self.notices.limits.by_endpoint()
        return super().digest(limit_by_endpoint=limits, **fields)

    def receive(self, digest):
        """Receive a digest, with the limits that its sender knows."""
        self.notices.limits.adopt(digest.limit_by_endpoint)
        super().receive(digest)

    def knows_limit(self, endpoint):
        """Return whether this node knows of a limit in force."""
        item = self.directory.find(endpoint)
        return self.notices.limits.in_force(item) is not None

    def open(self, endpoint, request, options, cancellation):
        """Have a request reach an endpoint; see the Upstream port."""
        if self.fleet.unreachable:
            raise NotSentError("no connection")
        per_s = self.fleet.per_s_by_endpoint.get(endpoint.id)
        is_told = self.knows_limit(endpoint.id)
        self.fleet.arrivals.append(
            Arrival(self.clock.now_s, endpoint.id, self.name, is_told)
        )
        return NamingAnswer(per_s)

    def use(self, endpoint):
        """Send one request to an endpoint, without the choice of it, if it has room."""
        item, sent_s = self.directory.find(endpoint), self.clock.now_s
        if isinstance(self.context.room.take(item), Admitted):
            answer = self.open(item, None, None, None)
            self.notices.heed(item, answer.head.notices, sent_s)

    def send(self):
        """Forward one request; return its refusal, or None if it was answered."""
        now_s = self.clock.now_s
        request = ClientRequest(
            RequestId("q"), "GET", "site.example", "/a/b", {}, b"", now_s, now_s + 20
        )
        try:
            forward(self.context, request, Cancellation(), IgnoredReply())
        except RefusalError as refusal:
            return refusal
        return None


class LimitFleet(SharingFleet):
    """Nodes and endpoints, some of which name a limit in requests a second."""

    def __init__(self, size, endpoints, is_first_start=True):
        super().__init__(size, LimitNode, is_first_start)
        self.endpoint_by_id = {
            EndpointId(name): make_endpoint(name) for name in endpoints
        }
        self.per_s_by_endpoint, self.arrivals, self.refusals = {}, [], []
        self.unreachable = False
        self.start_all()

    def press(self, duration_s, per_step, nodes=None):
        """Have each node get as many requests in each step of time."""
        for _ in range(round(duration_s / PERIOD_S)):
            for name in tuple(self.node_by_id) if nodes is None else nodes:
                for _ in range(per_step):
                    refusal = self.node_by_id[name].send()
                    if refusal is not None:
                        self.refusals.append(refusal)
            self.run(PERIOD_S)

    def count(self, endpoint):
        """Return how many requests an endpoint got."""
        return sum(item.endpoint == endpoint for item in self.arrivals)

    def most_in_window(self, endpoint):
        """Return the most requests of told nodes that an endpoint got in a window."""
        times_s = [
            item.at_s
            for item in self.arrivals
            if item.endpoint == endpoint and item.is_told
        ]
        return max(
            (
                sum(end_s - LIMIT_WINDOW_S < at_s <= end_s for at_s in times_s)
                for end_s in times_s
            ),
            default=0,
        )
