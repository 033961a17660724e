"""The task that plans placement and sends moves to the endpoints' owners.

Every node runs it, but only the node chosen by rendezvous hashing plans. While the
nodes' membership views differ, two may plan at the same time. This wastes moves but
is safe, since each move is still checked against its endpoint's record.
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

CarryOutMove = Callable[[Move], None]


@dataclass(frozen=True, slots=True)
class PlacerContext:
    """The collaborators of the planning task.

    ``slots`` returns the slots of an engine. ``accepts_new_work`` returns false for
    an endpoint that is leaving or unresponsive. ``carry_out`` executes a move at an
    endpoint that this node owns.
    """

    policy: PlacementPolicy
    node: NodeId
    nodes: NodeTable
    peers: Peers
    configuration: ConfigurationHolder
    table: EndpointTable
    demand: SystemDemand
    budget: WeightBudgetClient
    slots: Callable[[EndpointId], int]
    accepts_new_work: Callable[[EndpointId], bool]
    carry_out: CarryOutMove
    executor: Executor
    timeline: Timeline


class Placer:
    """Plans moves each period while this node is the planner."""

    def __init__(self, context: PlacerContext) -> None:
        self._context = context
        self._resident_since_s_by_copy: dict[tuple[EndpointId, ItemId], float] = {}
        self._load_started_s_by_copy: dict[tuple[EndpointId, ItemId], float] = {}

    def run(self, timer: Timer) -> None:
        """Plan until the timer service closes."""
        match self._context.policy:
            case DemandPlacement() as policy:
                for _ in timer.every(PLAN_PERIOD_S):
                    self._update_resident_since()
                    if self._is_planner():
                        self.plan_once(policy)
            case _:
                return

    def plan_once(self, policy: DemandPlacement) -> None:
        """Make one plan and start its moves until the weight budget declines one."""
        for move in plan(policy, self.view(policy)):
            start_in_s = self._context.budget.request(urgent=False)
            if start_in_s is None:
                return
            for item in move.items:
                self._load_started_s_by_copy[move.endpoint, item] = time.monotonic()
            self._context.timeline.record(
                "move", endpoint=move.endpoint, load=move.items, unload=move.evicted
            )
            self._context.executor.submit(self._carry_out_move, move, start_in_s)

    def view(self, policy: DemandPlacement) -> PlacementView:
        """Return the current engines, demand and item sizes for a plan."""
        configuration = self._context.configuration.current
        demand_by_item = self._context.demand.by_item()
        engines_by_id = {
            endpoint.id: self._endpoint_view(endpoint, record, policy)
            for endpoint, record in self._eligible_engines()
        }
        items = {
            *demand_by_item,
            *(ItemId(model) for model in configuration.models_by_id),
        }
        size_mb_by_item = {item: item_memory_mb(configuration, item) for item in items}
        return PlacementView(
            engines_by_id,
            demand_by_item,
            {
                item: size_mb
                for item, size_mb in size_mb_by_item.items()
                if size_mb is not None
            },
        )

    def _eligible_engines(self) -> Iterable[tuple[Endpoint, EndpointRecord]]:
        for endpoint in self._context.configuration.current.endpoints_by_id.values():
            if endpoint.kind is not EndpointKind.ENGINE:
                continue
            record = self._context.table.find(endpoint.id)
            if record is not None and self._context.accepts_new_work(endpoint.id):
                yield endpoint, record

    def _endpoint_view(
        self, endpoint: Endpoint, record: EndpointRecord, policy: DemandPlacement
    ) -> EndpointView:
        committed_mb_by_item = dict(record.resident_mb_by_item)
        for item, intent in record.intents_by_item.items():
            committed_mb_by_item[item] = max(
                intent.memory_mb, committed_mb_by_item.get(item, 0)
            )
        committed_mb_by_item.update(
            self._started_loads_mb(endpoint.id, committed_mb_by_item)
        )
        pinned = {
            item
            for item in committed_mb_by_item
            if item in record.intents_by_item
            or self._residency_s(endpoint.id, item) < policy.min_residency_s
        }
        slots = float(self._context.slots(endpoint.id))
        return EndpointView(
            record.memory_mb, slots, committed_mb_by_item, frozenset(pinned)
        )

    def _started_loads_mb(
        self, endpoint: EndpointId, committed_mb_by_item: Mapping[ItemId, int]
    ) -> Mapping[ItemId, int]:
        """Return the size in MB of loads that this node started but no record shows."""
        oldest_start_s = time.monotonic() - MOVE_TIMEOUT_S
        configuration = self._context.configuration.current
        started_mb_by_item = {}
        for (loading_endpoint, item), started_s in tuple(
            self._load_started_s_by_copy.items()
        ):
            if loading_endpoint != endpoint:
                continue
            if item in committed_mb_by_item or started_s < oldest_start_s:
                del self._load_started_s_by_copy[loading_endpoint, item]
                continue
            started_mb_by_item[item] = item_memory_mb(configuration, item) or 0
        return started_mb_by_item

    def _residency_s(self, endpoint: EndpointId, item: ItemId) -> float:
        now_s = time.monotonic()
        return now_s - self._resident_since_s_by_copy.get((endpoint, item), now_s)

    def _update_resident_since(self) -> None:
        """Record when each copy was first observed.

        After a start, the copies observed first count as old, since the times of
        their loads are unknown.
        """
        first_observed_s = (
            0.0 if not self._resident_since_s_by_copy else time.monotonic()
        )
        copies = {
            (endpoint, item)
            for endpoint, record in self._context.table.by_id().items()
            for item in record.resident_mb_by_item
        }
        self._resident_since_s_by_copy = {
            copy: self._resident_since_s_by_copy.get(copy, first_observed_s)
            for copy in copies
        }

    def _is_planner(self) -> bool:
        serving_nodes = [
            lease.node
            for lease in self._context.nodes.alive()
            if lease.state is NodeState.SERVING
        ]
        if not serving_nodes:
            return False
        return rendezvous_owner(PLANNER_KEY, serving_nodes) == self._context.node

    def _carry_out_move(self, move: Move, start_in_s: float) -> None:
        """Wait until the load may start, then send the move to the endpoint's owner."""
        self._context.budget.wait_for_start(start_in_s)
        owner = owner_of(move.endpoint, self._context.nodes)
        try:
            if owner is None:
                return
            if owner == self._context.node:
                self._context.carry_out(move)
                return
            message = MoveItemsRequest(move.endpoint, move.items, move.evicted)
            reply = self._context.peers.request(owner, message, MOVE_TIMEOUT_S)
            if isinstance(reply, Declined):
                self._record_failure(move, reply.detail)
        except CamphoryardError as error:
            self._record_failure(move, str(error))

    def _record_failure(self, move: Move, detail: str) -> None:
        for item in move.items:
            self._load_started_s_by_copy.pop((move.endpoint, item), None)
        self._context.timeline.record(
            "move_failed", endpoint=move.endpoint, load=move.items, error=detail
        )
