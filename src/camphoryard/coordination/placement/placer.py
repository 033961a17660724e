"""The task that plans placement and has the owners carry it out.

Every node runs it; only the one that rendezvous hashing names plans. Two that
plan at once, as views differ for a moment, waste moves but break nothing: each
move still goes through its endpoint's record.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass

from camphoryard.coordination.messages import Declined, MoveItemsRequest
from camphoryard.coordination.observing.timeline import Timeline
from camphoryard.coordination.placement.demand import SystemDemand
from camphoryard.coordination.placement.placement import (
    DemandPlacement,
    EndpointView,
    Move,
    PlacementPolicy,
    PlacementView,
    plan,
)
from camphoryard.coordination.placement.weight_budget import WeightBudgetClient
from camphoryard.coordination.ports import Peers, Timer
from camphoryard.coordination.residency.ownership import owner_of, rendezvous_owner
from camphoryard.state.configuration import Endpoint, item_memory_mb
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import EndpointId, ItemId, NodeId
from camphoryard.state.nodes import NodeTable
from camphoryard.state.tables import ConfigurationHolder, EndpointTable

PLAN_PERIOD_S = 0.5
PLANNER_KEY = "placement"
MOVE_TIMEOUT_S = 15.0

CarryOut = Callable[[Move], None]


@dataclass(frozen=True, slots=True)
class PlacerContext:
    """What the planning task works with; ``takes_work`` is false for a leaving one."""

    policy: PlacementPolicy
    node: NodeId
    nodes: NodeTable
    peers: Peers
    configuration: ConfigurationHolder
    table: EndpointTable
    demand: SystemDemand
    budget: WeightBudgetClient
    slots: Callable[[EndpointId], int]
    takes_work: Callable[[EndpointId], bool]
    carry_out: CarryOut
    executor: Executor
    timeline: Timeline


class Placer:
    """Plans moves each period while this node is the planner."""

    def __init__(self, parts: PlacerContext) -> None:
        self._parts = parts
        self._since_s_by_copy: dict[tuple[EndpointId, ItemId], float] = {}
        self._started_s_by_copy: dict[tuple[EndpointId, ItemId], float] = {}

    def run(self, timer: Timer) -> None:
        """Plan until the timer service closes."""
        match self._parts.policy:
            case DemandPlacement() as policy:
                for _ in timer.every(PLAN_PERIOD_S):
                    self._date_copies()
                    if self._is_planner():
                        self.plan_once(policy)
            case _:
                return

    def plan_once(self, policy: DemandPlacement) -> None:
        """Make one plan and start its moves as far as the budget allows."""
        for move in plan(policy, self.view(policy)):
            start_in_s = self._parts.budget.ask(urgent=False)
            if start_in_s is None:
                return
            for item in move.items:
                self._started_s_by_copy[move.endpoint, item] = time.monotonic()
            self._parts.timeline.record(
                "move", endpoint=move.endpoint, load=move.items, unload=move.evicted
            )
            self._parts.executor.submit(self._carry_out, move, start_in_s)

    def view(self, policy: DemandPlacement) -> PlacementView:
        """Return what there is to plan from now."""
        configuration = self._parts.configuration.current
        demand_by_item = self._parts.demand.by_item()
        views = {
            endpoint.id: self._endpoint_view(endpoint, record, policy)
            for endpoint, record in self._engines()
        }
        items = {*demand_by_item, *(ItemId(x) for x in configuration.models_by_id)}
        sizes_mb = {item: item_memory_mb(configuration, item) for item in items}
        return PlacementView(
            views,
            demand_by_item,
            {item: size for item, size in sizes_mb.items() if size is not None},
        )

    def _engines(self) -> Iterable[tuple[Endpoint, EndpointRecord]]:
        for endpoint in self._parts.configuration.current.endpoints_by_id.values():
            if endpoint.kind is not EndpointKind.ENGINE:
                continue
            record = self._parts.table.find(endpoint.id)
            if record is not None and self._parts.takes_work(endpoint.id):
                yield endpoint, record

    def _endpoint_view(
        self, endpoint: Endpoint, record: EndpointRecord, policy: DemandPlacement
    ) -> EndpointView:
        committed = dict(record.resident_mb_by_item)
        for item, intent in record.intents_by_item.items():
            committed[item] = max(intent.memory_mb, committed.get(item, 0))
        committed.update(self._started(endpoint.id, committed))
        fixed = {
            item
            for item in committed
            if item in record.intents_by_item
            or self._age_s(endpoint.id, item) < policy.min_residency_s
        }
        slots = float(self._parts.slots(endpoint.id))
        return EndpointView(record.memory_mb, slots, committed, frozenset(fixed))

    def _started(
        self, endpoint: EndpointId, committed: Mapping[ItemId, int]
    ) -> Mapping[ItemId, int]:
        """Return what this node has started to load and no record shows yet."""
        since_s = time.monotonic() - MOVE_TIMEOUT_S
        configuration = self._parts.configuration.current
        started = {}
        for (where, item), started_s in tuple(self._started_s_by_copy.items()):
            if where != endpoint:
                continue
            if item in committed or started_s < since_s:
                del self._started_s_by_copy[where, item]
                continue
            started[item] = item_memory_mb(configuration, item) or 0
        return started

    def _age_s(self, endpoint: EndpointId, item: ItemId) -> float:
        now_s = time.monotonic()
        return now_s - self._since_s_by_copy.get((endpoint, item), now_s)

    def _date_copies(self) -> None:
        """Note when each copy was first seen; an earlier start's count as old."""
        now_s = 0.0 if not self._since_s_by_copy else time.monotonic()
        seen = {
            (endpoint, item)
            for endpoint, record in self._parts.table.by_id().items()
            for item in record.resident_mb_by_item
        }
        self._since_s_by_copy = {
            copy: self._since_s_by_copy.get(copy, now_s) for copy in seen
        }

    def _is_planner(self) -> bool:
        serving = [
            lease.node
            for lease in self._parts.nodes.alive()
            if lease.state is NodeState.SERVING
        ]
        if not serving:
            return False
        return rendezvous_owner(PLANNER_KEY, serving) == self._parts.node

    def _carry_out(self, move: Move, start_in_s: float) -> None:
        """Have the endpoint's owner carry out a move when its load may start."""
        self._parts.budget.pause(start_in_s)
        owner = owner_of(move.endpoint, self._parts.nodes)
        try:
            if owner is None:
                return
            if owner == self._parts.node:
                self._parts.carry_out(move)
                return
            message = MoveItemsRequest(move.endpoint, move.items, move.evicted)
            reply = self._parts.peers.ask(owner, message, MOVE_TIMEOUT_S)
            if isinstance(reply, Declined):
                self._failed(move, reply.detail)
        except CamphoryardError as error:
            self._failed(move, str(error))

    def _failed(self, move: Move, detail: str) -> None:
        for item in move.items:
            self._started_s_by_copy.pop((move.endpoint, item), None)
        self._parts.timeline.record(
            "move_failed", endpoint=move.endpoint, load=move.items, error=detail
        )
