"""Fake engines that accept load orders, and builders of endpoints and rules."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from camphoryard.coordination.loading.ports import EngineReport, OrderAnswer
from camphoryard.state.enums import OrderKind
from camphoryard.state.errors import BrokenCallError, NotSentError
from camphoryard.state.ids import (
    AdapterId,
    EndpointId,
    ModelId,
    RouteId,
    ServiceId,
    Version,
    Zone,
)
from camphoryard.state.serving_endpoints import (
    EndpointState,
    HostPort,
    LoadedModel,
    ServingEndpoint,
)
from camphoryard.state.traffic import (
    ClientLimits,
    EngineSpec,
    ModelSpec,
    Repeatability,
    RequestedModel,
    RouteRule,
    ServiceSpec,
    TrafficRules,
    WeightedService,
)

SERVICE = ServiceId("chat")
ADAPTERS = ("a1", "a2", "a3", "a4")
ZONE = Zone("zone-a")


class Clock:
    """A clock that advances only when the test says so."""

    def __init__(self, now_s=1000.0):
        self.now_s = now_s

    def __call__(self):
        """Return the time in seconds."""
        return self.now_s

    def advance(self, by_s):
        """Advance the clock by ``by_s`` seconds."""
        self.now_s += by_s


class RecordedLog:
    """A log that records its events and fields in memory."""

    def __init__(self):
        self.lines = []

    def __call__(self, event, **fields):
        """Record one event with its fields."""
        self.lines.append((event, fields))

    def events(self):
        """Return the recorded events in order, without fields."""
        return [event for event, _ in self.lines]


def make_endpoint(name="e1", models=(), state=EndpointState.READY, **fields):
    """Return an endpoint; each of ``models`` is a name or a (name, adapters) pair."""
    loaded = {}
    for item in models:
        model, adapters = (item, ()) if isinstance(item, str) else item
        loaded[ModelId(model)] = LoadedModel(1, frozenset(map(AdapterId, adapters)))
    return ServingEndpoint(
        EndpointId(name),
        fields.get("service", SERVICE),
        HostPort("127.0.0.1", fields.get("port", 1)),
        fields.get("zone", ZONE),
        fields.get("slots", 8),
        state,
        fields.get("started_ms", 1),
        loaded,
        frozenset(map(ModelId, fields.get("on_hand", ()))),
    )


def make_spec(sizes, memory_mb=100, adapter_slots=2):
    """Return the engine limits and models, given model sizes in MB by name."""
    return EngineSpec(
        8,
        1000,
        memory_mb,
        adapter_slots,
        1.0,
        {
            ModelId(name): ModelSpec(
                ModelId(name), size, 5.0, 1.0, tuple(map(AdapterId, ADAPTERS)), 1.0
            )
            for name, size in sizes.items()
        },
    )


def make_rule(repeatability=Repeatability.IDEMPOTENT, **fields):
    """Return a route rule, by default for ``/a/`` on ``site.example``."""
    return RouteRule(
        RouteId(fields.get("id", "r1")),
        fields.get("host", "site.example"),
        fields.get("path_prefix", "/a/"),
        repeatability,
        (WeightedService(fields.get("service", SERVICE), 1.0),),
        fields.get("timeout_s", 10.0),
        fields.get("objective_s", 0.5),
        fields.get("rank", 1),
        fields.get("max_attempts", 2),
        fields.get("longest_gap_s", 0.3),
    )


def make_rules(spec=None, rules=None, version=1):
    """Return traffic rules with one service, whose engines ``spec`` describes."""
    return TrafficRules(
        Version(version),
        tuple(rules if rules is not None else [make_rule()]),
        {SERVICE: ServiceSpec(SERVICE, 100, spec)},
        ClientLimits(16384, 1 << 20, 3.0, 15.0),
    )


@dataclass
class FakeEngine:
    """An engine whose loads are in progress until ``finish``.

    While it is unresponsive, ``report`` fails after ``response_timeout_s``. With
    ``has_endless_requests`` an accepted unload of a model never finishes.
    """

    spec: EngineSpec
    loaded: dict[ModelId, set[AdapterId]] = field(default_factory=dict)
    order_count: int = 0
    loading: ModelId | None = None
    is_overcommitted: bool = False
    is_unresponsive: bool = False
    response_timeout_s: float = 0.0
    has_endless_requests: bool = False
    is_unloading: bool = False
    on_accept: Callable[[], None] = lambda: None
    accepted_orders: list[tuple[OrderKind, RequestedModel]] = field(
        default_factory=list
    )

    def order(self, order):
        """Execute an order and return the answer that a real engine gives."""
        if self.is_unresponsive:
            raise BrokenCallError("engine does not respond")
        if self.is_unloading or (self.loading and order.item.adapter is None):
            return OrderAnswer.BUSY
        if order.expected != self.order_count:
            return OrderAnswer.BUSY
        self.order_count += 1
        self.accepted_orders.append((order.kind, order.item))
        self.on_accept()
        match order.kind, order.item:
            case OrderKind.LOAD, RequestedModel(model, None):
                self.loading = model
            case OrderKind.UNLOAD, RequestedModel(_, None) if self.has_endless_requests:
                self.is_unloading = True
            case OrderKind.UNLOAD, RequestedModel(model, None):
                self.loaded.pop(model, None)
            case OrderKind.LOAD, RequestedModel(model, adapter):
                self.loaded[model].add(adapter)
            case OrderKind.UNLOAD, RequestedModel(model, adapter):
                self.loaded[model].discard(adapter)
                self._check()
                return OrderAnswer.DONE
        self._check()
        return OrderAnswer.ACCEPTED

    def finish(self):
        """Complete the load that is in progress."""
        if self.loading is not None:
            self.loaded[self.loading] = set()
            self.loading = None

    def report(self):
        """Return the loaded models and the order count."""
        if self.is_unresponsive:
            time.sleep(self.response_timeout_s)
            raise BrokenCallError("engine does not respond")
        loaded = {
            model: LoadedModel(1, frozenset(adapters))
            for model, adapters in self.loaded.items()
        }
        is_busy = self.loading is not None or self.is_unloading
        return EngineReport(loaded, is_busy, self.order_count, 0, 0)

    def _check(self):
        models = {*self.loaded, *([self.loading] if self.loading else [])}
        memory_mb = sum(self.spec.models_by_id[model].memory_mb for model in models)
        adapter_count = sum(map(len, self.loaded.values()))
        if memory_mb > self.spec.memory_mb or adapter_count > self.spec.adapter_slots:
            self.is_overcommitted = True


class FakeEngines:
    """Fake engines by endpoint id, behind the EngineApi port."""

    def __init__(self, **engine_by_name):
        self.by_id = {
            EndpointId(name): engine for name, engine in engine_by_name.items()
        }
        self.on_connect = lambda: None

    def order(self, endpoint, order, is_permitted):
        """Send an order to the engine of an endpoint, if it is still permitted."""
        self.on_connect()
        if not is_permitted():
            raise NotSentError("not permitted")
        return self.by_id[endpoint.id].order(order)

    def report(self, endpoint):
        """Return the report of the engine of an endpoint."""
        return self.by_id[endpoint.id].report()
