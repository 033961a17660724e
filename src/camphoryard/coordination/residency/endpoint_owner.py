"""The endpoints that this node owns, and loads and unloads at them."""

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
    START_WISH_S,
    LoadRequest,
    ResidencyRequest,
    UnloadRequest,
    WishExpiredError,
)
from camphoryard.state.enums import EndpointKind
from camphoryard.state.errors import CamphoryardError, ConflictError
from camphoryard.state.ids import EndpointId, FencingNumber, ItemId

WISH_TIMEOUT_S = 30.0
EVERY_NUMBER = FencingNumber(2**62)


@dataclass(frozen=True, slots=True)
class ResidencyHandler:
    """What peers may ask of this node about residency."""

    owner: "EndpointOwner"
    record_peer_use: Callable[[tuple[ItemId, ...]], None]

    def handle(self, message: ResidencyMessage) -> Reply:
        """Act on a peer's message and return the reply, without waiting for loads."""
        try:
            match message:
                case LoadItemsRequest(endpoint, items, limit_slots):
                    self.owner.start_loading(endpoint, items, limit_slots)
                case ItemsUsed(items):
                    self.record_peer_use(items)
                case RelinquishRequest():
                    return self.owner.give_up(message)
        except CamphoryardError as error:
            return Declined(str(error))
        return Done()


class EndpointOwner:
    """Runs one task for each owned endpoint and hands it the wishes."""

    def __init__(self, parts: ResidencyContext) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._owned_by_id: dict[EndpointId, OwnedEndpoint] = {}
        self._orders_by_id: dict[EndpointId, EndpointOrders] = {}

    def run_endpoint(self, endpoint_id: EndpointId, timer: Timer) -> None:
        """Own one endpoint while this node is its owner; one task for each."""
        assigned_endpoints = OwnedEndpoint(
            endpoint_id, self._parts, self._orders(endpoint_id)
        )
        with self._lock:
            self._owned_by_id[endpoint_id] = assigned_endpoints
        try:
            assigned_endpoints.run(timer)
        finally:
            with self._lock:
                self._owned_by_id.pop(endpoint_id, None)

    def assigned_endpoints(self) -> tuple[EndpointId, ...]:
        """Return the engines that this node should own now."""
        endpoints = self._parts.configuration.current.endpoints_by_id
        return tuple(
            endpoint.id
            for endpoint in endpoints.values()
            if endpoint.kind is EndpointKind.ENGINE and self._is_ours(endpoint.id)
        )

    def load(
        self, endpoint_id: EndpointId, item: ItemId, timeout_s: float = WISH_TIMEOUT_S
    ) -> None:
        """Load ``item`` at an endpoint this node owns, and wait until it is there.

        Raises
        ------
        ConflictError
            If this node does not own the endpoint.
        NoRoomError, LoadFailedError, EngineSilentError, WishExpiredError
            If it could not be loaded.
        StoreUnavailableError
            If the record could not be written.
        """
        wish = LoadRequest(item, time.monotonic() + timeout_s)
        _wait(self._wish(endpoint_id, wish), timeout_s)

    def unload(
        self, endpoint_id: EndpointId, item: ItemId, timeout_s: float = WISH_TIMEOUT_S
    ) -> None:
        """Unload ``item`` and wait until it is gone; raises as ``load``."""
        wish = UnloadRequest(item, time.monotonic() + timeout_s)
        _wait(self._wish(endpoint_id, wish), timeout_s)

    def start_loading(
        self, endpoint_id: EndpointId, items: tuple[ItemId, ...], limit_slots: float
    ) -> None:
        """Have ``items`` loaded without waiting; raises ConflictError.

        Who asks goes on to another endpoint when this one does not begin, so
        the wish lapses soon; else the item would end up at both.
        """
        deadline_s = time.monotonic() + START_WISH_S
        for item in items:
            self._wish(endpoint_id, LoadRequest(item, deadline_s, limit_slots))

    def start_move(self, move: Move) -> None:
        """Have a move carried out without waiting; raises ConflictError."""
        deadline_s = time.monotonic() + WISH_TIMEOUT_S
        for item in move.evicted:
            self._wish(move.endpoint, UnloadRequest(item, deadline_s))
        for item in move.items:
            self._wish(move.endpoint, LoadRequest(item, deadline_s))

    def give_up(self, message: RelinquishRequest) -> RelinquishReply:
        """Send no more orders with an older number than the new owner's.

        Raises
        ------
        ConflictError
            If another start of this node is meant, of which nothing is known.
        """
        if message.incarnation != self._parts.identity.incarnation:
            raise ConflictError("an earlier start is meant")
        unanswered = self._orders(message.endpoint).give_up(message.fence)
        return RelinquishReply(tuple(sorted(unanswered)))

    def close(self) -> None:
        """Give up all endpoints for good: no order leaves after this."""
        with self._lock:
            every = tuple(self._orders_by_id.values())
        for orders in every:
            orders.give_up(EVERY_NUMBER)

    def _wish(self, endpoint_id: EndpointId, wish: ResidencyRequest) -> "Future[None]":
        with self._lock:
            assigned_endpoints = self._owned_by_id.get(endpoint_id)
        if assigned_endpoints is None:
            raise ConflictError(f"{endpoint_id} is not owned here")
        return assigned_endpoints.wish(wish)

    def _orders(self, endpoint_id: EndpointId) -> EndpointOrders:
        with self._lock:
            if endpoint_id not in self._orders_by_id:
                orders = EndpointOrders(self._parts.engines)
                self._orders_by_id[endpoint_id] = orders
            return self._orders_by_id[endpoint_id]

    def _is_ours(self, endpoint_id: EndpointId) -> bool:
        owner = owner_of(endpoint_id, self._parts.nodes)
        return owner == self._parts.identity.node


def _wait(met: "Future[None]", timeout_s: float) -> None:
    try:
        met.result(timeout_s)
    except FutureTimeoutError as error:
        raise WishExpiredError("not in time") from error
