"""Endpoints that this node owns, and load and unload requests to them."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from camphoryard.coordination.messages import (
    Declined,
    Done,
    ItemsUsed,
    LoadItemsRequest,
    RelinquishReply,
    RelinquishRequest,
    Reply,
    ResidencyMessage,
)
from camphoryard.coordination.placement.placement import Move
from camphoryard.coordination.ports import Timer
from camphoryard.coordination.residency.orders import EndpointOrders
from camphoryard.coordination.residency.owned_endpoint import OwnedEndpoint
from camphoryard.coordination.residency.ownership import owner_of
from camphoryard.coordination.residency.residency_context import ResidencyContext
from camphoryard.coordination.residency.residency_requests import (
    START_LOAD_TIMEOUT_S,
    LoadRequest,
    RequestExpiredError,
    ResidencyRequest,
    UnloadRequest,
)
from camphoryard.state.enums import EndpointKind
from camphoryard.state.errors import CamphoryardError, ConflictError
from camphoryard.state.ids import EndpointId, FencingNumber, ItemId

REQUEST_TIMEOUT_S = 30.0
MAX_FENCE = FencingNumber(2**62)


@dataclass(frozen=True, slots=True)
class ResidencyHandler:
    """Handles residency messages from peers."""

    owner: "EndpointOwner"
    record_peer_use: Callable[[tuple[ItemId, ...]], None]

    def handle(self, message: ResidencyMessage) -> Reply:
        """Handle a message and return the reply, without waiting for loads."""
        try:
            match message:
                case LoadItemsRequest(endpoint, items, limit_slots):
                    self.owner.start_loading(endpoint, items, limit_slots)
                case ItemsUsed(items):
                    self.record_peer_use(items)
                case RelinquishRequest():
                    return self.owner.relinquish(message)
        except CamphoryardError as error:
            return Declined(str(error))
        return Done()


class EndpointOwner:
    """Runs one task for each owned endpoint and passes requests to it."""

    def __init__(self, context: ResidencyContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._owned_by_id: dict[EndpointId, OwnedEndpoint] = {}
        self._orders_by_id: dict[EndpointId, EndpointOrders] = {}

    def run_endpoint(self, endpoint_id: EndpointId, timer: Timer) -> None:
        """Run one endpoint while it is assigned to this node; one task for each."""
        owned = OwnedEndpoint(endpoint_id, self._context, self._orders(endpoint_id))
        with self._lock:
            self._owned_by_id[endpoint_id] = owned
        try:
            owned.run(timer)
        finally:
            with self._lock:
                self._owned_by_id.pop(endpoint_id, None)

    def assigned_endpoints(self) -> tuple[EndpointId, ...]:
        """Return the engines that are assigned to this node."""
        endpoints = self._context.configuration.current.endpoints_by_id
        return tuple(
            endpoint.id
            for endpoint in endpoints.values()
            if endpoint.kind is EndpointKind.ENGINE
            and self._is_assigned_here(endpoint.id)
        )

    def load(
        self,
        endpoint_id: EndpointId,
        item: ItemId,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        """Load ``item`` at an endpoint this node owns, and wait until it is resident.

        Raises
        ------
        ConflictError
            If this node does not own the endpoint.
        NoRoomError, LoadFailedError, EngineUnresponsiveError, RequestExpiredError
            If it could not be loaded.
        StoreUnavailableError
            If the record could not be written.
        """
        request = LoadRequest(item, time.monotonic() + timeout_s)
        _wait(self._submit(endpoint_id, request), timeout_s)

    def unload(
        self,
        endpoint_id: EndpointId,
        item: ItemId,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        """Unload ``item`` and wait until it is unloaded; raises as ``load`` does."""
        request = UnloadRequest(item, time.monotonic() + timeout_s)
        _wait(self._submit(endpoint_id, request), timeout_s)

    def start_loading(
        self, endpoint_id: EndpointId, items: tuple[ItemId, ...], limit_slots: float
    ) -> None:
        """Request loads of ``items`` without waiting for them.

        The requests expire after ``START_LOAD_TIMEOUT_S``, because the requester
        then tries another endpoint; otherwise both would load the items.

        Raises
        ------
        ConflictError
            If this node does not own the endpoint.
        """
        deadline_s = time.monotonic() + START_LOAD_TIMEOUT_S
        for item in items:
            self._submit(endpoint_id, LoadRequest(item, deadline_s, limit_slots))

    def start_move(self, move: Move) -> None:
        """Request the unloads and loads of a move without waiting for them.

        Raises
        ------
        ConflictError
            If this node does not own the endpoint.
        """
        deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
        for item in move.evicted:
            self._submit(move.endpoint, UnloadRequest(item, deadline_s))
        for item in move.items:
            self._submit(move.endpoint, LoadRequest(item, deadline_s))

    def relinquish(self, message: RelinquishRequest) -> RelinquishReply:
        """Abort orders with a lower fencing number than the new owner's.

        Raises
        ------
        ConflictError
            If the message names another incarnation of this node, whose orders
            are unknown here.
        """
        if message.incarnation != self._context.identity.incarnation:
            raise ConflictError("message is for another incarnation of this node")
        unanswered = self._orders(message.endpoint).relinquish(message.fence)
        return RelinquishReply(tuple(sorted(unanswered)))

    def close(self) -> None:
        """Relinquish all endpoints for good: no order is sent after this."""
        with self._lock:
            all_orders = tuple(self._orders_by_id.values())
        for orders in all_orders:
            orders.relinquish(MAX_FENCE)

    def _submit(
        self, endpoint_id: EndpointId, request: ResidencyRequest
    ) -> "Future[None]":
        with self._lock:
            owned = self._owned_by_id.get(endpoint_id)
        if owned is None:
            raise ConflictError(f"{endpoint_id} is not owned by this node")
        return owned.submit(request)

    def _orders(self, endpoint_id: EndpointId) -> EndpointOrders:
        with self._lock:
            if endpoint_id not in self._orders_by_id:
                orders = EndpointOrders(self._context.engines)
                self._orders_by_id[endpoint_id] = orders
            return self._orders_by_id[endpoint_id]

    def _is_assigned_here(self, endpoint_id: EndpointId) -> bool:
        owner = owner_of(endpoint_id, self._context.nodes)
        return owner == self._context.identity.node


def _wait(completion: "Future[None]", timeout_s: float) -> None:
    try:
        completion.result(timeout_s)
    except FutureTimeoutError as error:
        raise RequestExpiredError("deadline exceeded") from error
