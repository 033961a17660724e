"""Locating of items, which are models or adapters, and loading of missing ones.

The leader decides where an item is loaded; other nodes send it load requests.
"""

import threading
import time
from collections.abc import Callable, Collection
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from camphoryard.coordination.loading.adapters import demand_item_id
from camphoryard.coordination.loading.load_controller import (
    CannotLoad,
    LoadController,
    Loaded,
    Loading,
    LoadStatus,
)
from camphoryard.coordination.messages import (
    Declined,
    ItemLoaded,
    ItemLoading,
    ItemRequest,
    Reply,
)
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import DecisionLog, Peers
from camphoryard.state.directory import Directory
from camphoryard.state.enums import Priority
from camphoryard.state.errors import NotLoadedBeforeDeadlineError, PeerUnreachableError
from camphoryard.state.ids import EndpointId, NodeId, ServiceId
from camphoryard.state.serving_endpoints import EndpointState, ServingEndpoint
from camphoryard.state.traffic import RequestedModel

LEADER_TIMEOUT_S = 0.8
"""Timeout of a load request to the leader. It answers at the latest when an adapter
is loaded, unless its process has ended."""
NEW_LEADER_ESTIMATE_S = 3.0
"""Time until another node becomes leader after the previous one is gone."""
STOPPING_RETRY_S = 0.05
"""A request that a stopping node refuses reaches another node at once."""
RECHECK_PERIOD_S = 0.5
"""How often the leader is asked again about a load in progress."""


@dataclass(frozen=True, slots=True)
class ItemLocatorContext:
    """Collaborators of an ItemLocator; ``leader`` returns the current leader."""

    node: NodeId
    directory: Directory
    controller: LoadController
    peers: Peers
    leader: Callable[[], NodeId | None]
    demand: DemandMeter
    log: DecisionLog
    clock: Callable[[], float] = time.monotonic


class ItemLocator:
    """See the ModelLocator port; concurrent requests for one item share a question."""

    def __init__(self, context: ItemLocatorContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._is_stopping = False
        self._answer_by_item: dict[RequestedModel, Future[LoadStatus]] = {}

    def stop(self) -> None:
        """Refuse the requests that wait for an item, within about a second.

        Those whose answers have begun wait on.
        """
        self._is_stopping = True

    def arrived(self, item: RequestedModel) -> None:
        """Record the arrival of a request for ``item``."""
        self._context.demand.record_arrival(demand_item_id(item), Priority.STANDARD)

    def finished(self, item: RequestedModel, slot_s: float) -> None:
        """Record that a request for ``item`` occupied a slot for ``slot_s`` seconds."""
        self._context.demand.record_slot_time(demand_item_id(item), slot_s)

    def locate(
        self,
        service: ServiceId,
        item: RequestedModel,
        deadline_s: float,
        avoid: Collection[EndpointId] = (),
        has_begun: bool = False,
    ) -> ServingEndpoint:
        """Block until ``item`` is loaded somewhere; see the ModelLocator port."""
        while True:
            already_loaded = self._loaded_at(service, item)
            if avoid:
                status = self._ask(service, item, avoid)
            else:
                status = self._ask_coalesced(service, item, deadline_s)
            match status:
                case Loaded(found):
                    endpoint = self._context.directory.find(found)
                    # The leader may not know yet that the endpoint leaves.
                    if endpoint is not None and endpoint.state is EndpointState.READY:
                        self._context.directory.record_loaded(found, item)
                        return endpoint
                    ready_in_s = RECHECK_PERIOD_S
                case Loading(ready_in_s):
                    pass
                case CannotLoad():
                    ready_in_s = NEW_LEADER_ESTIMATE_S
            if self._is_stopping and not has_begun:
                # The client can retry at another node, which waits for the load.
                raise NotLoadedBeforeDeadlineError(STOPPING_RETRY_S)
            if self._context.clock() + ready_in_s >= deadline_s:
                raise NotLoadedBeforeDeadlineError(ready_in_s)
            self._wait_for_endpoint(service, item, already_loaded, ready_in_s)

    def _ask_coalesced(
        self, service: ServiceId, item: RequestedModel, deadline_s: float
    ) -> LoadStatus:
        """Ask the leader for ``item``, or wait for the answer to the same question."""
        with self._lock:
            answer = self._answer_by_item.get(item)
            is_first = answer is None
            if answer is None:
                answer = self._answer_by_item[item] = Future()
        if not is_first:
            try:
                return answer.result(max(0.0, deadline_s - self._context.clock()))
            except FutureTimeoutError:
                return CannotLoad()
        status: LoadStatus = CannotLoad()
        try:
            status = self._ask(service, item)
            return status
        finally:
            with self._lock:
                del self._answer_by_item[item]
            answer.set_result(status)

    def _ask(
        self,
        service: ServiceId,
        item: RequestedModel,
        avoid: Collection[EndpointId] = (),
    ) -> LoadStatus:
        leader = self._context.leader()
        if leader is None:
            return CannotLoad()
        if leader == self._context.node:
            return self._context.controller.ensure_loaded(service, item, avoid)
        try:
            reply = self._context.peers.request(
                leader, ItemRequest(service, item, tuple(avoid)), LEADER_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            self._context.log("holder_unreachable", holder=leader, error=str(error))
            return CannotLoad()
        match reply:
            case ItemLoaded(endpoint):
                return Loaded(endpoint)
            case ItemLoading(ready_in_s):
                return Loading(ready_in_s)
            case _:
                return CannotLoad()

    def _wait_for_endpoint(
        self,
        service: ServiceId,
        item: RequestedModel,
        already_loaded: frozenset[EndpointId],
        ready_in_s: float,
    ) -> None:
        """Block until one more endpoint has ``item`` loaded, or until the next recheck.

        Endpoints that were ``already_loaded`` before the leader was asked do not end
        the wait, because the leader did not offer them: they may have crashed.
        """
        self._context.directory.wait_until(
            lambda: not self._loaded_at(service, item) <= already_loaded,
            self._context.clock() + min(ready_in_s, RECHECK_PERIOD_S),
        )

    def _loaded_at(
        self, service: ServiceId, item: RequestedModel
    ) -> frozenset[EndpointId]:
        endpoints = self._context.directory.loaded_endpoints(service, item)
        return frozenset(endpoint.id for endpoint in endpoints)


def answer_item_request(controller: LoadController, message: ItemRequest) -> Reply:
    """Return the reply to a node that asks for an item."""
    match controller.ensure_loaded(message.service, message.wanted, message.avoid):
        case Loaded(endpoint):
            return ItemLoaded(endpoint)
        case Loading(ready_in_s):
            return ItemLoading(ready_in_s)
        case CannotLoad():
            return Declined("this node cannot load the item")
